//! Packet routing of a balancer: maps an encapsulated packet to the address of an agent.

use {
    cardamomloom_protocol::{
        forward::{DatagramKey, ForwardHeader, HEADER_BYTES, Visited},
        gue,
        packet::{self, DropCause},
    },
    cardamomloom_state::routing::RoutingTable,
    std::net::SocketAddr,
};

/// Result of routing a packet; the error is the cause of the drop.
pub type Result<T> = std::result::Result<T, DropCause>;

/// Destination of a packet and the forward header that precedes it.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Address of the agent's packet socket.
    pub to: SocketAddr,
    /// Encoded forward header.
    pub header: [u8; HEADER_BYTES],
    /// The caller's IP packet.
    pub packet: &'a [u8],
}

/// Returns the route of an encapsulated packet to the first candidate of its bucket. A SYN skips
/// candidates that accept no new flows, unless none accepts any.
///
/// Runs once per packet and allocates nothing.
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
