//! Addresses at which other balancers may run: from the settings and from registrations in the store.

use {
    super::Balancer, cardamomloom_core::Time, cardamomloom_protocol::passthrough::Registration,
    std::net::Ipv4Addr,
};

impl Balancer {
    /// Adds the balancers that are registered in the store, and returns the registrations to
    /// remove. Only the reader with the lowest address removes registrations, once it has run for
    /// [`registration_timeout`](super::BalancerOptions::registration_timeout): those of balancers
    /// that have not sent a heartbeat since they entered the directory.
    pub fn on_registry(&mut self, now: Time, registrations: &[Registration]) -> Vec<Registration> {
        self.add_balancers(now, registrations.iter().map(|entry| entry.address));
        let may_remove = now.since(self.started) >= self.options.registration_timeout
            && self.is_reader(now)
            && self.peers.preceding_readers(now, self.own_address) == 0;
        registrations
            .iter()
            .filter(|entry| {
                entry.address != self.own_address && !self.peers.has_contacted(entry.address)
            })
            .filter(|_| may_remove)
            .copied()
            .collect()
    }

    /// Applies changed seeds of the settings. If any is new, the next tick sends heartbeats.
    pub fn set_seeds(&mut self, now: Time, seeds: &[Ipv4Addr]) {
        if self.peers.set_seeds(now, seeds) {
            self.control.next_heartbeat = Time::ZERO;
        }
    }

    /// Adds addresses at which balancers may run. If any is new, the next tick sends heartbeats.
    pub fn add_balancers(&mut self, now: Time, balancers: impl IntoIterator<Item = Ipv4Addr>) {
        if self.peers.add_all(now, balancers) {
            self.control.next_heartbeat = Time::ZERO;
        }
    }
}
