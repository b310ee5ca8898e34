//! Queue of the SYNs that wait at an agent until its host has room.
//!
//! Load pattern: after an outage all callers return at once and open more flows than the hosts can
//! serve. A backend server that is given all of them sheds requests; each shed request costs its
//! caller an attempt and returns as a new one. A queued SYN costs the host nothing. The newest SYN
//! of the most urgent route goes first, because its caller can still be answered in time. A SYN
//! whose retransmission is on its way is discarded.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader},
};

/// A SYN that waits for room at the host.
#[derive(Clone, Debug)]
pub struct QueuedSyn {
    /// The flow.
    pub flow: FlowId,
    /// Priority of the route under overload; 0 is served first.
    pub priority: u8,
    /// Number of SYNs that the caller sent for this flow before this one.
    pub retransmissions: u32,
    /// Relay header with which the packet arrived.
    pub header: RelayHeader,
    /// The packet.
    pub packet: Box<[u8]>,
}

/// Queued SYNs of one host.
#[derive(Debug)]
pub struct SynQueue {
    entries: Vec<(Time, QueuedSyn)>,
    capacity: usize,
}

/// Time for which a SYN may be queued, by its number of retransmissions: the time until the caller
/// retransmits it again or gives up, less the round-trip time. A later answer would open the flow
/// at two hosts.
const MAX_QUEUE_TIMES: [Span; 3] = [
    Span::from_millis(170),
    Span::from_millis(370),
    Span::from_millis(750),
];

impl SynQueue {
    /// Creates an empty queue of at most `capacity` SYNs.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            entries: Vec::new(),
            capacity,
        }
    }

    /// Queues a SYN in place of any earlier one of its flow. When the queue is full, the oldest SYN
    /// of the least urgent route is discarded.
    pub fn push(&mut self, now: Time, syn: QueuedSyn) {
        self.entries.retain(|(queued_at, queued)| {
            queued.flow != syn.flow && !is_expired(now, *queued_at, queued)
        });
        self.entries.push((now, syn));
        if self.entries.len() > self.capacity
            && let Some(last) =
                self.position_min_by(|(queued_at, queued)| (u8::MAX - queued.priority, *queued_at))
        {
            self.entries.remove(last);
        }
    }

    /// Removes and returns the newest SYN of the most urgent route.
    pub fn pop(&mut self, now: Time) -> Option<QueuedSyn> {
        self.entries
            .retain(|(queued_at, queued)| !is_expired(now, *queued_at, queued));
        let next =
            self.position_min_by(|(queued_at, queued)| (queued.priority, u64::MAX - queued_at.0))?;
        Some(self.entries.remove(next).1)
    }

    /// Returns the number of queued SYNs, expired ones included.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue has no SYNs, expired ones included.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position_min_by<K: Ord>(&self, key: impl Fn(&(Time, QueuedSyn)) -> K) -> Option<usize> {
        (0..self.entries.len()).min_by_key(|index| key(&self.entries[*index]))
    }
}

fn is_expired(now: Time, queued_at: Time, syn: &QueuedSyn) -> bool {
    let retransmissions = usize::try_from(syn.retransmissions).unwrap_or(usize::MAX);
    let max_queue_time = MAX_QUEUE_TIMES
        .get(retransmissions)
        .or(MAX_QUEUE_TIMES.last());
    max_queue_time.is_none_or(|max_queue_time| now.since(queued_at) > *max_queue_time)
}
