//! Freshness of a process: a lease for packet loops, and questions to the store.

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

/// Time until which a packet loop may forward, shared without a lock.
///
/// It runs out by itself, so a packet loop that resumes from a pause before the control thread
/// forwards nothing.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    /// Returns the time until which packets may be forwarded.
    ///
    /// To be read before the configuration: the control thread extends a lease only after it has
    /// published what the confirmation brought.
    #[must_use]
    pub fn until(&self) -> Time {
        Time(self.0.load(Ordering::Acquire))
    }

    /// Returns a lease that never runs out, for measurements of the packet loop alone.
    #[must_use]
    pub fn unlimited() -> Self {
        Self(Arc::new(AtomicU64::new(u64::MAX)))
    }

    fn set(&self, until: Option<Time>) {
        self.0.store(until.unwrap_or_default().0, Ordering::Release);
    }
}

/// Asks the store for all services and failure domains.
#[derive(Clone)]
pub struct Confirmer {
    store: StoreClient,
    handle: Handle,
    events: SyncSender<Event>,
}

impl Confirmer {
    /// Creates a confirmer that passes answers to the control thread.
    #[must_use]
    pub const fn new(store: StoreClient, handle: Handle, events: SyncSender<Event>) -> Self {
        Self {
            store,
            handle,
            events,
        }
    }

    fn ask(&self, question: VersionQuery) {
        let (store, events) = (self.store.clone(), self.events.clone());
        self.handle.spawn(async move {
            for prefix in [SERVICES_PREFIX, DOMAINS_PREFIX] {
                let sent = match store.list(prefix).await {
                    Ok(list) => {
                        let answer = StoreAnswer {
                            prefix,
                            list,
                            is_complete: true,
                        };
                        events.send(Event::Objects(answer)).is_ok()
                    }
                    Err(error) => {
                        debug!(event = "confirm_failed", prefix; "{error}");
                        false
                    }
                };
                if !sent {
                    return;
                }
            }
            // The control thread is gone only when the process ends.
            let _ = events.send(Event::Confirmed {
                asked: question.sent_at,
            });
        });
    }
}

/// Freshness as a control actor uses it.
pub struct FreshnessGate {
    freshness: Freshness,
    lease: Lease,
    confirmer: Confirmer,
}

impl FreshnessGate {
    /// Creates the gate of a process that starts now.
    #[must_use]
    pub fn new(now: Time, lease: Lease, confirmer: Confirmer) -> Self {
        Self {
            freshness: Freshness::new(now, FreshnessOptions::default()),
            lease,
            confirmer,
        }
    }

    /// Notes that the process runs, before anything else of a wake-up is processed.
    pub fn on_step(&mut self, now: Time) {
        let before = self.freshness.state();
        if let Some(question) = self.freshness.on_tick(now) {
            self.confirmer.ask(question);
        }
        self.publish(before);
    }

    /// Notes that another process or the store was heard.
    pub fn on_heard(&mut self, now: Time) {
        let before = self.freshness.state();
        self.freshness.on_contact(now);
        self.publish(before);
    }

    /// Notes that everything that was current at `asked` is in force.
    pub fn on_confirmed(&mut self, now: Time, asked: Time) {
        let before = self.freshness.state();
        self.freshness.on_confirmed(now, asked);
        self.publish(before);
    }

    /// Returns the standing for operators.
    #[must_use]
    pub const fn standing(&self) -> FreshnessState {
        self.freshness.state()
    }

    /// Tells whether packet loops may forward at present.
    #[must_use]
    pub fn may_forward(&self) -> bool {
        self.freshness.state() != FreshnessState::Confirming
    }

    /// Lets packet loops that may forward now do so until a time, used by a process that stops and
    /// takes no more steps.
    pub fn release(&self, until: Time) {
        if self.may_forward() {
            self.lease.set(Some(until));
        }
    }

    fn publish(&self, before: FreshnessState) {
        self.lease.set(self.freshness.forward_until());
        let standing = self.freshness.state();
        if standing == before {
            return;
        }
        metrics::gauge!("cardamomloom_isolated")
            .set(f64::from(u8::from(standing == FreshnessState::Isolated)));
        match standing {
            FreshnessState::Fresh => {
                info!(event = "configuration_confirmed"; "versions are confirmed");
            }
            FreshnessState::Confirming => {
                warn!(event = "configuration_stale"; "nothing is forwarded until versions are confirmed");
            }
            FreshnessState::Isolated => {
                warn!(event = "isolated"; "no confirmation; the last known configuration is served");
            }
        }
    }
}
