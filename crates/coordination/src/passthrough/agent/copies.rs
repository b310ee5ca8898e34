//! State that an agent and other processes copy from each other: the catalogue, and the snapshot of a
//! balancer.

use {
    super::Agent,
    crate::passthrough::{CopyOutcome, CopyQuery, CopyRequest, CopyResponse},
    cardamomloom_core::{Span, Time, error::Error},
    cardamomloom_protocol::passthrough::{CatalogueVersion, Snapshot},
    std::net::Ipv4Addr,
};

/// Result of encoding a copy.
type Result<T> = std::result::Result<T, Error>;

impl Agent {
    /// Returns the version of the catalogue, or zero when there is none.
    #[must_use]
    pub fn catalogue_version(&self) -> CatalogueVersion {
        self.catalogue.version()
    }

    /// Returns for how long this process has known that a newer version of the catalogue exists, or
    /// `None` while it knows of none.
    #[must_use]
    pub fn behind_for(&self, now: Time) -> Option<Span> {
        self.catalogue.behind_for(now)
    }

    /// Applies the snapshot of a balancer.
    pub fn on_snapshot(&mut self, now: Time, snapshot: Snapshot) {
        self.control.has_snapshot = true;
        self.control.snapshot_source = None;
        let document = snapshot.catalogue;
        if let Some(document) = document.and_then(|document| self.catalogue.on_snapshot(document)) {
            self.on_catalogue(now, document);
        }
        if let Some(status) = snapshot.domain_status {
            self.on_domain_status(now, status);
        }
        self.peers.add_all(now, snapshot.balancers);
    }

    /// Returns the balancer to request a snapshot from, if the agent has not received one since its
    /// start. It learns the other balancers from it.
    #[must_use]
    pub const fn snapshot_source(&mut self) -> Option<Ipv4Addr> {
        self.control.snapshot_source.take()
    }

    /// Returns the next request for a copy of the catalogue, if one is due. Its outcome must be passed
    /// to [`Self::on_copy`].
    pub fn next_copy_request(&mut self, now: Time) -> Option<CopyRequest> {
        self.catalogue.next_copy_request(now, self.identity.address)
    }

    /// Applies the outcome of a request to `peer`.
    pub fn on_copy(&mut self, now: Time, peer: Ipv4Addr, outcome: &CopyOutcome) {
        let own_address = self.identity.address;
        if let Some(document) = self.catalogue.on_copy(now, own_address, peer, outcome) {
            self.on_catalogue(now, document);
        }
    }

    /// Returns the newest version that another process has announced, if it is newer than the catalogue
    /// of this process.
    #[must_use]
    pub fn newest_announced(&self) -> Option<CatalogueVersion> {
        self.catalogue.newest_announced()
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
        self.catalogue.copy_for(now, receiver, query)
    }
}
