//! Flow ownership: the flow table of an agent and the decision for each packet.

use {
    crate::{
        admission::Rejection,
        handover::{Handover, HandoverOptions, Members, UnknownFlowAction},
        membership::OutgoingMessage,
    },
    cardamomloom_core::{HostId, ServiceId, Span, Time},
    cardamomloom_protocol::{
        control::Message,
        forward::{ForwardHeader, MAX_VISITED},
        packet::{DropCause, FlowKey, PacketMeta},
    },
    cardamomloom_state::candidates::{Candidate, CandidateTable},
    std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc},
};

/// Identifies a flow within one run of an agent; an id is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub u64);

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "f-{:x}", self.0)
    }
}

/// Phase of a flow's connection to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The agent connects to the backend server; the caller has no answer yet.
    Connecting,
    /// The agent sent its SYN-ACK and waits for the caller's acknowledgement.
    HalfOpen {
        /// Initial sequence number of the agent.
        local_isn: u32,
    },
    /// The caller acknowledged the agent's SYN-ACK.
    Established,
    /// Both directions have ended; the flow only answers late packets until it is removed.
    Closing {
        /// Sequence number after the caller's end of stream.
        caller_end: u32,
    },
}

/// Entry of one flow in the flow table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// Id of the flow within this run of the agent.
    pub id: FlowId,
    /// Progress of the handshake and of the close.
    pub phase: Phase,
    /// Initial sequence number of the caller, from its latest SYN.
    pub caller_isn: u32,
}

/// Action that the agent takes on a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hand the packet to the flow.
    Deliver(FlowId),
    /// Open a new flow if admission permits it; otherwise call [`Ownership::redirect`].
    Open,
    /// Send the packet to another agent.
    Forward(Hop),
    /// Send the packet to two agents that claim the flow; at most one of them owns it.
    ForwardBoth(Hop, Hop),
    /// Answer with a reset.
    Refuse,
    /// Hand the packet to the flow, and send it to another agent that may own a half-open flow of
    /// the same 5-tuple.
    DeliverAndForward(FlowId, Hop),
    /// Replace the SYN of a flow that is still connecting, because its caller sent a new one.
    ReplaceSyn(FlowId),
    /// Ignore a retransmitted SYN whose flow is still connecting.
    IgnoreRetransmission,
    /// Drop the packet and count it under this cause.
    Drop(DropCause),
}

/// Next agent on the path of a packet, with the forward header for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Address of the agent's packet socket.
    pub to: SocketAddr,
    /// Header with the agent added to the visited hosts.
    pub header: ForwardHeader,
}

/// Limits of the flow table and of the stored redirects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipOptions {
    /// Time for which the target of a redirected SYN is stored.
    pub redirect_lifetime: Span,
    /// Largest number of flows of the agent.
    pub max_flows: usize,
    /// Largest number of stored redirects.
    pub max_redirects: usize,
    /// Limits and times of the handover.
    pub handover: HandoverOptions,
}

impl Default for OwnershipOptions {
    fn default() -> Self {
        Self {
            redirect_lifetime: Span::from_secs(120),
            max_flows: 200_000,
            max_redirects: 200_000,
            handover: HandoverOptions::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Redirect {
    to: HostId,
    expires: Time,
}

/// Flow table of an agent, with the owners that it knows of flows at other agents.
#[derive(Debug)]
pub struct Ownership {
    host: HostId,
    service: ServiceId,
    addresses: Vec<SocketAddr>,
    domain_out: bool,
    table: Option<Arc<CandidateTable>>,
    flows: HashMap<FlowKey, FlowRecord>,
    keys: HashMap<FlowId, FlowKey>,
    redirects: HashMap<FlowKey, Redirect>,
    handover: Handover,
    next_flow: u64,
    options: OwnershipOptions,
}

impl Ownership {
    /// Creates an empty flow table for a host of a service.
    #[must_use]
    pub fn new(host: HostId, service: ServiceId, options: OwnershipOptions) -> Self {
        Self {
            host,
            service,
            addresses: Vec::new(),
            domain_out: false,
            table: None,
            flows: HashMap::new(),
            keys: HashMap::new(),
            redirects: HashMap::new(),
            handover: Handover::new(host, service, options.handover),
            next_flow: 1,
            options,
        }
    }

    /// Sets the addresses of the service; packets to other addresses are dropped.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Sets whether the agent's failure domain is out; while it is, all packets are dropped.
    pub const fn set_domain_out(&mut self, out: bool) {
        self.domain_out = out;
    }

    /// Applies a candidate table with its agents, and starts the handover of the flows whose first
    /// candidate is another agent.
    pub fn set_table(&mut self, now: Time, table: Arc<CandidateTable>, members: Members) {
        self.handover
            .set_table(now, &table, members, self.flows.keys());
        self.table = Some(table);
    }

    /// Returns the state of the handover to other agents.
    #[must_use]
    pub const fn handover(&self) -> &Handover {
        &self.handover
    }

    /// Processes a handover message of another agent and returns the answer, if any.
    pub fn on_message(&mut self, now: Time, message: &Message) -> Option<OutgoingMessage> {
        self.handover.on_message(now, message)
    }

    /// Returns the handover messages that are due.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.handover.on_tick(now, self.flows.keys())
    }

    /// Returns the candidate table, or `None` before the first one was applied.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<CandidateTable>> {
        self.table.as_ref()
    }

    /// Returns the number of flows in the table.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the flows of this agent in no particular order.
    pub fn flows(&self) -> impl Iterator<Item = (&FlowKey, &FlowRecord)> {
        self.flows.iter()
    }

    /// Returns this agent's flow with a 5-tuple.
    #[must_use]
    pub fn flow_of(&self, flow: &FlowKey) -> Option<FlowId> {
        self.flows.get(flow).map(|record| record.id)
    }

    /// Decides on the action for a packet.
    #[must_use]
    pub fn decide(&mut self, now: Time, header: &ForwardHeader, meta: &PacketMeta) -> Decision {
        // A packet of another service is never delivered, even if the sender's tables are outdated.
        let is_own_service =
            header.service == self.service && self.addresses.contains(&meta.flow.service);
        if !is_own_service {
            return Decision::Drop(DropCause::WrongService);
        }
        if self.domain_out {
            return Decision::Drop(DropCause::DomainOut);
        }
        match self.decide_local(meta) {
            // A reset without acknowledgement matches the half-open flow of every agent that
            // answered the same SYN, so it is forwarded to the others as well.
            Some(Decision::Deliver(id)) if self.is_ambiguous_reset(meta) => {
                return match self.next_lookup_hop(now, header, meta) {
                    Some(hop) => Decision::DeliverAndForward(id, hop),
                    None => Decision::Deliver(id),
                };
            }
            Some(decision) => return decision,
            None => {}
        }
        if meta.opens_flow() {
            self.handover.on_syn(&meta.flow);
        }
        if let Some(hop) = self.known_hop(now, header, &meta.flow) {
            return match self.second_owner_hop(now, header, &hop, &meta.flow) {
                Some(second) if !meta.opens_flow() => Decision::ForwardBoth(hop, second),
                _ => Decision::Forward(hop),
            };
        }
        if meta.opens_flow() {
            return Decision::Open;
        }
        // A flow in this agent's table shows that the caller is alive, so its 5-tuple is never
        // reset here.
        let action = if self.flows.contains_key(&meta.flow) {
            UnknownFlowAction::TryNextCandidate
        } else {
            self.handover.on_unknown_flow(now, header, meta)
        };
        match action {
            // The owner need not be among the candidates, so visiting all of them does not prove
            // that the flow is unknown.
            UnknownFlowAction::TryNextCandidate => self
                .next_hop(header, &meta.flow, |_| true)
                .map_or(Decision::Drop(DropCause::Settling), Decision::Forward),
            UnknownFlowAction::Drop => Decision::Drop(DropCause::UnknownFlow),
            UnknownFlowAction::Reset => Decision::Refuse,
        }
    }

    /// Decides from the flow table alone; `None` when another agent may own the packet.
    fn decide_local(&self, meta: &PacketMeta) -> Option<Decision> {
        let record = self.flows.get(&meta.flow)?;
        let is_new_syn = meta.opens_flow() && meta.sequence != record.caller_isn;
        match record.phase {
            Phase::Established => Some(Decision::Deliver(record.id)),
            // RFC 9293 section 3.10.7.4: a SYN may open a new flow once both directions of the
            // earlier one have ended.
            Phase::Closing { caller_end } => {
                let end = meta.sequence.wrapping_add(meta.sequence_length());
                let is_late = caller_end.wrapping_sub(end) < LATE_SEQUENCE_SPAN;
                let is_same_syn = meta.opens_flow() && !is_new_syn;
                (is_same_syn || is_late).then_some(Decision::Deliver(record.id))
            }
            Phase::Connecting if is_new_syn => Some(Decision::ReplaceSyn(record.id)),
            Phase::Connecting if meta.opens_flow() => Some(Decision::IgnoreRetransmission),
            Phase::HalfOpen { .. } if meta.opens_flow() => {
                (!is_new_syn).then_some(Decision::Deliver(record.id))
            }
            // Another agent may have a half-open flow of the same 5-tuple. Only the agent whose
            // initial sequence number the caller acknowledges owns the packet.
            Phase::HalfOpen { local_isn } => match meta.acknowledgement {
                Some(acknowledged) => acknowledged == local_isn.wrapping_add(1),
                None => meta.rst && meta.sequence == record.caller_isn.wrapping_add(1),
            }
            .then_some(Decision::Deliver(record.id)),
            Phase::Connecting => None,
        }
    }

    /// Returns whether a packet is a reset without acknowledgement for a half-open flow.
    fn is_ambiguous_reset(&self, meta: &PacketMeta) -> bool {
        meta.rst
            && meta.acknowledgement.is_none()
            && self
                .flows
                .get(&meta.flow)
                .is_some_and(|record| matches!(record.phase, Phase::HalfOpen { .. }))
    }

    fn next_lookup_hop(&self, now: Time, header: &ForwardHeader, meta: &PacketMeta) -> Option<Hop> {
        self.known_hop(now, header, &meta.flow)
            .or_else(|| self.next_hop(header, &meta.flow, |_| true))
    }

    /// Returns the hop to the agent that the handover directory or a stored redirect names.
    fn known_hop(&self, now: Time, header: &ForwardHeader, flow: &FlowKey) -> Option<Hop> {
        self.owner_hop(now, header, flow)
            .or_else(|| self.redirect_hop(now, header, flow))
    }

    /// Returns the hop to the latest agent that claims the flow and has not been visited.
    fn owner_hop(&self, now: Time, header: &ForwardHeader, flow: &FlowKey) -> Option<Hop> {
        let table = self.table.as_ref()?;
        let owners = self.handover.owners_of(now, flow);
        let candidate = owners
            .into_iter()
            .flatten()
            .filter(|owner| *owner != self.host && !header.visited.contains(*owner))
            .find_map(|owner| table.host(owner))?;
        hop_to_owner(header, candidate)
    }

    /// Returns the hop to the other agent that claims the flow, if there is one.
    fn second_owner_hop(
        &self,
        now: Time,
        header: &ForwardHeader,
        first: &Hop,
        flow: &FlowKey,
    ) -> Option<Hop> {
        let header = ForwardHeader {
            visited: first.header.visited,
            ..*header
        };
        self.owner_hop(now, &header, flow)
    }

    fn redirect_hop(&self, now: Time, header: &ForwardHeader, flow: &FlowKey) -> Option<Hop> {
        let redirect = self.redirects.get(flow)?;
        if redirect.expires <= now || header.visited.contains(redirect.to) {
            return None;
        }
        let candidate = self.table.as_ref()?.host(redirect.to)?;
        hop_to(header, candidate)
    }

    /// Returns the hop to the next candidate that the packet has not visited and `accept` allows.
    fn next_hop(
        &self,
        header: &ForwardHeader,
        flow: &FlowKey,
        accept: impl Fn(&Candidate) -> bool,
    ) -> Option<Hop> {
        let table = self.table.as_ref()?;
        // A sender with another table version may have hashed with another key.
        let bucket = if header.table == table.version() {
            header.bucket
        } else {
            table.bucket_of(flow)
        };
        let candidate = table.candidates_of(bucket).find(|candidate| {
            candidate.host != self.host
                && !header.visited.contains(candidate.host)
                && accept(candidate)
        })?;
        hop_to(header, candidate)
    }

    /// Decides on a SYN that admission rejected: forwards it to the next candidate that accepts new
    /// flows and stores the redirect, or refuses it when there is none.
    pub fn redirect(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        flow: FlowKey,
        _reason: Rejection,
    ) -> Decision {
        let Some(hop) = self.next_hop(header, &flow, |candidate| candidate.accepts_new) else {
            return Decision::Refuse;
        };
        let Some(to) = hop.header.visited.as_slice().last().copied() else {
            return Decision::Refuse;
        };
        if self.redirects.len() >= self.options.max_redirects {
            self.redirects.retain(|_, redirect| redirect.expires > now);
        }
        if self.redirects.len() < self.options.max_redirects {
            let expires = now + self.options.redirect_lifetime;
            self.redirects.insert(flow, Redirect { to, expires });
        }
        Decision::Forward(hop)
    }

    /// Stores the initial sequence number of a new SYN for a flow that is still connecting.
    pub fn replace_syn(&mut self, flow: FlowId, meta: &PacketMeta) {
        if let Some(record) = self.keys.get(&flow).and_then(|key| self.flows.get_mut(key)) {
            record.caller_isn = meta.sequence;
        }
    }

    /// Adds a connecting flow; returns `None` when the table is full. The agent ends an earlier
    /// flow of the same 5-tuple first, see [`Ownership::flow_of`].
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

    /// Moves a flow to another phase. When a connecting flow opens, its first candidate is informed
    /// before the caller gets an answer, because the caller's next packet may go there.
    pub fn set_phase(&mut self, flow: FlowId, phase: Phase) {
        let Some(key) = self.keys.get(&flow) else {
            return;
        };
        let Some(record) = self.flows.get_mut(key) else {
            return;
        };
        if record.phase == Phase::Connecting {
            self.handover.on_flow_opened(*key);
        }
        record.phase = phase;
    }

    /// Returns the record of a flow, or `None` after its removal.
    #[must_use]
    pub fn record_of(&self, flow: FlowId) -> Option<&FlowRecord> {
        self.flows.get(self.keys.get(&flow)?)
    }

    /// Removes a flow and returns its record.
    pub fn remove(&mut self, flow: FlowId) -> Option<FlowRecord> {
        let key = self.keys.remove(&flow)?;
        self.flows.remove(&key)
    }
}

/// Distance in sequence numbers within which a packet still belongs to a flow that has ended. A
/// packet beyond it belongs to a later flow of the 5-tuple, at another agent.
const LATE_SEQUENCE_SPAN: u32 = 1 << 20;

/// Largest number of hops between agents: one for each visited host and one to the owner that the
/// handover directory of the last one names.
const MAX_HOPS: u8 = 5;

/// Returns the hop to an owner, like [`hop_to`], but also when the list of visited hosts is full;
/// `None` after [`MAX_HOPS`] hops.
fn hop_to_owner(header: &ForwardHeader, candidate: &Candidate) -> Option<Hop> {
    let mut header = *header;
    if header.hops >= MAX_HOPS {
        return None;
    }
    header.visited.push(candidate.host);
    header.hops += 1;
    Some(Hop {
        to: candidate.data_address,
        header,
    })
}

/// Returns the hop to a candidate with the candidate added to the visited hosts; `None` when the
/// hop count or the list of visited hosts is at its limit.
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
