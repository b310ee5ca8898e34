//! Which hosts, balancers and failure domains exist and live.
//!
//! An agent announces its host to about three balancers, its witnesses. They tell the others by
//! gossip. A subject is declared lost only when two witnesses found it silent; it refutes the
//! claim with a higher incarnation or counter.

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
pub struct Outgoing {
    /// Control socket of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Who sent a control datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// An agent.
    Host(HostId),
    /// A balancer.
    Node(NodeId),
}

impl From<u64> for Sender {
    /// Host ids have 32 bits; the ids of balancers are 64-bit digests, which practically never
    /// fit 32 bits.
    fn from(sender: u64) -> Self {
        u32::try_from(sender).map_or(Self::Node(NodeId(sender)), |host| Self::Host(HostId(host)))
    }
}
