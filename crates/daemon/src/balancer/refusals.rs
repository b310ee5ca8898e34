//! Opening packets that a balancer dropped because their service had no candidate.

use {
    crate::burn::{Source, Totals},
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

/// Totals as the packet loop last published them.
pub type PublishedRefusals = Arc<ArcSwap<BTreeMap<ServiceId, u64>>>;

/// Least time between two publications, which copy one entry per refused service.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Totals of the packet loop; it publishes copies and takes no lock.
pub struct Refusals {
    totals: BTreeMap<ServiceId, u64>,
    published: PublishedRefusals,
    changed: bool,
    next: Instant,
}

impl Refusals {
    /// Creates totals that are published to `published`.
    #[must_use]
    pub fn new(published: PublishedRefusals) -> Self {
        Self {
            totals: BTreeMap::new(),
            published,
            changed: false,
            next: Instant::now(),
        }
    }

    /// Counts a datagram that was dropped without a candidate, if it opens a flow.
    pub fn add(&mut self, table: &RoutingTable, datagram: &[u8]) {
        let meta = gue::decode(datagram)
            .ok()
            .and_then(|packet| packet::parse(packet).ok());
        let Some(meta) = meta.filter(packet::PacketMeta::opens_flow) else {
            return;
        };
        if let Some(candidates) = table.lookup(&meta.flow.service) {
            *self.totals.entry(candidates.service()).or_default() += 1;
            self.changed = true;
        }
    }

    /// Publishes the totals when they changed.
    pub fn publish(&mut self) {
        if self.changed && Instant::now() >= self.next {
            self.published.store(Arc::new(self.totals.clone()));
            self.changed = false;
            self.next = Instant::now() + PUBLISH_INTERVAL;
        }
    }
}

/// Returns the published totals as bad connections.
pub fn source(published: PublishedRefusals) -> Source {
    Box::new(move || {
        let totals = published.load();
        let bad = |(service, bad): (&ServiceId, &u64)| (*service, Totals { good: 0, bad: *bad });
        totals.iter().map(bad).collect()
    })
}
