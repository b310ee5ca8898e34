//! Transfers of the catalogue and of other state: from the store, and between processes.

use {
    super::{Event, Simulation},
    cardamomloom_coordination::passthrough::{
        CopyOutcome, CopyRequest, CopyResponse, StoreAccess, balancer::SnapshotContent,
    },
    cardamomloom_core::Span,
    cardamomloom_protocol::passthrough::{CatalogueDocument, CatalogueVersion},
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Time after which a request to a process that does not run has failed.
const CONNECT_TIMEOUT: Span = Span::from_millis(800);

impl Simulation {
    /// Returns the number of requests for copies of the catalogue since the last call, and resets it.
    pub const fn take_copy_requests(&mut self) -> usize {
        std::mem::replace(&mut self.copy_requests, 0)
    }

    /// Returns the versions of the catalogue that running processes have, with their numbers.
    #[must_use]
    pub fn catalogue_versions(&self) -> BTreeMap<CatalogueVersion, usize> {
        let balancers = self.balancers.values().filter(|process| process.is_up);
        let agents = self.agents.values().filter(|process| process.is_up);
        let versions = balancers
            .map(|process| process.core.catalogue_version())
            .chain(agents.map(|process| process.core.catalogue_version()));
        let mut counts = BTreeMap::new();
        for version in versions {
            *counts.entry(version).or_default() += 1;
        }
        counts
    }

    /// Returns the version of the catalogue that the store has.
    #[must_use]
    pub const fn stored_version(&self) -> CatalogueVersion {
        self.catalogue.version
    }

    /// Reads the store for a process: at once, or over the link of the process when the catalogue has
    /// changed and links have a rate.
    pub(super) fn read_store(&mut self, address: Ipv4Addr, generation: u64, access: StoreAccess) {
        let document = self.catalogue.clone();
        let known_version = if let Some(process) = self.balancers.get(&address) {
            process.core.catalogue_version()
        } else if let Some(process) = self.agents.get(&address) {
            process.core.catalogue_version()
        } else {
            return;
        };
        if self.options.link_bytes_per_s == 0 || known_version == document.version {
            self.on_store_answer(address, generation, document, access);
        } else if self.links.is_idle(self.now, address) {
            let end = self
                .links
                .transfer(self.now, address, json_bytes(&document));
            let answer = Event::StoreAnswer(address, generation, document, access);
            self.schedule_at(end, answer);
        }
    }

    /// Applies the state that a process has read from the store.
    pub(super) fn on_store_answer(
        &mut self,
        address: Ipv4Addr,
        generation: u64,
        document: CatalogueDocument,
        access: StoreAccess,
    ) {
        if !self.is_current(address, generation) {
            return;
        }
        let (now, status) = (self.now, self.domain_status.clone());
        if let Some(process) = self.balancers.get_mut(&address) {
            let mut outgoing = process.core.on_catalogue(now, document);
            outgoing.extend(process.core.on_domain_status(now, status));
            if access != StoreAccess::Bootstrap {
                process.core.on_store_confirmed(now);
            }
            self.send_control(address, outgoing);
        } else if let Some(process) = self.agents.get_mut(&address) {
            process.core.on_catalogue(now, document);
            process.core.on_domain_status(now, status);
            process.core.on_store_confirmed(now);
        }
    }

    /// Starts the requests of a process that are due. A request is subject to neither loss nor delay
    /// here; the answer takes its time on the links of both processes.
    pub(super) fn request_copies(&mut self, to: Ipv4Addr, generation: u64) {
        let now = self.now;
        self.copy_snapshot(to);
        let request = if let Some(process) = self.balancers.get_mut(&to) {
            process.core.next_copy_request(now)
        } else if let Some(process) = self.agents.get_mut(&to) {
            process.core.next_copy_request(now)
        } else {
            None
        };
        let Some(CopyRequest { peer, base }) = request else {
            return;
        };
        self.copy_requests += 1;
        let outcome = self.request_copy(to, peer, base);
        let end = match &outcome {
            CopyOutcome::Copy(encoded) => {
                let sent = self.links.transfer(now, peer, encoded.len());
                sent.max(self.links.transfer(now, to, encoded.len()))
            }
            CopyOutcome::Refused(_) => now,
            // A process that does not run refuses the connection, or is silent until a timeout.
            CopyOutcome::Failed => now + CONNECT_TIMEOUT,
        };
        if self.options.link_bytes_per_s == 0 {
            self.on_copy_ended(to, generation, peer, &outcome);
        } else {
            let round_trip = Span(2 * self.options.delay.0);
            self.schedule_at(
                end + round_trip,
                Event::CopyEnded {
                    to,
                    generation,
                    peer,
                    outcome,
                },
            );
        }
    }

    fn request_copy(
        &mut self,
        receiver: Ipv4Addr,
        peer: Ipv4Addr,
        base: CatalogueVersion,
    ) -> CopyOutcome {
        let now = self.now;
        let response = if let Some(process) = self.balancers.get_mut(&peer) {
            process
                .is_up
                .then(|| process.core.copy_for(now, receiver, base))
        } else if let Some(process) = self.agents.get_mut(&peer) {
            process
                .is_up
                .then(|| process.core.copy_for(now, receiver, base))
        } else {
            None
        };
        match response {
            Some(Ok(CopyResponse::Copy(encoded))) => CopyOutcome::Copy(encoded.to_vec()),
            Some(Ok(CopyResponse::Refused(refusal))) => CopyOutcome::Refused(refusal),
            Some(Err(_)) | None => CopyOutcome::Failed,
        }
    }

    /// Applies the outcome of a request for a copy.
    pub(super) fn on_copy_ended(
        &mut self,
        to: Ipv4Addr,
        generation: u64,
        peer: Ipv4Addr,
        outcome: &CopyOutcome,
    ) {
        if !self.is_current(to, generation) {
            return;
        }
        if let Some(process) = self.balancers.get_mut(&to) {
            let outgoing = process.core.on_copy(self.now, peer, outcome);
            self.send_control(to, outgoing);
        } else if let Some(process) = self.agents.get_mut(&to) {
            process.core.on_copy(self.now, peer, outcome);
        }
    }

    /// Copies what a process that starts needs besides the catalogue.
    fn copy_snapshot(&mut self, to: Ipv4Addr) {
        let now = self.now;
        let (source, content) = if let Some(process) = self.balancers.get_mut(&to) {
            let source = process.core.snapshot_source(now);
            (source, SnapshotContent::WithoutCatalogue)
        } else if let Some(process) = self.agents.get_mut(&to) {
            (process.core.snapshot_source(), SnapshotContent::Membership)
        } else {
            return;
        };
        let snapshot = source
            .and_then(|source| self.balancers.get(&source))
            .filter(|process| process.is_up)
            .map(|process| process.core.snapshot_of(now, content));
        let Some(snapshot) = snapshot else { return };
        if let Some(process) = self.balancers.get_mut(&to) {
            let outgoing = process.core.on_snapshot(now, snapshot);
            self.send_control(to, outgoing);
        } else if let Some(process) = self.agents.get_mut(&to) {
            process.core.on_snapshot(now, snapshot);
        }
    }
}

fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |json| json.len())
}
