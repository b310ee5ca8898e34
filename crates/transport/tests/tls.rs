//! Mutual authentication between processes: identity, role and reload.

mod common;

use {
    cardamomloom_core::ErrorKind,
    cardamomloom_transport::tls::{PeerRole, TlsContext},
    common::{Folder, authority, context, files},
    std::fs,
    tokio::net::{TcpListener, TcpStream},
};

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
