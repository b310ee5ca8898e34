//! Who owns a flow: the agent's table of flows and the decision for each packet.

use {
    crate::{
        admission::Rejection,
        handover::{Handover, HandoverOptions, Members, UnknownFlowAction},
        membership::Outgoing,
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
    /// Both directions have ended; the flow only answers late packets until it is forgotten.
    Closing {
        /// Sequence number after the caller's end of stream.
        caller_end: u32,
    },
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
    /// Send the packet to two agents, of which at most one takes it.
    ForwardBoth(Hop, Hop),
    /// Answer with a reset.
    Refuse,
    /// Hand the packet to the flow, and to another agent that may own a flow of the 5-tuple too.
    DeliverAndForward(FlowId, Hop),
    /// Replace the opening packet of a flow that is still connecting: its caller started anew.
    ReplaceSyn(FlowId),
    /// Ignore a retransmission of an opening packet whose flow is still connecting.
    IgnoreRetransmission,
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
    /// Time for which the place of a redirected opening packet is remembered.
    pub redirect_span: Span,
    /// Most flows of the agent.
    pub max_flows: usize,
    /// Most remembered redirects.
    pub max_redirects: usize,
    /// Limits and times of the handover.
    pub handover: HandoverOptions,
}

impl Default for OwnershipOptions {
    fn default() -> Self {
        Self {
            redirect_span: Span::from_secs(120),
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

/// Flows of this agent and what it knows of the flows of others.
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
    /// Creates the ownership table of a host.
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

    /// Sets the addresses of the service.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Sets whether operators have taken the agent's failure domain out.
    pub const fn set_domain_out(&mut self, out: bool) {
        self.domain_out = out;
    }

    /// Takes up a candidate table with its agents, and starts to hand over the flows that now
    /// hash to others.
    pub fn set_table(&mut self, now: Time, table: Arc<CandidateTable>, members: Members) {
        self.handover
            .set_table(now, &table, members, self.flows.keys());
        self.table = Some(table);
    }

    /// Returns the handover.
    #[must_use]
    pub const fn handover(&self) -> &Handover {
        &self.handover
    }

    /// Processes a control message of another agent and returns the answer.
    pub fn on_message(&mut self, now: Time, message: &Message) -> Option<Outgoing> {
        self.handover.on_message(now, message)
    }

    /// Returns the control messages that are due.
    pub fn on_tick(&mut self, now: Time) -> Vec<Outgoing> {
        self.handover.on_tick(now, self.flows.keys())
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

    /// Returns the flow that holds a 5-tuple.
    #[must_use]
    pub fn flow_of(&self, flow: &FlowKey) -> Option<FlowId> {
        self.flows.get(flow).map(|record| record.id)
    }

    /// Decides what to do with a packet.
    #[must_use]
    pub fn decide(&mut self, now: Time, header: &ForwardHeader, meta: &PacketMeta) -> Decision {
        // A packet of another service is never delivered, whatever its sender believes.
        let is_own_service =
            header.service == self.service && self.addresses.contains(&meta.flow.service);
        if !is_own_service {
            return Decision::Drop(DropCause::WrongService);
        }
        if self.domain_out {
            return Decision::Drop(DropCause::DomainOut);
        }
        match self.decide_own(meta) {
            // A reset without acknowledgement fits every half-open flow of the same opening
            // packet, so it goes on to the others.
            Some(Decision::Deliver(id)) if self.is_ambiguous_reset(meta) => {
                return match self.hop_of_unknown(now, header, meta) {
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
        // An own flow is evidence of a live caller, so its 5-tuple is never reset here.
        let unknown = if self.flows.contains_key(&meta.flow) {
            UnknownFlowAction::TryNextCandidate
        } else {
            self.handover.on_unknown_flow(now, header, meta)
        };
        match unknown {
            // The owner need not be among the candidates, so the end of the walk proves nothing.
            UnknownFlowAction::TryNextCandidate => self
                .next_hop(header, &meta.flow, |_| true)
                .map_or(Decision::Drop(DropCause::Settling), Decision::Forward),
            UnknownFlowAction::Drop => Decision::Drop(DropCause::UnknownFlow),
            UnknownFlowAction::Reset => Decision::Refuse,
        }
    }

    /// Decides for a packet whose flow is in the own table; `None` when another agent may own it.
    fn decide_own(&self, meta: &PacketMeta) -> Option<Decision> {
        let record = self.flows.get(&meta.flow)?;
        let is_new_opening = meta.opens_flow() && meta.sequence != record.caller_isn;
        match record.phase {
            Phase::Established => Some(Decision::Deliver(record.id)),
            // RFC 9293 section 3.10.7.4: an opening packet may start a new flow once both
            // directions of the earlier one have ended.
            Phase::Closing { caller_end } => {
                let end = meta.sequence.wrapping_add(meta.sequence_length());
                let is_late = caller_end.wrapping_sub(end) < LATE_SEQUENCE_SPAN;
                let is_same_opening = meta.opens_flow() && !is_new_opening;
                (is_same_opening || is_late).then_some(Decision::Deliver(record.id))
            }
            Phase::Connecting if is_new_opening => Some(Decision::ReplaceSyn(record.id)),
            Phase::Connecting if meta.opens_flow() => Some(Decision::IgnoreRetransmission),
            Phase::HalfOpen { .. } if meta.opens_flow() => {
                (!is_new_opening).then_some(Decision::Deliver(record.id))
            }
            // Another agent may hold a half-open flow of the same 5-tuple. Only the one whose
            // initial sequence number the caller acknowledges owns the packet.
            Phase::HalfOpen { local_isn } => match meta.acknowledgement {
                Some(acknowledged) => acknowledged == local_isn.wrapping_add(1),
                None => meta.rst && meta.sequence == record.caller_isn.wrapping_add(1),
            }
            .then_some(Decision::Deliver(record.id)),
            Phase::Connecting => None,
        }
    }

    /// Tells whether a packet is a reset without acknowledgement for a half-open flow.
    fn is_ambiguous_reset(&self, meta: &PacketMeta) -> bool {
        meta.rst
            && meta.acknowledgement.is_none()
            && self
                .flows
                .get(&meta.flow)
                .is_some_and(|record| matches!(record.phase, Phase::HalfOpen { .. }))
    }

    fn hop_of_unknown(&self, now: Time, header: &ForwardHeader, meta: &PacketMeta) -> Option<Hop> {
        self.known_hop(now, header, &meta.flow)
            .or_else(|| self.next_hop(header, &meta.flow, |_| true))
    }

    /// Returns the way to the agent that the handover directory or a redirect names.
    fn known_hop(&self, now: Time, header: &ForwardHeader, flow: &FlowKey) -> Option<Hop> {
        self.owner_hop(now, header, flow)
            .or_else(|| self.remembered_hop(now, header, flow))
    }

    /// Returns the way to the latest agent that claims the flow and was not visited.
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

    /// Returns the way to the other agent that claims the flow, if there is one.
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

    fn remembered_hop(&self, now: Time, header: &ForwardHeader, flow: &FlowKey) -> Option<Hop> {
        let redirect = self.redirects.get(flow)?;
        if redirect.expires <= now || header.visited.contains(redirect.to) {
            return None;
        }
        let candidate = self.table.as_ref()?.host(redirect.to)?;
        hop_to(header, candidate)
    }

    /// Returns the next candidate that the packet has not visited and that `accept` allows.
    fn next_hop(
        &self,
        header: &ForwardHeader,
        flow: &FlowKey,
        accept: impl Fn(&Candidate) -> bool,
    ) -> Option<Hop> {
        let table = self.table.as_ref()?;
        // A sender with another table may have used another hash key.
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

    /// Places an opening packet that admission rejected: the next willing candidate, or a refusal.
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
            let expires = now + self.options.redirect_span;
            self.redirects.insert(flow, Redirect { to, expires });
        }
        Decision::Forward(hop)
    }

    /// Replaces the opening packet of a flow that is still connecting.
    pub fn replace_syn(&mut self, flow: FlowId, meta: &PacketMeta) {
        if let Some(record) = self.keys.get(&flow).and_then(|key| self.flows.get_mut(key)) {
            record.caller_isn = meta.sequence;
        }
    }

    /// Enters a new flow; `None` when the table is full. The caller has ended a flow of the same
    /// 5-tuple before, see [`Ownership::flow_of`].
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

    /// Moves a flow to another phase. The first candidate is told before the caller gets an
    /// answer, because the caller's next packet may go there.
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

    /// Returns the record of a flow.
    #[must_use]
    pub fn record_of(&self, flow: FlowId) -> Option<&FlowRecord> {
        self.flows.get(self.keys.get(&flow)?)
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowId) -> Option<FlowRecord> {
        let key = self.keys.remove(&flow)?;
        self.flows.remove(&key)
    }
}

/// Distance in sequence numbers within which a packet still belongs to a flow that has ended;
/// beyond it the packet is of a later flow of the 5-tuple, at another agent.
const LATE_SEQUENCE_SPAN: u32 = 1 << 20;

/// Most agents that pass a packet on: one for each visited host and one to the owner that the
/// directory of the last one names.
const MAX_HOPS: u8 = 5;

/// Like [`hop_to`], also when the packet has visited as many hosts as the header can list.
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
