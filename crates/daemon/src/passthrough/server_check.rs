//! Check whether a backend server runs at all, by a connection to its port.

use {
    super::node::Event,
    cardamomloom_transport::clock::MonotonicClock,
    log::info,
    std::{io::ErrorKind, net::SocketAddrV4, time::Duration},
    tokio::{net::TcpStream, sync::mpsc, time::timeout},
};

/// Timeout of a connection attempt. The backend server runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Connects to the backend server and sends an event if the connection is refused: then no process
/// listens there, and no flow is open. Any other outcome proves nothing.
pub async fn check_server(
    server: SocketAddrV4,
    clock: MonotonicClock,
    events: mpsc::Sender<Event>,
) {
    let asked_at = clock.now();
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            info!(event = "server_absent", server:%; "backend server does not run: its port refuses connections");
            // The receiver is dropped only when the process stops.
            let _ = events.send(Event::ServerAbsent { asked_at }).await;
        }
        Ok(Err(error)) => {
            log::debug!(event = "server_check_failed", server:%; "cannot connect to the backend server: {error}");
        }
        Ok(Ok(_)) | Err(_) => {}
    }
    let _ = events.send(Event::ServerChecked).await;
}
