//! Finds balancers through the store, and keeps the entry of this process and of others right.

use {
    super::{node::Event, store_reader::ReadMode},
    cardamomloom_platform::{registry, store::ObjectStore},
    cardamomloom_protocol::passthrough::Registration,
    log::{info, warn},
    std::{net::Ipv4Addr, time::Duration},
    tokio::sync::{mpsc, watch},
};

/// Pause after a first failed call; it doubles up to [`MAX_RETRY_PAUSE`], because refused calls
/// count too.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause between failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// Interval at which a balancer compares the entries with the balancers that it hears.
const AUDIT_INTERVAL: Duration = Duration::from_secs(45);

/// Audits of a balancer that reads the store for each one of a balancer that does not. The latter
/// only finds out whether its own entry is there; every call to the store has a price.
const AUDITS_OF_READERS: usize = 8;

/// Reads the registered balancers once, until that succeeds.
pub async fn discover(store: ObjectStore, events: mpsc::Sender<Event>) -> Vec<Registration> {
    let mut pause = RETRY_PAUSE;
    loop {
        match registry::list(&store).await {
            Ok(registrations) => {
                info!(event = "registry_read", balancers = registrations.len(); "registered balancers");
                // The actor is gone only when the process stops.
                let _ = events.send(Event::Registry(registrations.clone())).await;
                return registrations;
            }
            Err(error) => warn!(event = "registry_unavailable"; "{error}"),
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Registers a balancer, and compares the entries with the balancers that it hears from time to
/// time, more often while `modes` says that it reads the store.
pub async fn keep(
    store: ObjectStore,
    own: Ipv4Addr,
    modes: watch::Receiver<ReadMode>,
    events: mpsc::Sender<Event>,
) {
    let mut pause = RETRY_PAUSE;
    let mut registrations = discover(store.clone(), events.clone()).await;
    loop {
        let is_registered = registrations.iter().any(|entry| entry.address == own);
        if !is_registered && let Err(error) = registry::register(&store, own).await {
            warn!(event = "registration_failed"; "{error}");
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
            continue;
        }
        for _ in 0..AUDITS_OF_READERS {
            tokio::time::sleep(AUDIT_INTERVAL).await;
            if *modes.borrow() == ReadMode::Watch {
                break;
            }
        }
        registrations = discover(store.clone(), events.clone()).await;
    }
}

/// Removes entries of balancers that no longer exist.
pub async fn remove(store: ObjectStore, registrations: Vec<Registration>) {
    for registration in registrations {
        let address = registration.address;
        match registry::remove(&store, &registration).await {
            Ok(()) => {
                info!(event = "registration_removed", address:%; "balancer was silent for long");
            }
            Err(error) => warn!(event = "registration_not_removed", address:%; "{error}"),
        }
    }
}
