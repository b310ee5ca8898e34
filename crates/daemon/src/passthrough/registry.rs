//! Discovery of balancers through their registrations in the store, and maintenance of these
//! registrations.

use {
    super::{node::Event, store_reader::ReadMode},
    cardamomloom_platform::{registry, store::ObjectStore},
    cardamomloom_protocol::passthrough::Registration,
    log::{info, warn},
    std::{net::Ipv4Addr, time::Duration},
    tokio::sync::{mpsc, watch},
};

/// Backoff after the first failed call. It doubles with every failure up to [`MAX_BACKOFF`],
/// because the store counts refused calls too.
const MIN_BACKOFF: Duration = Duration::from_millis(300);

const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Interval at which a store reader compares the registrations with the balancers that it has
/// contact with.
const AUDIT_INTERVAL: Duration = Duration::from_secs(45);

/// Audit interval of a balancer that is not a store reader, in units of [`AUDIT_INTERVAL`]. Such a
/// balancer only checks that its own registration exists, and every call to the store has a cost.
const NON_READER_AUDIT_INTERVALS: usize = 8;

/// Lists the registered balancers, retrying until a call succeeds, and sends them as an event.
pub async fn list_balancers(store: ObjectStore, events: mpsc::Sender<Event>) -> Vec<Registration> {
    let mut backoff = MIN_BACKOFF;
    loop {
        match registry::list(&store).await {
            Ok(registrations) => {
                info!(
                    event = "registry_read", balancers = registrations.len();
                    "read the registered balancers from the store"
                );
                // The receiver is dropped only when the process stops.
                let _ = events
                    .send(Event::RegisteredBalancers(registrations.clone()))
                    .await;
                return registrations;
            }
            Err(error) => {
                warn!(
                    event = "registry_unavailable";
                    "cannot list the registered balancers, retrying: {error}"
                );
            }
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Registers this balancer, and lists all registrations periodically: every [`AUDIT_INTERVAL`]
/// while `modes` says that it reads the store, and less often otherwise. A missing registration of
/// its own is written again.
pub async fn maintain_registration(
    store: ObjectStore,
    own_address: Ipv4Addr,
    modes: watch::Receiver<ReadMode>,
    events: mpsc::Sender<Event>,
) {
    let mut backoff = MIN_BACKOFF;
    let mut registrations = list_balancers(store.clone(), events.clone()).await;
    loop {
        let is_registered = registrations
            .iter()
            .any(|entry| entry.address == own_address);
        if !is_registered && let Err(error) = registry::register(&store, own_address).await {
            warn!(
                event = "registration_failed";
                "cannot register this balancer, retrying: {error}"
            );
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            continue;
        }
        for _ in 0..NON_READER_AUDIT_INTERVALS {
            tokio::time::sleep(AUDIT_INTERVAL).await;
            if matches!(*modes.borrow(), ReadMode::Watch { .. }) {
                break;
            }
        }
        registrations = list_balancers(store.clone(), events.clone()).await;
    }
}

/// Removes the registrations of balancers that no longer run.
pub async fn remove_registrations(store: ObjectStore, registrations: Vec<Registration>) {
    for registration in registrations {
        let address = registration.address;
        match registry::remove(&store, &registration).await {
            Ok(()) => {
                info!(
                    event = "registration_removed", address:%;
                    "removed the registration of a balancer that has been unresponsive for long"
                );
            }
            Err(error) => warn!(
                event = "registration_not_removed", address:%;
                "cannot remove the registration of an unresponsive balancer: {error}"
            ),
        }
    }
}
