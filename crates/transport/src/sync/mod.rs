//! Server and client of the bulk catch-up over gRPC.

mod secured;

use {
    crate::tls::TlsContext,
    cardamomloom_core::error::{Error, ErrorKind},
    cardamomloom_protocol::{
        control::ItemKind,
        sync::{
            self, MAX_MESSAGE_BYTES, PullAnswer, PullRequest, Sync as SyncService, SyncClient,
            SyncServer, SyncedItems,
        },
    },
    std::{net::SocketAddr, pin::Pin, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::oneshot, time},
    tonic::{
        Request, Response, Status,
        codegen::tokio_stream::{self, Stream, StreamExt},
        transport::{Channel, Endpoint, Server, server::TcpIncoming},
    },
};

/// Result of a catch-up.
pub type Result<T> = std::result::Result<T, Error>;

/// Time for a whole catch-up, on either side.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls that one connection may have open at a time.
const CALLS_PER_CONNECTION: usize = 4;

/// Most items that a caller takes from one answer: hosts and objects at their limits.
const MAX_ITEMS: usize = 40_000;

/// Kind, identity and rank of the items that a caller knows.
pub type KnownItems = Vec<(ItemKind, u64, u64)>;

/// What a server answers from.
pub trait SyncSource: Send + std::marker::Sync + 'static {
    /// Asks for what a caller lacks that knows some items; the answer goes to `reply`.
    fn request_missing_items(&self, known: KnownItems, reply: oneshot::Sender<SyncedItems>);
}

struct Service(Arc<dyn SyncSource>);

type Answers = Pin<Box<dyn Stream<Item = std::result::Result<PullAnswer, Status>> + Send>>;

#[tonic::async_trait]
impl SyncService for Service {
    type PullStream = Answers;

    async fn pull(
        &self,
        request: Request<PullRequest>,
    ) -> std::result::Result<Response<Answers>, Status> {
        let (reply, answer) = oneshot::channel();
        self.0
            .request_missing_items(sync::known_items(request.get_ref()), reply);
        let items = time::timeout(CALL_TIMEOUT, answer)
            .await
            .map_err(|_| Status::deadline_exceeded("sync: the control thread does not answer"))?
            .map_err(|_| Status::unavailable("sync: the control thread does not answer"))?;
        let parts = sync::answer(&items).into_iter().map(Ok);
        Ok(Response::new(Box::pin(tokio_stream::iter(parts))))
    }
}

/// Serves catch-ups until the listener fails; with `tls`, only to balancers of the installation.
///
/// # Errors
///
/// Fails with kind `io` when the listener fails.
pub async fn serve(
    listener: TcpListener,
    source: Arc<dyn SyncSource>,
    tls: Option<Arc<TlsContext>>,
) -> Result<()> {
    let service = SyncServer::new(Service(source))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let router = Server::builder()
        .timeout(CALL_TIMEOUT)
        .concurrency_limit_per_connection(CALLS_PER_CONNECTION)
        .add_service(service);
    let served = match tls {
        None => {
            router
                .serve_with_incoming(TcpIncoming::from(listener))
                .await
        }
        Some(tls) => {
            let incoming = secured::incoming(listener, tls);
            router.serve_with_incoming(incoming).await
        }
    };
    served.map_err(|error| Error::new(ErrorKind::Io, format!("sync: {error}")))
}

/// Asks a balancer for everything that it knows beyond some items; with `tls`, over a connection
/// on which both sides prove that they are balancers of the installation.
///
/// # Errors
///
/// Fails with kind `io` when the balancer does not answer, `timeout` when it takes too long,
/// `malformed` when an item cannot be decoded, and `limit_exceeded` when there are too many.
pub async fn pull(
    peer: SocketAddr,
    known: KnownItems,
    tls: Option<Arc<TlsContext>>,
) -> Result<SyncedItems> {
    time::timeout(CALL_TIMEOUT, pull_all(peer, known, tls))
        .await
        .map_err(|_| {
            Error::new(
                ErrorKind::Timeout,
                format!("sync: {peer} takes longer than {CALL_TIMEOUT:?}"),
            )
        })?
}

async fn pull_all(
    peer: SocketAddr,
    known: KnownItems,
    tls: Option<Arc<TlsContext>>,
) -> Result<SyncedItems> {
    let failed =
        |error: &dyn std::fmt::Display| Error::new(ErrorKind::Io, format!("sync: {peer}: {error}"));
    let endpoint =
        Endpoint::from_shared(format!("http://{peer}")).map_err(|error| failed(&error))?;
    let connected: std::result::Result<Channel, _> = match tls {
        None => endpoint.connect().await,
        Some(tls) => {
            let connector = secured::connector(peer, tls);
            endpoint.connect_with_connector(connector).await
        }
    };
    let channel = connected.map_err(|error| failed(&error))?;
    let mut client = SyncClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let mut answers = client
        .pull(sync::request(&known))
        .await
        .map_err(|error| failed(&error))?
        .into_inner();
    let mut items = SyncedItems::default();
    while let Some(part) = answers.next().await {
        sync::add_part(&mut items, &part.map_err(|error| failed(&error))?)?;
        if items.objects.len() + items.liveness_records.len() + items.hosts.len() > MAX_ITEMS {
            return Err(Error::new(
                ErrorKind::LimitExceeded,
                format!("sync: {peer} answers with more than {MAX_ITEMS} items"),
            ));
        }
    }
    Ok(items)
}
