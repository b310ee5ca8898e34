//! Packets of open flows: delivery to the backend server if it holds the flow, otherwise an owner
//! lookup among the other agents.

use {
    super::{
        Action, Agent, DropReason, LocalFlow, Outcome, Phase, close_if_finished,
        lookup::LookupQuery,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentSetDigest, FlowAbsence, FlowId, RelayHeader, RelayKind, RunId, Segment,
    },
    log::debug,
    std::{collections::BTreeSet, net::Ipv4Addr},
};

impl Agent {
    /// Processes a packet of a caller other than a SYN.
    pub(super) fn on_segment(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let is_local = self.flows.get(&flow).is_some_and(|entry| {
            !segment.flags.is_ack || entry.matches_acknowledgment(segment.acknowledgment)
        });
        if is_local {
            self.flows.update(&flow, |entry| {
                entry.touch(now);
                entry.has_caller_fin |= segment.flags.is_fin;
                let waited = now.since(entry.waiting_since);
                let is_abandoned = segment.flags.is_fin || segment.flags.is_rst;
                if is_abandoned && entry.is_waiting && waited >= self.options.abandoned_after {
                    entry.is_waiting = false;
                    self.outcomes.record(now, Outcome::Failed);
                }
                if segment.payload_bytes > 0 {
                    let syn_delivered_at = entry.syn_delivered_at.take();
                    if let Some(at) = syn_delivered_at {
                        self.handshakes.record(now.since(at));
                    }
                    let is_further_request = !std::mem::replace(&mut entry.is_waiting, true);
                    if is_further_request {
                        entry.waiting_since = now;
                        self.slot_demand.on_request(now);
                    }
                    if syn_delivered_at.is_some() || is_further_request {
                        self.work_times.on_request(now, flow);
                    }
                }
                if segment.flags.is_ack {
                    entry.caller_acknowledgment = Some(segment.acknowledgment);
                }
                close_if_finished(entry, segment);
                if matches!(entry.phase, Phase::Closed) {
                    self.work_times.remove(now, &flow);
                }
            });
            actions.push(Action::Deliver);
            let receivers = previous_hops(header).into_iter();
            actions.extend(receivers.map(|to| Action::AnnounceOwner { to, flow }));
            return;
        }
        self.look_up_owner(now, header, segment, actions);
    }

    /// Relays a packet of an unknown flow to the cached owner, or to all other known agents of the
    /// service. Also delivers it to the backend server if that may hold the flow. Only the agent
    /// that got the packet from a balancer relays it.
    fn look_up_owner(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = &segment.flow_from_caller();
        let previous_len = actions.len();
        let own_address = self.identity.address;
        let searcher = header.visited().last().copied().unwrap_or(own_address);
        let phase = Phase::Probing {
            acknowledgment: segment.acknowledgment,
            searcher,
        };
        if self.may_hold_unknown_flows(now) && self.flows.get(flow).is_none() {
            let mut entry = LocalFlow::new(now, phase);
            entry.owner_notice_receivers = previous_hops(header);
            self.flows.insert(*flow, entry);
            actions.push(Action::Deliver);
        } else if self
            .flows
            .get(flow)
            .is_some_and(|entry| matches!(entry.phase, Phase::Probing { .. }))
        {
            self.flows.update(flow, |entry| entry.phase = phase);
            actions.push(Action::Deliver);
        }
        if header.kind == RelayKind::Forward
            && let Some(header) =
                header.relayed_by(self.identity.address, RelayKind::Search, RunId::default())
        {
            let cached_owner = self.owner_cache.touch(now, flow).copied();
            if cached_owner.is_none()
                && segment.payload_bytes > 0
                && !header.has_copies
                && self.may_reset_unknown(now, flow)
            {
                let query = LookupQuery {
                    flow: *flow,
                    acknowledgment: segment.acknowledgment,
                    known_agents: self.known_agents(),
                    asked_agents: self
                        .agents_listed_at
                        .keys()
                        .copied()
                        .chain([own_address])
                        .collect(),
                    requires_new_servers: now.since(self.started) <= self.options.agent_retention,
                };
                debug!(
                    event = "lookup_started", flow:%, asked_agents = query.asked_agents.len(),
                    requires_new_servers = query.requires_new_servers;
                    "owner of a flow is looked up"
                );
                self.lookups.start(now, query);
            }
            let all_agents = self.service_hosts.iter().map(|host| host.agent);
            let receivers = cached_owner
                .map_or_else(|| all_agents.collect(), |owner| vec![owner])
                .into_iter()
                .filter(|agent| *agent != own_address);
            actions.extend(receivers.map(|to| Action::Relay { to, header }));
        }
        if segment.payload_bytes > 0 && self.flows.get(flow).is_none() {
            self.report_absence(now, *flow, segment.acknowledgment, searcher, actions);
        }
        if actions.len() == previous_len {
            actions.push(Action::Drop(match header.kind {
                RelayKind::Search => DropReason::NotOwner,
                _ => DropReason::UnknownFlow,
            }));
        }
    }

    /// Processes the statement of an agent that its host does not hold a flow. When no host of the
    /// service holds it, the reset of the flow is appended to `actions`.
    pub fn on_absence(&mut self, now: Time, absence: &FlowAbsence, actions: &mut Vec<Action>) {
        if self.owner_cache.touch(now, &absence.flow).copied() == Some(absence.agent) {
            self.owner_cache.remove(&absence.flow);
        }
        actions.extend(self.lookups.on_absence(now, absence));
    }

    /// Appends the statement that this host does not hold a flow, for the agent that looks it up.
    pub(super) fn report_absence(
        &mut self,
        now: Time,
        flow: FlowId,
        acknowledgment: u32,
        searcher: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let own_address = self.identity.address;
        let absence = FlowAbsence {
            flow,
            acknowledgment,
            agent: own_address,
            known_agents: self.known_agents(),
            is_server_new: self
                .new_server_reported_at
                .max(self.absent_server_at)
                .is_some_and(|at| now.since(at) <= self.options.agent_retention),
        };
        if searcher == own_address {
            self.on_absence(now, &absence, actions);
        } else {
            actions.push(Action::ReportAbsence {
                to: searcher,
                absence,
            });
        }
    }

    /// Returns the digest of the agents of the service that balancers list, and of this agent.
    fn known_agents(&self) -> AgentSetDigest {
        let agents = self.service_hosts.iter().map(|host| host.agent);
        let distinct: BTreeSet<Ipv4Addr> = agents.chain([self.identity.address]).collect();
        distinct.into_iter().collect()
    }

    /// Returns whether a flow may be reset when all known agents state that their hosts do not hold
    /// it: this agent knows all agents of the service, and no other service can hold the flow.
    ///
    /// The list of agents must have been unchanged for as long as an agent may take to announce itself
    /// to restarted balancers.
    fn may_reset_unknown(&self, now: Time, flow: &FlowId) -> bool {
        let settle_span = self
            .options
            .min_settle_span
            .max(Span(self.announcement_interval().0 * 6 / 5));
        let is_recent = self
            .control
            .last_balancer_contact
            .is_some_and(|at| now.since(at) <= settle_span);
        is_recent
            && now.since(self.started) >= settle_span
            && now.since(self.control.agents_changed_at) >= settle_span
            && !self.service_hosts.is_empty()
            && self
                .catalogue
                .is_only_owner(now, flow.service, &self.identity.service)
    }

    /// Returns whether the backend server may hold flows that this process does not know, because
    /// they were opened before the process started.
    pub(super) fn may_hold_unknown_flows(&self, now: Time) -> bool {
        !self.observed_server_start && now.since(self.started) <= self.options.max_flow_duration
    }
}

/// Returns the processes that relayed a packet to this one: the visited agents and the balancer.
/// The list is empty when the packet came straight from the balancer, which is then right about the
/// owner, unless it sent copies to other services.
pub(super) fn previous_hops(header: &RelayHeader) -> Vec<Ipv4Addr> {
    if header.kind == RelayKind::Forward && !header.has_copies {
        return Vec::new();
    }
    let visited = header.visited().iter();
    visited.chain([&header.balancer]).copied().collect()
}
