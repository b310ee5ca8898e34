//! What tests and experiments look at.

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
    /// Returns the balancers that exist and are not paused.
    pub fn running_balancers(&self) -> impl Iterator<Item = &Balancer> {
        self.balancers
            .iter()
            .filter(|balancer| balancer.is_running && self.now >= balancer.paused_until)
    }

    /// Returns the state of a host at a balancer; hosts that are not known are gone.
    #[must_use]
    pub fn state_at(&self, balancer: &Balancer, host: usize) -> HostState {
        balancer
            .membership
            .hosts()
            .get(self.agents[host].entry.host)
            .map_or(HostState::Gone, |entry| entry.state)
    }

    /// Tells whether every balancer has a host in a state.
    #[must_use]
    pub fn all_balancers_see(&self, host: usize, state: HostState) -> bool {
        self.running_balancers()
            .all(|balancer| self.state_at(balancer, host) == state)
    }

    /// Tells whether every balancer knows every running host as ready.
    #[must_use]
    pub fn are_all_hosts_ready(&self) -> bool {
        (0..self.agents.len())
            .filter(|host| self.agents[*host].is_running)
            .all(|host| self.all_balancers_see(host, HostState::Ready))
    }

    /// Tells whether all balancers have equal digests.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let mut digests = self
            .running_balancers()
            .map(|balancer| balancer.membership.replica().digests());
        let first = digests.next();
        digests.all(|digests| Some(digests) == first)
    }

    /// Returns the known version of an object; 0 when it is not known.
    #[must_use]
    pub fn version_at(replica: &Replica, key: &str) -> ObjectVersion {
        replica
            .objects()
            .get(key)
            .map_or(ObjectVersion(0), |object| object.version)
    }

    /// Tells whether a version of an object is in force at every balancer and agent that uses it.
    #[must_use]
    pub fn is_in_force(&self, key: &str, version: ObjectVersion) -> bool {
        let balancers = self
            .running_balancers()
            .all(|b| Self::version_at(b.membership.replica(), key) >= version);
        balancers
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

    /// Tells whether a balancer has a failure domain as lost.
    ///
    /// # Panics
    ///
    /// Panics when the name is invalid.
    #[must_use]
    pub fn is_domain_down(&self, balancer: &Balancer, domain: &str) -> bool {
        let subject = Subject::Domain(domain.parse().expect("valid name"));
        balancer.membership.replica().is_down(&subject)
    }

    /// Returns all objects of the store.
    #[must_use]
    pub fn store_objects(&self) -> ObjectList {
        self.store.all_objects()
    }
}
