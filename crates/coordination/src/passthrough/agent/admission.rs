//! Whether the host takes a new flow now, later, or another host has to.

use {
    super::{Action, Agent, DropReason, OwnFlow, Phase, informed, visited},
    crate::passthrough::{flow_hash, rank},
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{
        FlowId, HostReportState, LeastLoaded, RelayHeader, RelayKind, RunId,
    },
    std::net::Ipv4Addr,
};

/// Excess of a host whose backend server fails requests: any other host goes first.
const FAILING_EXCESS: u8 = u8::MAX - 1;

impl Agent {
    /// Takes a new flow, which the host bears.
    pub(super) fn take(&mut self, now: Time, flow: FlowId, header: &RelayHeader, packet: &[u8]) {
        if let Some(flows_per_s) = self.cold_flows_per_s(now) {
            self.bucket.take(now, flows_per_s);
        }
        let mut entry = OwnFlow::new(
            now,
            Phase::Opening {
                packet: packet.into(),
                header: *header,
                is_passed_on: false,
            },
        );
        entry.inform = informed(header);
        self.flows.insert(flow, entry);
        self.openings
            .push_back((now + self.options.opening_timeout, flow));
        self.unanswered_since.get_or_insert(now);
    }

    /// Gives held openings to the backend server while it has room.
    pub(super) fn release_held(&mut self, now: Time, actions: &mut Vec<Action>) {
        while !self.held.is_empty()
            && self.has_room()
            && self.may_take(now)
            && self.bears_one_more(now)
        {
            let Some(opening) = self.held.take(now) else {
                return;
            };
            let is_open = self
                .flows
                .get(&opening.flow)
                .is_some_and(OwnFlow::is_active);
            if !is_open {
                self.take(now, opening.flow, &opening.header, &opening.packet);
            }
            actions.push(Action::DeliverBuffered(opening.packet));
        }
    }

    /// Tells whether one more request may wait for the backend server.
    pub(super) fn has_room(&self) -> bool {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        self.flows.waiting() < slots * self.options.waiting_per_slot
    }

    /// Tells whether the host takes new flows at all.
    pub(super) fn may_take(&self, now: Time) -> bool {
        let Some(host) = &self.host else {
            return false;
        };
        let max_connections = self
            .catalogue
            .service(&self.identity.service)
            .map_or(u32::MAX, |service| service.max_connections);
        host.state == HostReportState::Ready
            && !self.control.is_stopping()
            && !self.is_silent(now)
            && !self.catalogue.is_out(&self.identity.domain)
            && self.flows.active() < max_connections as usize
    }

    /// Tells whether the host bears one more flow, if it is cold.
    pub(super) fn bears_one_more(&self, now: Time) -> bool {
        self.cold_flows_per_s(now)
            .is_none_or(|flows_per_s| self.bucket.has_token(now, flows_per_s))
    }

    /// Returns the new flows a second that the host bears because it is cold, or `None` without a
    /// limit.
    fn cold_flows_per_s(&self, now: Time) -> Option<f64> {
        let is_cold = self.host.as_ref().is_some_and(|host| now < host.cold_until);
        if !is_cold {
            return None;
        }
        match self.catalogue.service(&self.identity.service) {
            Some(limits) => (limits.cold_flows_per_s > 0.0).then_some(limits.cold_flows_per_s),
            // An agent that has just started does not know the rate yet and admits none until then.
            None => Some(0.0),
        }
    }

    /// Returns how many requests would wait beyond the slots of the host with one more flow, or
    /// `None` when a slot is free.
    pub(super) fn excess(&self) -> Option<u8> {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        let excess = (self.flows.waiting() + 1).saturating_sub(slots);
        (excess > 0).then(|| u8::try_from(excess).unwrap_or(u8::MAX))
    }

    /// Tells whether more requests wait than the backend server has slots.
    pub(super) fn is_overloaded(&self) -> bool {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        self.flows.waiting() > slots
    }

    /// Returns how much this host would rather not take a new flow, or `None` when it takes it:
    /// its excess, or more than any excess when it fails requests and this flow is not one of the
    /// few that try it.
    pub(super) fn reluctance(&mut self, now: Time) -> Option<u8> {
        if self.outcomes.admits(now) {
            self.excess()
        } else {
            Some(FAILING_EXCESS)
        }
    }

    /// Passes the opening of a flow on because all slots are in use. The packet visits a few
    /// hosts at random, which sees their present load; when all are busy, the least loaded one
    /// takes the flow. `None` when this host is to take it. A host without an excess cannot take
    /// it; the result is then `None` when no other one is known that can.
    pub(super) fn pass_on_busy(
        &self,
        header: &RelayHeader,
        flow: &FlowId,
        excess: Option<u8>,
    ) -> Option<Action> {
        let mut header = *header;
        let own_position = u8::try_from(header.visited().len()).unwrap_or(u8::MAX);
        if let Some(excess) = excess
            && excess < header.least_loaded.queue_excess
        {
            header.least_loaded = LeastLoaded {
                position: own_position,
                queue_excess: excess,
            };
        }
        let is_claimed = header.least_loaded.queue_excess < u8::MAX;
        if (header.visited().len() < self.options.busy_visits || !is_claimed)
            && let Some((to, header)) = self.next_host(&header, flow)
        {
            return Some(Action::Relay { to, header });
        }
        if !is_claimed || header.least_loaded.position == own_position {
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

    pub(super) fn pass_on(&self, header: &RelayHeader, flow: &FlowId, actions: &mut Vec<Action>) {
        actions.push(match self.next_host(header, flow) {
            Some((to, header)) => Action::Relay { to, header },
            None => Action::Drop(DropReason::NoHost),
        });
    }

    /// Returns the next host for an opening packet: one that is not busy before others, by rank.
    pub(super) fn next_host(
        &self,
        header: &RelayHeader,
        flow: &FlowId,
    ) -> Option<(Ipv4Addr, RelayHeader)> {
        let hash = flow_hash(flow);
        let own = self.identity.address;
        let next = self
            .others
            .iter()
            .filter(|host| host.accepts_new && host.agent != own && !visited(header, host.agent))
            .max_by_key(|host| rank(hash, host.agent))?;
        let header = header.relayed_by(own, RelayKind::PassOn, next.run)?;
        Some((next.agent, header))
    }

    /// Tells whether the backend server seems not to run.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        let reports_stopped = self
            .host
            .as_ref()
            .is_some_and(|host| now.since(host.reported) > self.options.report_timeout);
        self.needs_report || self.is_deaf(now) || reports_stopped
    }

    /// Tells whether openings have been waiting for an answer for long.
    pub(super) fn is_deaf(&self, now: Time) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) > self.options.suspect_after)
    }
}
