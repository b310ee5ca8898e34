//! Requests to peers: copies of the catalogue, and snapshots of what else a process that starts needs.

use {
    super::{Result, node::Event},
    cardamomloom_coordination::passthrough::{CopyOutcome, CopyRequest, balancer::SnapshotContent},
    cardamomloom_core::error::io,
    cardamomloom_protocol::passthrough::{CopyFormat, CopyRefusal, Snapshot},
    log::{info, warn},
    reqwest::{RequestBuilder, StatusCode},
    std::{
        error::Error,
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Longest silence of a peer, before its response and between the parts of it.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest transfer whose bytes keep coming. A catalogue may be as large as an object of the store.
const MAX_TRANSFER: Duration = Duration::from_secs(17);

/// Sends requests to peers over HTTP.
#[derive(Debug)]
pub struct PeerClient {
    client: reqwest::Client,
    own_address: Ipv4Addr,
    port: u16,
    events: mpsc::Sender<Event>,
    is_fetching_snapshot: bool,
}

impl PeerClient {
    /// Creates the client of the process at `own_address` for peers that listen at `port`.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the HTTP client cannot be created.
    pub fn new(own_address: Ipv4Addr, port: u16, events: mpsc::Sender<Event>) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .connect_timeout(PEER_TIMEOUT)
            .read_timeout(PEER_TIMEOUT)
            .timeout(MAX_TRANSFER)
            .build()
            .map_err(|error| io(format!("peers: cannot create the HTTP client: {error}")))?;
        Ok(Self {
            client,
            own_address,
            port,
            events,
            is_fetching_snapshot: false,
        })
    }

    /// Records that the current fetch of a snapshot has ended, so that another one may start.
    pub const fn finish_snapshot(&mut self) {
        self.is_fetching_snapshot = false;
    }

    /// Starts to fetch the snapshot of the peer that `select_peer` returns. While a fetch is in
    /// progress, `select_peer` is not called.
    pub fn fetch_snapshot(
        &mut self,
        content: SnapshotContent,
        select_peer: impl FnOnce() -> Option<Ipv4Addr>,
    ) {
        if self.is_fetching_snapshot {
            return;
        }
        let Some(peer) = select_peer() else { return };
        self.is_fetching_snapshot = true;
        let request = self.get(
            peer,
            match content {
                SnapshotContent::Whole => "snapshot",
                SnapshotContent::WithoutCatalogue => "snapshot?content=without_catalogue",
                SnapshotContent::Membership => "snapshot?content=membership",
            },
        );
        let events = self.events.clone();
        tokio::spawn(async move {
            let snapshot = fetch_snapshot(request, peer).await;
            // The receiver is dropped only when the process stops.
            let _ = events.send(Event::SnapshotFetched(snapshot)).await;
        });
    }

    /// Starts a request for a copy of the catalogue. A peer of a release without copies is asked for its
    /// snapshot, which contains the catalogue.
    pub fn request_copy(&self, request: CopyRequest) {
        let CopyRequest { peer, base } = request;
        let path = format!(
            "catalogue?base={base}&receiver={}&format={}",
            self.own_address,
            CopyFormat::default()
        );
        let copy = self.get(peer, &path);
        let snapshot = self.get(peer, "snapshot");
        let events = self.events.clone();
        tokio::spawn(async move {
            let outcome = if let Some(outcome) = fetch_copy(copy, request).await {
                outcome
            } else {
                let snapshot = fetch_snapshot(snapshot, peer).await;
                // The receiver is dropped only when the process stops.
                let _ = events.send(Event::SnapshotFetched(snapshot)).await;
                CopyOutcome::Failed
            };
            let _ = events.send(Event::CopyFetched(peer, outcome)).await;
        });
    }

    fn get(&self, peer: Ipv4Addr, path: &str) -> RequestBuilder {
        self.client
            .get(format!("http://{peer}:{}/{path}", self.port))
    }
}

/// Returns `None` if the peer has no endpoint for copies.
async fn fetch_copy(
    request: RequestBuilder,
    CopyRequest { peer, base }: CopyRequest,
) -> Option<CopyOutcome> {
    let started = Instant::now();
    let mut body = Vec::new();
    let status = receive(request, &mut body).await;
    let elapsed_ms = as_millis(started.elapsed());
    let outcome = match status {
        Ok(StatusCode::OK) => {
            info!(
                event = "catalogue_copied", peer:%, base:%, bytes = body.len(), elapsed_ms;
                "copy of the catalogue received from a peer"
            );
            CopyOutcome::Copy(body)
        }
        Ok(StatusCode::NOT_FOUND) => return None,
        Ok(status) => match serde_json::from_slice::<CopyRefusal>(&body) {
            Ok(refusal) => CopyOutcome::Refused(refusal),
            Err(error) => {
                warn!(
                    event = "catalogue_copy_failed", peer:%, base:%, status = status.as_u16(), elapsed_ms;
                    "peer answers neither with a copy of the catalogue nor with a refusal: {error}"
                );
                CopyOutcome::Failed
            }
        },
        Err(error) => {
            let error = error.without_url();
            warn!(
                event = "catalogue_copy_failed", peer:%, base:%, received_bytes = body.len(), elapsed_ms,
                is_timeout = error.is_timeout();
                "cannot copy the catalogue of a peer: {}", with_sources(&error)
            );
            CopyOutcome::Failed
        }
    };
    let label = match outcome {
        CopyOutcome::Copy(_) => "copied",
        CopyOutcome::Refused(_) => "refused",
        CopyOutcome::Failed => "failed",
    };
    metrics::counter!("cardamomloom_catalogue_requests_total", "outcome" => label).increment(1);
    Some(outcome)
}

async fn fetch_snapshot(request: RequestBuilder, peer: Ipv4Addr) -> Option<Box<Snapshot>> {
    let started = Instant::now();
    let mut body = Vec::new();
    let answer = receive(request, &mut body).await;
    let elapsed_ms = as_millis(started.elapsed());
    match answer {
        Ok(status) => serde_json::from_slice(&body)
            .map_err(|error| {
                warn!(
                    event = "snapshot_malformed", peer:%, status = status.as_u16();
                    "snapshot of a peer ignored: {error}"
                );
            })
            .ok(),
        Err(error) => {
            let error = error.without_url();
            metrics::counter!("cardamomloom_snapshot_failures_total").increment(1);
            warn!(
                event = "snapshot_failed", peer:%, received_bytes = body.len(), elapsed_ms,
                is_timeout = error.is_timeout();
                "cannot fetch the snapshot of a peer: {}", with_sources(&error)
            );
            None
        }
    }
}

/// Sends a request and appends its response to `body`, also the part that arrives before a failure.
async fn receive(request: RequestBuilder, body: &mut Vec<u8>) -> reqwest::Result<StatusCode> {
    let mut response = request.send().await?;
    while let Some(part) = response.chunk().await? {
        body.extend_from_slice(&part);
    }
    Ok(response.status())
}

/// Returns the texts of an error and of its sources. The outermost one is the same for a timeout, a reset
/// and a connection that was closed early.
fn with_sources(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
