//! Cache of per-flow values with a bounded size and an idle time to live.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::FlowId,
    std::collections::HashMap,
};

/// Caches one value per flow until it has been unused for a time. An insertion into a full cache
/// evicts the least recently used half of the entries. A missing entry costs an owner lookup.
#[derive(Debug)]
pub struct FlowCache<T> {
    entries: HashMap<FlowId, (Time, T)>,
    capacity: usize,
    idle_ttl: Span,
    next_sweep: Time,
}

impl<T> FlowCache<T> {
    /// Creates a cache of at most `capacity` flows. An entry expires `idle_ttl` after its last use.
    #[must_use]
    pub fn new(capacity: usize, idle_ttl: Span) -> Self {
        Self {
            entries: HashMap::new(),
            capacity,
            idle_ttl,
            next_sweep: Time::ZERO,
        }
    }

    /// Changes the time to live of all entries.
    pub const fn set_idle_ttl(&mut self, idle_ttl: Span) {
        self.idle_ttl = idle_ttl;
    }

    /// Returns the value of a flow and restarts its time to live, or `None` when the value is
    /// missing or expired.
    pub fn touch(&mut self, now: Time, flow: &FlowId) -> Option<&mut T> {
        let (last_used, value) = self.entries.get_mut(flow)?;
        if now.since(*last_used) > self.idle_ttl {
            return None;
        }
        *last_used = now;
        Some(value)
    }

    /// Stores the value of a flow, in place of any earlier one.
    pub fn insert(&mut self, now: Time, flow: FlowId, value: T) {
        self.remove_expired(now);
        if self.entries.len() >= self.capacity {
            self.evict_oldest_half();
        }
        self.entries.insert(flow, (now, value));
    }

    /// Removes the value of a flow.
    pub fn remove(&mut self, flow: &FlowId) {
        self.entries.remove(flow);
    }

    /// Removes expired entries, at most once in a quarter of the time to live.
    fn remove_expired(&mut self, now: Time) {
        if now < self.next_sweep {
            return;
        }
        let idle_ttl = self.idle_ttl;
        self.next_sweep = now + Span(idle_ttl.0 / 4);
        self.entries
            .retain(|_, (last_used, _)| now.since(*last_used) <= idle_ttl);
    }

    fn evict_oldest_half(&mut self) {
        let mut use_times: Vec<Time> = self
            .entries
            .values()
            .map(|(last_used, _)| *last_used)
            .collect();
        let middle = use_times.len() / 2;
        let (_, median, _) = use_times.select_nth_unstable(middle);
        let median = *median;
        self.entries.retain(|_, (last_used, _)| *last_used > median);
    }
}
