//! Opening packets that reach a balancer before it can place them.
//!
//! Load pattern: after a loss of power everywhere the routers send to balancers that have just
//! started. A packet that is dropped costs its caller 200 ms, until the copy; the balancer knows its
//! catalogue and first hosts sooner.

use {
    cardamomloom_core::{Span, Time},
    std::collections::VecDeque,
};

/// Holds packets for a short time, in the order of their arrival.
#[derive(Debug)]
pub struct StartupQueue {
    held: VecDeque<(Time, Box<[u8]>)>,
    capacity: usize,
    hold_for: Span,
}

impl Default for StartupQueue {
    /// Holds up to 1,024 packets, two seconds of the new flows of one balancer on the busiest site,
    /// for 180 ms, after which the caller's copy is on its way.
    fn default() -> Self {
        Self::new(1_024, Span::from_millis(180))
    }
}

impl StartupQueue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(capacity: usize, hold_for: Span) -> Self {
        Self {
            held: VecDeque::new(),
            capacity,
            hold_for,
        }
    }

    /// Holds a packet; tells whether there was room.
    pub fn push(&mut self, now: Time, packet: &[u8]) -> bool {
        self.expire(now);
        let has_room = self.held.len() < self.capacity;
        if has_room {
            self.held.push_back((now, packet.into()));
        }
        has_room
    }

    /// Returns the packets that are still worth placing, oldest first.
    pub fn drain(&mut self, now: Time) -> Vec<Box<[u8]>> {
        self.expire(now);
        self.held.drain(..).map(|(_, packet)| packet).collect()
    }

    /// Tells whether no packet is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.held.front()
            && now.since(*at) > self.hold_for
        {
            self.held.pop_front();
        }
    }
}
