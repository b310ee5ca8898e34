//! Tasks that read the store while a process needs it.

use {
    super::node::Event,
    cardamomloom_core::{DomainName, error::Error},
    cardamomloom_platform::{
        catalogue,
        store::{
            CONFIGURATION_KIND, CONFIGURATION_NAME, Change, EVACUATION_KIND, Listing, ObjectStore,
            StoredObject, WatchOutcome,
        },
    },
    cardamomloom_protocol::passthrough::{DomainStatus, StoreRevision},
    log::{info, warn},
    std::{collections::BTreeSet, time::Duration},
    tokio::sync::{mpsc, watch},
};

/// Result of a step of a reader.
type Result<T> = std::result::Result<T, Error>;

/// Time for which a watch waits for a change. Each answer confirms what is known; two readers that
/// fail are replaced before a change of the configuration must be in force.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Pause after a first failed call; it doubles up to [`MAX_RETRY_PAUSE`], because refused calls
/// count too.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between failed calls; a change must be in force 3 s after the store is back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_200);

/// What a process reads from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// Nothing.
    Idle,
    /// All changes.
    Watch,
}

/// One kind of objects, as the reader keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Catalogue,
    Standing,
}

impl Subject {
    const fn kind(self) -> &'static str {
        match self {
            Self::Catalogue => CONFIGURATION_KIND,
            Self::Standing => EVACUATION_KIND,
        }
    }
}

/// Reads one kind of objects.
pub struct StoreReader {
    store: ObjectStore,
    subject: Subject,
    modes: watch::Receiver<ReadMode>,
    events: mpsc::Sender<Event>,
    confirmations: watch::Sender<bool>,
    domains_out: BTreeSet<DomainName>,
    is_available: bool,
    retry_pause: Duration,
}

impl StoreReader {
    /// Starts the tasks. They read while the mode is not [`ReadMode::Idle`].
    pub fn start(
        store: &ObjectStore,
        modes: &watch::Receiver<ReadMode>,
        events: &mpsc::Sender<Event>,
    ) {
        let (catalogue_read, catalogue_reads) = watch::channel(false);
        let (standing_read, standing_reads) = watch::channel(false);
        for (subject, confirmations) in [
            (Subject::Catalogue, catalogue_read),
            (Subject::Standing, standing_read),
        ] {
            let reader = Self {
                store: store.clone(),
                subject,
                modes: modes.clone(),
                events: events.clone(),
                confirmations,
                domains_out: BTreeSet::new(),
                is_available: true,
                retry_pause: RETRY_PAUSE,
            };
            tokio::spawn(reader.run());
        }
        tokio::spawn(confirm(catalogue_reads, standing_reads, events.clone()));
    }

    async fn run(mut self) {
        loop {
            let mut modes = self.modes.clone();
            if modes
                .wait_for(|mode| *mode != ReadMode::Idle)
                .await
                .is_err()
            {
                return;
            }
            tokio::select! {
                () = self.read() => {}
                changed = modes.wait_for(|mode| *mode == ReadMode::Idle) => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Reads until a call fails.
    async fn read(&mut self) {
        if let Err(error) = self.list_and_watch().await {
            if std::mem::replace(&mut self.is_available, false) {
                warn!(event = "store_lost", kind = self.subject.kind(); "{error}");
            }
            metrics::counter!("cardamomloom_store_failures_total").increment(1);
            tokio::time::sleep(self.retry_pause).await;
            self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    async fn list_and_watch(&mut self) -> Result<()> {
        let kind = self.subject.kind();
        let Listing { objects, revision } = self.store.list(kind).await?;
        if !std::mem::replace(&mut self.is_available, true) {
            info!(event = "store_regained", kind, revision:%; "store answers again");
        }
        self.retry_pause = RETRY_PAUSE;
        self.domains_out.clear();
        for object in &objects {
            self.apply(object, false).await;
        }
        self.publish(revision).await;
        let mut revision = revision;
        loop {
            let answer = self.store.watch(kind, revision, WATCH_WAIT).await?;
            let WatchOutcome::Changes(changes, next) = answer else {
                info!(event = "store_history_gone", kind, revision:%; "objects are listed again");
                return Ok(());
            };
            for Change { object, deleted } in &changes {
                self.apply(object, *deleted).await;
            }
            revision = next;
            self.publish(revision).await;
        }
    }

    async fn apply(&mut self, object: &StoredObject, is_deleted: bool) {
        match self.subject {
            Subject::Catalogue if &*object.meta.name == CONFIGURATION_NAME && !is_deleted => {
                match catalogue::decode(&object.spec) {
                    Ok(document) => self.send(Event::Catalogue(document)).await,
                    Err(error) => {
                        metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                        warn!(event = "object_invalid", kind = self.subject.kind(), revision = object.meta.rev; "{error}");
                    }
                }
            }
            Subject::Catalogue => {}
            Subject::Standing => match catalogue::decode_evacuation(&object.meta.name) {
                Ok(domain) if is_deleted || object.meta.deleting => {
                    self.domains_out.remove(&domain);
                }
                Ok(domain) => {
                    self.domains_out.insert(domain);
                }
                Err(error) => {
                    metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                    warn!(event = "object_invalid", kind = self.subject.kind(), revision = object.meta.rev; "{error}");
                }
            },
        }
    }

    async fn publish(&self, revision: StoreRevision) {
        if self.subject == Subject::Standing {
            let domains_out = self.domains_out.clone();
            self.send(Event::Standing(DomainStatus {
                revision,
                domains_out,
            }))
            .await;
        }
        self.confirmations.send_replace(true);
    }

    async fn send(&self, event: Event) {
        // The actor is gone only when the process stops.
        let _ = self.events.send(event).await;
    }
}

/// Reports a confirmation each time that both kinds were read.
async fn confirm(
    mut catalogue_reads: watch::Receiver<bool>,
    mut standing_reads: watch::Receiver<bool>,
    events: mpsc::Sender<Event>,
) {
    loop {
        let both = async {
            catalogue_reads.changed().await?;
            standing_reads.changed().await
        };
        if both.await.is_err() || events.send(Event::StoreConfirmed).await.is_err() {
            return;
        }
    }
}
