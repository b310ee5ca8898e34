//! Check whether a backend server runs at all, by a connection to its port.

use {
    super::node::Event,
    cardamomloom_transport::clock::MonotonicClock,
    log::{debug, info},
    std::{io::ErrorKind, net::SocketAddrV4, time::Duration},
    tokio::{net::TcpStream, sync::mpsc, time::timeout},
};

/// Timeout of a connection attempt, which delays the start of an agent. The backend server runs on the
/// same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Connects to the backend server and returns whether the connection is refused: then no process
/// listens there, and no flow is open. Any other outcome proves nothing.
pub async fn is_server_absent(server: SocketAddrV4) -> bool {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            info!(event = "server_absent", server:%; "backend server does not run: its port refuses connections");
            true
        }
        Ok(Err(error)) => {
            debug!(event = "server_check_failed", server:%; "cannot connect to the backend server: {error}");
            false
        }
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Checks whether the backend server runs, and sends the result as an event.
pub async fn check_server(
    server: SocketAddrV4,
    clock: MonotonicClock,
    events: mpsc::Sender<Event>,
) {
    let asked_at = clock.now();
    let is_absent = is_server_absent(server).await;
    // The receiver is dropped only when the process stops.
    let _ = events
        .send(Event::ServerChecked {
            asked_at,
            is_absent,
        })
        .await;
}
