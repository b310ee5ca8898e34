//! Counts new flows that a balancer dropped because their service had no candidate.

use {
    crate::burn::{ConnectionTotals, TotalsSource},
    arc_swap::ArcSwap,
    cardamomloom_core::ServiceId,
    cardamomloom_protocol::{gue, packet},
    cardamomloom_state::routing::RoutingTable,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Refused flows per service, as last published by the packet loop.
pub type PublishedRefusals = Arc<ArcSwap<BTreeMap<ServiceId, u64>>>;

/// Minimum time between two publications. Each one copies an entry per service with refused flows.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Refused flows per service, counted by the packet loop. It publishes copies and so takes no lock.
pub struct Refusals {
    totals: BTreeMap<ServiceId, u64>,
    published: PublishedRefusals,
    has_unpublished: bool,
    next_publication: Instant,
}

impl Refusals {
    /// Creates zero totals that are published to `published`.
    #[must_use]
    pub fn new(published: PublishedRefusals) -> Self {
        Self {
            totals: BTreeMap::new(),
            published,
            has_unpublished: false,
            next_publication: Instant::now(),
        }
    }

    /// Counts a datagram that was dropped for lack of a candidate, if it opens a flow.
    pub fn add(&mut self, table: &RoutingTable, datagram: &[u8]) {
        let meta = gue::decode(datagram)
            .ok()
            .and_then(|packet| packet::parse(packet).ok());
        let Some(meta) = meta.filter(packet::PacketMeta::opens_flow) else {
            return;
        };
        if let Some(candidates) = table.lookup(&meta.flow.service) {
            *self.totals.entry(candidates.service()).or_default() += 1;
            self.has_unpublished = true;
        }
    }

    /// Publishes changed totals, at most every 500 ms.
    pub fn publish(&mut self) {
        if self.has_unpublished && Instant::now() >= self.next_publication {
            self.published.store(Arc::new(self.totals.clone()));
            self.has_unpublished = false;
            self.next_publication = Instant::now() + PUBLISH_INTERVAL;
        }
    }
}

/// Returns a source that reports each published refusal as a bad connection.
pub fn source(published: PublishedRefusals) -> TotalsSource {
    Box::new(move || {
        let totals = published.load();
        let bad = |(service, bad): (&ServiceId, &u64)| {
            (*service, ConnectionTotals { good: 0, bad: *bad })
        };
        totals.iter().map(bad).collect()
    })
}
