//! Decides which processes a process asks for a copy of the catalogue, and when.

use {
    super::CopyOutcome,
    cardamomloom_core::{Span, Time, hash::splitmix64},
    cardamomloom_protocol::passthrough::{CatalogueVersion, CopyRefusal},
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Delays and limits of requests for copies.
#[derive(Clone, Copy, Debug)]
pub struct CopyRequestOptions {
    /// Time after the start of a transfer after which another process is asked too.
    pub hedge_after: Span,
    /// Maximum number of transfers at a time.
    pub max_transfers: usize,
    /// Time after a failure in which a process is not asked again.
    pub failure_backoff: Span,
    /// Mean delay of the request that follows the first refusal. It doubles with each further one.
    pub min_refusal_delay: Span,
    /// Longest mean delay after a refusal.
    pub max_refusal_delay: Span,
    /// Time without a sign that a process has a newer version after which it is not asked any more.
    pub source_ttl: Span,
}

impl Default for CopyRequestOptions {
    fn default() -> Self {
        Self {
            hedge_after: Span::from_millis(500),
            max_transfers: 3,
            failure_backoff: Span::from_secs(1),
            min_refusal_delay: Span::from_millis(40),
            max_refusal_delay: Span::from_millis(160),
            source_ttl: Span::from_secs(30),
        }
    }
}

/// Request for a copy of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyRequest {
    /// Process to ask.
    pub peer: Ipv4Addr,
    /// Version that this process has, or zero without a catalogue.
    pub base: CatalogueVersion,
}

/// A process that has a newer version.
#[derive(Clone, Copy, Debug)]
struct Source {
    version: CatalogueVersion,
    heard_at: Time,
    /// Time from which it may be asked.
    usable_from: Time,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    peer: Ipv4Addr,
    started: Time,
}

/// Processes that have newer versions of the catalogue, and the transfers from them.
#[derive(Clone, Debug, Default)]
pub struct CopyRequests {
    options: CopyRequestOptions,
    sources: BTreeMap<Ipv4Addr, Source>,
    transfers: Vec<Transfer>,
    /// Consecutive refusals.
    refusals: u32,
    /// Time before which no request is sent, because the last one was refused.
    paused_until: Time,
    /// Whether the last changes could not be applied, so that a whole copy is needed.
    needs_whole: bool,
}

impl CopyRequests {
    /// Records that a process has a version of the catalogue.
    pub fn observe(&mut self, now: Time, peer: Ipv4Addr, version: CatalogueVersion) {
        let source = self.sources.entry(peer).or_insert(Source {
            version,
            heard_at: now,
            usable_from: now,
        });
        source.version = version;
        source.heard_at = now;
    }

    /// Returns the next request of the process at `own_address`, which has version `own_version`, if
    /// one is due. The caller reports its outcome to [`Self::on_ended`].
    pub fn next(
        &mut self,
        now: Time,
        own_address: Ipv4Addr,
        own_version: CatalogueVersion,
    ) -> Option<CopyRequest> {
        let ttl = self.options.source_ttl;
        self.sources
            .retain(|_, source| source.version > own_version && now.since(source.heard_at) <= ttl);
        if self.sources.is_empty() {
            self.refusals = 0;
            return None;
        }
        let last_start = self.transfers.iter().map(|transfer| transfer.started).max();
        let is_busy =
            last_start.is_some_and(|started| now.since(started) < self.options.hedge_after);
        if is_busy || now < self.paused_until || self.transfers.len() >= self.options.max_transfers
        {
            return None;
        }
        let is_asked = |peer| self.transfers.iter().any(|transfer| transfer.peer == peer);
        let usable = self
            .sources
            .iter()
            .filter(|(peer, source)| source.usable_from <= now && !is_asked(**peer));
        // The hash spreads the requests of the fleet over the processes with the newest version.
        let (peer, _) = usable.max_by_key(|(peer, source)| {
            (
                source.version,
                pair_hash(own_address, **peer, source.version),
            )
        })?;
        let peer = *peer;
        self.transfers.push(Transfer { peer, started: now });
        let base = if self.needs_whole {
            CatalogueVersion::default()
        } else {
            own_version
        };
        Some(CopyRequest { peer, base })
    }

    /// Records the outcome of a request to `peer` of the process at `own_address`.
    pub fn on_ended(
        &mut self,
        now: Time,
        own_address: Ipv4Addr,
        peer: Ipv4Addr,
        outcome: &CopyOutcome,
    ) {
        let transfers = self.transfers.len();
        self.transfers.retain(|transfer| transfer.peer != peer);
        let is_own = self.transfers.len() < transfers;
        match outcome {
            CopyOutcome::Copy(_) => {
                self.refusals = 0;
                self.needs_whole = false;
            }
            // A refusal to send the times of the present version does not delay requests for a newer one.
            CopyOutcome::Refused(refusal) if is_own => {
                self.on_refusal(now, own_address, peer, refusal);
            }
            CopyOutcome::Refused(_) => {}
            CopyOutcome::Failed => {
                if let Some(source) = self.sources.get_mut(&peer) {
                    source.usable_from = now + self.options.failure_backoff;
                }
            }
        }
    }

    /// Records that changes could not be applied to the present catalogue.
    pub const fn require_whole(&mut self) {
        self.needs_whole = true;
    }

    fn on_refusal(
        &mut self,
        now: Time,
        own_address: Ipv4Addr,
        peer: Ipv4Addr,
        refusal: &CopyRefusal,
    ) {
        let options = self.options;
        let mean = Span(options.min_refusal_delay.0 << self.refusals.min(8));
        let mean = mean.min(options.max_refusal_delay);
        self.refusals += 1;
        let seed = CatalogueVersion(refusal.version.0 ^ u64::from(self.refusals) << 48);
        // Between half and one and a half of the mean.
        let jitter = pair_hash(own_address, peer, seed) % mean.0.max(1);
        self.paused_until = now + Span(mean.0 / 2 + jitter);
        let retry_after = Span::from_millis(u64::from(refusal.retry_after_ms));
        if let Some(source) = self.sources.get_mut(&peer) {
            source.usable_from = now + retry_after;
        }
        for holder in &refusal.holders {
            if *holder != own_address {
                self.sources.entry(*holder).or_insert(Source {
                    version: refusal.version,
                    heard_at: now,
                    usable_from: now,
                });
            }
        }
    }
}

fn pair_hash(own_address: Ipv4Addr, peer: Ipv4Addr, version: CatalogueVersion) -> u64 {
    let pair = u64::from(u32::from(own_address)) << 32 | u64::from(u32::from(peer));
    splitmix64(splitmix64(pair) ^ version.0)
}
