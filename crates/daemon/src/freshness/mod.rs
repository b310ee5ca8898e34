//! Freshness of the configuration: the lease under which packet loops forward, and the queries to
//! the store that confirm the configuration.

use {
    crate::control::{Event, StoreAnswer},
    cardamomloom_coordination::freshness::{
        Freshness, FreshnessOptions, FreshnessState, VersionQuery,
    },
    cardamomloom_core::Time,
    cardamomloom_protocol::object::{DOMAINS_PREFIX, SERVICES_PREFIX},
    cardamomloom_transport::store::StoreClient,
    log::{debug, info, warn},
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::SyncSender,
    },
    tokio::runtime::Handle,
};

/// Time until which packet loops may forward, shared between threads without a lock.
///
/// A lease expires without action of the control thread. After a pause of the process, a packet
/// loop that resumes before the control thread therefore forwards nothing.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    /// Returns the time until which packets may be forwarded.
    ///
    /// A packet loop must read it before the configuration: the control thread publishes a
    /// confirmed configuration first and then extends the lease.
    #[must_use]
    pub fn until(&self) -> Time {
        Time(self.0.load(Ordering::Acquire))
    }

    /// Returns a lease that never expires, for benchmarks and tests of a packet loop without a
    /// control thread.
    #[must_use]
    pub fn unlimited() -> Self {
        Self(Arc::new(AtomicU64::new(u64::MAX)))
    }

    fn set(&self, until: Option<Time>) {
        self.0.store(until.unwrap_or_default().0, Ordering::Release);
    }
}

/// Confirms the configuration: lists all services and failure domains in the store and passes them
/// to the control thread.
#[derive(Clone)]
pub struct Confirmer {
    store: StoreClient,
    handle: Handle,
    events: SyncSender<Event>,
}

impl Confirmer {
    /// Creates a confirmer that sends the answers of the store to `events`.
    #[must_use]
    pub const fn new(store: StoreClient, handle: Handle, events: SyncSender<Event>) -> Self {
        Self {
            store,
            handle,
            events,
        }
    }

    fn request_confirmation(&self, query: VersionQuery) {
        let (store, events) = (self.store.clone(), self.events.clone());
        self.handle.spawn(async move {
            for prefix in [SERVICES_PREFIX, DOMAINS_PREFIX] {
                let is_sent = match store.list(prefix).await {
                    Ok(list) => {
                        let answer = StoreAnswer {
                            prefix,
                            list,
                            is_complete: true,
                        };
                        events.send(Event::Objects(answer)).is_ok()
                    }
                    Err(error) => {
                        debug!(
                            event = "confirm_failed", prefix;
                            "cannot list objects to confirm the configuration: {error}"
                        );
                        false
                    }
                };
                if !is_sent {
                    return;
                }
            }
            // The receiver is dropped only when the process stops.
            let _ = events.send(Event::Confirmed {
                queried_at: query.sent_at,
            });
        });
    }
}

/// Freshness state of a control actor. Every call updates the lease of the packet loops.
pub struct FreshnessGate {
    freshness: Freshness,
    lease: Lease,
    confirmer: Confirmer,
}

impl FreshnessGate {
    /// Creates the gate of a process that starts at `now` and may not forward yet.
    #[must_use]
    pub fn new(now: Time, lease: Lease, confirmer: Confirmer) -> Self {
        Self {
            freshness: Freshness::new(now, FreshnessOptions::default()),
            lease,
            confirmer,
        }
    }

    /// Renews the lease, or detects that the process was paused, and sends a query to the store if
    /// one is due. A control actor must call it first in every wake-up, so that a pause is detected
    /// before it acts on anything.
    pub fn on_tick(&mut self, now: Time) {
        let previous = self.freshness.state();
        if let Some(query) = self.freshness.on_tick(now) {
            self.confirmer.request_confirmation(query);
        }
        self.update_lease(previous);
    }

    /// Records contact with another process or with the store.
    pub fn on_contact(&mut self, now: Time) {
        let previous = self.freshness.state();
        self.freshness.on_contact(now);
        self.update_lease(previous);
    }

    /// Records that all objects that were current at `queried_at` are in effect.
    pub fn on_confirmed(&mut self, now: Time, queried_at: Time) {
        let previous = self.freshness.state();
        self.freshness.on_confirmed(now, queried_at);
        self.update_lease(previous);
    }

    /// Returns the freshness state for the status document.
    #[must_use]
    pub const fn state(&self) -> FreshnessState {
        self.freshness.state()
    }

    /// Returns whether packet loops may forward.
    #[must_use]
    pub fn may_forward(&self) -> bool {
        self.freshness.state() != FreshnessState::Confirming
    }

    /// Extends the lease to `until` if packet loops may forward now. A stopping process calls it
    /// when its control actor ends and no longer renews the lease.
    pub fn extend_final_lease(&self, until: Time) {
        if self.may_forward() {
            self.lease.set(Some(until));
        }
    }

    /// Updates the lease, and the metric and the log after a change of state.
    fn update_lease(&self, previous: FreshnessState) {
        self.lease.set(self.freshness.forward_until());
        let current = self.freshness.state();
        if current == previous {
            return;
        }
        metrics::gauge!("cardamomloom_isolated")
            .set(f64::from(u8::from(current == FreshnessState::Isolated)));
        match current {
            FreshnessState::Fresh => {
                info!(
                    event = "configuration_confirmed";
                    "object versions confirmed; forwarding packets"
                );
            }
            FreshnessState::Confirming => {
                warn!(
                    event = "configuration_stale";
                    "configuration may be outdated; no packet is forwarded until its versions are confirmed"
                );
            }
            FreshnessState::Isolated => {
                warn!(
                    event = "isolated";
                    "object versions not confirmed in time; forwarding with the last known configuration"
                );
            }
        }
    }
}
