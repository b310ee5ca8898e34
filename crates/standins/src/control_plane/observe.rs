//! Queries with which tests and experiments observe the simulated processes.

use {
    super::{Balancer, Fleet},
    cardamomloom_coordination::dissemination::replica::Replica,
    cardamomloom_core::ObjectVersion,
    cardamomloom_protocol::{
        control::{HostState, Subject},
        store_api::ObjectList,
    },
};

impl Fleet {
    /// Returns the balancers that are running and not paused.
    pub fn running_balancers(&self) -> impl Iterator<Item = &Balancer> {
        self.balancers
            .iter()
            .filter(|balancer| balancer.is_running && self.now >= balancer.paused_until)
    }

    /// Returns the state that a balancer knows for a host, or `Gone` for an unknown host.
    #[must_use]
    pub fn state_at(&self, balancer: &Balancer, host: usize) -> HostState {
        balancer
            .membership
            .hosts()
            .get(self.agents[host].entry.host)
            .map_or(HostState::Gone, |entry| entry.state)
    }

    /// Returns whether every active balancer knows a host in this state.
    #[must_use]
    pub fn all_balancers_see(&self, host: usize, state: HostState) -> bool {
        self.running_balancers()
            .all(|balancer| self.state_at(balancer, host) == state)
    }

    /// Returns whether every active balancer knows every running host as ready.
    #[must_use]
    pub fn are_all_hosts_ready(&self) -> bool {
        (0..self.agents.len())
            .filter(|host| self.agents[*host].is_running)
            .all(|host| self.all_balancers_see(host, HostState::Ready))
    }

    /// Returns whether the replicas of all active balancers have equal digests.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let mut digests = self
            .running_balancers()
            .map(|balancer| balancer.membership.replica().digests());
        let first = digests.next();
        digests.all(|digests| Some(digests) == first)
    }

    /// Returns the version of an object in a replica, or 0 if the replica does not contain it.
    #[must_use]
    pub fn version_at(replica: &Replica, key: &str) -> ObjectVersion {
        replica
            .objects()
            .get(key)
            .map_or(ObjectVersion(0), |object| object.version)
    }

    /// Returns whether a version of an object, or a later one, has reached every active balancer and
    /// every active agent that uses the object.
    #[must_use]
    pub fn is_in_force(&self, key: &str, version: ObjectVersion) -> bool {
        let has_reached_balancers = self
            .running_balancers()
            .all(|balancer| Self::version_at(balancer.membership.replica(), key) >= version);
        has_reached_balancers
            && self
                .agents
                .iter()
                .filter(|agent| agent.is_running && self.now >= agent.paused_until)
                .filter(|agent| {
                    let service = format!("services/service-{}", agent.entry.service.0 - 1);
                    key.starts_with("domains/") || key == service
                })
                .all(|agent| Self::version_at(agent.membership.replica(), key) >= version)
    }

    /// Returns whether a balancer considers a failure domain down.
    ///
    /// # Panics
    ///
    /// Panics when the name of the failure domain is invalid.
    #[must_use]
    pub fn is_domain_down(&self, balancer: &Balancer, domain: &str) -> bool {
        let subject = Subject::Domain(domain.parse().expect("the failure domain name is valid"));
        balancer.membership.replica().is_down(&subject)
    }

    /// Returns all objects of the store, including deleted ones.
    #[must_use]
    pub fn store_objects(&self) -> ObjectList {
        self.store.all_objects()
    }
}
