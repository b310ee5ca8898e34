//! Links of the simulated processes, which carry one transfer after the other.

use {
    cardamomloom_core::{Span, Time},
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Links of all processes.
#[derive(Debug)]
pub(super) struct Links {
    /// Rate of each link; 0 for no limit.
    bytes_per_s: u64,
    busy_until: BTreeMap<Ipv4Addr, Time>,
}

impl Links {
    pub(super) const fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            busy_until: BTreeMap::new(),
        }
    }

    /// Queues a transfer on the link of a process and returns the time at which it ends.
    pub(super) fn transfer(&mut self, now: Time, process: Ipv4Addr, bytes: usize) -> Time {
        let duration = (bytes as u64 * 1_000_000)
            .checked_div(self.bytes_per_s)
            .unwrap_or_default();
        let busy_until = self.busy_until.entry(process).or_default();
        *busy_until = (*busy_until).max(now) + Span(duration);
        *busy_until
    }

    /// Returns whether the link of a process carries no transfer.
    pub(super) fn is_idle(&self, now: Time, process: Ipv4Addr) -> bool {
        self.busy_until
            .get(&process)
            .is_none_or(|busy_until| *busy_until <= now)
    }

    /// Forgets the transfers of a process that has ended.
    pub(super) fn clear(&mut self, process: Ipv4Addr) {
        self.busy_until.remove(&process);
    }
}
