//! Reads certificates and keys from files and builds `rustls` configurations from them.

use {
    super::{Result, TlsFiles},
    cardamomloom_core::error::invalid_argument,
    rustls::{
        ClientConfig, RootCertStore, ServerConfig,
        crypto::{CryptoProvider, ring},
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        server::WebPkiClientVerifier,
    },
    std::{
        collections::hash_map::DefaultHasher,
        fmt::Display,
        fs,
        hash::{Hash, Hasher},
        path::Path,
        sync::Arc,
    },
};

/// ALPN identifier of HTTP/2, the protocol under gRPC (RFC 9113, section 3.2).
const ALPN_HTTP2: &[u8] = b"h2";

/// Configurations built from one set of files.
pub struct Credentials {
    /// Configuration for accepted connections; requires a client certificate.
    pub server: Arc<ServerConfig>,
    /// Configuration for opened connections.
    pub client: Arc<ClientConfig>,
    /// Hash of the file contents, for detecting changed files.
    pub fingerprint: u64,
}

impl Credentials {
    /// Reads the files and builds the configurations; the message of an error names the file.
    pub fn read(files: &TlsFiles) -> Result<Self> {
        let authorities = read_file(&files.authorities)?;
        let certificate = read_file(&files.certificate)?;
        let key = read_file(&files.key)?;
        let roots = Arc::new(parse_roots(&files.authorities, &authorities)?);
        let chain = parse_certificates(&files.certificate, &certificate)?;
        let private_key =
            PrivateKeyDer::from_pem_slice(&key).map_err(|error| unusable(&files.key, &error))?;
        let provider = Arc::new(ring::default_provider());
        let mut server =
            server_config(provider.clone(), roots.clone(), chain.clone(), &private_key)
                .map_err(|error| unusable(&files.certificate, &error))?;
        let mut client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| unusable(&files.certificate, &error))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, private_key)
            .map_err(|error| unusable(&files.certificate, &error))?;
        server.alpn_protocols = vec![ALPN_HTTP2.to_vec()];
        client.alpn_protocols = vec![ALPN_HTTP2.to_vec()];
        let mut hasher = DefaultHasher::new();
        (&authorities, &certificate, &key).hash(&mut hasher);
        Ok(Self {
            server: Arc::new(server),
            client: Arc::new(client),
            fingerprint: hasher.finish(),
        })
    }
}

fn server_config(
    provider: Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: &PrivateKeyDer<'static>,
) -> std::result::Result<ServerConfig, Box<dyn std::error::Error>> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build()?;
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key.clone_key())?;
    Ok(config)
}

fn read_file(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|error| unusable(path, &error))
}

fn parse_certificates(path: &Path, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let certificates = CertificateDer::pem_slice_iter(pem)
        .collect::<std::result::Result<Vec<_>, _>>()
        .map_err(|error| unusable(path, &error))?;
    if certificates.is_empty() {
        return Err(unusable(path, &"it contains no certificate"));
    }
    Ok(certificates)
}

fn parse_roots(path: &Path, pem: &[u8]) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in parse_certificates(path, pem)? {
        roots
            .add(certificate)
            .map_err(|error| unusable(path, &error))?;
    }
    Ok(roots)
}

fn unusable(path: &Path, reason: &dyn Display) -> cardamomloom_core::Error {
    invalid_argument(format!(
        "tls: file {} cannot be used: {reason}",
        path.display()
    ))
}
