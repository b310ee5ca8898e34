//! Decision logic of balancers and agents under pass-through delivery.
//!
//! A balancer chooses a host for each new flow and caches the choice; a cached choice is only a
//! hint. The agent beside a host decides whether the host accepts the flow, and is authoritative
//! for the flows of that host. When the owner of a flow is unknown, its packets are sent to all
//! agents of the service.

pub mod agent;
pub mod balancer;
mod catalogue;
mod explanation;
mod flow_cache;
mod hosts;
pub mod load;
mod lookup_outcomes;
mod peers;
mod rendezvous;
mod spread;
mod store_access;

use {
    cardamomloom_core::Span, cardamomloom_protocol::passthrough::PeerMessage, std::net::Ipv4Addr,
};

pub use {
    catalogue::{CatalogueOptions, CatalogueView, Lookup},
    explanation::{
        AdmissionDecision, AdmissionExplanation, FlowCandidate, FlowExplanation, FlowQuery,
        PlacementRule,
    },
    flow_cache::FlowCache,
    hosts::{HostDirectory, HostDirectoryOptions, HostRecord},
    lookup_outcomes::{LookupOutcome, LookupOutcomes},
    peers::{PeerDirectory, PeerDirectoryOptions},
    rendezvous::{flow_hash, rendezvous_score},
    spread::{
        CopyOutcome, CopyQuery, CopyRequest, CopyRequestOptions, CopyRequests, CopyResponse,
        CopyServer, CopyServerOptions, TimesRequests,
    },
    store_access::{ReaderCensus, ReaderElection, StoreAccess, StoreAccessOptions, stagger},
};

/// A control message and the process that it is sent to.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: Ipv4Addr,
    /// The message.
    pub message: PeerMessage,
}

impl OutgoingMessage {
    /// Returns one copy of a message for each receiver.
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

/// Returns the interval at which a process sends a message to all `receivers`: `min_interval`, or
/// a longer one that keeps the total rate at or below `max_messages_per_s`.
fn paced_interval(min_interval: Span, receivers: usize, max_messages_per_s: u64) -> Span {
    min_interval.max(Span(receivers as u64 * 1_000_000 / max_messages_per_s))
}

/// Returns a span in milliseconds, limited to [`u16::MAX`].
fn as_millis_u16(span: Span) -> u16 {
    u16::try_from(span.as_millis()).unwrap_or(u16::MAX)
}
