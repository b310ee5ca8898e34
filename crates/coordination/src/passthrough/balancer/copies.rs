//! Copies of the catalogue between a balancer and other processes.

use {
    super::Balancer,
    crate::passthrough::{CopyOutcome, CopyRequest, CopyResponse, OutgoingMessage},
    cardamomloom_core::{Time, error::Error},
    cardamomloom_protocol::passthrough::CatalogueVersion,
    std::net::Ipv4Addr,
};

/// Result of encoding a copy.
type Result<T> = std::result::Result<T, Error>;

impl Balancer {
    /// Returns the next request for a copy of the catalogue, if one is due. Its outcome must be passed
    /// to [`Self::on_copy`].
    pub fn next_copy_request(&mut self, now: Time) -> Option<CopyRequest> {
        self.catalogue.next_copy_request(now, self.own_address)
    }

    /// Applies the outcome of a request to `peer`. Returns the messages that announce a newer catalogue.
    pub fn on_copy(
        &mut self,
        now: Time,
        peer: Ipv4Addr,
        outcome: &CopyOutcome,
    ) -> Vec<OutgoingMessage> {
        let document = self.catalogue.on_copy(now, self.own_address, peer, outcome);
        document.map_or_else(Vec::new, |document| self.on_catalogue(now, document))
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
        base: CatalogueVersion,
    ) -> Result<CopyResponse> {
        self.catalogue.copy_for(now, receiver, base)
    }
}
