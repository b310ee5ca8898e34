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

use {
    cardamomloom_core::Span, cardamomloom_protocol::passthrough::PeerMessage, std::net::Ipv4Addr,
};

pub use {
    catalogue::{CatalogueView, Lookup},
    hosts::{HostDirectory, HostDirectoryOptions, HostRecord},
    memory::FlowCache,
    peers::{PeerDirectory, PeerDirectoryOptions},
    placement::{flow_hash, rank},
};

/// A control message to send.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: Ipv4Addr,
    /// The message.
    pub message: PeerMessage,
}

impl OutgoingMessage {
    /// Returns the same message to each receiver.
    fn to_each(
        receivers: impl IntoIterator<Item = Ipv4Addr>,
        message: &PeerMessage,
    ) -> impl Iterator<Item = Self> {
        receivers.into_iter().map(|to| Self {
            to,
            message: message.clone(),
        })
    }
}

/// Returns the interval at which a process repeats a message to all `receivers`: `least`, or longer
/// so that it sends no more than `messages_per_s`.
fn paced_interval(least: Span, receivers: usize, messages_per_s: u64) -> Span {
    least.max(Span(receivers as u64 * 1_000_000 / messages_per_s))
}

fn as_millis_u16(span: Span) -> u16 {
    u16::try_from(span.as_millis()).unwrap_or(u16::MAX)
}
