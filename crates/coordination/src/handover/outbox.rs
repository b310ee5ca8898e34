//! Owner side: lists of own flows for each other agent, repeated until confirmed.

use {
    super::{HandoverOptions, Peer},
    crate::membership::Outgoing,
    cardamomloom_core::{HostId, Incarnation, Time},
    cardamomloom_protocol::{control::Message, packet::FlowKey},
    cardamomloom_state::candidates::CandidateTable,
    std::collections::{BTreeMap, BTreeSet},
};

/// Encoded flows of one part in bytes; the other fields and the tag take at most 100 bytes of the
/// 1,400 of a control datagram.
const PART_BYTES: usize = 1_280;

/// Flows of one message.
#[derive(Clone, Debug, Default)]
struct QueuedPart {
    flows: Vec<FlowKey>,
    bytes: usize,
    sent: Option<Time>,
}

/// A part to send.
#[derive(Clone, Copy, Debug)]
pub struct DuePart<'a> {
    pub generation: u64,
    pub index: u32,
    pub parts: u32,
    pub flows: &'a [FlowKey],
}

#[derive(Debug)]
struct Outbox {
    peer: Peer,
    generation: u64,
    parts: Vec<QueuedPart>,
    unconfirmed: BTreeSet<u32>,
}

impl Outbox {
    /// Creates a list that says "no flows" until flows are added.
    fn new(peer: Peer, generation: u64) -> Self {
        Self {
            peer,
            generation,
            parts: vec![QueuedPart::default()],
            unconfirmed: BTreeSet::from([0]),
        }
    }

    fn add(&mut self, flow: FlowKey) {
        let flow_bytes = encoded_bytes(&flow);
        let needs_part = self
            .parts
            .last()
            .is_none_or(|last| last.sent.is_some() || last.bytes + flow_bytes > PART_BYTES);
        if needs_part {
            self.unconfirmed.insert(self.part_count());
            self.parts.push(QueuedPart::default());
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

/// Upper bound of the encoded size: two addresses, each with a kind and a port of up to 3 bytes.
const fn encoded_bytes(flow: &FlowKey) -> usize {
    if flow.caller.is_ipv4() { 16 } else { 40 }
}

/// Lists for all other agents.
#[derive(Debug)]
pub struct Outboxes {
    boxes: BTreeMap<HostId, Outbox>,
    generation: u64,
    refreshed: Time,
    next_burst: Time,
    /// Nothing is due before, unless a flow or a list is added.
    quiet_until: Time,
    options: HandoverOptions,
}

impl Outboxes {
    /// Creates lists for no agents.
    pub const fn new(options: HandoverOptions) -> Self {
        Self {
            boxes: BTreeMap::new(),
            generation: 0,
            refreshed: Time::ZERO,
            next_burst: Time::ZERO,
            quiet_until: Time::ZERO,
            options,
        }
    }

    /// Gives up all lists, so that [`Outboxes::rebuild`] starts them anew.
    pub fn restart(&mut self, now: Time) {
        self.boxes.clear();
        self.quiet_until = Time::ZERO;
        self.refreshed = now;
    }

    /// Tells whether the lists are to be sent again.
    pub fn refresh_is_due(&self, now: Time) -> bool {
        now.since(self.refreshed) >= self.options.refresh_interval
    }

    /// Starts the list of each agent that has none or that has restarted.
    pub fn rebuild<'a>(
        &mut self,
        peers: &BTreeMap<HostId, Peer>,
        table: &CandidateTable,
        flows: impl Iterator<Item = &'a FlowKey>,
    ) {
        self.boxes.retain(|host, _| peers.contains_key(host));
        self.generation += 1;
        let mut started = BTreeSet::new();
        for peer in peers.values() {
            match self.boxes.get_mut(&peer.host) {
                Some(known) if known.peer.incarnation == peer.incarnation => known.peer = *peer,
                _ => {
                    self.boxes
                        .insert(peer.host, Outbox::new(*peer, self.generation));
                    started.insert(peer.host);
                }
            }
        }
        if started.is_empty() {
            return;
        }
        self.quiet_until = Time::ZERO;
        for flow in flows {
            let first = table.first(table.bucket_of(flow), false);
            if let Some(first) = first.filter(|first| started.contains(&first.host)) {
                self.add(first.host, *flow);
            }
        }
    }

    /// Adds a flow to the list of an agent.
    pub fn add(&mut self, host: HostId, flow: FlowKey) {
        if let Some(outbox) = self.boxes.get_mut(&host) {
            outbox.add(flow);
            self.quiet_until = Time::ZERO;
        }
    }

    /// Returns generation and number of parts of the list for an agent.
    pub fn list_of(&self, host: HostId) -> Option<(u64, u32)> {
        self.boxes
            .get(&host)
            .map(|outbox| (outbox.generation, outbox.part_count()))
    }

    /// Tells whether every part of every list was confirmed.
    pub fn is_confirmed(&self) -> bool {
        self.boxes
            .values()
            .all(|outbox| outbox.unconfirmed.is_empty())
    }

    /// Takes a confirmation.
    pub fn on_confirm(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        generation: u64,
        part: u32,
    ) {
        let Some(outbox) = self.boxes.get_mut(&from) else {
            return;
        };
        // An earlier life of the receiver may have confirmed what the present one does not know.
        if outbox.generation != generation || outbox.peer.incarnation != incarnation {
            return;
        }
        if outbox.unconfirmed.remove(&part)
            && let Some(part) = outbox.parts.get_mut(part as usize)
        {
            part.flows = Vec::new();
        }
    }

    /// Returns the messages that are due, at most one burst.
    pub fn take_due(
        &mut self,
        now: Time,
        message: impl Fn(DuePart<'_>) -> Message,
    ) -> Vec<Outgoing> {
        let mut due = Vec::new();
        if now < self.next_burst.max(self.quiet_until) {
            return due;
        }
        for outbox in self.boxes.values_mut() {
            let parts = outbox.part_count();
            for index in &outbox.unconfirmed {
                if due.len() >= self.options.parts_per_burst {
                    break;
                }
                let Some(part) = outbox.parts.get_mut(*index as usize) else {
                    continue;
                };
                let waits = part
                    .sent
                    .is_some_and(|sent| now.since(sent) < self.options.retry_span);
                if waits {
                    continue;
                }
                part.sent = Some(now);
                due.push(Outgoing {
                    to: outbox.peer.control_address,
                    message: message(DuePart {
                        generation: outbox.generation,
                        index: *index,
                        parts,
                        flows: &part.flows,
                    }),
                });
            }
        }
        if due.is_empty() {
            self.quiet_until = now + self.options.burst_interval;
        } else {
            self.next_burst = now + self.options.burst_interval;
        }
        due
    }
}
