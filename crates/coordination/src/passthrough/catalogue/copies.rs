//! Copies of the catalogue between this process and others.

use {
    super::CatalogueView,
    crate::passthrough::{CopyOutcome, CopyRequest, CopyResponse},
    cardamomloom_core::{Time, error::Error},
    cardamomloom_protocol::passthrough::{CatalogueCopy, CatalogueDocument, CatalogueVersion},
    log::warn,
    std::net::Ipv4Addr,
};

/// Result of encoding a copy.
type Result<T> = std::result::Result<T, Error>;

impl CatalogueView {
    /// Returns the next request of the process at `own_address` for a copy of a newer version, if one is
    /// due. Its outcome must be passed to [`Self::on_copy`].
    pub fn next_copy_request(&mut self, now: Time, own_address: Ipv4Addr) -> Option<CopyRequest> {
        let version = self.version();
        self.copy_requests.next(now, own_address, version)
    }

    /// Processes the outcome of a request to `peer` of the process at `own_address`. Returns the newer
    /// catalogue if the peer sent one.
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
        let document = CatalogueCopy::decode(encoded).and_then(|copy| {
            // Another transfer, or the store, may have been faster.
            let is_newer = copy.version() > present.0;
            is_newer.then(|| copy.apply(present.1)).transpose()
        });
        match document {
            Ok(document) => {
                self.copy_requests.on_ended(now, own_address, peer, outcome);
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
        base: CatalogueVersion,
    ) -> Result<CopyResponse> {
        let document = self.document.as_ref();
        self.copy_server.respond(now, receiver, base, document)
    }
}
