//! Identity of an agent.

use {
    cardamomloom_core::{DomainName, ServiceName},
    cardamomloom_protocol::passthrough::RunId,
    std::net::{Ipv4Addr, SocketAddrV4},
};

/// Addresses and names of an agent and its host, fixed for one run of the agent.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    /// Address of the agent.
    pub address: Ipv4Addr,
    /// Run of the agent's process.
    pub process_run: RunId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the backend server.
    pub server: SocketAddrV4,
}
