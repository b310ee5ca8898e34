//! Packets of open flows: to the backend server if it holds the flow, otherwise to where the flow
//! may be.

use {
    super::{Action, Agent, DropReason, Outcome, OwnFlow, Phase, end_if_finished},
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader, RelayKind, RunId, Segment},
    std::net::Ipv4Addr,
};

impl Agent {
    pub(super) fn on_segment(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let is_own = self
            .flows
            .get(&flow)
            .is_some_and(|entry| !segment.flags.is_ack || entry.matches(segment.acknowledgment));
        if is_own {
            self.flows.update(&flow, |entry| {
                entry.used = now;
                entry.is_caller_finished |= segment.flags.is_fin;
                let waited = now.since(entry.asked);
                let gives_up = segment.flags.is_fin || segment.flags.is_rst;
                if gives_up && entry.is_waiting && waited >= self.options.answer_patience {
                    entry.is_waiting = false;
                    self.outcomes.record(now, Outcome::Failed);
                }
                if segment.payload_bytes > 0 && !std::mem::replace(&mut entry.is_waiting, true) {
                    entry.asked = now;
                }
                if segment.flags.is_ack {
                    entry.caller_acknowledgment = Some(segment.acknowledgment);
                }
                end_if_finished(entry, segment);
            });
            actions.push(Action::Deliver);
            if header.kind != RelayKind::Forward {
                let told = informed(header).into_iter();
                actions.extend(told.map(|to| Action::AnnounceOwner { to, flow }));
            }
            return;
        }
        self.search(now, header, &flow, actions);
    }

    /// Sends a packet of a flow that is not known here to where it may be known.
    fn search(
        &mut self,
        now: Time,
        header: &RelayHeader,
        flow: &FlowId,
        actions: &mut Vec<Action>,
    ) {
        let before = actions.len();
        if self.may_hold_unknown(now) && self.flows.get(flow).is_none() {
            let mut entry = OwnFlow::new(now, Phase::Probing);
            entry.inform = informed(header);
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
            let known_owner = self.owners.touch(now, flow).copied();
            let own = self.identity.address;
            let all = self.others.iter().map(|host| host.agent);
            let to = known_owner
                .map_or_else(|| all.collect(), |owner| vec![owner])
                .into_iter()
                .filter(|agent| *agent != own);
            actions.extend(to.map(|to| Action::Relay { to, header }));
        }
        if actions.len() == before {
            actions.push(Action::Drop(match header.kind {
                RelayKind::Search => DropReason::NotOwner,
                _ => DropReason::UnknownFlow,
            }));
        }
    }

    /// Tells whether the backend server may hold flows that this process does not know.
    fn may_hold_unknown(&self, now: Time) -> bool {
        !self.saw_birth && now.since(self.started) <= self.options.max_flow
    }
}

/// Returns the processes that had a packet before this one.
pub(super) fn informed(header: &RelayHeader) -> Vec<Ipv4Addr> {
    if header.kind == RelayKind::Forward {
        return Vec::new();
    }
    let visited = header.visited().iter();
    visited.chain([&header.balancer]).copied().collect()
}
