//! What a process knows about versions of the catalogue that are newer than its own.

use {
    super::CatalogueView,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::CatalogueVersion,
    log::{info, warn},
    std::net::Ipv4Addr,
};

/// Maximum number of announced versions that a replica remembers until it has a later one.
const MAX_ANNOUNCED_VERSIONS: usize = 32;

impl CatalogueView {
    /// Records that another process has a version of the catalogue. Returns whether it is newer than
    /// this replica.
    pub fn observe_version(
        &mut self,
        now: Time,
        process: Ipv4Addr,
        version: CatalogueVersion,
    ) -> bool {
        if version <= self.version() {
            return false;
        }
        self.copy_requests.observe(now, process, version);
        self.announced.entry(version).or_insert(now);
        if self.announced.len() > MAX_ANNOUNCED_VERSIONS {
            // Keeps the oldest version, since which this replica is behind, and the newest ones.
            let second = self.announced.keys().nth(1).copied();
            second.and_then(|version| self.announced.remove(&version));
        }
        true
    }

    /// Returns the newest version that another process has announced, if it is newer than this
    /// replica.
    #[must_use]
    pub fn newest_announced(&self) -> Option<CatalogueVersion> {
        self.announced.keys().next_back().copied()
    }

    /// Returns for how long this process has known that a newer version of the catalogue exists, or
    /// `None` while it knows of none.
    #[must_use]
    pub fn behind_for(&self, now: Time) -> Option<Span> {
        let announced_at = self.announced.values().min()?;
        Some(now.since(*announced_at))
    }

    /// Logs when this process has lacked an announced version for a while, and when it has caught up.
    pub fn log_behind(&mut self, now: Time) {
        let behind_for = self.behind_for(now);
        let is_behind = behind_for.is_some_and(|span| span >= self.options.report_behind_after);
        if std::mem::replace(&mut self.is_reported_behind, is_behind) == is_behind {
            return;
        }
        let (version, announced_version) = (self.version(), self.newest_announced());
        if is_behind {
            warn!(
                event = "catalogue_behind", version:%, behind_ms = behind_for.map(Span::as_millis),
                announced_version = announced_version.map(|version| version.0);
                "another process has announced a newer catalogue, which has not arrived here"
            );
        } else {
            info!(event = "catalogue_caught_up", version:%; "catalogue is no longer known to be outdated");
        }
    }
}
