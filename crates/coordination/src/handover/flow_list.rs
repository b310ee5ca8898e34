//! Owner side of the handover: lists of this agent's flows for the other agents, retransmitted
//! until they are confirmed.

use {
    super::{HandoverOptions, Peer},
    crate::membership::OutgoingMessage,
    cardamomloom_core::{HostId, Incarnation, Time},
    cardamomloom_protocol::{control::Message, packet::FlowKey},
    cardamomloom_state::candidates::CandidateTable,
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum encoded size of the flows in one part. The other fields and the tag take at most 100 of
/// the 1,400 bytes of a control datagram.
const MAX_PART_BYTES: usize = 1_280;

/// Flows that are sent in one message.
#[derive(Clone, Debug, Default)]
struct ListPart {
    flows: Vec<FlowKey>,
    bytes: usize,
    sent_at: Option<Time>,
}

/// A part of a flow list to be sent in a handover message.
#[derive(Clone, Copy, Debug)]
pub struct SendablePart<'a> {
    pub generation: u64,
    pub index: u32,
    pub parts: u32,
    pub flows: &'a [FlowKey],
}

/// Flows whose first candidate is `peer`, split into parts.
#[derive(Debug)]
struct FlowList {
    peer: Peer,
    generation: u64,
    parts: Vec<ListPart>,
    unconfirmed: BTreeSet<u32>,
}

impl FlowList {
    /// Creates a list with one empty part, which reports that this agent owns no flows there.
    fn new(peer: Peer, generation: u64) -> Self {
        Self {
            peer,
            generation,
            parts: vec![ListPart::default()],
            unconfirmed: BTreeSet::from([0]),
        }
    }

    fn add(&mut self, flow: FlowKey) {
        let flow_bytes = encoded_bytes(&flow);
        let needs_part = self
            .parts
            .last()
            .is_none_or(|last| last.sent_at.is_some() || last.bytes + flow_bytes > MAX_PART_BYTES);
        if needs_part {
            self.unconfirmed.insert(self.part_count());
            self.parts.push(ListPart::default());
        }
        if let Some(last) = self.parts.last_mut() {
            last.flows.push(flow);
            last.bytes += flow_bytes;
        }
    }

    fn part_count(&self) -> u32 {
        u32::try_from(self.parts.len()).unwrap_or(u32::MAX)
    }
}

/// Returns an upper bound of the encoded size: two addresses, each with a variant tag and a port of
/// up to 3 bytes.
const fn encoded_bytes(flow: &FlowKey) -> usize {
    if flow.caller.is_ipv4() { 16 } else { 40 }
}

/// The flow lists for all other agents of the service.
#[derive(Debug)]
pub struct FlowLists {
    lists: BTreeMap<HostId, FlowList>,
    generation: u64,
    restarted_at: Time,
    next_burst: Time,
    /// No part has to be sent before this time, unless a flow or a list is added.
    idle_until: Time,
    options: HandoverOptions,
}

impl FlowLists {
    /// Creates an empty set, before the first agents are known.
    pub const fn new(options: HandoverOptions) -> Self {
        Self {
            lists: BTreeMap::new(),
            generation: 0,
            restarted_at: Time::ZERO,
            next_burst: Time::ZERO,
            idle_until: Time::ZERO,
            options,
        }
    }

    /// Discards all lists, so that [`FlowLists::rebuild`] starts them anew.
    pub fn restart(&mut self, now: Time) {
        self.lists.clear();
        self.idle_until = Time::ZERO;
        self.restarted_at = now;
    }

    /// Returns whether the refresh interval has passed since the lists were last discarded.
    pub fn needs_refresh(&self, now: Time) -> bool {
        now.since(self.restarted_at) >= self.options.refresh_interval
    }

    /// Starts a new list for each agent that has none or that has restarted, and removes the lists
    /// of agents that have left.
    pub fn rebuild<'a>(
        &mut self,
        peers: &BTreeMap<HostId, Peer>,
        table: &CandidateTable,
        flows: impl Iterator<Item = &'a FlowKey>,
    ) {
        self.lists.retain(|host, _| peers.contains_key(host));
        self.generation += 1;
        let mut started_hosts = BTreeSet::new();
        for peer in peers.values() {
            match self.lists.get_mut(&peer.host) {
                Some(list) if list.peer.incarnation == peer.incarnation => list.peer = *peer,
                _ => {
                    self.lists
                        .insert(peer.host, FlowList::new(*peer, self.generation));
                    started_hosts.insert(peer.host);
                }
            }
        }
        if started_hosts.is_empty() {
            return;
        }
        self.idle_until = Time::ZERO;
        for flow in flows {
            let first = table.first(table.bucket_of(flow), false);
            if let Some(first) = first.filter(|first| started_hosts.contains(&first.host)) {
                self.add(first.host, *flow);
            }
        }
    }

    /// Adds a flow to the list for an agent; does nothing when there is no list for it.
    pub fn add(&mut self, host: HostId, flow: FlowKey) {
        if let Some(list) = self.lists.get_mut(&host) {
            list.add(flow);
            self.idle_until = Time::ZERO;
        }
    }

    /// Returns the generation and the number of parts of the list for an agent.
    pub fn version_of(&self, host: HostId) -> Option<(u64, u32)> {
        self.lists
            .get(&host)
            .map(|list| (list.generation, list.part_count()))
    }

    /// Returns whether every part of every list was confirmed.
    pub fn is_confirmed(&self) -> bool {
        self.lists.values().all(|list| list.unconfirmed.is_empty())
    }

    /// Processes the confirmation of one part and frees its flows.
    pub fn on_confirm(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        generation: u64,
        part: u32,
    ) {
        let Some(list) = self.lists.get_mut(&from) else {
            return;
        };
        // A previous run of the receiver may have confirmed a part that the current run has lost.
        if list.generation != generation || list.peer.incarnation != incarnation {
            return;
        }
        if list.unconfirmed.remove(&part)
            && let Some(part) = list.parts.get_mut(part as usize)
        {
            part.flows = Vec::new();
        }
    }

    /// Returns the unconfirmed parts to send or retransmit now as messages, at most one burst.
    pub fn take_sendable(
        &mut self,
        now: Time,
        to_message: impl Fn(SendablePart<'_>) -> Message,
    ) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        if now < self.next_burst.max(self.idle_until) {
            return messages;
        }
        for list in self.lists.values_mut() {
            let parts = list.part_count();
            for index in &list.unconfirmed {
                if messages.len() >= self.options.parts_per_burst {
                    break;
                }
                let Some(part) = list.parts.get_mut(*index as usize) else {
                    continue;
                };
                let is_awaiting_confirmation = part
                    .sent_at
                    .is_some_and(|sent_at| now.since(sent_at) < self.options.retry_interval);
                if is_awaiting_confirmation {
                    continue;
                }
                part.sent_at = Some(now);
                messages.push(OutgoingMessage {
                    to: list.peer.control_address,
                    message: to_message(SendablePart {
                        generation: list.generation,
                        index: *index,
                        parts,
                        flows: &part.flows,
                    }),
                });
            }
        }
        if messages.is_empty() {
            self.idle_until = now + self.options.burst_interval;
        } else {
            self.next_burst = now + self.options.burst_interval;
        }
        messages
    }
}
