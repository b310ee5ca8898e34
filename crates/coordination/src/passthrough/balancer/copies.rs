//! State that a balancer and other processes copy from each other: the catalogue, and snapshots for
//! processes that start.

use {
    super::Balancer,
    crate::passthrough::{CopyOutcome, CopyQuery, CopyRequest, CopyResponse, OutgoingMessage},
    cardamomloom_core::{Span, Time, error::Error},
    cardamomloom_protocol::passthrough::{CatalogueVersion, Snapshot},
    std::net::Ipv4Addr,
};

/// Result of encoding a copy.
type Result<T> = std::result::Result<T, Error>;

/// Part of the state of a balancer that a process which starts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotContent {
    /// Everything. Processes of releases without copies of the catalogue request this.
    Whole,
    /// Everything but the catalogue, for a balancer.
    WithoutCatalogue,
    /// The known balancers and the status of the failure domains, for an agent.
    Membership,
}

impl Balancer {
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

    /// Applies the snapshot of a peer. Returns the messages that announce changes.
    pub fn on_snapshot(&mut self, now: Time, snapshot: Snapshot) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        let document = snapshot.catalogue;
        if let Some(document) = document.and_then(|document| self.catalogue.on_snapshot(document)) {
            outgoing.extend(self.on_catalogue(now, document));
        }
        if let Some(status) = snapshot.domain_status {
            outgoing.extend(self.on_domain_status(now, status));
        }
        self.peers.add_all(now, snapshot.balancers);
        for host in snapshot.hosts {
            self.hosts.on_peer_record(now, host);
        }
        outgoing
    }

    /// Returns a copy of the whole state, for a process that starts.
    #[must_use]
    pub fn snapshot(&self, now: Time) -> Snapshot {
        self.snapshot_of(now, SnapshotContent::Whole)
    }

    /// Returns a copy of a part of the state, for a process that starts. It has only the hosts whose
    /// agents are responsive, because the receiver cannot distinguish the others from these.
    #[must_use]
    pub fn snapshot_of(&self, now: Time, content: SnapshotContent) -> Snapshot {
        let hosts = match content {
            SnapshotContent::Membership => Vec::new(),
            SnapshotContent::Whole | SnapshotContent::WithoutCatalogue => {
                let responsive = self.hosts.responsive(now);
                responsive
                    .map(|record| record.announcement.clone())
                    .collect()
            }
        };
        let document = self.catalogue.document();
        Snapshot {
            catalogue: document
                .filter(|_| content == SnapshotContent::Whole)
                .cloned(),
            domain_status: self.catalogue.domain_status().cloned(),
            confirmed_ago_ms: self.confirmed_ago_ms(now),
            balancers: self.peers.contacted().chain([self.own_address]).collect(),
            hosts,
        }
    }

    /// Returns the balancer to request a snapshot from while this balancer lacks the catalogue or the
    /// status of the failure domains: any that can answer. Balancers that start together ask different
    /// ones.
    #[must_use]
    pub fn snapshot_source(&mut self, now: Time) -> Option<Ipv4Addr> {
        if self.catalogue.is_initialized() {
            return None;
        }
        self.control.round += 1;
        let turn = self.control.round + usize::from(self.own_address.octets()[3]);
        self.peers.snapshot_source(now, turn)
    }

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
        query: impl Into<CopyQuery>,
    ) -> Result<CopyResponse> {
        self.catalogue.copy_for(now, receiver, query)
    }
}
