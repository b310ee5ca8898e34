//! Bounded memory of what a process learned about single flows.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::FlowId,
    std::collections::HashMap,
};

/// Remembers one value per flow for a time. When the memory is full, half of the entries, the
/// oldest ones, are forgotten; a forgotten flow costs a search.
#[derive(Debug)]
pub struct FlowCache<T> {
    entries: HashMap<FlowId, (Time, T)>,
    capacity: usize,
    keep_for: Span,
    next_sweep: Time,
}

impl<T> FlowCache<T> {
    /// Creates a memory of `capacity` flows that keeps each for `keep_for` after its last use.
    #[must_use]
    pub fn new(capacity: usize, keep_for: Span) -> Self {
        Self {
            entries: HashMap::new(),
            capacity,
            keep_for,
            next_sweep: Time::ZERO,
        }
    }

    /// Returns the value of a flow and marks it as used.
    pub fn touch(&mut self, now: Time, flow: &FlowId) -> Option<&mut T> {
        let (used, value) = self.entries.get_mut(flow)?;
        if now.since(*used) > self.keep_for {
            return None;
        }
        *used = now;
        Some(value)
    }

    /// Sets the value of a flow.
    pub fn insert(&mut self, now: Time, flow: FlowId, value: T) {
        self.sweep(now);
        if self.entries.len() >= self.capacity {
            self.forget_oldest_half();
        }
        self.entries.insert(flow, (now, value));
    }

    fn sweep(&mut self, now: Time) {
        if now < self.next_sweep {
            return;
        }
        let keep_for = self.keep_for;
        self.next_sweep = now + Span(keep_for.0 / 4);
        self.entries
            .retain(|_, (used, _)| now.since(*used) <= keep_for);
    }

    fn forget_oldest_half(&mut self) {
        let mut times: Vec<Time> = self.entries.values().map(|(used, _)| *used).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.entries.retain(|_, (used, _)| *used > median);
    }
}
