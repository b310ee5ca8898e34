//! Rate limit for control traffic: a token bucket in bytes with strict priorities.

use {
    cardamomloom_core::{ByteCount, ByteRate, Time},
    cardamomloom_protocol::control::Message,
    std::collections::VecDeque,
};

/// Priority of a control message, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Liveness of failure domains and balancers, and probes of unresponsive subjects.
    Domain,
    /// Objects replicated from the store.
    Configuration,
    /// Host entries and heartbeats.
    Host,
    /// Load reports of hosts.
    Load,
}

impl Priority {
    /// All priorities, highest first.
    pub const ALL: [Self; 4] = [Self::Domain, Self::Configuration, Self::Host, Self::Load];

    /// Returns the priority of a message; a message with several kinds of content has that of
    /// the most urgent one.
    #[must_use]
    pub fn of(message: &Message) -> Self {
        match message {
            Message::LivenessRecords(_)
            | Message::Probe
            | Message::ProbeAnswer
            | Message::Suspect { .. } => Self::Domain,
            Message::Gossip(gossip) if !gossip.liveness_records.is_empty() => Self::Domain,
            Message::Gossip(gossip) if !gossip.objects.is_empty() => Self::Configuration,
            Message::Objects(_)
            | Message::ConfigRequest { .. }
            | Message::Assignment { .. }
            | Message::Want { .. } => Self::Configuration,
            _ => Self::Host,
        }
    }
}

/// Limits of a [`ControlBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetOptions {
    /// Sustained rate, including IP and UDP headers.
    pub rate_bytes_per_s: ByteRate,
    /// Capacity of the token bucket: bytes that may be sent at once after an idle period.
    pub burst_bytes: ByteCount,
    /// Maximum number of messages queued for each priority. A further message replaces the oldest
    /// one.
    pub max_queued_per_priority: usize,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            rate_bytes_per_s: ByteRate(3_000),
            // Four seconds at the sustained rate. The object of a failure domain for all 23 agents
            // of a balancer and a gossip round are then sent within the 3 s that P4 allows.
            burst_bytes: ByteCount(12_000),
            max_queued_per_priority: 256,
        }
    }
}

/// Token bucket with a queue of messages for each priority.
#[derive(Clone, Debug)]
pub struct ControlBudget<T> {
    options: BudgetOptions,
    /// One token is a millionth of a byte, which is what a rate of 1 B/s adds in 1 us.
    tokens: u64,
    last_refill: Time,
    queues: [VecDeque<(u64, T)>; 4],
    dropped: [u64; 4],
    sent_bytes: u64,
}

/// Tokens that sending one byte costs.
const TOKENS_PER_BYTE: u64 = 1_000_000;

impl<T> ControlBudget<T> {
    /// Creates a budget with a full token bucket and empty queues.
    #[must_use]
    pub fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            tokens: options.burst_bytes.0 * TOKENS_PER_BYTE,
            last_refill: Time::ZERO,
            queues: std::array::from_fn(|_| VecDeque::new()),
            dropped: [0; 4],
            sent_bytes: 0,
        }
    }

    /// Queues a message of `bytes` on the wire. Drops the oldest message of the same priority when
    /// the queue is full.
    pub fn enqueue(&mut self, priority: Priority, bytes: u64, message: T) {
        let queue = &mut self.queues[priority as usize];
        if queue.len() >= self.options.max_queued_per_priority {
            queue.pop_front();
            self.dropped[priority as usize] += 1;
        }
        queue.push_back((bytes, message));
    }

    /// Removes and returns the messages that may be sent now, most urgent first.
    ///
    /// A message that exceeds the available tokens also blocks all messages behind it and of
    /// lower priorities, so that a stream of small messages cannot starve it.
    pub fn dequeue(&mut self, now: Time) -> Vec<T> {
        let added_tokens = now.since(self.last_refill).0 * self.options.rate_bytes_per_s.0;
        let capacity = self.options.burst_bytes.0 * TOKENS_PER_BYTE;
        self.tokens = self.tokens.saturating_add(added_tokens).min(capacity);
        self.last_refill = self.last_refill.max(now);
        let mut sendable = Vec::new();
        for queue in &mut self.queues {
            while let Some((bytes, _)) = queue.front() {
                let cost = bytes * TOKENS_PER_BYTE;
                if cost > self.tokens {
                    return sendable;
                }
                self.tokens -= cost;
                self.sent_bytes += bytes;
                sendable.extend(queue.pop_front().map(|(_, message)| message));
            }
        }
        sendable
    }

    /// Returns the number of dropped messages for each priority, in the order of [`Priority::ALL`].
    #[must_use]
    pub const fn dropped(&self) -> [u64; 4] {
        self.dropped
    }

    /// Returns the total size of all messages that [`Self::dequeue`] returned.
    #[must_use]
    pub const fn sent_bytes(&self) -> ByteCount {
        ByteCount(self.sent_bytes)
    }

    /// Returns the number of queued messages of all priorities.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }
}
