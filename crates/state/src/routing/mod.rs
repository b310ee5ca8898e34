//! Routing table of the packet loop, which maps service addresses to candidate tables.

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

/// Candidate tables by service address and by service. The packet loop of a balancer reads nothing
/// else to place a packet.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// A fast hash without protection against collisions suffices: the keys come from the
    /// catalogue, and packets only look them up, so callers cannot provoke collisions.
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

    /// Returns the version of the candidate table of every service.
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

    /// Returns a message for each claim and candidate table that could not be put in force.
    #[must_use]
    pub fn problems(&self) -> &[Arc<str>] {
        &self.problems
    }

    /// Builds the next routing table. Services with unchanged inputs share their candidate tables
    /// with `self`.
    ///
    /// A service that claims an id or address of another one, or whose candidate table cannot be
    /// built, does not block the update of other services: the claimed value stays with its holder,
    /// and the service keeps its present table.
    ///
    /// # Errors
    ///
    /// Never fails at present. The result leaves room for an error that blocks the whole update.
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

/// Returns the hosts of a service that are ready or draining and whose failure domain is in
/// service.
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
        let service_candidates = candidates.entry(entry.service).or_default();
        service_candidates.push(Candidate::from(entry));
    }
    candidates
}

fn is_candidate(entry: &HostEntry, catalogue: &Catalogue) -> bool {
    matches!(entry.state, HostState::Ready | HostState::Draining)
        && !catalogue.is_domain_out(&entry.domain)
}

fn describe(conflict: &ClaimConflict) -> Arc<str> {
    Arc::from(format!(
        "routing: service {} states {}, which service {} has",
        conflict.service, conflict.claim, conflict.holder
    ))
}
