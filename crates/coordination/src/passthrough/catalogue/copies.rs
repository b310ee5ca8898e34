//! Copies of the catalogue between this process and others.

use {
    super::CatalogueView,
    crate::passthrough::{CopyOutcome, CopyQuery, CopyRequest, CopyResponse},
    cardamomloom_core::{Time, error::Error},
    cardamomloom_protocol::passthrough::{
        CatalogueCopy, CatalogueDocument, CatalogueVersion, CopyFormat, RouteEntry,
    },
    log::{info, warn},
    std::net::Ipv4Addr,
};

/// Result of encoding a copy.
type Result<T> = std::result::Result<T, Error>;

impl CatalogueView {
    /// Returns the next request of the process at `own_address` for a copy of a newer version, or of the
    /// present one with times if this replica lacks them, if one is due. Its outcome must be passed to [`Self::on_copy`].
    pub fn next_copy_request(&mut self, now: Time, own_address: Ipv4Addr) -> Option<CopyRequest> {
        let version = self.version();
        let newer = self.copy_requests.next(now, own_address, version);
        if newer.is_some() || !self.lacks_times() {
            return newer;
        }
        self.times_requests.next(now, own_address, version)
    }

    /// Processes the outcome of a request to `peer` of the process at `own_address`. Returns the newer
    /// catalogue, or the present one with times, if the peer sent one.
    pub fn on_copy(
        &mut self,
        now: Time,
        own_address: Ipv4Addr,
        peer: Ipv4Addr,
        outcome: &CopyOutcome,
    ) -> Option<CatalogueDocument> {
        let CopyOutcome::Copy(encoded) = outcome else {
            self.copy_requests.on_ended(now, own_address, peer, outcome);
            return None;
        };
        let present = (self.version(), self.document.as_ref());
        let lacks_times = self.lacks_times();
        let document = CopyFormat::of(encoded).and_then(|format| {
            let copy = CatalogueCopy::decode(encoded)?;
            // Another transfer, or the store, may have been faster.
            let is_newer = copy.version() > present.0;
            let has_times = lacks_times
                && copy.version() == present.0
                && format == CopyFormat::WithTimes
                && matches!(copy, CatalogueCopy::Full(_));
            let needed = (is_newer || has_times).then(|| copy.apply_as(format, present.1));
            Ok((format, needed.transpose()?))
        });
        match document {
            Ok((format, document)) => {
                self.copy_requests.on_ended(now, own_address, peer, outcome);
                if format == CopyFormat::WithoutTimes
                    && let Some(document) = &document
                {
                    self.without_times = document.version;
                }
                document
            }
            Err(error) => {
                warn!(
                    event = "catalogue_copy_invalid", peer:%, version:% = self.version(),
                    bytes = encoded.len();
                    "copy of the catalogue ignored, a whole one is requested: {error}"
                );
                let failed = CopyOutcome::Failed;
                self.copy_requests.on_ended(now, own_address, peer, &failed);
                self.copy_requests.require_whole();
                None
            }
        }
    }

    /// Decides about the request of another process for a copy.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the catalogue cannot be encoded.
    pub fn copy_for(
        &mut self,
        now: Time,
        receiver: Ipv4Addr,
        query: impl Into<CopyQuery>,
    ) -> Result<CopyResponse> {
        let mut query = query.into();
        if self.lacks_times() {
            query.format = CopyFormat::WithoutTimes;
        }
        let document = self.document.as_ref();
        self.copy_server.respond(now, receiver, query, document)
    }

    /// Processes the catalogue in the snapshot of a peer, which only releases without copies send.
    /// Returns it if it is newer than this replica.
    pub fn on_snapshot(&mut self, document: CatalogueDocument) -> Option<CatalogueDocument> {
        if self.document.is_some() && document.version <= self.version() {
            return None;
        }
        let has_times = |route: &RouteEntry| route.response_goal_ms > 0 || route.timeout_ms > 0;
        if !document.routes.iter().any(has_times) {
            self.without_times = document.version;
        }
        Some(document)
    }

    /// Returns whether this replica arrived without the times of its routes, from a process of the
    /// previous release.
    #[must_use]
    pub fn lacks_times(&self) -> bool {
        self.document.is_some() && self.without_times == self.version()
    }

    /// Replaces a replica without times by the same version with times.
    pub(super) fn add_times(&mut self, document: CatalogueDocument) {
        info!(
            event = "catalogue_times", version:% = document.version;
            "latency goals and timeouts of the catalogue are known"
        );
        self.copy_server.on_change(None, &document);
        self.without_times = CatalogueVersion::default();
        self.times_requests.clear();
        self.replace_document(document);
    }
}
