//! Loads of the other hosts of the service.

use {
    super::Agent,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{PeerLoad, PeerLoads},
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Age from which a load is unknown.
const MAX_AGE: Span = Span::from_secs(3);

/// Latest load of each host, with the time of its arrival.
pub(super) type PeerLoadTable = BTreeMap<Ipv4Addr, (Time, PeerLoad)>;

impl Agent {
    /// Records the loads that a balancer told.
    pub(super) fn on_peer_loads(&mut self, now: Time, loads: PeerLoads) {
        let loads = loads.loads.into_iter();
        self.peer_loads
            .extend(loads.map(|load| (load.agent, (now, load))));
    }

    /// Returns the load of another host, or `None` if it is unknown.
    pub(super) fn peer_load(&self, now: Time, agent: Ipv4Addr) -> Option<PeerLoad> {
        let (received, load) = self.peer_loads.get(&agent)?;
        (now.since(*received) <= MAX_AGE).then_some(*load)
    }
}
