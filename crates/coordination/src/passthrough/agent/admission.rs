//! Admission of new flows: the host accepts a flow, its SYN is queued, or its SYN is forwarded to
//! another host.

use {
    super::{
        Action, Agent, DropReason, GoalPosition, LocalFlow, Phase, QueuedSyn, SynClass,
        flow_order::Arrival, previous_hops,
    },
    crate::passthrough::load::MAX_HANDSHAKE,
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{
        FlowId, HostReportState, LeastLoaded, RelayHeader, RelayKind, RunId, Segment,
    },
};

/// Overload score of a host whose backend server fails requests. It is the highest score that a
/// relay header records, so that any other host is preferred.
pub(super) const FAILING_OVERLOAD_SCORE: u8 = u8::MAX - 1;

impl Agent {
    /// Appends the actions for the SYN of a flow, or queues it until the host has room.
    pub(super) fn on_syn(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.release_unused_openings(now);
        let flow = segment.flow_from_caller();
        // A balancer with a newer catalogue than this agent is trusted about routes.
        let knows_routes =
            self.catalogue.document().is_some() && self.catalogue.version() >= header.catalogue;
        // The caller retransmits the SYN of a flow that the host has accepted.
        let is_opening = self.flows.get(&flow).is_some_and(LocalFlow::is_opening);
        if knows_routes
            && !is_opening
            && !self
                .catalogue
                .is_routed_to(flow.service, &self.identity.service)
        {
            actions.push(Action::Drop(DropReason::NoRoute));
            return;
        }
        if self.flows.get(&flow).is_some_and(LocalFlow::is_active) {
            actions.push(Action::Deliver);
            return;
        }
        if knows_routes && self.catalogue.is_outdated(now) {
            actions.push(Action::Drop(DropReason::OutdatedCatalogue));
            return;
        }
        if !self.accepts_flows(now) {
            self.relay_to_next(now, header, &flow, actions);
            return;
        }
        if !self.is_within_cold_rate(now) {
            if let Some(relay) = self.relay_overloaded(now, header, &flow, None) {
                actions.push(relay);
            } else {
                self.queue_syn(now, flow, header, segment, packet);
            }
            return;
        }
        // A backend server that fails requests gets only the few flows that test whether it has
        // recovered, and those that no other host takes.
        let is_failing = !self.outcomes.admit_next(now);
        let may_relay = header.kind != RelayKind::Assign;
        if is_failing
            && may_relay
            && let Some(relay) =
                self.relay_overloaded(now, header, &flow, Some(FAILING_OVERLOAD_SCORE))
        {
            actions.push(relay);
            return;
        }
        let may_relay = may_relay && !is_failing;
        if let Some(new_flow) = self.new_flow(&flow, header, segment.acknowledgment) {
            let arrival = Arrival {
                header,
                segment,
                packet,
                may_relay,
            };
            self.order_flow(now, &new_flow, arrival, actions);
            return;
        }
        if let Some(overload_score) = self.queue_excess()
            && may_relay
            && let Some(relay) = self.relay_overloaded(now, header, &flow, Some(overload_score))
        {
            actions.push(relay);
            return;
        }
        if !self.has_waiting_capacity() {
            self.queue_syn(now, flow, header, segment, packet);
            return;
        }
        self.accept_flow(now, flow, header, packet);
        actions.push(Action::Deliver);
    }

    /// Accepts a new flow, for which the host must have capacity.
    pub(super) fn accept_flow(
        &mut self,
        now: Time,
        flow: FlowId,
        header: &RelayHeader,
        packet: &[u8],
    ) {
        if let Some(flows_per_s) = self.cold_flows_per_s(now) {
            self.cold_start_bucket.consume(now, flows_per_s);
        }
        let mut entry = LocalFlow::new(
            now,
            Phase::SynDelivered {
                packet: packet.into(),
                header: *header,
                is_relayed: false,
            },
        );
        entry.syn_delivered_at = Some(now);
        if self.options.load_control.rejects_late_flows {
            self.opening_deadlines
                .push_back((now + MAX_HANDSHAKE, flow));
        }
        entry.owner_notice_receivers = previous_hops(header);
        self.flows.insert(flow, entry);
        self.syn_deadlines
            .push_back((now + self.options.syn_timeout, flow));
        self.unanswered_since.get_or_insert(now);
    }

    /// Queues the SYN of a flow until the host has room, or until the limit of a cold host is known
    /// and allows the flow.
    pub(super) fn queue_syn(
        &mut self,
        now: Time,
        flow: FlowId,
        header: &RelayHeader,
        segment: &Segment,
        packet: &[u8],
    ) {
        let goal = self
            .new_flow(&flow, header, segment.acknowledgment)
            .map(|new_flow| self.goal_position(now, &new_flow, false));
        self.queue_syn_with_goal(now, flow, header, segment, packet, goal);
    }

    /// Queues the SYN of a flow at its position among those of routes with a latency goal.
    pub(super) fn queue_syn_with_goal(
        &mut self,
        now: Time,
        flow: FlowId,
        header: &RelayHeader,
        segment: &Segment,
        packet: &[u8],
        goal: Option<GoalPosition>,
    ) {
        let syn = QueuedSyn {
            flow,
            priority: self.catalogue.priority(flow.service),
            retransmissions: segment.acknowledgment,
            header: *header,
            packet: packet.into(),
        };
        self.syn_queue.push_with_goal(now, syn, goal);
    }

    /// Delivers queued SYNs to the backend server while it has capacity, and resets those that no host
    /// can answer any more. Besides the packets of the backend server, a new catalogue and the passing
    /// of time can give it capacity.
    pub fn deliver_queued_syns(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.release_unused_openings(now);
        while !self.syn_queue.is_empty()
            && self.accepts_flows(now)
            && self.is_within_cold_rate(now)
            && let Some((syn, class)) = self.syn_queue.pop_for(now, self.queue_room(now))
        {
            let is_active = self.flows.get(&syn.flow).is_some_and(LocalFlow::is_active);
            if !is_active {
                self.accept_flow(now, syn.flow, &syn.header, &syn.packet);
                self.count_demand(now, class == SynClass::Late);
            }
            actions.push(Action::DeliverBuffered(syn.packet));
        }
        self.reject_discarded(now, actions);
    }

    /// Returns whether one more caller may wait for the backend server.
    pub(super) fn has_waiting_capacity(&self) -> bool {
        self.flows.waiting() < self.max_waiting()
    }

    /// Returns the maximum number of callers that may wait for the backend server.
    pub(super) fn max_waiting(&self) -> usize {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        slots * self.options.max_waiting_per_slot
    }

    /// Returns whether the host accepts new flows at all: it is ready and not suspected, the agent
    /// is not stopping, the failure domain is in service, and the flows are below the limit of
    /// connections.
    pub(super) fn accepts_flows(&self, now: Time) -> bool {
        let Some(host) = &self.host else {
            return false;
        };
        let max_connections = self
            .catalogue
            .service(&self.identity.service)
            .map_or(u32::MAX, |service| service.max_connections);
        host.state == HostReportState::Ready
            && !self.control.is_stopping()
            && !self.is_suspected(now)
            && !self.catalogue.is_domain_out(now, &self.identity.domain)
            && self.flows.active() < max_connections as usize
    }

    /// Returns whether the host can serve one more new flow within its cold-start limit, if it has
    /// one.
    pub(super) fn is_within_cold_rate(&self, now: Time) -> bool {
        self.cold_flows_per_s(now)
            .is_none_or(|flows_per_s| self.cold_start_bucket.has_token(now, flows_per_s))
    }

    /// Returns the limit of new flows a second while the host is cold, or `None` without a limit.
    pub(super) fn cold_flows_per_s(&self, now: Time) -> Option<f64> {
        let is_cold = self.host.as_ref().is_some_and(|host| now < host.cold_until);
        if !is_cold {
            return None;
        }
        match self.catalogue.service(&self.identity.service) {
            Some(limits) => (limits.cold_flows_per_s > 0.0).then_some(limits.cold_flows_per_s),
            // An agent that has just started has no catalogue; it admits no flow until it knows the
            // limit.
            None => Some(0.0),
        }
    }

    /// Returns the number of callers that would wait beyond the slots of the host with one more
    /// flow, or `None` when a slot is free.
    pub(super) fn queue_excess(&self) -> Option<u8> {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        let excess = (self.flows.waiting() + 1).saturating_sub(slots);
        (excess > 0).then(|| u8::try_from(excess).unwrap_or(u8::MAX))
    }

    /// Returns whether more callers wait than the backend server has slots.
    pub(super) fn is_overloaded(&self) -> bool {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        self.flows.waiting() > slots
    }

    /// Returns the action that relays the SYN of a flow because the host is overloaded, or `None`
    /// when this host is to accept the flow. The SYN visits a few hosts in pseudorandom order, each
    /// of which knows its present load; when all of them are busy, the least loaded one accepts the
    /// flow. `overload_score` is `None` when this host cannot accept the flow at all; the result is
    /// then `None` when no other host is known that can.
    pub(super) fn relay_overloaded(
        &self,
        now: Time,
        header: &RelayHeader,
        flow: &FlowId,
        overload_score: Option<u8>,
    ) -> Option<Action> {
        let mut header = *header;
        let own_position = u8::try_from(header.visited().len()).unwrap_or(u8::MAX);
        if let Some(score) = overload_score
            && score < header.least_loaded.queue_excess
        {
            header.least_loaded = LeastLoaded {
                position: own_position,
                queue_excess: score,
            };
        }
        let has_least_loaded = header.least_loaded.queue_excess < u8::MAX;
        if (header.visited().len() < self.options.busy_host_probes || !has_least_loaded)
            && let Some((to, header)) = self.next_candidate(now, &header, flow)
        {
            return Some(Action::Relay { to, header });
        }
        if !has_least_loaded || header.least_loaded.position == own_position {
            return None;
        }
        let to = *header
            .visited()
            .get(usize::from(header.least_loaded.position))
            .filter(|to| **to != self.identity.address)?;
        let header =
            header.relayed_by(self.identity.address, RelayKind::Assign, RunId::default())?;
        Some(Action::Relay { to, header })
    }

    /// Forwards the SYN of a flow to the next candidate, or drops it when there is none.
    pub(super) fn relay_to_next(
        &self,
        now: Time,
        header: &RelayHeader,
        flow: &FlowId,
        actions: &mut Vec<Action>,
    ) {
        actions.push(match self.next_candidate(now, header, flow) {
            Some((to, header)) => Action::Relay { to, header },
            None => Action::Drop(DropReason::NoHost),
        });
    }

    /// Returns whether the backend server is suspected to have failed or restarted.
    pub(super) fn is_suspected(&self, now: Time) -> bool {
        let is_report_missing = self
            .host
            .as_ref()
            .is_some_and(|host| now.since(host.last_report) > self.options.report_timeout);
        self.awaits_report || self.is_unresponsive(now) || is_report_missing
    }

    /// Returns whether SYNs have been unanswered for longer than `suspect_after`, without any
    /// packet from the backend server.
    pub(super) fn is_unresponsive(&self, now: Time) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) > self.options.suspect_after)
    }
}
