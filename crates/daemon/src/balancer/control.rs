//! Control actor of a balancer: applies catalogue and membership changes to the routing table.

use {
    crate::{
        balancer::STORE_PREFIXES,
        control::{ControlSender, Event, StoreAnswer},
        freshness::{Confirmer, FreshnessGate, Lease},
        inspect::DaemonInspect,
        runtime::StoreReadMode,
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

/// Interval between ticks of the actor, which runs its periodic work then.
const TICK: Duration = Duration::from_millis(50);

/// Time for which the packet loop may still forward after the control thread has ended. It covers
/// the timeout of one call to an unavailable store, and draining of the packet socket.
const DRAIN_LEASE: Span = Span::from_secs(4);

/// Identity, clients and shared state for [`BalancerControl`].
pub struct ControlOptions {
    /// Identity, addresses and seeds of the balancer.
    pub identity: BalancerIdentity,
    /// Controls what the process reads from the store.
    pub store_read_mode: watch::Sender<StoreReadMode>,
    /// Runs synchronizations over gRPC.
    pub runtime: Handle,
    /// Receives the results of synchronizations.
    pub events: SyncSender<Event>,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Sender of control messages.
    pub sender: ControlSender,
    /// Routing table that the packet loop reads.
    pub routing: Arc<ArcSwap<RoutingTable>>,
    /// Readiness and status.
    pub inspect: Arc<DaemonInspect>,
    /// Time until which the packet loop may forward.
    pub lease: Lease,
    /// Queries the store for the current versions.
    pub confirmer: Confirmer,
    /// Certificates and keys for synchronizations.
    pub tls: Option<Arc<TlsContext>>,
    /// Time from the stop request to the end of forwarding.
    pub linger: Span,
}

/// Actor on the control thread of a balancer.
pub struct BalancerControl {
    options: ControlOptions,
    catalogue: Catalogue,
    membership: BalancerMembership,
    gate: FreshnessGate,
    /// Prefixes that the store has listed completely since the start.
    listed_prefixes: BTreeSet<&'static str>,
    is_initialized: bool,
    is_syncing: bool,
    /// Whether the catalogue or the hosts have changed since the routing table was built.
    needs_rebuild: bool,
    is_stopping: bool,
}

impl BalancerControl {
    /// Creates the actor, requests confirmation of its versions from peers and starts its timer.
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
            listed_prefixes: BTreeSet::new(),
            is_initialized: false,
            is_syncing: false,
            needs_rebuild: false,
            is_stopping: false,
        })
    }

    /// Processes an event.
    pub fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.options.clock.now();
        self.gate.on_tick(now);
        match event {
            Event::Objects(answer) => {
                self.on_store_answer(&answer);
                self.gate.on_contact(now);
            }
            Event::Confirmed { queried_at } => {
                self.gate.on_confirmed(now, queried_at);
                self.update_readiness();
            }
            Event::Datagram {
                from,
                sender,
                message,
            } => {
                self.gate.on_contact(now);
                self.membership
                    .on_message(now, from, Sender::from(sender), message);
                self.process_membership_output();
            }
            Event::SyncRequest { known, reply } => {
                let (objects, liveness_records, hosts) = self.membership.sync_answer(&known);
                // Sending fails when the peer has disconnected.
                let _ = reply.send(SyncedItems {
                    objects,
                    liveness_records,
                    hosts,
                });
            }
            Event::Synced(outcome) => self.on_synced(outcome),
            Event::Stop => self.stop(cx),
            Event::PacketLoopStatus { .. } | Event::ServerReport(_) => {}
        }
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        let now = self.options.clock.now();
        self.gate.on_tick(now);
        self.membership.on_tick(now);
        self.process_membership_output();
        self.rebuild_if_needed();
        self.start_sync();
        self.update_store_read_mode();
        self.update_readiness();
        self.publish_status();
    }

    fn on_store_answer(&mut self, answer: &StoreAnswer) {
        if answer.is_complete {
            self.listed_prefixes.insert(answer.prefix);
        }
        self.membership
            .on_store_list(answer.prefix, &answer.list, answer.is_complete);
        self.process_membership_output();
        // Rebuilt now, because `Event::Confirmed` may follow and means that the objects of this
        // answer are in effect.
        self.rebuild_if_needed();
        self.update_readiness();
    }

    /// Starts to pull newer items from a peer over gRPC when the exchange of digests has not
    /// removed the differences. At most one synchronization runs at a time.
    fn start_sync(&mut self) {
        let peer = self.membership.sync_peer(self.options.clock.now());
        let Some(peer) = peer.filter(|_| !self.is_syncing) else {
            return;
        };
        self.is_syncing = true;
        let known = self.membership.replica().known_items();
        let (events, tls) = (self.options.events.clone(), self.options.tls.clone());
        self.options.runtime.spawn(async move {
            let result = sync::pull(peer, known, tls).await;
            // The receiver is dropped only when the process stops.
            let _ = events.send(Event::Synced(result));
        });
    }

    fn on_synced(&mut self, result: Result<SyncedItems, Error>) {
        self.is_syncing = false;
        match result {
            Ok(items) => {
                info!(
                    event = "synced", objects = items.objects.len(), hosts = items.hosts.len();
                    "pulled newer objects and host entries from a peer"
                );
                let now = self.options.clock.now();
                self.membership
                    .on_sync(now, &items.objects, &items.liveness_records, &items.hosts);
                self.process_membership_output();
                self.rebuild_if_needed();
            }
            Err(error) => {
                warn!(event = "sync_failed"; "cannot pull newer items from a peer: {error}");
            }
        }
    }

    /// Applies the changes that the membership protocol has learned, and sends its messages.
    fn process_membership_output(&mut self) {
        let objects = self.membership.take_changed_objects();
        self.apply_objects(&objects);
        self.needs_rebuild |= self.membership.take_hosts_changed();
        for outgoing in self.membership.take_outgoing(self.options.clock.now()) {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
    }

    /// Lists the store once at the start, and watches it while this balancer is a store reader.
    fn update_store_read_mode(&self) {
        let is_listed = self.listed_prefixes.len() == STORE_PREFIXES.len();
        let wanted = if self.membership.is_store_reader() && is_listed {
            StoreReadMode::Watch
        } else if self.is_initialized {
            StoreReadMode::Idle
        } else {
            StoreReadMode::List
        };
        self.options.store_read_mode.send_if_modified(|current| {
            // The readers are notified only of a different mode.
            std::mem::replace(current, wanted) != wanted
        });
    }

    fn apply_objects(&mut self, objects: &[Object]) {
        let mut is_changed = false;
        for object in objects {
            match self.catalogue.apply(object) {
                Ok(Applied::Changed) => {
                    info!(
                        event = "object_applied", key = object.key, version:% = object.version;
                        "object applied to the catalogue"
                    );
                    is_changed = true;
                }
                Ok(Applied::Stale | Applied::OtherKind) => {}
                Err(error) => {
                    metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                    warn!(
                        event = "object_invalid", key = object.key;
                        "invalid object ignored: {error}"
                    );
                }
            }
        }
        metrics::gauge!("cardamomloom_objects_invalid")
            .set(self.catalogue.rejected().count() as f64);
        self.needs_rebuild |= is_changed;
    }

    /// Rebuilds the routing table after changes of the catalogue or of the hosts.
    ///
    /// Changes that arrive in datagrams are batched until the next tick: a rebuild takes more than
    /// 1 ms at the design size, so a rebuild for each datagram could saturate a core while many
    /// hosts change.
    fn rebuild_if_needed(&mut self) {
        if !std::mem::take(&mut self.needs_rebuild) {
            return;
        }
        let current = self.options.routing.load_full();
        match current.rebuild(&self.catalogue, &self.membership.reachable_hosts()) {
            Ok(next) => {
                if next.problems() != current.problems() {
                    for problem in next.problems() {
                        warn!(
                            event = "claim_not_in_force";
                            "part of the catalogue is not in effect: {problem}"
                        );
                    }
                    metrics::gauge!("cardamomloom_claims_not_in_force")
                        .set(next.problems().len() as f64);
                }
                self.options.routing.store(Arc::new(next));
            }
            Err(error) => warn!(
                event = "routing_rejected";
                "cannot rebuild the routing table, the present one stays in use: {error}"
            ),
        }
    }

    /// Updates readiness. A balancer is initialized once the store has listed all prefixes, or
    /// peers have confirmed its versions and it knows a service.
    fn update_readiness(&mut self) {
        let is_listed = self.listed_prefixes.len() == STORE_PREFIXES.len();
        let is_confirmed = self.membership.confirmation() == Confirmation::Confirmed;
        let knows_services = self.catalogue.services().next().is_some();
        self.is_initialized |= is_listed || (is_confirmed && knows_services);
        self.options.inspect.set_ready(
            self.is_initialized
                && self.membership.is_caught_up()
                && !self.is_stopping
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
            "stopping": self.is_stopping,
            "standing": self.gate.state(),
            "objects": versions,
            "objects_invalid": self.catalogue.rejected().collect::<Vec<_>>(),
            "problems": self.options.routing.load().problems(),
            "domains_out": self.catalogue.domains_out(),
            "hosts": hosts,
        }));
    }

    fn stop(&mut self, cx: CX![]) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.update_readiness();
        info!(
            event = "stopping", linger:% = self.options.linger;
            "stop requested: the balancer forwards until its linger time has passed"
        );
        after!(self.options.linger.to_duration(), [cx], finish());
    }

    fn finish(&mut self, cx: CX![]) {
        self.gate
            .extend_final_lease(self.options.clock.now() + DRAIN_LEASE);
        cx.stop();
    }
}
