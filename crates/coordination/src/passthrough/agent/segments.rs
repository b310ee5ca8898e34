//! Packets of open flows: delivery to the backend server if it holds the flow, otherwise an owner
//! lookup among the other agents.

use {
    super::{
        Action, Agent, DropReason, LocalFlow, LookupOutcomes, Outcome, Phase, close_if_finished,
        lookup::{LookupQuery, LookupStep},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        FlowAbsence, FlowId, MAX_POSSIBLE_OWNERS, PeerMessage, RelayHeader, RelayKind, RunId,
        Segment, ServiceAbsence, ServiceTag,
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
            self.track_request(now, &flow, segment);
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
                    if let Some(at) = entry.syn_delivered_at.take() {
                        self.handshakes.record(now.since(at));
                    }
                    if !std::mem::replace(&mut entry.is_waiting, true) {
                        entry.waiting_since = now;
                        self.slot_demand.on_request(now);
                    }
                }
                if segment.flags.is_ack {
                    entry.caller_acknowledgment = Some(segment.acknowledgment);
                }
                close_if_finished(entry, segment);
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
            if cached_owner.is_none() && segment.payload_bytes > 0 && self.knows_service_agents(now)
            {
                self.start_lookup(now, &header, segment, actions);
            }
            let receivers = cached_owner
                .map_or_else(|| self.possible_owners(), |owner| vec![owner])
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
        match self.lookups.on_absence(now, absence, &self.known_lists) {
            LookupStep::Pending => {}
            LookupStep::Lost => actions.push(Action::Reset {
                flow: absence.flow,
                sequence: absence.acknowledgment,
            }),
            LookupStep::ServiceLost(to) => {
                let absence = self.service_absence(now, absence);
                let message = absence.map(PeerMessage::ServiceAbsence);
                actions.extend(message.map(|message| Action::Send { to, message }));
            }
            LookupStep::NeedsList => actions.extend(self.request_list(now, absence.agent)),
        }
    }

    /// Returns the numbers of owner lookups by outcome.
    #[must_use]
    pub const fn lookup_outcomes(&self) -> &LookupOutcomes {
        &self.lookups.outcomes
    }

    /// Starts the lookup of the owner of a flow. Unless this service is known to be the only one that may
    /// own it, a result goes to the balancer, which knows the other services.
    fn start_lookup(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let requires_new_servers = !self.knows_former_agents(now);
        if requires_new_servers {
            actions.extend(self.request_any_list(now));
            if !self.is_fleet_new(now) {
                self.lookups.on_older_fleet(now, &flow);
                return;
            }
        }
        let is_only_owner = !header.has_copies
            && self.knows_former_targets(now)
            && self
                .catalogue
                .is_only_owner(now, flow.service, &self.identity.service);
        let query = LookupQuery {
            flow,
            acknowledgment: segment.acknowledgment,
            asked: self.asked_agents(),
            requires_new_servers,
            answer_to: (!is_only_owner).then_some(header.balancer),
        };
        debug!(
            event = "lookup_started", flow:%, asked_agents = query.asked.agents.len(),
            requires_new_servers = query.requires_new_servers;
            "owner of a flow is looked up"
        );
        self.lookups.start(now, query);
    }

    /// Returns the statement that no host of the service holds a flow, unless more services may own it
    /// than the statement can name.
    fn service_absence(&self, now: Time, absence: &FlowAbsence) -> Option<ServiceAbsence> {
        let address = absence.flow.service;
        let possible_owners: BTreeSet<ServiceTag> = self
            .catalogue
            .possible_owners(now, address)
            .map(ServiceTag::from)
            .collect();
        (possible_owners.len() <= MAX_POSSIBLE_OWNERS).then(|| ServiceAbsence {
            flow: absence.flow,
            acknowledgment: absence.acknowledgment,
            agent: self.identity.address,
            service: self.tag,
            possible_owners: possible_owners.into_iter().collect(),
            knows_former_targets: self.knows_former_targets(now),
        })
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
            known_agents: self.asked_agents().agents.into_iter().collect(),
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

    /// Returns whether this agent knows all agents of the service, so that the statements of all of
    /// them prove that no host of the service holds a flow, and no newer catalogue.
    ///
    /// No new agent may have been listed for as long as an agent may take to announce itself to
    /// restarted balancers.
    fn knows_service_agents(&self, now: Time) -> bool {
        let settle_span = self.settle_span();
        self.has_recent_contact(now)
            && now.since(self.started) >= settle_span
            && now.since(self.control.agents_changed_at) >= settle_span
            && !self.service_hosts.is_empty()
            && self.catalogue.behind_for(now).is_none()
    }

    /// Returns whether a balancer has sent a heartbeat within the time in which one is due.
    pub(super) fn has_recent_contact(&self, now: Time) -> bool {
        let settle_span = self.settle_span();
        self.control
            .last_balancer_contact
            .is_some_and(|at| now.since(at) <= settle_span)
    }

    fn settle_span(&self) -> Span {
        let announcement_interval = self.announcement_interval();
        let span = Span(announcement_interval.0 * 6 / 5);
        self.options.min_settle_span.max(span)
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
