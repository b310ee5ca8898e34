//! Routing table of the packet loop: from service address to candidate table.

use {
    crate::{
        candidates::{Candidate, CandidateTable},
        catalogue::{Catalogue, ClaimConflict},
        hosts::HostTable,
    },
    cardamomloom_core::{ServiceId, ServiceName, TableVersion, error::Error},
    cardamomloom_protocol::{
        control::{HostEntry, HostState},
        object::ServiceSpec,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// Result of building a routing table.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that the packet loop of a balancer reads.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// The keys come from the catalogue and packets only look up, so that callers cannot fill a
    /// chain of collisions; a fast hash is enough.
    by_address: HashMap<SocketAddr, Arc<CandidateTable>, foldhash::fast::RandomState>,
    by_service: HashMap<ServiceId, Arc<CandidateTable>>,
    names: HashMap<ServiceId, ServiceName>,
    problems: Vec<Arc<str>>,
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

    /// Returns the name of a service.
    #[must_use]
    pub fn name(&self, service: ServiceId) -> Option<&ServiceName> {
        self.names.get(&service)
    }

    /// Returns what could not be put in force, one sentence each.
    #[must_use]
    pub fn problems(&self) -> &[Arc<str>] {
        &self.problems
    }

    /// Builds the next routing table; tables of services whose inputs did not change are shared
    /// with `self`.
    ///
    /// A service that claims what another one has, or whose table cannot be built, does not stop
    /// the update of others: the claim stays with its holder, and the service keeps its table.
    ///
    /// # Errors
    ///
    /// Never fails at present; the result allows for a change that would stop the whole update.
    pub fn rebuild(&self, catalogue: &Catalogue, hosts: &HostTable) -> Result<Self> {
        let mut next = Self::default();
        let mut candidates = candidates_by_service(catalogue, hosts);
        let claims = catalogue.claims();
        next.problems = claims.conflicts().iter().map(describe).collect();
        for spec in catalogue.services().filter(|spec| claims.has_id(spec)) {
            let candidates = candidates.remove(&spec.id).unwrap_or_default();
            let table = match self.service_table(spec, candidates) {
                Ok(table) => table,
                Err(error) => {
                    next.problems.push(error.message);
                    match self.by_service.get(&spec.id) {
                        Some(present) => present.clone(),
                        None => continue,
                    }
                }
            };
            for address in &spec.addresses {
                let address = SocketAddr::new(*address, spec.port);
                if claims.has_address(spec, &address) {
                    next.by_address.insert(address, table.clone());
                }
            }
            next.names.insert(spec.id, spec.name.clone());
            next.by_service.insert(spec.id, table);
        }
        Ok(next)
    }

    fn service_table(
        &self,
        spec: &ServiceSpec,
        candidates: Vec<Candidate>,
    ) -> Result<Arc<CandidateTable>> {
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
        .filter(|entry| is_candidate(entry, catalogue))
        .map(Candidate::from)
        .collect()
}

/// Returns [`candidates_of`] for every service in one pass over the hosts.
fn candidates_by_service(
    catalogue: &Catalogue,
    hosts: &HostTable,
) -> HashMap<ServiceId, Vec<Candidate>> {
    let mut candidates: HashMap<ServiceId, Vec<Candidate>> = HashMap::new();
    for entry in hosts.iter().filter(|entry| is_candidate(entry, catalogue)) {
        let of_service = candidates.entry(entry.service).or_default();
        of_service.push(Candidate::from(entry));
    }
    candidates
}

fn is_candidate(entry: &HostEntry, catalogue: &Catalogue) -> bool {
    matches!(entry.state, HostState::Ready | HostState::Draining)
        && !catalogue.is_domain_out(&entry.domain)
}

fn describe(lost: &ClaimConflict) -> Arc<str> {
    Arc::from(format!(
        "routing: service {} states {}, which service {} has",
        lost.service, lost.claim, lost.holder
    ))
}
