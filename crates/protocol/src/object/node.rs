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
    /// Receives packets of callers and forwards them to agents.
    Balancer,
    /// Runs next to a backend server and receives the packets of its flows.
    Agent,
}

/// Identity and addresses of a running balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    /// Identity; equals the last segment of the object's key.
    pub node: NodeId,
    /// Failure domain of the balancer.
    pub domain: DomainName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address of the data-plane socket.
    pub data_address: SocketAddr,
    /// Address of the control-plane socket.
    pub control_address: SocketAddr,
    /// Address of the HTTP endpoints for operators.
    pub http_address: SocketAddr,
}

impl Validate for NodeSpec {
    fn validate(&self) -> Result<()> {
        Ok(())
    }
}
