//! Queue of the SYNs that a balancer receives before it can place them.
//!
//! Load pattern: after a power loss at all sites the routers send packets to balancers that have
//! just started. A dropped SYN costs its caller 200 ms until the retransmission; the balancer knows
//! its catalogue and first hosts sooner than that.

use {
    cardamomloom_core::{Span, Time},
    std::collections::VecDeque,
};

/// Bounded FIFO queue of packets, each of which expires after a short time.
#[derive(Debug)]
pub struct StartupQueue {
    packets: VecDeque<(Time, Box<[u8]>)>,
    capacity: usize,
    ttl: Span,
}

impl Default for StartupQueue {
    /// Creates a queue of 1,024 packets, which are two seconds of new flows of one balancer at the
    /// busiest site. A packet expires after 180 ms, when the caller is about to retransmit it.
    fn default() -> Self {
        Self::new(1_024, Span::from_millis(180))
    }
}

impl StartupQueue {
    /// Creates an empty queue of at most `capacity` packets, each of which expires after `ttl`.
    #[must_use]
    pub const fn new(capacity: usize, ttl: Span) -> Self {
        Self {
            packets: VecDeque::new(),
            capacity,
            ttl,
        }
    }

    /// Appends a packet. Returns whether the queue had room for it.
    pub fn push(&mut self, now: Time, packet: &[u8]) -> bool {
        self.remove_expired(now);
        let has_room = self.packets.len() < self.capacity;
        if has_room {
            self.packets.push_back((now, packet.into()));
        }
        has_room
    }

    /// Empties the queue and returns the packets that have not expired, oldest first.
    pub fn drain(&mut self, now: Time) -> Vec<Box<[u8]>> {
        self.remove_expired(now);
        self.packets.drain(..).map(|(_, packet)| packet).collect()
    }

    /// Returns whether the queue has no packets, expired ones included.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((queued_at, _)) = self.packets.front()
            && now.since(*queued_at) > self.ttl
        {
            self.packets.pop_front();
        }
    }
}
