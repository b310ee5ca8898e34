//! Registration of a running balancer.

use {
    super::{Result, Validate},
    cardamomloom_core::{DomainName, Incarnation, NodeId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Role of a registered process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeRole {
    /// Entry instance.
    Balancer,
    /// Process beside a backend server.
    Agent,
}

/// Where a balancer is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    /// Identity, equal to the last part of the object's key.
    pub node: NodeId,
    /// Failure domain of the balancer.
    pub domain: DomainName,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Address of the packet socket.
    pub data_address: SocketAddr,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Address of the operator endpoints.
    pub http_address: SocketAddr,
}

impl Validate for NodeSpec {
    fn validate(&self) -> Result<()> {
        Ok(())
    }
}
