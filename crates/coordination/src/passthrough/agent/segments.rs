//! Packets of open flows: delivery to the backend server if it holds the flow, otherwise an owner
//! lookup among the other agents.

use {
    super::{Action, Agent, DropReason, LocalFlow, Outcome, Phase, close_if_finished},
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader, RelayKind, RunId, Segment},
    std::net::Ipv4Addr,
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
                entry.last_used = now;
                entry.has_caller_fin |= segment.flags.is_fin;
                let waited = now.since(entry.waiting_since);
                let is_abandoned = segment.flags.is_fin || segment.flags.is_rst;
                if is_abandoned && entry.is_waiting && waited >= self.options.abandoned_after {
                    entry.is_waiting = false;
                    self.outcomes.record(now, Outcome::Failed);
                }
                if segment.payload_bytes > 0 && !std::mem::replace(&mut entry.is_waiting, true) {
                    entry.waiting_since = now;
                }
                if segment.flags.is_ack {
                    entry.caller_acknowledgment = Some(segment.acknowledgment);
                }
                close_if_finished(entry, segment);
            });
            actions.push(Action::Deliver);
            if header.kind != RelayKind::Forward {
                let receivers = previous_hops(header).into_iter();
                actions.extend(receivers.map(|to| Action::AnnounceOwner { to, flow }));
            }
            return;
        }
        self.look_up_owner(now, header, &flow, actions);
    }

    /// Relays a packet of an unknown flow to the cached owner, or to all other known agents of the
    /// service. Also delivers it to the backend server if that may hold the flow. Only the agent
    /// that got the packet from a balancer relays it.
    fn look_up_owner(
        &mut self,
        now: Time,
        header: &RelayHeader,
        flow: &FlowId,
        actions: &mut Vec<Action>,
    ) {
        let previous_len = actions.len();
        if self.may_hold_unknown_flows(now) && self.flows.get(flow).is_none() {
            let mut entry = LocalFlow::new(now, Phase::Probing);
            entry.owner_notice_receivers = previous_hops(header);
            self.flows.insert(*flow, entry);
            actions.push(Action::Deliver);
        } else if self
            .flows
            .get(flow)
            .is_some_and(|entry| matches!(entry.phase, Phase::Probing))
        {
            actions.push(Action::Deliver);
        }
        if header.kind == RelayKind::Forward
            && let Some(header) =
                header.relayed_by(self.identity.address, RelayKind::Search, RunId::default())
        {
            let cached_owner = self.owner_cache.touch(now, flow).copied();
            let own_address = self.identity.address;
            let all_agents = self.service_hosts.iter().map(|host| host.agent);
            let receivers = cached_owner
                .map_or_else(|| all_agents.collect(), |owner| vec![owner])
                .into_iter()
                .filter(|agent| *agent != own_address);
            actions.extend(receivers.map(|to| Action::Relay { to, header }));
        }
        if actions.len() == previous_len {
            actions.push(Action::Drop(match header.kind {
                RelayKind::Search => DropReason::NotOwner,
                _ => DropReason::UnknownFlow,
            }));
        }
    }

    /// Returns whether the backend server may hold flows that this process does not know, because
    /// they were opened before the process started.
    fn may_hold_unknown_flows(&self, now: Time) -> bool {
        !self.observed_server_start && now.since(self.started) <= self.options.max_flow_duration
    }
}

/// Returns the processes that relayed a packet to this one: the visited agents and the balancer.
/// The list is empty when the packet came straight from the balancer, which is then right about the
/// owner.
pub(super) fn previous_hops(header: &RelayHeader) -> Vec<Ipv4Addr> {
    if header.kind == RelayKind::Forward {
        return Vec::new();
    }
    let visited = header.visited().iter();
    visited.chain([&header.balancer]).copied().collect()
}
