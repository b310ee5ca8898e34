//! Lists and watches prefixes of the store while the control thread asks for it, and passes every
//! answer to it.

use {
    crate::control::{Event, StoreAnswer},
    cardamomloom_core::ObjectVersion,
    cardamomloom_transport::store::StoreClient,
    log::{info, warn},
    std::{sync::mpsc::SyncSender, time::Duration},
    tokio::{sync::watch, time},
};

/// Wait after a failed call; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// What a process asks of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreReadMode {
    /// Nothing: peers tell what changes.
    #[default]
    Idle,
    /// One complete list.
    List,
    /// A complete list, then every change.
    Watch,
}

/// Uses a prefix of the store as `uses` says; ends when the control thread is gone.
///
/// The first answer is a complete list. After a failure a watch continues after the last version,
/// so that no change is missed. A store that answers with a lower version than before is listed
/// again.
pub async fn read_store(
    store: StoreClient,
    prefix: &'static str,
    mut uses: watch::Receiver<StoreReadMode>,
    events: SyncSender<Event>,
) {
    let mut after: Option<ObjectVersion> = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let present = *uses.borrow_and_update();
        if present == StoreReadMode::Idle || (present == StoreReadMode::List && after.is_some()) {
            if uses.changed().await.is_err() {
                return;
            }
            after = None;
            continue;
        }
        let call = async {
            match after {
                None => store.list(prefix).await,
                Some(version) => store.watch(prefix, version).await,
            }
        };
        let answer = tokio::select! {
            answer = call => answer,
            changed = uses.changed() => {
                if changed.is_err() {
                    return;
                }
                continue;
            }
        };
        match answer {
            Ok(list) => {
                if backoff > MIN_BACKOFF {
                    info!(event = "store_available", prefix; "the store answers again");
                }
                backoff = MIN_BACKOFF;
                let is_complete = after.is_none();
                let went_back = after.is_some_and(|after| list.version < after);
                after = (!went_back).then_some(list.version);
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
                warn!(event = "store_unavailable", prefix; "{error}");
                time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}
