//! Routing table of the packet loop: from service address to candidate table.

use {
    crate::{
        candidates::{Candidate, CandidateTable},
        catalogue::Catalogue,
        hosts::HostTable,
    },
    cardamomloom_core::{
        ServiceId, TableVersion,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::{control::HostState, object::ServiceSpec},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// Result of building a routing table.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that the packet loop of a balancer reads.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    by_address: HashMap<SocketAddr, Arc<CandidateTable>>,
    by_service: HashMap<ServiceId, Arc<CandidateTable>>,
}

impl RoutingTable {
    /// Returns the candidate table of a service address.
    #[must_use]
    pub fn lookup(&self, address: &SocketAddr) -> Option<&Arc<CandidateTable>> {
        self.by_address.get(address)
    }

    /// Returns the candidate table of a service.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&Arc<CandidateTable>> {
        self.by_service.get(&service)
    }

    /// Returns service and table version of every service.
    pub fn versions(&self) -> impl Iterator<Item = (ServiceId, TableVersion)> {
        self.by_service
            .iter()
            .map(|(service, table)| (*service, table.version()))
    }

    /// Builds the next routing table; tables of services whose inputs did not change are shared
    /// with `self`.
    ///
    /// # Errors
    ///
    /// Fails with kind `conflict` when two services claim one address and port, or share an id.
    pub fn rebuild(&self, catalogue: &Catalogue, hosts: &HostTable) -> Result<Self> {
        let mut next = Self::default();
        for spec in catalogue.services() {
            let table = self.service_table(spec, catalogue, hosts)?;
            if next.by_service.insert(spec.id, table.clone()).is_some() {
                return Err(conflict(format!(
                    "routing: service {} shares its id {} with another service",
                    spec.name, spec.id
                )));
            }
            for address in &spec.addresses {
                let address = SocketAddr::new(*address, spec.port);
                if next.by_address.insert(address, table.clone()).is_some() {
                    return Err(conflict(format!(
                        "routing: service {} claims {address}, which another service has",
                        spec.name
                    )));
                }
            }
        }
        Ok(next)
    }

    fn service_table(
        &self,
        spec: &ServiceSpec,
        catalogue: &Catalogue,
        hosts: &HostTable,
    ) -> Result<Arc<CandidateTable>> {
        let candidates = candidates_of(spec.id, catalogue, hosts);
        let hash_key = spec.hash_key_bytes();
        match self.by_service.get(&spec.id) {
            Some(present) if present.has_inputs(hash_key, &candidates) => Ok(present.clone()),
            Some(present) => present.update(hash_key, candidates).map(Arc::new),
            None => CandidateTable::build(spec.id, hash_key, candidates).map(Arc::new),
        }
    }
}

/// Returns the hosts of a service that are ready or draining, in failure domains that are in.
#[must_use]
pub fn candidates_of(
    service: ServiceId,
    catalogue: &Catalogue,
    hosts: &HostTable,
) -> Vec<Candidate> {
    hosts
        .of_service(service)
        .filter(|entry| matches!(entry.state, HostState::Ready | HostState::Draining))
        .filter(|entry| !catalogue.is_out(&entry.domain))
        .map(Candidate::from)
        .collect()
}

fn conflict(message: String) -> Error {
    Error::new(ErrorKind::Conflict, message)
}
