//! Rendezvous hashing of flows over the agents of a service.

use {cardamomloom_protocol::passthrough::FlowId, std::net::Ipv4Addr};

/// Returns the hash of a flow; every process computes the same one.
#[must_use]
pub fn flow_hash(flow: &FlowId) -> u64 {
    let caller = u64::from(u32::from(*flow.caller.ip())) << 16 | u64::from(flow.caller.port());
    let service = u64::from(u32::from(*flow.service.ip())) << 16 | u64::from(flow.service.port());
    mix(caller ^ mix(service))
}

/// Returns the rank of an agent for a flow; the agent with the highest rank comes first.
#[must_use]
pub fn rank(flow_hash: u64, agent: Ipv4Addr) -> u64 {
    mix(flow_hash ^ mix(u64::from(u32::from(agent))))
}

/// Finalizer of `SplitMix64` (Steele, Lea and Flood, 2014): every input bit affects every output
/// bit.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
