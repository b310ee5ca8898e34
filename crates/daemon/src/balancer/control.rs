//! Control actor of a balancer: catalogue, membership and the routing table.

use {
    crate::{
        control::{ControlSender, Event},
        freshness::{Confirmer, FreshnessGate, Lease},
        inspect::DaemonInspect,
    },
    arc_swap::ArcSwap,
    cardamomloom_coordination::membership::{
        BalancerMembership, BalancerMembershipOptions, Outgoing,
    },
    cardamomloom_core::{NodeId, Span},
    cardamomloom_protocol::store_api::ObjectList,
    cardamomloom_state::{
        catalogue::{Applied, Catalogue},
        routing::RoutingTable,
    },
    cardamomloom_transport::clock::MonotonicClock,
    log::{info, warn},
    serde_json::json,
    stakker::{CX, after},
    std::{sync::Arc, time::Duration},
};

const TICK: Duration = Duration::from_millis(100);

/// Time for which the packet loop may still forward when the control thread has ended: one call
/// to a store that does not answer, and the rest of the socket.
const DRAIN_LEASE: Span = Span::from_secs(4);

/// What the control actor works with.
pub struct ControlOptions {
    /// Identity of the balancer.
    pub node: NodeId,
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
    /// Time from the stop request to the end of forwarding.
    pub linger: Span,
}

/// Control actor of a balancer.
pub struct BalancerControl {
    options: ControlOptions,
    catalogue: Catalogue,
    membership: BalancerMembership,
    gate: FreshnessGate,
    services_listed: bool,
    stopping: bool,
}

impl BalancerControl {
    /// Creates the actor and starts its timer.
    pub fn init(cx: CX![], options: ControlOptions) -> Option<Self> {
        after!(TICK, [cx], on_tick());
        let membership =
            BalancerMembership::new(options.node, BalancerMembershipOptions::default());
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
            services_listed: false,
            stopping: false,
        })
    }

    /// Processes an event.
    pub fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.options.clock.now();
        self.gate.on_step(now);
        match event {
            Event::Objects(list) => {
                self.on_objects(&list);
                self.gate.on_heard(now);
            }
            Event::Confirmed { asked } => {
                self.gate.on_confirmed(now, asked);
                self.update_ready();
            }
            Event::Datagram { from, message, .. } => {
                self.gate.on_heard(now);
                let routing = self.options.routing.load_full();
                let answers = self.membership.on_message(now, from, message, |entry| {
                    routing.service(entry.service).map(|table| table.version())
                });
                self.send(&answers);
                self.rebuild_if_changed();
            }
            Event::Stop => self.stop(cx),
            Event::Flows { .. } | Event::ServerReport(_) => {}
        }
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        let now = self.options.clock.now();
        self.gate.on_step(now);
        self.membership.on_tick(now);
        self.rebuild_if_changed();
        self.update_ready();
        self.publish_status();
    }

    fn on_objects(&mut self, list: &ObjectList) {
        let mut changed = false;
        for object in &list.objects {
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
        self.services_listed = true;
        metrics::gauge!("cardamomloom_objects_invalid")
            .set(self.catalogue.rejected().count() as f64);
        if changed {
            self.rebuild();
        }
        self.update_ready();
    }

    fn rebuild_if_changed(&mut self) {
        if self.membership.take_changed() {
            self.rebuild();
        }
    }

    fn rebuild(&mut self) {
        let present = self.options.routing.load_full();
        match present.rebuild(&self.catalogue, self.membership.hosts()) {
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

    fn update_ready(&self) {
        self.options
            .inspect
            .set_ready(self.services_listed && !self.stopping && self.gate.may_forward());
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
            "node": self.options.node.to_string(),
            "stopping": self.stopping,
            "standing": self.gate.standing(),
            "objects": versions,
            "objects_invalid": self.catalogue.rejected().collect::<Vec<_>>(),
            "problems": self.options.routing.load().problems(),
            "domains_out": self.catalogue.domains_out(),
            "hosts": hosts,
        }));
    }

    fn send(&self, messages: &[Outgoing]) {
        for outgoing in messages {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
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
