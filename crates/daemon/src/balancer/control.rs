//! Control actor of a balancer: catalogue, membership and the routing table.

use {
    crate::{
        balancer::STORE_PREFIXES,
        control::{ControlSender, Event, StoreAnswer},
        freshness::{Confirmer, FreshnessGate, Lease},
        inspect::DaemonInspect,
        runtime::StoreUse,
    },
    arc_swap::ArcSwap,
    cardamomloom_coordination::membership::{
        BalancerIdentity, BalancerMembership, BalancerMembershipOptions, Confirmation, Sender,
    },
    cardamomloom_core::{Span, error::Error},
    cardamomloom_protocol::{store_api::Object, sync::SyncedItems},
    cardamomloom_state::{
        catalogue::{Applied, Catalogue},
        routing::RoutingTable,
    },
    cardamomloom_transport::{clock::MonotonicClock, sync, tls::TlsContext},
    log::{info, warn},
    serde_json::json,
    stakker::{CX, after},
    std::{
        collections::BTreeSet,
        sync::{Arc, mpsc::SyncSender},
        time::Duration,
    },
    tokio::{runtime::Handle, sync::watch},
};

const TICK: Duration = Duration::from_millis(50);

/// Time for which the packet loop may still forward when the control thread has ended: one call
/// to a store that does not answer, and the rest of the socket.
const DRAIN_LEASE: Span = Span::from_secs(4);

/// What the control actor works with.
pub struct ControlOptions {
    /// Who the balancer is.
    pub identity: BalancerIdentity,
    /// What the process asks of the store.
    pub store_use: watch::Sender<StoreUse>,
    /// Runs catch-ups over gRPC.
    pub runtime: Handle,
    /// Takes their outcome.
    pub events: SyncSender<Event>,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Sender of control messages.
    pub sender: ControlSender,
    /// Routing table of the packet loop.
    pub routing: Arc<ArcSwap<RoutingTable>>,
    /// Readiness and status.
    pub inspect: Arc<DaemonInspect>,
    /// Permission of the packet loop to forward.
    pub lease: Lease,
    /// Asks which versions are current.
    pub confirmer: Confirmer,
    /// Certificates and keys for catch-ups.
    pub tls: Option<Arc<TlsContext>>,
    /// Time from the stop request to the end of forwarding.
    pub linger: Span,
}

/// Control actor of a balancer.
pub struct BalancerControl {
    options: ControlOptions,
    catalogue: Catalogue,
    membership: BalancerMembership,
    gate: FreshnessGate,
    /// Prefixes that the store has listed since the start.
    listed: BTreeSet<&'static str>,
    is_informed: bool,
    is_syncing: bool,
    /// Whether the routing table lacks changes of the catalogue or of hosts.
    is_outdated: bool,
    stopping: bool,
}

impl BalancerControl {
    /// Creates the actor and starts its timer.
    pub fn init(cx: CX![], options: ControlOptions) -> Option<Self> {
        after!(TICK, [cx], on_tick());
        let identity = options.identity.clone();
        let seed = identity.node.0 ^ identity.incarnation.0;
        let mut membership =
            BalancerMembership::new(identity, BalancerMembershipOptions::default(), seed);
        membership.confirm_versions(options.clock.now());
        let gate = FreshnessGate::new(
            options.clock.now(),
            options.lease.clone(),
            options.confirmer.clone(),
        );
        Some(Self {
            gate,
            options,
            catalogue: Catalogue::default(),
            membership,
            listed: BTreeSet::new(),
            is_informed: false,
            is_syncing: false,
            is_outdated: false,
            stopping: false,
        })
    }

    /// Processes an event.
    pub fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.options.clock.now();
        self.gate.on_step(now);
        match event {
            Event::Objects(answer) => {
                self.on_store(&answer);
                self.gate.on_heard(now);
            }
            Event::Confirmed { asked } => {
                self.gate.on_confirmed(now, asked);
                self.update_ready();
            }
            Event::Datagram {
                from,
                sender,
                message,
            } => {
                self.gate.on_heard(now);
                self.membership
                    .on_message(now, from, Sender::from(sender), message);
                self.take_results();
            }
            Event::SyncRequest { known, reply } => {
                let (objects, marks, hosts) = self.membership.sync_answer(&known);
                // A peer that gave up meanwhile needs no answer.
                let _ = reply.send(SyncedItems {
                    objects,
                    liveness_records: marks,
                    hosts,
                });
            }
            Event::Synced(outcome) => self.on_synced(outcome),
            Event::Stop => self.stop(cx),
            Event::Flows { .. } | Event::ServerReport(_) => {}
        }
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        let now = self.options.clock.now();
        self.gate.on_step(now);
        self.membership.on_tick(now);
        self.take_results();
        self.rebuild_if_outdated();
        self.catch_up();
        self.choose_store_use();
        self.update_ready();
        self.publish_status();
    }

    fn on_store(&mut self, answer: &StoreAnswer) {
        if answer.is_complete {
            self.listed.insert(answer.prefix);
        }
        self.membership
            .on_store_list(answer.prefix, &answer.list, answer.is_complete);
        self.take_results();
        // A confirmation of the store may follow, which says that its objects are in force.
        self.rebuild_if_outdated();
        self.update_ready();
    }

    /// Copies what is newer at a peer over gRPC when comparing digests is not enough.
    fn catch_up(&mut self) {
        let peer = self.membership.sync_peer(self.options.clock.now());
        let Some(peer) = peer.filter(|_| !self.is_syncing) else {
            return;
        };
        self.is_syncing = true;
        let known = self.membership.replica().known_items();
        let (events, tls) = (self.options.events.clone(), self.options.tls.clone());
        self.options.runtime.spawn(async move {
            let outcome = sync::pull(peer, known, tls).await;
            // The control thread is gone only when the process stops.
            let _ = events.send(Event::Synced(outcome));
        });
    }

    fn on_synced(&mut self, outcome: Result<SyncedItems, Error>) {
        self.is_syncing = false;
        match outcome {
            Ok(items) => {
                info!(event = "synced", objects = items.objects.len(), hosts = items.hosts.len(); "caught up with a peer");
                let now = self.options.clock.now();
                self.membership
                    .on_sync(now, &items.objects, &items.liveness_records, &items.hosts);
                self.take_results();
                self.rebuild_if_outdated();
            }
            Err(error) => warn!(event = "sync_failed"; "{error}"),
        }
    }

    /// Takes over what the membership learned, and sends what it has to say.
    fn take_results(&mut self) {
        let objects = self.membership.take_changed_objects();
        self.on_objects(&objects);
        self.is_outdated |= self.membership.take_hosts_changed();
        for outgoing in self.membership.take_outgoing(self.options.clock.now()) {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
    }

    /// Lists the store once, and watches it while this balancer is a reader.
    fn choose_store_use(&self) {
        let is_listed = self.listed.len() == STORE_PREFIXES.len();
        let wanted = if self.membership.is_store_reader() && is_listed {
            StoreUse::Watch
        } else if self.is_informed {
            StoreUse::Idle
        } else {
            StoreUse::List
        };
        self.options.store_use.send_if_modified(|present| {
            // A list that was begun is completed by the watch without a second one.
            std::mem::replace(present, wanted) != wanted
        });
    }

    fn on_objects(&mut self, objects: &[Object]) {
        let mut changed = false;
        for object in objects {
            match self.catalogue.apply(object) {
                Ok(Applied::Changed) => {
                    info!(event = "object_applied", key = object.key, version:% = object.version; "object is in force");
                    changed = true;
                }
                Ok(Applied::Stale | Applied::OtherKind) => {}
                Err(error) => {
                    metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                    warn!(event = "object_invalid", key = object.key; "{error}");
                }
            }
        }
        metrics::gauge!("cardamomloom_objects_invalid")
            .set(self.catalogue.rejected().count() as f64);
        self.is_outdated |= changed;
    }

    /// Brings the routing table up to date. Changes that arrive in datagrams wait for the next
    /// tick: a rebuild takes more than 1 ms at the design size, so that one for each datagram
    /// could fill a core while many hosts change.
    fn rebuild_if_outdated(&mut self) {
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        let present = self.options.routing.load_full();
        match present.rebuild(&self.catalogue, &self.membership.reachable_hosts()) {
            Ok(next) => {
                if next.problems() != present.problems() {
                    for problem in next.problems() {
                        warn!(event = "claim_not_in_force"; "{problem}");
                    }
                    metrics::gauge!("cardamomloom_claims_not_in_force")
                        .set(next.problems().len() as f64);
                }
                self.options.routing.store(Arc::new(next));
            }
            Err(error) => warn!(event = "routing_rejected"; "{error}"),
        }
    }

    /// A balancer is informed when the store listed everything, or peers confirmed what it knows.
    fn update_ready(&mut self) {
        let is_listed = self.listed.len() == STORE_PREFIXES.len();
        let is_confirmed = self.membership.confirmation() == Confirmation::Confirmed;
        let knows_services = self.catalogue.services().next().is_some();
        self.is_informed |= is_listed || (is_confirmed && knows_services);
        self.options.inspect.set_ready(
            self.is_informed
                && self.membership.is_caught_up()
                && !self.stopping
                && self.gate.may_forward(),
        );
    }

    fn publish_status(&self) {
        let now = self.options.clock.now();
        if !self.options.inspect.status_is_due(now) {
            return;
        }
        let versions: Vec<_> = self
            .catalogue
            .versions()
            .map(|(key, version)| json!({"key": key, "version": version}))
            .collect();
        let hosts: Vec<_> = self.membership.hosts().iter().collect();
        self.options.inspect.set_status(json!({
            "role": "balancer",
            "node": self.options.identity.node.to_string(),
            "confirmation": format!("{:?}", self.membership.confirmation()),
            "reader": self.membership.is_store_reader(),
            "lost_domains": self.membership.hosts().lost_domains().collect::<Vec<_>>(),
            "unreachable": self.membership.unreachable_hosts().collect::<Vec<_>>(),
            "stopping": self.stopping,
            "standing": self.gate.standing(),
            "objects": versions,
            "objects_invalid": self.catalogue.rejected().collect::<Vec<_>>(),
            "problems": self.options.routing.load().problems(),
            "domains_out": self.catalogue.domains_out(),
            "hosts": hosts,
        }));
    }

    fn stop(&mut self, cx: CX![]) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.update_ready();
        info!(event = "stopping", linger:% = self.options.linger; "balancer stops after its linger time");
        after!(self.options.linger.to_duration(), [cx], finish());
    }

    fn finish(&mut self, cx: CX![]) {
        self.gate.release(self.options.clock.now() + DRAIN_LEASE);
        cx.stop();
    }
}
