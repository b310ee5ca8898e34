//! Byte budget of control traffic: a token bucket that serves urgent messages first.

use {
    cardamomloom_core::{ByteCount, ByteRate, Time},
    cardamomloom_protocol::control::Message,
    std::collections::VecDeque,
};

/// Urgency of a control message, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// State of failure domains and balancers, and checks of silent subjects.
    Domain,
    /// Objects of the store.
    Configuration,
    /// State of hosts.
    Host,
    /// Load of hosts.
    Load,
}

impl Priority {
    /// All priorities, highest first.
    pub const ALL: [Self; 4] = [Self::Domain, Self::Configuration, Self::Host, Self::Load];

    /// Returns the priority of a message, that of its most urgent content.
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

/// Limits of a control budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetOptions {
    /// Bytes per second over a long time, IP and UDP headers included.
    pub rate_bytes_per_s: ByteRate,
    /// Bytes that may be sent at once after a quiet time.
    pub burst_bytes: ByteCount,
    /// Messages of one priority that may wait; the oldest is dropped for a new one.
    pub queue_limit: usize,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            rate_bytes_per_s: ByteRate(3_000),
            // Four seconds of the rate: one domain object to the 23 agents of a balancer and a
            // round of gossip leave within the 3 s bound of P4.
            burst_bytes: ByteCount(12_000),
            queue_limit: 256,
        }
    }
}

/// Messages that wait for the budget, with what is left of it.
#[derive(Clone, Debug)]
pub struct ControlBudget<T> {
    options: BudgetOptions,
    /// Tokens in millionths of a byte, the amount that 1 B/s yields in 1 us.
    tokens: u64,
    refilled: Time,
    queues: [VecDeque<(u64, T)>; 4],
    dropped: [u64; 4],
    sent_bytes: u64,
}

const MICRO: u64 = 1_000_000;

impl<T> ControlBudget<T> {
    /// Creates a full budget.
    #[must_use]
    pub fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            tokens: options.burst_bytes.0 * MICRO,
            refilled: Time::ZERO,
            queues: std::array::from_fn(|_| VecDeque::new()),
            dropped: [0; 4],
            sent_bytes: 0,
        }
    }

    /// Queues a message of a size in bytes.
    pub fn offer(&mut self, priority: Priority, bytes: u64, message: T) {
        let queue = &mut self.queues[priority as usize];
        if queue.len() >= self.options.queue_limit {
            queue.pop_front();
            self.dropped[priority as usize] += 1;
        }
        queue.push_back((bytes, message));
    }

    /// Returns the messages that may be sent now, most urgent first.
    ///
    /// A message that does not fit yet keeps every less urgent one back, so that a stream of
    /// small messages cannot starve it.
    pub fn take(&mut self, now: Time) -> Vec<T> {
        let gained = now.since(self.refilled).0 * self.options.rate_bytes_per_s.0;
        let limit = self.options.burst_bytes.0 * MICRO;
        self.tokens = self.tokens.saturating_add(gained).min(limit);
        self.refilled = self.refilled.max(now);
        let mut ready = Vec::new();
        for queue in &mut self.queues {
            while let Some((bytes, _)) = queue.front() {
                let cost = bytes * MICRO;
                if cost > self.tokens {
                    return ready;
                }
                self.tokens -= cost;
                self.sent_bytes += bytes;
                ready.extend(queue.pop_front().map(|(_, message)| message));
            }
        }
        ready
    }

    /// Returns the number of dropped messages by priority.
    #[must_use]
    pub const fn dropped(&self) -> [u64; 4] {
        self.dropped
    }

    /// Returns the bytes of all messages that were handed out.
    #[must_use]
    pub const fn sent_bytes(&self) -> ByteCount {
        ByteCount(self.sent_bytes)
    }

    /// Returns the number of waiting messages.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }
}
