//! TLS connections with mutual authentication for the synchronization between balancers.

use {
    crate::tls::{PeerRole, TlsContext},
    hyper_util::rt::TokioIo,
    log::{debug, warn},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, mpsc},
        time,
    },
    tokio_rustls::{client, server},
    tonic::codegen::{
        Service,
        http::Uri,
        tokio_stream::{Stream, wrappers::ReceiverStream},
    },
    tower::service_fn,
};

/// Result of accepting or opening a connection.
pub type Result<T> = io::Result<T>;

/// Maximum number of concurrent handshakes; further connections wait in the accept queue of the
/// listener.
const MAX_HANDSHAKES: usize = 32;

/// Delay after a failed accept. Accepting fails when file descriptors run out, and retrying at once
/// would keep a processor busy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns the stream of accepted connections whose peer has authenticated as a balancer. Other
/// connections are closed and counted in `cardamomloom_tls_refused_total`.
pub fn incoming(
    listener: TcpListener,
    tls: Arc<TlsContext>,
) -> impl Stream<Item = Result<server::TlsStream<TcpStream>>> {
    let (sender, receiver) = mpsc::channel(MAX_HANDSHAKES);
    tokio::spawn(accept_all(listener, tls, sender));
    ReceiverStream::new(receiver)
}

async fn accept_all(
    listener: TcpListener,
    tls: Arc<TlsContext>,
    accepted: mpsc::Sender<Result<server::TlsStream<TcpStream>>>,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    while !accepted.is_closed() {
        let Ok(permit) = handshakes.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok(connection) => connection,
            Err(error) => {
                warn!(event = "accept_failed"; "sync: cannot accept a connection, retrying in {ACCEPT_RETRY_DELAY:?}: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (tls, accepted) = (tls.clone(), accepted.clone());
        tokio::spawn(async move {
            let _permit = permit;
            match tls.accept(stream, &[PeerRole::Balancer]).await {
                // Sending fails only when the server has ended, as the process stops.
                Ok(stream) => drop(accepted.send(Ok(stream)).await),
                Err(error) => {
                    metrics::counter!("cardamomloom_tls_refused_total").increment(1);
                    debug!(event = "peer_refused", peer:%; "sync: connection closed, the peer was not authenticated as a balancer: {error}");
                }
            }
        });
    }
}

/// Returns a connector that opens connections to the balancer at `peer`. It ignores the URI that it
/// is called with.
pub fn connector(
    peer: SocketAddr,
    tls: Arc<TlsContext>,
) -> impl Service<
    Uri,
    Response = TokioIo<client::TlsStream<TcpStream>>,
    Error = io::Error,
    Future = impl Future<Output = Result<TokioIo<client::TlsStream<TcpStream>>>> + Send,
> + Send
+ 'static {
    service_fn(move |_: Uri| {
        let tls = tls.clone();
        async move {
            let stream = TcpStream::connect(peer).await?;
            let stream = tls
                .connect(stream, PeerRole::Balancer)
                .await
                .map_err(io::Error::other)?;
            Ok(TokioIo::new(stream))
        }
    })
}
