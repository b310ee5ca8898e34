//! Fetches snapshots of peers: the catalogue, the failure domains and the hosts that they know.

use {
    super::{Result, node::Event},
    cardamomloom_core::error::io,
    log::warn,
    std::{
        error::Error,
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Longest silence of a peer, before its response and between the parts of it.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest transfer of a snapshot whose bytes keep coming. A snapshot holds the catalogue, which may be
/// as large as an object of the store.
const MAX_SNAPSHOT_TRANSFER: Duration = Duration::from_secs(17);

/// Fetches snapshots over HTTP, from one peer at a time.
#[derive(Debug)]
pub struct SnapshotFetcher {
    client: reqwest::Client,
    port: u16,
    events: mpsc::Sender<Event>,
    is_busy: bool,
}

impl SnapshotFetcher {
    /// Creates a fetcher for peers that serve snapshots at `port`.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the HTTP client cannot be created.
    pub fn new(port: u16, events: mpsc::Sender<Event>) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .connect_timeout(SNAPSHOT_TIMEOUT)
            .read_timeout(SNAPSHOT_TIMEOUT)
            .timeout(MAX_SNAPSHOT_TRANSFER)
            .build()
            .map_err(|error| io(format!("snapshot: cannot create the HTTP client: {error}")))?;
        Ok(Self {
            client,
            port,
            events,
            is_busy: false,
        })
    }

    /// Records that the current fetch has ended, so that another one may start.
    pub const fn finish(&mut self) {
        self.is_busy = false;
    }

    /// Starts to fetch from the peer that `select_peer` returns. While a fetch is in progress,
    /// `select_peer` is not called.
    pub fn start(&mut self, select_peer: impl FnOnce() -> Option<Ipv4Addr>) {
        if self.is_busy {
            return;
        }
        let Some(peer) = select_peer() else { return };
        self.is_busy = true;
        let request = self
            .client
            .get(format!("http://{peer}:{}/snapshot", self.port));
        let events = self.events.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let mut body = Vec::new();
            let answer = receive(request, &mut body).await;
            let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            let snapshot = match answer {
                Ok(()) => serde_json::from_slice(&body)
                    .map_err(|error| {
                        warn!(
                            event = "snapshot_malformed", peer:%;
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
            };
            // The receiver is dropped only when the process stops.
            let _ = events.send(Event::SnapshotFetched(snapshot)).await;
        });
    }
}

/// Sends a request and appends its response to `body`, also the part that arrives before a failure.
async fn receive(request: reqwest::RequestBuilder, body: &mut Vec<u8>) -> reqwest::Result<()> {
    let mut response = request.send().await?.error_for_status()?;
    while let Some(part) = response.chunk().await? {
        body.extend_from_slice(&part);
    }
    Ok(())
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
