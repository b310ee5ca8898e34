//! Tasks that list and watch the catalogue and the evacuated failure domains in the store while the
//! process is a store reader.

use {
    super::node::Event,
    cardamomloom_core::{
        DomainName,
        error::{Error, ErrorKind},
    },
    cardamomloom_platform::{
        catalogue,
        store::{
            CONFIGURATION_KIND, CONFIGURATION_NAME, Change, EVACUATION_KIND, Freshness, Listing,
            ObjectStore, StoredObject, WatchOutcome,
        },
    },
    cardamomloom_protocol::passthrough::{DomainStatus, StoreEra, StorePosition},
    log::{info, warn},
    std::{collections::BTreeSet, time::Duration},
    tokio::sync::{mpsc, watch},
};

/// Result of reading from the store.
type Result<T> = std::result::Result<T, Error>;

/// Long-poll timeout of a watch. Each answer confirms the known state. With this value, two failing
/// readers are replaced before a configuration change must be in effect.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff after the first failed call. It doubles with every failure up to the limit of the mode,
/// because the store counts refused calls too.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Share of the longest backoff that the first backoff is at least, as a divisor.
const BACKOFF_STEPS: u32 = 6;

/// Longest backoff of a process that reads the state once.
const MAX_BOOTSTRAP_BACKOFF: Duration = Duration::from_millis(1_200);

/// Whether a process reads from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// The process does not call the store.
    Idle,
    /// The process lists all objects once, as they were at most a few seconds ago.
    Bootstrap,
    /// The process lists all objects and then watches for changes.
    Watch {
        /// Longest backoff after failed calls.
        max_backoff: Duration,
    },
}

/// Kind of the stored objects that one reader reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ObjectKind {
    Catalogue,
    Evacuations,
}

impl ObjectKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Catalogue => CONFIGURATION_KIND,
            Self::Evacuations => EVACUATION_KIND,
        }
    }
}

/// Reads the objects of one kind.
pub struct StoreReader {
    store: ObjectStore,
    kind: ObjectKind,
    modes: watch::Receiver<ReadMode>,
    events: mpsc::Sender<Event>,
    /// Notified after every successful list or watch, once its objects are sent as events.
    completed_reads: watch::Sender<bool>,
    domains_out: BTreeSet<DomainName>,
    /// Last known era of the store.
    era: Option<StoreEra>,
    is_available: bool,
    backoff: Duration,
}

impl StoreReader {
    /// Starts one reader task per kind of objects and the task that reports confirmations. The
    /// readers call the store while the mode is not [`ReadMode::Idle`].
    pub fn start(
        store: &ObjectStore,
        modes: &watch::Receiver<ReadMode>,
        events: &mpsc::Sender<Event>,
    ) {
        let (catalogue_sender, catalogue_reads) = watch::channel(false);
        let (evacuation_sender, evacuation_reads) = watch::channel(false);
        for (kind, completed_reads) in [
            (ObjectKind::Catalogue, catalogue_sender),
            (ObjectKind::Evacuations, evacuation_sender),
        ] {
            let reader = Self {
                store: store.clone(),
                kind,
                modes: modes.clone(),
                events: events.clone(),
                completed_reads,
                domains_out: BTreeSet::new(),
                era: None,
                is_available: true,
                backoff: MIN_BACKOFF,
            };
            tokio::spawn(reader.run());
        }
        tokio::spawn(report_confirmations(
            catalogue_reads,
            evacuation_reads,
            events.clone(),
        ));
    }

    async fn run(mut self) {
        loop {
            let mut modes = self.modes.clone();
            let Ok(mode) = modes
                .wait_for(|mode| *mode != ReadMode::Idle)
                .await
                .map(|mode| *mode)
            else {
                return;
            };
            tokio::select! {
                () = self.read(mode) => {}
                changed = modes.wait_for(|current| *current != mode) => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Reads until a call fails or the objects must be listed again, and waits for the backoff
    /// after a failure.
    async fn read(&mut self, mode: ReadMode) {
        let (outcome, max_backoff) = match mode {
            ReadMode::Idle => return,
            ReadMode::Bootstrap => (self.bootstrap().await, MAX_BOOTSTRAP_BACKOFF),
            ReadMode::Watch { max_backoff } => (self.list_and_watch().await, max_backoff),
        };
        if let Err(error) = outcome {
            if std::mem::replace(&mut self.is_available, false) {
                warn!(
                    event = "store_lost", kind = self.kind.name();
                    "call to the store failed, retrying: {error}"
                );
            }
            metrics::counter!("cardamomloom_store_failures_total").increment(1);
            self.backoff = self.backoff.max(max_backoff / BACKOFF_STEPS);
            tokio::time::sleep(self.backoff.min(max_backoff)).await;
            self.backoff = (self.backoff * 2).min(max_backoff);
        }
    }

    /// Lists all objects once, and then waits until the mode changes.
    async fn bootstrap(&mut self) -> Result<()> {
        let kind = self.kind.name();
        let Listing { objects, position } = self.store.list(kind, Freshness::MayLag).await?;
        if self.kind == ObjectKind::Catalogue && objects.is_empty() {
            return Err(Error::new(
                ErrorKind::NotFound,
                "store: the catalogue does not exist yet",
            ));
        }
        self.domains_out.clear();
        for object in &objects {
            self.apply(object, false).await;
        }
        self.send_domain_status(position).await;
        self.backoff = MIN_BACKOFF;
        std::future::pending().await
    }

    async fn list_and_watch(&mut self) -> Result<()> {
        let kind = self.kind.name();
        let Listing { objects, position } = self.store.list(kind, Freshness::Latest).await?;
        if !std::mem::replace(&mut self.is_available, true) {
            info!(event = "store_regained", kind, revision:% = position.revision; "store is available again");
        }
        self.observe_era(position);
        self.backoff = MIN_BACKOFF;
        self.domains_out.clear();
        for object in &objects {
            self.apply(object, false).await;
        }
        self.publish(position).await;
        let mut position = position;
        loop {
            let answer = self.store.watch(kind, position, WATCH_TIMEOUT).await?;
            let WatchOutcome::Changes(changes, next_position) = answer else {
                info!(
                    event = "store_history_gone", kind, revision:% = position.revision;
                    "store does not have the changes after this position; listing all objects again"
                );
                return Ok(());
            };
            for Change { object, deleted } in &changes {
                self.apply(object, *deleted).await;
            }
            position = next_position;
            self.publish(position).await;
        }
    }

    async fn apply(&mut self, object: &StoredObject, is_deleted: bool) {
        match self.kind {
            ObjectKind::Catalogue if &*object.meta.name == CONFIGURATION_NAME && !is_deleted => {
                match catalogue::decode(&object.spec) {
                    Ok(document) => self.send(Event::Catalogue(document)).await,
                    Err(error) => {
                        metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                        warn!(
                            event = "object_invalid", kind = self.kind.name(),
                            revision = object.meta.rev;
                            "invalid catalogue ignored, the last valid one stays in effect: {error}"
                        );
                    }
                }
            }
            ObjectKind::Catalogue => {}
            ObjectKind::Evacuations => match catalogue::decode_evacuation(&object.meta.name) {
                Ok(domain) if is_deleted || object.meta.deleting => {
                    self.domains_out.remove(&domain);
                }
                Ok(domain) => {
                    self.domains_out.insert(domain);
                }
                Err(error) => {
                    metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                    warn!(
                        event = "object_invalid", kind = self.kind.name(),
                        revision = object.meta.rev;
                        "invalid evacuation ignored: {error}"
                    );
                }
            },
        }
    }

    /// Logs that the store has been restored since the last answer, if its era is another one.
    fn observe_era(&mut self, position: StorePosition) {
        let previous = std::mem::replace(&mut self.era, position.era);
        if previous == position.era {
            return;
        }
        if let Some(era) = position.era {
            metrics::gauge!("cardamomloom_store_era").set(era.0 as f64);
        }
        info!(
            event = "store_era", kind = self.kind.name(), previous = previous.map(|era| era.0),
            era = position.era.map(|era| era.0), revision:% = position.revision;
            "store has another era: this is the first answer, or the store was restored from a copy"
        );
    }

    /// Reports that the state at `position` has been read completely.
    async fn publish(&self, position: StorePosition) {
        self.send_domain_status(position).await;
        self.completed_reads.send_replace(true);
    }

    async fn send_domain_status(&self, position: StorePosition) {
        if self.kind == ObjectKind::Evacuations {
            let domains_out = self.domains_out.clone();
            self.send(Event::DomainStatus(DomainStatus {
                era: position.era,
                revision: position.revision,
                domains_out,
            }))
            .await;
        }
    }

    async fn send(&self, event: Event) {
        // The receiver is dropped only when the process stops.
        let _ = self.events.send(event).await;
    }
}

/// Sends [`Event::StoreConfirmed`] each time that both kinds of objects have been read.
async fn report_confirmations(
    mut catalogue_reads: watch::Receiver<bool>,
    mut evacuation_reads: watch::Receiver<bool>,
    events: mpsc::Sender<Event>,
) {
    loop {
        let both_reads = async {
            catalogue_reads.changed().await?;
            evacuation_reads.changed().await
        };
        if both_reads.await.is_err() || events.send(Event::StoreConfirmed).await.is_err() {
            return;
        }
    }
}
