//! Discovery of balancers through their registrations in the store, and maintenance of these
//! registrations.

use {
    super::{node::Event, store_reader::ReadMode},
    cardamomloom_coordination::passthrough::stagger,
    cardamomloom_core::Span,
    cardamomloom_platform::{registry, store::ObjectStore},
    cardamomloom_protocol::passthrough::{Registration, StoreEra},
    log::{info, warn},
    std::{net::Ipv4Addr, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::timeout,
    },
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

/// Mean time between two balancers that register again after a restore of the store.
const RENEWAL_SPACING: Span = Span::from_millis(50);

/// State of the process that its registration depends on.
pub struct RegistrationInputs {
    /// What the process reads from the store.
    pub modes: watch::Receiver<ReadMode>,
    /// Era of the store.
    pub eras: watch::Receiver<Option<StoreEra>>,
}

/// Lists the registered balancers, retrying until a call succeeds, and sends them as an event.
pub async fn list_balancers(store: ObjectStore, events: mpsc::Sender<Event>) -> Vec<Registration> {
    let mut backoff = MIN_BACKOFF;
    loop {
        if let Some(registrations) = list_once(&store, &events).await {
            return registrations;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Lists the registered balancers and sends them as an event. Returns `None` after logging the error
/// when the call fails.
pub async fn list_once(
    store: &ObjectStore,
    events: &mpsc::Sender<Event>,
) -> Option<Vec<Registration>> {
    let registrations = registry::list(store)
        .await
        .inspect_err(|error| {
            warn!(
                event = "registry_unavailable";
                "cannot list the registered balancers, retrying later: {error}"
            );
        })
        .ok()?;
    info!(
        event = "registry_read", balancers = registrations.len();
        "read the registered balancers from the store"
    );
    // The receiver is dropped only when the process stops.
    let _ = events
        .send(Event::RegisteredBalancers(registrations.clone()))
        .await;
    Some(registrations)
}

/// Registers this balancer, and lists all registrations periodically: every [`AUDIT_INTERVAL`]
/// while it reads the store, and less often otherwise. A missing registration of its own is written
/// again; after a restore of the store, which may have lost it, without a list.
pub async fn maintain_registration(
    store: ObjectStore,
    own_address: Ipv4Addr,
    mut inputs: RegistrationInputs,
    events: mpsc::Sender<Event>,
) {
    loop {
        // Read before the list, so that a restore after the list is noticed.
        let mut era = *inputs.eras.borrow_and_update();
        let registrations = list_balancers(store.clone(), events.clone()).await;
        let is_registered = registrations
            .iter()
            .any(|entry| entry.address == own_address);
        if !is_registered {
            register(&store, own_address).await;
        }
        for _ in 0..NON_READER_AUDIT_INTERVALS {
            while let Ok(present_era) = timeout(AUDIT_INTERVAL, next_era(&mut inputs.eras)).await {
                // An era that was unknown before does not show a restore.
                let is_restore = era.is_some() && present_era != era;
                era = present_era;
                if !is_restore {
                    continue;
                }
                info!(
                    event = "registration_renewed", era = present_era.map(|era| era.0);
                    "store was restored: registering this balancer again"
                );
                let spread = Span(RENEWAL_SPACING.0 * registrations.len() as u64);
                tokio::time::sleep(stagger(own_address, spread).to_duration()).await;
                register(&store, own_address).await;
            }
            if matches!(*inputs.modes.borrow(), ReadMode::Watch { .. }) {
                break;
            }
        }
    }
}

/// Waits until the era changes, and returns it if it is known.
async fn next_era(eras: &mut watch::Receiver<Option<StoreEra>>) -> Option<StoreEra> {
    match eras.changed().await {
        Ok(()) => *eras.borrow_and_update(),
        // The sender is dropped only when the process stops.
        Err(_) => std::future::pending().await,
    }
}

/// Registers this balancer, retrying until a call succeeds.
async fn register(store: &ObjectStore, own_address: Ipv4Addr) {
    let mut backoff = MIN_BACKOFF;
    while let Err(error) = registry::register(store, own_address).await {
        warn!(
            event = "registration_failed";
            "cannot register this balancer, retrying: {error}"
        );
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
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
