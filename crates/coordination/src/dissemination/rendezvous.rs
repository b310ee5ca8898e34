//! Choice of balancers for a task by rendezvous hashing, equal at every process that knows the
//! same balancers.

use {
    cardamomloom_core::{DomainName, HostId, NodeId, RegionName, hash::splitmix64},
    std::net::SocketAddr,
};

/// Balancers to which an agent announces its host.
pub const WITNESSES: usize = 3;

/// Balancers of a failure domain that watch the store.
pub const READERS_PER_DOMAIN: usize = 2;

/// Distinguishes the choice of readers from that of witnesses.
const READER_SEED: u64 = 0x7265_6164_6572;

/// A registered balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identity of the balancer.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Region of the failure domain, if it is known.
    pub region: Option<RegionName>,
    /// Its control socket.
    pub control_address: SocketAddr,
}

const fn score(node: NodeId, key: u64) -> u64 {
    splitmix64(splitmix64(node.0) ^ splitmix64(key))
}

/// Returns the balancers that a host announces itself to, best first.
///
/// Balancers of the host's own region come first, so that the loss of contact between regions
/// leaves every host with its witnesses. Among them each takes another failure domain while there
/// is one.
#[must_use]
pub fn witnesses<'a>(
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
    let mut chosen: Vec<&Peer> = Vec::with_capacity(WITNESSES);
    let locals = ranked.iter().filter(|ranked| ranked.0).count();
    // One balancer alone could never declare a silent host gone, so that others have to help.
    let usable = if locals >= 2 { locals } else { ranked.len() };
    for spread_domains in [true, false] {
        for (_, _, peer) in &ranked[..usable] {
            let is_spread = chosen.iter().all(|other| other.domain != peer.domain);
            let is_new = chosen.iter().all(|other| other.node != peer.node);
            if chosen.len() < WITNESSES && is_new && (is_spread || !spread_domains) {
                chosen.push(peer);
            }
        }
    }
    chosen
}

/// Tells whether a balancer is one of the readers of its failure domain.
#[must_use]
pub fn is_reader<'a>(
    node: NodeId,
    domain: &DomainName,
    peers: impl Iterator<Item = &'a Peer>,
) -> bool {
    let own = score(node, READER_SEED);
    let better = peers
        .filter(|peer| peer.domain == *domain && peer.node != node)
        .filter(|peer| score(peer.node, READER_SEED) > own)
        .count();
    better < READERS_PER_DOMAIN
}
