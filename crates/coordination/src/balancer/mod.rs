//! Per-packet decision of a balancer: from an encapsulated packet to an agent's address.

use {
    cardamomloom_protocol::{
        forward::{DatagramKey, ForwardHeader, HEADER_BYTES, Visited},
        gue,
        packet::{self, DropCause},
    },
    cardamomloom_state::routing::RoutingTable,
    std::net::SocketAddr,
};

/// Result of a per-packet decision.
pub type Result<T> = std::result::Result<T, DropCause>;

/// Where a packet goes, with the header to send in front of it.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Packet socket of the agent.
    pub to: SocketAddr,
    /// Encoded forward header.
    pub header: [u8; HEADER_BYTES],
    /// The caller's IP packet.
    pub packet: &'a [u8],
}

/// Decides where an encapsulated packet goes. Allocates nothing.
///
/// # Errors
///
/// Returns the cause under which the packet is counted and dropped.
pub fn route<'a>(table: &RoutingTable, key: DatagramKey, datagram: &'a [u8]) -> Result<Route<'a>> {
    let packet = gue::payload(datagram).map_err(|_| DropCause::BadEncapsulation)?;
    let meta = packet::parse(packet)?;
    let candidates = table
        .lookup(&meta.flow.service)
        .ok_or(DropCause::UnknownAddress)?;
    let bucket = candidates.bucket_of(&meta.flow);
    let first = candidates
        .first(bucket, meta.opens_flow())
        .ok_or(DropCause::NoCandidate)?;
    let mut visited = Visited::default();
    visited.push(first.host);
    let header = ForwardHeader {
        service: candidates.service(),
        table: candidates.version(),
        bucket,
        hops: 0,
        visited,
    };
    Ok(Route {
        to: first.data_address,
        header: header.encode(key, packet),
        packet,
    })
}
