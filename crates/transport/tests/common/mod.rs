//! Certificate authorities and files with certificates and keys for tests.

use {
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
};

pub type Authority = CertifiedIssuer<'static, KeyPair>;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// Temporary folder that is removed when the value is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let path =
            env::temp_dir().join(format!("cardamomloom-tls-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Creates a self-signed certificate authority.
pub fn create_authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("valid parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    CertifiedIssuer::self_signed(params, key).expect("a certificate")
}

/// Writes the files of a process with a certificate signed by `signer`, which accepts peers with
/// certificates signed by `trusted`.
pub fn write_files(
    folder: &Path,
    role: PeerRole,
    signer: &Authority,
    trusted: &Authority,
) -> TlsFiles {
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

pub fn load_context(files: TlsFiles) -> TlsContext {
    TlsContext::load(files).expect("valid files")
}
