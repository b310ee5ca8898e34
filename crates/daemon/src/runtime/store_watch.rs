//! Watches a prefix of the store and passes every answer to the control thread.

use {
    crate::control::Event,
    cardamomloom_core::ObjectVersion,
    cardamomloom_transport::store::StoreClient,
    log::{info, warn},
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// Wait after a failed call; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Lists a prefix, then watches it; ends when the control thread is gone.
///
/// The first answer is a complete list. After a failure the watch continues after the last
/// version, so that no change is missed.
pub async fn watch_store(store: StoreClient, prefix: &'static str, events: SyncSender<Event>) {
    let mut after: Option<ObjectVersion> = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let answer = match after {
            None => store.list(prefix).await,
            Some(version) => store.watch(prefix, version).await,
        };
        match answer {
            Ok(list) => {
                if backoff > MIN_BACKOFF {
                    info!(event = "store_available", prefix; "the store answers again");
                }
                backoff = MIN_BACKOFF;
                after = after.max(Some(list.version));
                if events.send(Event::Objects(list)).is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!(event = "store_unavailable", prefix; "{error}");
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}
