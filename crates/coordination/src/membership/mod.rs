//! Which hosts exist: announcements of agents and their merge at balancers.

mod agent;
mod balancer;

pub use {
    agent::{AgentMembership, AgentMembershipOptions},
    balancer::{BalancerMembership, BalancerMembershipOptions},
};

use {cardamomloom_protocol::control::Message, std::net::SocketAddr};

/// A control message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Control socket of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}
