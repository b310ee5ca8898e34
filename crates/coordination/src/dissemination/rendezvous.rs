//! Selection of balancers by rendezvous hashing.
//!
//! Processes that know the same balancers select the same ones without coordination.

use {
    cardamomloom_core::{DomainName, HostId, NodeId, RegionName, hash::splitmix64},
    std::net::SocketAddr,
};

/// Number of balancers that an agent announces its host to and that monitor the host.
pub const OBSERVERS_PER_HOST: usize = 3;

/// Number of balancers per failure domain that watch the store.
pub const STORE_READERS_PER_DOMAIN: usize = 2;

/// Hash key that makes the selection of store readers independent of the selection of observers.
const STORE_READER_KEY: u64 = 0x7265_6164_6572;

/// A balancer that is registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Node id of the balancer.
    pub node: NodeId,
    /// Failure domain of the balancer.
    pub domain: DomainName,
    /// Region of the failure domain, if it is known.
    pub region: Option<RegionName>,
    /// Address of the control socket of the balancer.
    pub control_address: SocketAddr,
}

const fn score(node: NodeId, key: u64) -> u64 {
    splitmix64(splitmix64(node.0) ^ splitmix64(key))
}

/// Returns the observers of a host, most preferred first: the balancers that it announces itself
/// to.
///
/// Balancers of the host's own region are preferred, so that a partition between regions leaves
/// every host with its observers. Observers are in different failure domains as long as there are
/// enough of them.
#[must_use]
pub fn observers<'a>(
    host: HostId,
    region: Option<&RegionName>,
    peers: impl Iterator<Item = &'a Peer>,
) -> Vec<&'a Peer> {
    let mut ranked: Vec<(bool, u64, &Peer)> = peers
        .map(|peer| {
            let is_local = region.is_none() || peer.region.as_ref() == region;
            (is_local, score(peer.node, u64::from(host.0)), peer)
        })
        .collect();
    ranked.sort_unstable_by_key(|(is_local, score, peer)| {
        (std::cmp::Reverse((*is_local, *score)), peer.node)
    });
    let mut selected: Vec<&Peer> = Vec::with_capacity(OBSERVERS_PER_HOST);
    let local_count = ranked.iter().filter(|ranked| ranked.0).count();
    // A single local observer could not declare an unresponsive host gone, because that takes the
    // reports of two observers. In this case balancers of all regions are eligible.
    let eligible_count = if local_count >= 2 {
        local_count
    } else {
        ranked.len()
    };
    for require_new_domain in [true, false] {
        for (_, _, peer) in &ranked[..eligible_count] {
            let is_new_domain = selected.iter().all(|other| other.domain != peer.domain);
            let is_new_peer = selected.iter().all(|other| other.node != peer.node);
            if selected.len() < OBSERVERS_PER_HOST
                && is_new_peer
                && (is_new_domain || !require_new_domain)
            {
                selected.push(peer);
            }
        }
    }
    selected
}

/// Returns whether a balancer is one of the [`STORE_READERS_PER_DOMAIN`] store readers of its
/// failure domain. `peers` are the live balancers.
#[must_use]
pub fn is_store_reader<'a>(
    node: NodeId,
    domain: &DomainName,
    peers: impl Iterator<Item = &'a Peer>,
) -> bool {
    let own_score = score(node, STORE_READER_KEY);
    let higher_ranked = peers
        .filter(|peer| peer.domain == *domain && peer.node != node)
        .filter(|peer| score(peer.node, STORE_READER_KEY) > own_score)
        .count();
    higher_ranked < STORE_READERS_PER_DOMAIN
}
