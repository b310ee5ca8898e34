//! Order in which the SYN of a flow visits other hosts of the service.

use {
    super::{Agent, has_visited},
    crate::passthrough::{flow_hash, load::PlacementPolicy, rendezvous_score},
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{
        FlowId, HostAdvertisement, HostLoad, PeerLoad, RelayHeader, RelayKind,
    },
    std::{cmp::Reverse, net::Ipv4Addr},
};

/// Difference from which on a wait counts as longer than another. Loads are told every 250 ms, and
/// shorter differences have mostly changed since.
const WAIT_MARGIN_MS: u16 = 50;

/// Order of a candidate; the least is visited next.
type RelayOrder = (bool, bool, bool, Reverse<u64>);

impl Agent {
    /// Returns the next candidate for a SYN, with the header to relay it, among the hosts that accept
    /// new flows and have not been visited. `None` when there is no such host, or the SYN has visited
    /// as many agents as its header can list.
    pub(super) fn next_candidate(
        &self,
        now: Time,
        header: &RelayHeader,
        flow: &FlowId,
    ) -> Option<(Ipv4Addr, RelayHeader)> {
        let own_address = self.identity.address;
        let candidates: Vec<&HostAdvertisement> = self
            .service_hosts
            .iter()
            .filter(|host| {
                host.accepts_new && host.agent != own_address && !has_visited(header, host.agent)
            })
            .collect();
        let next = self.first_candidate(now, header, flow, &candidates)?;
        let header = header.relayed_by(own_address, RelayKind::PassOn, next.run)?;
        Some((next.agent, header))
    }

    /// Returns the candidate with the highest rendezvous score. With placement by expected wait, hosts
    /// whose known wait is much longer than that of another one come later, and hosts of other failure
    /// domains after those of the own one. The last visit goes to another domain if a host there is
    /// known to have a shorter wait than all known ones here.
    fn first_candidate<'a>(
        &self,
        now: Time,
        header: &RelayHeader,
        flow: &FlowId,
        candidates: &[&'a HostAdvertisement],
    ) -> Option<&'a HostAdvertisement> {
        let hash = flow_hash(flow);
        let is_by_wait = self.options.load_control.placement == PlacementPolicy::ExpectedWait;
        let load = |host: &HostAdvertisement| {
            let load = self.peer_load(now, host.agent);
            load.filter(|_| is_by_wait)
        };
        let is_near = |load: Option<&PeerLoad>| {
            let prefers_near = self.options.load_control.prefers_own_domain;
            prefers_near && load.is_some_and(|load| load.is_same_domain)
        };
        let shortest_wait_ms = |near: bool| {
            let loads = candidates.iter().filter_map(|host| load(host));
            let loads = loads.filter(|load| is_near(Some(load)) == near);
            loads.map(|load| load.wait_ms).min()
        };
        let (near_ms, far_ms) = (shortest_wait_ms(true), shortest_wait_ms(false));
        let is_last_visit = header.visited().len() + 1 >= self.options.busy_host_probes;
        let leaves = is_last_visit
            && near_ms
                .zip(far_ms)
                .is_some_and(|(near_ms, far_ms)| is_longer(near_ms, far_ms));
        let order = |host: &HostAdvertisement| -> RelayOrder {
            let load = load(host);
            let is_near = is_near(load.as_ref());
            let shortest_ms = if is_near { near_ms } else { far_ms };
            let wait_ms = load.map(|load| load.wait_ms);
            (
                wait_ms == Some(HostLoad::TAKES_NO_FLOWS),
                is_near == leaves,
                wait_ms
                    .zip(shortest_ms)
                    .is_some_and(|(wait_ms, shortest_ms)| is_longer(wait_ms, shortest_ms)),
                Reverse(rendezvous_score(hash, host.agent)),
            )
        };
        candidates.iter().copied().min_by_key(|host| order(host))
    }
}

const fn is_longer(wait_ms: u16, than_ms: u16) -> bool {
    wait_ms > than_ms.saturating_add(WAIT_MARGIN_MS)
}
