//! Lists and watches a prefix of the store on behalf of the control thread.

use {
    crate::control::{Event, StoreAnswer},
    cardamomloom_core::ObjectVersion,
    cardamomloom_transport::store::StoreClient,
    log::{info, warn},
    std::{sync::mpsc::SyncSender, time::Duration},
    tokio::{sync::watch, time},
};

/// Backoff after the first failed call. It doubles with every failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// What a process reads from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreReadMode {
    /// Reads nothing; peers send the changes.
    #[default]
    Idle,
    /// Reads one complete list.
    List,
    /// Reads a complete list, and then every change.
    Watch,
}

/// Reads a prefix of the store in the current mode, and sends every answer as an event. Returns
/// when the control thread has ended.
///
/// The first answer is a complete list. After a failure, a watch continues after the last version,
/// so that no change is missed. When the store answers with a lower version than before, the prefix
/// is listed again.
pub async fn read_store(
    store: StoreClient,
    prefix: &'static str,
    mut modes: watch::Receiver<StoreReadMode>,
    events: SyncSender<Event>,
) {
    let mut last_version: Option<ObjectVersion> = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let mode = *modes.borrow_and_update();
        let is_listed = last_version.is_some();
        if mode == StoreReadMode::Idle || (mode == StoreReadMode::List && is_listed) {
            if modes.changed().await.is_err() {
                return;
            }
            last_version = None;
            continue;
        }
        let call = async {
            match last_version {
                None => store.list(prefix).await,
                Some(version) => store.watch(prefix, version).await,
            }
        };
        let answer = tokio::select! {
            answer = call => answer,
            changed = modes.changed() => {
                if changed.is_err() {
                    return;
                }
                continue;
            }
        };
        match answer {
            Ok(list) => {
                if backoff > MIN_BACKOFF {
                    info!(event = "store_available", prefix; "store is available again");
                }
                backoff = MIN_BACKOFF;
                let is_complete = !is_listed;
                let is_older = last_version.is_some_and(|last| list.version < last);
                last_version = (!is_older).then_some(list.version);
                let answer = StoreAnswer {
                    prefix,
                    list,
                    is_complete,
                };
                if events.send(Event::Objects(answer)).is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!(
                    event = "store_unavailable", prefix;
                    "call to the store failed, retrying: {error}"
                );
                time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}
