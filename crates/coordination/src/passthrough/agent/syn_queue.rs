//! Queue of the SYNs that wait at an agent until its host has room.
//!
//! Load pattern: after an outage all callers return at once and open more flows than the hosts can
//! serve. A backend server that is given all of them sheds requests; each shed request costs its
//! caller an attempt and returns as a new one. A queued SYN costs the host nothing. The newest SYN
//! of the most urgent route goes first, because its caller can still be answered in time. A SYN
//! whose retransmission is on its way is discarded.
//!
//! SYNs of routes with a latency goal are in one of two classes. Those that can be answered in goal
//! go in the order in which their callers sent them: their number is bounded by admission, so that
//! this order answers all of them in goal. Late ones go last, the newest first.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader},
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddrV4},
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

/// Position of a SYN of a route with a latency goal.
#[derive(Clone, Copy, Debug)]
pub struct GoalPosition {
    /// Time of the first SYN of the flow.
    pub sent_at: Time,
    /// Time until which the SYN can be given to the host and be answered in goal; `None` if it is late
    /// already.
    pub admit_by: Option<Time>,
}

/// Class of a queued SYN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SynClass {
    /// It can be answered in goal.
    InGoal,
    /// It will be answered after the latency goal of its route.
    Late,
    /// Its route has no latency goal.
    WithoutGoal,
}

/// Classes of SYNs for which the host has room.
#[derive(Clone, Copy, Debug)]
pub struct QueueRoom {
    /// Room for a SYN that can be answered in goal.
    pub in_goal: bool,
    /// Room for a late SYN.
    pub late: bool,
    /// Room for a SYN of a route without a latency goal.
    pub without_goal: bool,
}

impl QueueRoom {
    /// Room for every class.
    pub const ALL: Self = Self {
        in_goal: true,
        late: true,
        without_goal: true,
    };

    const fn admits(self, class: SynClass) -> bool {
        match class {
            SynClass::InGoal => self.in_goal,
            SynClass::Late => self.late,
            SynClass::WithoutGoal => self.without_goal,
        }
    }
}

#[derive(Debug)]
struct Entry {
    queued_at: Time,
    goal: Option<GoalPosition>,
    syn: QueuedSyn,
}

impl Entry {
    fn class(&self, now: Time) -> SynClass {
        match self.goal {
            None => SynClass::WithoutGoal,
            Some(goal) if goal.admit_by.is_some_and(|admit_by| now <= admit_by) => SynClass::InGoal,
            Some(_) => SynClass::Late,
        }
    }

    /// Returns the key of the order in which SYNs are given to the host, least first.
    fn order(&self, now: Time) -> (bool, u8, u64) {
        let newest_first = u64::MAX - self.queued_at.0;
        let class = self.class(now);
        let position = match (class, self.goal) {
            (SynClass::InGoal, Some(goal)) => goal.sent_at.0,
            _ => newest_first,
        };
        (class == SynClass::Late, self.syn.priority, position)
    }
}

/// Queued SYNs of one host.
#[derive(Debug)]
pub struct SynQueue {
    entries: Vec<Entry>,
    capacity: usize,
    /// Number of SYNs that were given to the host since the last one of a route, counted while the
    /// route had SYNs waiting that can be answered in goal.
    passed_over: BTreeMap<SocketAddrV4, u32>,
    /// SYNs of routes with a latency goal that left the queue without being given to the host, with
    /// the times at which they were queued.
    discarded: Vec<(Time, QueuedSyn)>,
}

/// Time for which a SYN may be queued, by its number of retransmissions: the time until the caller
/// retransmits it again or gives up, less the round-trip time. A later answer would open the flow
/// at two hosts.
const MAX_QUEUE_TIMES: [Span; 3] = [
    Span::from_millis(170),
    Span::from_millis(370),
    Span::from_millis(750),
];

/// Number of SYNs of other routes after which a route with SYNs that can be answered in goal gets a
/// turn, whatever its priority: its share is at least 1 in 10.
const MAX_PASSED_OVER: u32 = 9;

impl SynQueue {
    /// Creates an empty queue of at most `capacity` SYNs.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            entries: Vec::new(),
            capacity,
            passed_over: BTreeMap::new(),
            discarded: Vec::new(),
        }
    }

    /// Queues a SYN of a route without a latency goal in place of any earlier one of its flow. When
    /// the queue is full, the last SYN in order is discarded.
    pub fn push(&mut self, now: Time, syn: QueuedSyn) {
        self.push_with_goal(now, syn, None);
    }

    /// Queues a SYN like [`Self::push`], with its position if its route has a latency goal.
    pub fn push_with_goal(&mut self, now: Time, syn: QueuedSyn, goal: Option<GoalPosition>) {
        self.entries.retain(|entry| entry.syn.flow != syn.flow);
        self.expire(now);
        self.entries.push(Entry {
            queued_at: now,
            goal,
            syn,
        });
        if self.entries.len() > self.capacity
            && let Some(last) = self.position_min_by(|entry| Reverse(entry.order(now)))
        {
            let entry = self.entries.remove(last);
            self.discard(entry);
        }
    }

    /// Removes and returns the first SYN in order.
    pub fn pop(&mut self, now: Time) -> Option<QueuedSyn> {
        self.pop_for(now, QueueRoom::ALL).map(|(syn, _)| syn)
    }

    /// Removes and returns the first SYN in order among those for which the host has room, with its
    /// class. A route that was passed over often enough goes first.
    pub fn pop_for(&mut self, now: Time, room: QueueRoom) -> Option<(QueuedSyn, SynClass)> {
        self.expire(now);
        let next = (0..self.entries.len())
            .filter(|index| room.admits(self.entries[*index].class(now)))
            .min_by_key(|index| {
                let entry = &self.entries[*index];
                let is_in_goal = entry.class(now) == SynClass::InGoal;
                let passed_over = self.passed_over.get(&entry.syn.flow.service);
                let due = passed_over.filter(|count| is_in_goal && **count >= MAX_PASSED_OVER);
                (Reverse(due), entry.order(now))
            })?;
        let entry = self.entries.remove(next);
        let class = entry.class(now);
        self.count_passed_over(now, entry.syn.flow.service);
        Some((entry.syn, class))
    }

    /// Drains the SYNs of routes with a latency goal that were discarded since the last call, with the
    /// times at which they were queued.
    pub fn take_discarded(&mut self, now: Time) -> Vec<(Time, QueuedSyn)> {
        self.expire(now);
        std::mem::take(&mut self.discarded)
    }

    /// Returns the number of SYNs that are given to the host before a SYN of this priority that can be
    /// answered in goal.
    #[must_use]
    pub fn ahead_of(&self, now: Time, priority: u8) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|entry| entry.class(now) != SynClass::Late && entry.syn.priority <= priority)
            .count()
    }

    /// Returns the number of SYNs of a class, expired ones included.
    #[must_use]
    pub fn len_of(&self, now: Time, class: SynClass) -> usize {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.class(now) == class).count()
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

    fn count_passed_over(&mut self, now: Time, served: SocketAddrV4) {
        let mut waiting: Vec<SocketAddrV4> = self
            .entries
            .iter()
            .filter(|entry| entry.class(now) == SynClass::InGoal)
            .map(|entry| entry.syn.flow.service)
            .collect();
        waiting.sort_unstable();
        waiting.dedup();
        for route in waiting {
            *self.passed_over.entry(route).or_default() += 1;
        }
        self.passed_over.remove(&served);
    }

    fn expire(&mut self, now: Time) {
        let expired = self.entries.extract_if(.., |entry| is_expired(now, entry));
        for entry in expired.collect::<Vec<_>>() {
            self.discard(entry);
        }
    }

    fn discard(&mut self, entry: Entry) {
        if entry.goal.is_some() {
            self.discarded.push((entry.queued_at, entry.syn));
        }
    }

    fn position_min_by<K: Ord>(&self, key: impl Fn(&Entry) -> K) -> Option<usize> {
        (0..self.entries.len()).min_by_key(|index| key(&self.entries[*index]))
    }
}

fn is_expired(now: Time, entry: &Entry) -> bool {
    let retransmissions = usize::try_from(entry.syn.retransmissions).unwrap_or(usize::MAX);
    let max_queue_time = MAX_QUEUE_TIMES
        .get(retransmissions)
        .or(MAX_QUEUE_TIMES.last());
    max_queue_time.is_none_or(|max_queue_time| now.since(entry.queued_at) > *max_queue_time)
}
