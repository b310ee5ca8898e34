//! Rendezvous hashing of flows over the agents of a service.

use {
    cardamomloom_core::hash::splitmix64, cardamomloom_protocol::passthrough::FlowId,
    std::net::Ipv4Addr,
};

/// Returns the hash of a flow; every process computes the same one.
#[must_use]
pub fn flow_hash(flow: &FlowId) -> u64 {
    let caller = u64::from(u32::from(*flow.caller.ip())) << 16 | u64::from(flow.caller.port());
    let service = u64::from(u32::from(*flow.service.ip())) << 16 | u64::from(flow.service.port());
    splitmix64(caller ^ splitmix64(service))
}

/// Returns the rank of an agent for a flow; the agent with the highest rank comes first.
#[must_use]
pub fn rank(flow_hash: u64, agent: Ipv4Addr) -> u64 {
    splitmix64(flow_hash ^ splitmix64(u64::from(u32::from(agent))))
}
