//! Who owns a flow: the agent's table of flows and the decision for each packet.

use {
    crate::admission::Rejection,
    cardamomloom_core::{HostId, ServiceId, Span, Time},
    cardamomloom_protocol::{
        forward::{ForwardHeader, MAX_VISITED},
        packet::{DropCause, FlowKey, PacketMeta},
    },
    cardamomloom_state::candidates::{Candidate, CandidateTable},
    std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc},
};

/// Identifies a flow within one life of an agent; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub u64);

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "f-{:x}", self.0)
    }
}

/// How far a flow has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The agent connects to the backend server; the caller has no answer yet.
    Connecting,
    /// The agent answered with its initial sequence number and waits for the acknowledgement.
    HalfOpen {
        /// Initial sequence number of the agent.
        local_isn: u32,
    },
    /// The caller acknowledged the agent's initial sequence number.
    Established,
}

/// One flow of this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// Identity of the flow.
    pub id: FlowId,
    /// Phase of the flow.
    pub phase: Phase,
    /// Initial sequence number of the caller.
    pub caller_isn: u32,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hand the packet to the flow.
    Deliver(FlowId),
    /// Open a new flow, if admission agrees; ask [`Ownership::redirect`] if it does not.
    Open,
    /// Send the packet to another agent.
    Forward(Hop),
    /// Answer with a reset.
    Refuse,
    /// Ignore a retransmission of an opening packet whose flow is still connecting.
    Absorb,
    /// Drop and count.
    Drop(DropCause),
}

/// The next agent of a packet and the header for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Packet socket of the agent.
    pub to: SocketAddr,
    /// Header with the agent added to the visited hosts.
    pub header: ForwardHeader,
}

/// Limits and times of flow ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipOptions {
    /// Time after a table change during which an unknown packet is dropped rather than reset.
    pub settle_span: Span,
    /// Time for which the place of a redirected opening packet is remembered.
    pub redirect_span: Span,
    /// Most flows of the agent.
    pub max_flows: usize,
    /// Most remembered redirects.
    pub max_redirects: usize,
}

impl Default for OwnershipOptions {
    fn default() -> Self {
        Self {
            settle_span: Span::from_secs(10),
            redirect_span: Span::from_secs(120),
            max_flows: 200_000,
            max_redirects: 200_000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Redirect {
    to: HostId,
    expires: Time,
}

/// Flows of this agent and what it knows of the flows of others.
#[derive(Debug)]
pub struct Ownership {
    host: HostId,
    service: ServiceId,
    addresses: Vec<SocketAddr>,
    domain_out: bool,
    table: Option<Arc<CandidateTable>>,
    table_changed: Time,
    flows: HashMap<FlowKey, FlowRecord>,
    keys: HashMap<FlowId, FlowKey>,
    redirects: HashMap<FlowKey, Redirect>,
    next_flow: u64,
    options: OwnershipOptions,
}

impl Ownership {
    /// Creates the ownership table of a host.
    #[must_use]
    pub fn new(host: HostId, service: ServiceId, options: OwnershipOptions) -> Self {
        Self {
            host,
            service,
            addresses: Vec::new(),
            domain_out: false,
            table: None,
            table_changed: Time::ZERO,
            flows: HashMap::new(),
            keys: HashMap::new(),
            redirects: HashMap::new(),
            next_flow: 1,
            options,
        }
    }

    /// Sets the addresses of the service.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Sets whether operators have taken the agent's failure domain out.
    pub const fn set_domain_out(&mut self, out: bool) {
        self.domain_out = out;
    }

    /// Takes up a candidate table.
    pub fn set_table(&mut self, now: Time, table: Arc<CandidateTable>) {
        let changed = self
            .table
            .as_ref()
            .is_none_or(|present| present.version() != table.version());
        if changed {
            self.table_changed = now;
        }
        self.table = Some(table);
    }

    /// Returns the candidate table.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<CandidateTable>> {
        self.table.as_ref()
    }

    /// Returns the number of flows.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns all flows.
    pub fn flows(&self) -> impl Iterator<Item = (&FlowKey, &FlowRecord)> {
        self.flows.iter()
    }

    /// Decides what to do with a packet.
    #[must_use]
    pub fn decide(&self, now: Time, header: &ForwardHeader, meta: &PacketMeta) -> Decision {
        // A packet of another service is never delivered, whatever its sender believes.
        let is_own_service =
            header.service == self.service && self.addresses.contains(&meta.flow.service);
        if !is_own_service {
            return Decision::Drop(DropCause::WrongService);
        }
        if self.domain_out {
            return Decision::Drop(DropCause::DomainOut);
        }
        if let Some(decision) = self.decide_own(meta) {
            return decision;
        }
        if let Some(hop) = self.remembered_hop(now, header, &meta.flow) {
            return Decision::Forward(hop);
        }
        if meta.opens_flow() {
            return Decision::Open;
        }
        match self.next_hop(header, |_| true) {
            Some(hop) => Decision::Forward(hop),
            None if now.since(self.table_changed) < self.options.settle_span => {
                Decision::Drop(DropCause::Settling)
            }
            None => Decision::Refuse,
        }
    }

    /// Decides for a packet whose flow is in the own table; `None` when another agent may own it.
    fn decide_own(&self, meta: &PacketMeta) -> Option<Decision> {
        let record = self.flows.get(&meta.flow)?;
        match record.phase {
            Phase::Established => Some(Decision::Deliver(record.id)),
            Phase::Connecting if meta.opens_flow() => Some(Decision::Absorb),
            Phase::HalfOpen { .. } if meta.opens_flow() && meta.sequence == record.caller_isn => {
                Some(Decision::Deliver(record.id))
            }
            // Another agent may hold a half-open flow of the same 5-tuple. Only the one whose
            // initial sequence number the caller acknowledges owns the packet.
            Phase::HalfOpen { local_isn }
                if meta.acknowledgement == Some(local_isn.wrapping_add(1)) =>
            {
                Some(Decision::Deliver(record.id))
            }
            Phase::Connecting | Phase::HalfOpen { .. } => None,
        }
    }

    fn remembered_hop(&self, now: Time, header: &ForwardHeader, flow: &FlowKey) -> Option<Hop> {
        let redirect = self.redirects.get(flow)?;
        if redirect.expires <= now || header.visited.contains(redirect.to) {
            return None;
        }
        let candidate = self.table.as_ref()?.host(redirect.to)?;
        hop_to(header, candidate)
    }

    /// Returns the next candidate that the packet has not visited and that `accept` allows.
    fn next_hop(&self, header: &ForwardHeader, accept: impl Fn(&Candidate) -> bool) -> Option<Hop> {
        let candidate = self
            .table
            .as_ref()?
            .candidates_of(header.bucket)
            .find(|candidate| {
                candidate.host != self.host
                    && !header.visited.contains(candidate.host)
                    && accept(candidate)
            })?;
        hop_to(header, candidate)
    }

    /// Places an opening packet that admission rejected: the next willing candidate, or a refusal.
    pub fn redirect(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        flow: FlowKey,
        _reason: Rejection,
    ) -> Decision {
        let Some(hop) = self.next_hop(header, |candidate| candidate.accepts_new) else {
            return Decision::Refuse;
        };
        let Some(to) = hop.header.visited.as_slice().last().copied() else {
            return Decision::Refuse;
        };
        if self.redirects.len() >= self.options.max_redirects {
            self.redirects.retain(|_, redirect| redirect.expires > now);
        }
        if self.redirects.len() < self.options.max_redirects {
            let expires = now + self.options.redirect_span;
            self.redirects.insert(flow, Redirect { to, expires });
        }
        Decision::Forward(hop)
    }

    /// Enters a new flow; `None` when the table is full.
    pub fn insert(&mut self, meta: &PacketMeta) -> Option<FlowId> {
        if self.flows.len() >= self.options.max_flows {
            return None;
        }
        let id = FlowId(self.next_flow);
        self.next_flow += 1;
        let record = FlowRecord {
            id,
            phase: Phase::Connecting,
            caller_isn: meta.sequence,
        };
        self.redirects.remove(&meta.flow);
        if let Some(replaced) = self.flows.insert(meta.flow, record) {
            self.keys.remove(&replaced.id);
        }
        self.keys.insert(id, meta.flow);
        Some(id)
    }

    /// Moves a flow to another phase.
    pub fn set_phase(&mut self, flow: FlowId, phase: Phase) {
        if let Some(record) = self.keys.get(&flow).and_then(|key| self.flows.get_mut(key)) {
            record.phase = phase;
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowId) -> Option<FlowRecord> {
        let key = self.keys.remove(&flow)?;
        self.flows.remove(&key)
    }
}

/// Adds a candidate to the header; `None` when the packet has taken all its hops.
fn hop_to(header: &ForwardHeader, candidate: &Candidate) -> Option<Hop> {
    let mut header = *header;
    if usize::from(header.hops) >= MAX_VISITED || !header.visited.push(candidate.host) {
        return None;
    }
    header.hops += 1;
    Some(Hop {
        to: candidate.data_address,
        header,
    })
}
