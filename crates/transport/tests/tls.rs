//! Mutual TLS between processes: authentication, roles and reload of the files.

mod common;

use {
    cardamomloom_core::ErrorKind,
    cardamomloom_transport::tls::{PeerRole, TlsContext},
    common::{TempFolder, create_authority, load_context, write_files},
    std::fs,
    tokio::net::{TcpListener, TcpStream},
};

/// Connects `client` to `server` and returns the error of the server's handshake, or else of the
/// client's.
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

/// Guards against accepting a process of another installation.
#[tokio::test]
async fn verify_peer_of_another_authority_is_refused() {
    let folder = TempFolder::new();
    let (own, foreign) = (create_authority(), create_authority());
    let server = load_context(write_files(&folder.0, PeerRole::Balancer, &own, &own));
    let agent = load_context(write_files(&folder.0, PeerRole::Agent, &own, &own));
    assert_eq!(handshake(&server, &agent, &[PeerRole::Agent]).await, Ok(()));
    let foreign_agent = load_context(write_files(&folder.0, PeerRole::Agent, &foreign, &own));
    assert_eq!(
        handshake(&server, &foreign_agent, &[PeerRole::Agent]).await,
        Err(ErrorKind::Unauthorized)
    );
}

/// Guards against a process that acts in a role that its certificate does not grant.
#[tokio::test]
async fn verify_peer_of_another_role_is_refused() {
    let folder = TempFolder::new();
    let own = create_authority();
    let server = load_context(write_files(&folder.0, PeerRole::Balancer, &own, &own));
    let agent = load_context(write_files(&folder.0, PeerRole::Agent, &own, &own));
    assert_eq!(
        handshake(&server, &agent, &[PeerRole::Balancer]).await,
        Err(ErrorKind::Unauthorized)
    );
    // A client must reject a server whose certificate grants the role of an agent only.
    let outcome = handshake(&agent, &server, &[PeerRole::Balancer]).await;
    assert_eq!(outcome, Err(ErrorKind::Unauthorized));
}

/// Guards against new certificates that take effect only after a restart, and against an unusable
/// file replacing the credentials in use.
#[tokio::test]
async fn verify_reload_applies_valid_files_only() {
    let folder = TempFolder::new();
    let (old, new) = (create_authority(), create_authority());
    let server_files = write_files(&folder.0, PeerRole::Balancer, &old, &old);
    let server = load_context(server_files.clone());
    assert_eq!(server.reload(), Ok(false));
    write_files(&folder.0, PeerRole::Balancer, &new, &new);
    assert_eq!(server.reload(), Ok(true));
    let agent = load_context(write_files(&folder.0, PeerRole::Agent, &new, &new));
    assert_eq!(handshake(&server, &agent, &[PeerRole::Agent]).await, Ok(()));
    fs::write(&server_files.key, "no key").expect("the folder is writable");
    let error = server.reload().expect_err("the key file contains no key");
    assert_eq!(error.kind, ErrorKind::InvalidArgument);
    assert_eq!(handshake(&server, &agent, &[PeerRole::Agent]).await, Ok(()));
}
