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

/// Least time between the announcement of a version and a confirmation of an older one by the store that
/// shows that the store has lost the version. It exceeds the delay of a heartbeat.
const MIN_CONFIRMATION_GAP: Span = Span::from_millis(250);

/// Consecutive heartbeats that may be missing from a process that has announced a version.
const MAX_MISSED_ANNOUNCEMENTS: u64 = 3;

/// Least time after an announcement in which its sender counts as reachable.
const MIN_ANNOUNCEMENT_TTL: Span = Span::from_secs(2);

impl CatalogueView {
    /// Records that another process, which sends a message each `interval`, has a version of the
    /// catalogue. Returns whether it is newer than this replica.
    pub fn observe_version(
        &mut self,
        now: Time,
        process: Ipv4Addr,
        version: CatalogueVersion,
        interval: Span,
    ) -> bool {
        if version <= self.version() {
            if version == self.version() && self.lacks_times() {
                self.times_requests.observe(now, process);
            }
            return false;
        }
        let ttl = Span(interval.0 * MAX_MISSED_ANNOUNCEMENTS).max(MIN_ANNOUNCEMENT_TTL);
        self.announced_until = self.announced_until.max(now + ttl);
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

    /// Returns whether this process has known for so long of a newer version that it must not open flows
    /// by its own. A process that no longer hears of the newer version is cut off, and serves on.
    #[must_use]
    pub fn is_outdated(&self, now: Time) -> bool {
        now <= self.announced_until
            && self
                .behind_for(now)
                .is_some_and(|behind_for| behind_for >= self.options.outdated_after)
    }

    /// Forgets the versions that were announced before the store confirmed this replica. A restore of
    /// the store from a copy loses versions.
    pub(super) fn forget_lost_versions(&mut self, confirmed_at: Time) {
        let lost_before = confirmed_at - MIN_CONFIRMATION_GAP;
        self.announced
            .retain(|_, announced_at| *announced_at > lost_before);
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
