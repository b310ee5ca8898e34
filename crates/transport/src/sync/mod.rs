//! Server and client of the bulk synchronization between balancers over gRPC.
//!
//! A balancer pulls the objects, liveness records and host entries that it lacks from another
//! balancer when gossip alone has not removed the differences for some time, as after a start.

mod mutual_tls;

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

/// Result of a synchronization.
pub type Result<T> = std::result::Result<T, Error>;

/// Limit of a whole synchronization, applied by the client and by the server.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 4;

/// Maximum number of items that a client accepts in one response; fits hosts and objects at their
/// limits.
const MAX_ITEMS: usize = 40_000;

/// Kind, identity and rank of the items that the requesting balancer has.
pub type KnownItems = Vec<(ItemKind, u64, u64)>;

/// Source of the items that the server returns.
pub trait SyncSource: Send + std::marker::Sync + 'static {
    /// Requests the items that a balancer with the items `known` lacks, to be sent to `reply`.
    /// Dropping `reply` fails the call.
    fn request_missing_items(&self, known: KnownItems, reply: oneshot::Sender<SyncedItems>);
}

struct Service(Arc<dyn SyncSource>);

type AnswerStream = Pin<Box<dyn Stream<Item = std::result::Result<PullAnswer, Status>> + Send>>;

#[tonic::async_trait]
impl SyncService for Service {
    type PullStream = AnswerStream;

    async fn pull(
        &self,
        request: Request<PullRequest>,
    ) -> std::result::Result<Response<AnswerStream>, Status> {
        let (reply, answer) = oneshot::channel();
        self.0
            .request_missing_items(sync::known_items(request.get_ref()), reply);
        let items = time::timeout(CALL_TIMEOUT, answer)
            .await
            .map_err(|_| {
                Status::deadline_exceeded("sync: the control thread did not reply in time")
            })?
            .map_err(|_| Status::unavailable("sync: the control thread dropped the request"))?;
        let parts = sync::answer(&items).into_iter().map(Ok);
        Ok(Response::new(Box::pin(tokio_stream::iter(parts))))
    }
}

/// Serves synchronizations until the listener fails; with `tls`, only to peers that authenticate as
/// balancers of the installation.
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
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .add_service(service);
    let served = match tls {
        None => {
            router
                .serve_with_incoming(TcpIncoming::from(listener))
                .await
        }
        Some(tls) => {
            let incoming = mutual_tls::incoming(listener, tls);
            router.serve_with_incoming(incoming).await
        }
    };
    served.map_err(|error| {
        Error::new(
            ErrorKind::Io,
            format!("sync: the gRPC server failed: {error}"),
        )
    })
}

/// Requests from a balancer the items that it has beyond `known`; with `tls`, over a connection on
/// which both sides authenticate as balancers of the installation.
///
/// # Errors
///
/// Fails with kind `io` when the connection or the call fails, `timeout` when it takes longer than
/// 5 s, `malformed` when an item cannot be decoded, and `limit_exceeded` when the response has more
/// than 40,000 items.
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
                format!("sync: no complete response from {peer} within {CALL_TIMEOUT:?}"),
            )
        })?
}

async fn pull_all(
    peer: SocketAddr,
    known: KnownItems,
    tls: Option<Arc<TlsContext>>,
) -> Result<SyncedItems> {
    let failed = |operation: &str, error: &dyn std::fmt::Display| {
        Error::new(
            ErrorKind::Io,
            format!("sync: cannot {operation} {peer}: {error}"),
        )
    };
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|error| failed("use the address", &error))?;
    let connected: std::result::Result<Channel, _> = match tls {
        None => endpoint.connect().await,
        Some(tls) => {
            let connector = mutual_tls::connector(peer, tls);
            endpoint.connect_with_connector(connector).await
        }
    };
    let channel = connected.map_err(|error| failed("connect to", &error))?;
    let mut client = SyncClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let mut answers = client
        .pull(sync::request(&known))
        .await
        .map_err(|error| failed("pull from", &error))?
        .into_inner();
    let mut items = SyncedItems::default();
    while let Some(part) = answers.next().await {
        sync::add_part(
            &mut items,
            &part.map_err(|error| failed("read the response of", &error))?,
        )?;
        if items.objects.len() + items.liveness_records.len() + items.hosts.len() > MAX_ITEMS {
            return Err(Error::new(
                ErrorKind::LimitExceeded,
                format!("sync: the response of {peer} has more than {MAX_ITEMS} items"),
            ));
        }
    }
    Ok(items)
}
