//! TLS with mutual authentication between the processes of one installation.
//!
//! A certificate names the role of its process as a DNS name, such as
//! `balancer.cardamomloom.internal`. The files can be reloaded while the process runs; connections
//! that are opened or accepted afterwards use the new certificates and keys.

mod credentials;

use {
    arc_swap::ArcSwap,
    cardamomloom_core::error::{Error, ErrorKind, invalid_argument},
    credentials::Credentials,
    rustls::pki_types::{CertificateDer, ServerName},
    std::{fmt, path::Path, str::FromStr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time},
    tokio_rustls::{TlsAcceptor, TlsConnector, client, server},
    webpki::EndEntityCert,
};

/// Result of a TLS operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Limit of a handshake, so that an unresponsive peer does not occupy a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Role of a process, granted by its certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerRole {
    /// Load balancer instance.
    Balancer,
    /// Agent that runs beside a backend server.
    Agent,
    /// Command line tool of an operator.
    Operator,
}

impl PeerRole {
    const ALL: [Self; 3] = [Self::Balancer, Self::Agent, Self::Operator];

    /// Returns the DNS name that a certificate must contain to grant this role.
    #[must_use]
    pub const fn dns_name(self) -> &'static str {
        match self {
            Self::Balancer => "balancer.cardamomloom.internal",
            Self::Agent => "agent.cardamomloom.internal",
            Self::Operator => "operator.cardamomloom.internal",
        }
    }
}

impl fmt::Display for PeerRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Balancer => "balancer",
            Self::Agent => "agent",
            Self::Operator => "operator",
        })
    }
}

impl FromStr for PeerRole {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Self::ALL
            .into_iter()
            .find(|role| role.to_string() == text)
            .ok_or_else(|| {
                invalid_argument(format!(
                    "tls: role {text:?} does not exist; allowed are balancer, agent and operator"
                ))
            })
    }
}

/// Paths of the certificates and the key, all in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificates of the authorities that sign the certificates of this installation.
    pub authorities: Arc<Path>,
    /// Certificate chain of this process.
    pub certificate: Arc<Path>,
    /// Private key of this process.
    pub key: Arc<Path>,
}

/// Certificates and key in use, which can be replaced while the process runs.
pub struct TlsContext {
    files: TlsFiles,
    current: ArcSwap<Credentials>,
}

impl fmt::Debug for TlsContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TlsContext")
            .field("files", &self.files)
            .finish_non_exhaustive()
    }
}

impl TlsContext {
    /// Reads the files and checks that they can be used.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when a file cannot be read or used; the message names
    /// the file.
    pub fn load(files: TlsFiles) -> Result<Self> {
        let credentials = Credentials::read(&files)?;
        Ok(Self {
            files,
            current: ArcSwap::from_pointee(credentials),
        })
    }

    /// Reads the files again and returns whether they changed. On an error the certificates and the
    /// key in use stay.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when a file cannot be read or used.
    pub fn reload(&self) -> Result<bool> {
        let next = Credentials::read(&self.files)?;
        let changed = next.fingerprint != self.current.load().fingerprint;
        if changed {
            self.current.store(Arc::new(next));
        }
        Ok(changed)
    }

    /// Performs the handshake of an accepted connection, whose peer must have one of the roles
    /// `allowed`.
    ///
    /// # Errors
    ///
    /// Fails with kind `unauthorized` when the peer has no valid certificate or another role, and
    /// with `timeout` when the handshake takes longer than 5 s.
    pub async fn accept(
        &self,
        stream: TcpStream,
        allowed: &[PeerRole],
    ) -> Result<server::TlsStream<TcpStream>> {
        let acceptor = TlsAcceptor::from(self.current.load().server.clone());
        let stream = with_timeout(acceptor.accept(stream)).await?;
        check_role(stream.get_ref().1.peer_certificates(), allowed)?;
        Ok(stream)
    }

    /// Performs the handshake of an opened connection, whose peer must have the role `role`.
    ///
    /// # Errors
    ///
    /// Fails with kind `unauthorized` when the peer has no valid certificate or another role, and
    /// with `timeout` when the handshake takes longer than 5 s.
    pub async fn connect(
        &self,
        stream: TcpStream,
        role: PeerRole,
    ) -> Result<client::TlsStream<TcpStream>> {
        let connector = TlsConnector::from(self.current.load().client.clone());
        let name = ServerName::try_from(role.dns_name()).map_err(|error| {
            invalid_argument(format!(
                "tls: the name of role {role} is not a valid DNS name: {error}"
            ))
        })?;
        with_timeout(connector.connect(name, stream)).await
    }
}

async fn with_timeout<T>(handshake: impl Future<Output = std::io::Result<T>>) -> Result<T> {
    time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| {
            Error::new(
                ErrorKind::Timeout,
                format!("tls: the handshake was not completed within {HANDSHAKE_TIMEOUT:?}"),
            )
        })?
        .map_err(|error| unauthorized(&format!("the handshake failed: {error}")))
}

fn check_role(
    certificates: Option<&[CertificateDer<'static>]>,
    allowed: &[PeerRole],
) -> Result<()> {
    let certificate = certificates
        .and_then(<[_]>::first)
        .ok_or_else(|| unauthorized("the peer sent no certificate"))?;
    let certificate = EndEntityCert::try_from(certificate).map_err(|error| {
        unauthorized(&format!("the peer's certificate cannot be parsed: {error}"))
    })?;
    let has_role = |role: &PeerRole| {
        ServerName::try_from(role.dns_name())
            .is_ok_and(|name| certificate.verify_is_valid_for_subject_name(&name).is_ok())
    };
    if allowed.iter().any(has_role) {
        return Ok(());
    }
    Err(unauthorized(
        "the peer's certificate grants none of the allowed roles",
    ))
}

fn unauthorized(message: &str) -> Error {
    Error::new(ErrorKind::Unauthorized, format!("tls: {message}"))
}
