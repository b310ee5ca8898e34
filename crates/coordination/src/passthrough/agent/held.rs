//! Openings that wait at an agent until its host has room.
//!
//! Load pattern: after an outage all callers come back together and more of them open flows than
//! the hosts can work on. A backend server that is given all of them sheds requests, each of which
//! costs its caller an attempt and comes back as another one. Held openings cost nothing: the
//! newest of the most urgent route goes first, because its caller can still be answered in time,
//! and an opening whose copy is on its way is forgotten.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader},
};

/// An opening packet that waits.
#[derive(Clone, Debug)]
pub struct QueuedSyn {
    /// The flow.
    pub flow: FlowId,
    /// Order under pressure; 0 goes first.
    pub priority: u8,
    /// Copies of the packet that the caller sent before this one.
    pub copies_before: u32,
    /// Header with which the packet came.
    pub header: RelayHeader,
    /// The packet.
    pub packet: Box<[u8]>,
}

/// Waiting openings of one host.
#[derive(Debug)]
pub struct SynQueue {
    held: Vec<(Time, QueuedSyn)>,
    capacity: usize,
}

/// Times from an opening packet and its copies until the next one, or until the caller gives up,
/// less the way there and back. A later answer would open the flow at two hosts.
const HOLD_FOR: [Span; 3] = [
    Span::from_millis(170),
    Span::from_millis(370),
    Span::from_millis(750),
];

impl SynQueue {
    /// Creates a queue of at most `capacity` openings.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            held: Vec::new(),
            capacity,
        }
    }

    /// Holds an opening in place of an earlier copy of it. When the queue is full, the oldest
    /// opening of the least urgent route is forgotten.
    pub fn hold(&mut self, now: Time, opening: QueuedSyn) {
        self.held
            .retain(|(at, held)| held.flow != opening.flow && !is_expired(now, *at, held));
        self.held.push((now, opening));
        if self.held.len() > self.capacity
            && let Some(last) = self.position(|(at, held)| (u8::MAX - held.priority, *at))
        {
            self.held.remove(last);
        }
    }

    /// Returns the opening that goes next.
    pub fn take(&mut self, now: Time) -> Option<QueuedSyn> {
        self.held.retain(|(at, held)| !is_expired(now, *at, held));
        let next = self.position(|(at, held)| (held.priority, u64::MAX - at.0))?;
        Some(self.held.remove(next).1)
    }

    /// Returns the number of openings that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no opening waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn position<K: Ord>(&self, key: impl Fn(&(Time, QueuedSyn)) -> K) -> Option<usize> {
        (0..self.held.len()).min_by_key(|index| key(&self.held[*index]))
    }
}

fn is_expired(now: Time, at: Time, held: &QueuedSyn) -> bool {
    let copies = usize::try_from(held.copies_before).unwrap_or(usize::MAX);
    let hold_for = HOLD_FOR.get(copies).or(HOLD_FOR.last());
    hold_for.is_none_or(|hold_for| now.since(at) > *hold_for)
}
