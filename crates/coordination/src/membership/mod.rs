//! Membership: which hosts, balancers and failure domains exist and are alive.
//!
//! An agent announces its host to up to three balancers, the observers of the host, which inform
//! the other balancers by gossip. A subject is declared lost only after two observers have detected
//! that it is unresponsive. A live subject refutes the declaration with a higher incarnation or
//! counter.

mod agent;
mod balancer;
mod confirmation;
mod detection;
mod rounds;
mod serving;
mod suspicion;

pub use {
    agent::{AgentMembership, AgentMembershipOptions},
    balancer::{BalancerIdentity, BalancerMembership, BalancerMembershipOptions},
    confirmation::Confirmation,
    suspicion::{SuspicionAction, SuspicionOptions, Suspicions},
};

use {
    cardamomloom_core::{HostId, NodeId},
    cardamomloom_protocol::control::Message,
    std::net::SocketAddr,
};

/// A control message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Address of the control socket of the receiver.
    pub to: SocketAddr,
    /// Content of the message.
    pub message: Message,
}

/// Process that sent a control datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The agent of a host.
    Host(HostId),
    /// A balancer.
    Node(NodeId),
}

impl From<u64> for Sender {
    /// Converts the sender id of a datagram. Host ids have 32 bits. The ids of balancers are 64-bit
    /// digests, which practically never fit in 32 bits.
    fn from(sender: u64) -> Self {
        u32::try_from(sender).map_or(Self::Node(NodeId(sender)), |host| Self::Host(HostId(host)))
    }
}
