//! Requests of a process whose catalogue arrived without the times of its routes.
//!
//! During a rolling upgrade a process of this release may get the catalogue from one of the previous
//! release, whose copies have no latency goals and timeouts. It then asks the processes that have the same
//! version, one after the other in random order, until one sends a copy with times. Processes of the previous
//! release, and those without times, refuse at the cost of a request.

use {
    super::CopyRequest,
    cardamomloom_core::{Span, Time, hash::splitmix64},
    cardamomloom_protocol::passthrough::CatalogueVersion,
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Mean time between two requests. A refused one takes about 1 KB with its connection, a twelfth of the
/// 3 KB/s that control messages may take.
const REQUEST_INTERVAL: Span = Span::from_secs(4);

/// Time without a sign that a process has the version after which it is not asked any more.
const SOURCE_TTL: Span = Span::from_secs(30);

/// Processes that have the same version of the catalogue, some of them with times.
#[derive(Clone, Debug, Default)]
pub struct TimesRequests {
    /// Processes with the time at which they last announced the version.
    sources: BTreeMap<Ipv4Addr, Time>,
    next_at: Option<Time>,
    round: u64,
}

impl TimesRequests {
    /// Records that a process has the same version.
    pub fn observe(&mut self, now: Time, peer: Ipv4Addr) {
        self.sources.insert(peer, now);
    }

    /// Forgets all processes when the catalogue has changed.
    pub fn clear(&mut self) {
        self.sources.clear();
        self.next_at = None;
    }

    /// Returns the next request of the process at `own_address`, which has `version` without times, if
    /// one is due.
    pub fn next(
        &mut self,
        now: Time,
        own_address: Ipv4Addr,
        version: CatalogueVersion,
    ) -> Option<CopyRequest> {
        self.sources
            .retain(|_, heard_at| now.since(*heard_at) <= SOURCE_TTL);
        let sources = u64::try_from(self.sources.len()).unwrap_or_default();
        let seed = splitmix64(u64::from(u32::from(own_address))) ^ splitmix64(self.round);
        let hash = splitmix64(seed ^ version.0);
        // Between half and one and a half of the interval, so that a fleet does not ask all at once.
        let delay = Span(REQUEST_INTERVAL.0 / 2 + hash % REQUEST_INTERVAL.0);
        if now < *self.next_at.get_or_insert(now + delay) {
            return None;
        }
        let index = usize::try_from((hash >> 32).checked_rem(sources)?).ok()?;
        let peer = self.sources.keys().nth(index).copied()?;
        self.round += 1;
        self.next_at = Some(now + delay);
        Some(CopyRequest {
            peer,
            base: version,
        })
    }
}
