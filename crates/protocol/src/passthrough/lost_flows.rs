//! Statements about flows that no host of a service holds, and the lists of agents behind them.

use {
    super::{FlowId, ServiceTag},
    serde::{Deserialize, Serialize},
    std::net::Ipv4Addr,
};

/// Maximum number of services in [`ServiceAbsence::possible_owners`].
pub const MAX_POSSIBLE_OWNERS: usize = 16;

/// Maximum number of agents in an [`AgentList`], so that the message fits a datagram.
pub const MAX_LISTED_AGENTS: usize = 128;

/// States that no host of a service holds a flow, and never will under this handshake. It is backed by
/// the completed owner lookup of an agent of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAbsence {
    /// Flow that was looked up.
    pub flow: FlowId,
    /// Acknowledgment number of the packet that was looked up. It tells flows apart that use the same
    /// addresses and ports one after the other.
    pub acknowledgment: u32,
    /// Address of the agent that looked up the flow.
    pub agent: Ipv4Addr,
    /// Service none of whose hosts holds the flow.
    pub service: ServiceTag,
    /// Services that may hold flows to the address, as far as the agent knows; at most
    /// [`MAX_POSSIBLE_OWNERS`].
    pub possible_owners: Vec<ServiceTag>,
    /// Whether the agent knows all former targets of the route whose flows may still be open.
    pub knows_former_targets: bool,
}

/// Requests an [`AgentList`] of an agent or a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentListRequest {
    /// Address of the process that gets the list.
    pub agent: Ipv4Addr,
}

/// An agent that may hold flows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedAgent {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Time since a balancer last listed it.
    pub listed_ago_ms: u16,
}

/// The agents of a service that an agent knows: the present ones, and those that were listed a short
/// time ago. With the sender, these are the agents that the digest of its statements covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentList {
    /// Address of the sender.
    pub agent: Ipv4Addr,
    /// Service of the agents.
    pub service: ServiceTag,
    /// Whether the sender has run for so long that it knows every agent that was listed in the time
    /// for which an agent that is no longer listed may own flows.
    pub is_complete: bool,
    /// Whether the sender is a balancer and found that all processes have started a short time ago.
    pub is_fleet_new: bool,
    /// The agents, at most [`MAX_LISTED_AGENTS`]; none if the receiver is not of the service.
    pub agents: Vec<ListedAgent>,
}
