//! Mutual authentication between processes: identity, role and reload.

use {
    cardamomloom_core::ErrorKind,
    cardamomloom_transport::tls::{PeerRole, TlsContext, TlsFiles},
    rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair},
    std::{
        env, fs,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
    },
    tokio::net::{TcpListener, TcpStream},
};

type Authority = CertifiedIssuer<'static, KeyPair>;

static FOLDERS: AtomicU32 = AtomicU32::new(0);

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path =
            env::temp_dir().join(format!("cardamomloom-tls-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("valid parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    CertifiedIssuer::self_signed(params, key).expect("a certificate")
}

/// Writes the files of a process whose certificate `signer` signs and that trusts `trusted`.
fn files(folder: &Path, role: PeerRole, signer: &Authority, trusted: &Authority) -> TlsFiles {
    let params = CertificateParams::new(vec![role.dns_name().to_owned()]).expect("a valid name");
    let key = KeyPair::generate().expect("a key");
    let certificate = params.signed_by(&key, signer).expect("a certificate");
    let write = |name: &str, text: String| -> Arc<Path> {
        let path = folder.join(format!("{role}-{name}.pem"));
        fs::write(&path, text).expect("the folder is writable");
        Arc::from(path)
    };
    TlsFiles {
        authorities: write("authorities", trusted.pem()),
        certificate: write("certificate", certificate.pem()),
        key: write("key", key.serialize_pem()),
    }
}

/// Connects `client` to `server` and returns what the server saw.
async fn handshake(
    server: &TlsContext,
    client: &TlsContext,
    allowed: &[PeerRole],
) -> Result<(), ErrorKind> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connect = async {
        let stream = TcpStream::connect(address).await.expect("a connection");
        client.connect(stream, PeerRole::Balancer).await
    };
    let accept = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        server.accept(stream, allowed).await
    };
    let (connected, accepted) = tokio::join!(connect, accept);
    accepted.map_err(|error| error.kind)?;
    connected.map_err(|error| error.kind)?;
    Ok(())
}

fn context(files: TlsFiles) -> TlsContext {
    TlsContext::load(files).expect("valid files")
}

/// Guards against a process of another installation being accepted.
#[tokio::test]
async fn verify_peer_of_another_authority_is_refused() {
    let folder = Folder::new();
    let (own, foreign) = (authority(), authority());
    let server = context(files(&folder.0, PeerRole::Balancer, &own, &own));
    let agent = context(files(&folder.0, PeerRole::Agent, &own, &own));
    assert_eq!(handshake(&server, &agent, &[PeerRole::Agent]).await, Ok(()));
    let intruder = context(files(&folder.0, PeerRole::Agent, &foreign, &own));
    assert_eq!(
        handshake(&server, &intruder, &[PeerRole::Agent]).await,
        Err(ErrorKind::Unauthorized)
    );
}

/// Guards against a process that takes another role than its certificate grants.
#[tokio::test]
async fn verify_peer_of_another_role_is_refused() {
    let folder = Folder::new();
    let own = authority();
    let server = context(files(&folder.0, PeerRole::Balancer, &own, &own));
    let agent = context(files(&folder.0, PeerRole::Agent, &own, &own));
    assert_eq!(
        handshake(&server, &agent, &[PeerRole::Balancer]).await,
        Err(ErrorKind::Unauthorized)
    );
    // An agent's certificate does not make its holder a balancer for those who connect.
    let outcome = handshake(&agent, &server, &[PeerRole::Balancer]).await;
    assert_eq!(outcome, Err(ErrorKind::Unauthorized));
}

/// Guards against certificates that need a restart, and against a bad file replacing a good one.
#[tokio::test]
async fn verify_files_are_reloaded() {
    let folder = Folder::new();
    let (old, new) = (authority(), authority());
    let server_files = files(&folder.0, PeerRole::Balancer, &old, &old);
    let server = context(server_files.clone());
    assert_eq!(server.reload(), Ok(false));
    files(&folder.0, PeerRole::Balancer, &new, &new);
    assert_eq!(server.reload(), Ok(true));
    let agent = context(files(&folder.0, PeerRole::Agent, &new, &new));
    assert_eq!(handshake(&server, &agent, &[PeerRole::Agent]).await, Ok(()));
    fs::write(&server_files.key, "no key").expect("the folder is writable");
    let error = server.reload().expect_err("the key cannot be used");
    assert_eq!(error.kind, ErrorKind::InvalidArgument);
    assert_eq!(handshake(&server, &agent, &[PeerRole::Agent]).await, Ok(()));
}
