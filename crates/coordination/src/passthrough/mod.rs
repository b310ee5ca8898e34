//! Decisions of balancers and agents under pass-through delivery.
//!
//! A balancer chooses a host for each new flow and remembers the choice as a hint. The agent
//! beside the host decides whether its host takes the flow, and is the authority on the flows of
//! its host. A packet whose owner is not known is searched for among all agents of its service.

pub mod agent;
pub mod balancer;
mod catalogue;
mod hosts;
mod memory;
mod peers;
mod placement;

pub use {
    catalogue::{CatalogueView, Lookup},
    hosts::{HostDirectory, HostDirectoryOptions, HostRecord},
    memory::FlowMemory,
    peers::{PeerDirectory, PeerDirectoryOptions},
    placement::{flow_hash, rank},
};
