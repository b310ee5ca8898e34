//! Control datagrams between the balancers and agents of one installation.
//!
//! A datagram is the postcard encoding of an [`Origin`] and a [`Message`], followed by an 8-byte
//! SipHash-2-4 tag over both. The encoding depends on the order of fields and variants.

mod gossip;
mod replay;

pub use {
    crate::sealed::MAX_DATAGRAM_BYTES,
    gossip::{Gossip, Heartbeat, ItemKind, ItemRank, LivenessRecord, Subject, WireObject},
    replay::{MAX_SENDERS, ReplayGuard},
};

use {
    crate::{
        forward::DatagramKey,
        packet::FlowKey,
        sealed::{self, TAG_BYTES},
    },
    cardamomloom_core::{
        DomainName, HostId, Incarnation, NodeId, ServiceId, ServiceName, TableVersion, Weight,
        error::Error,
    },
    serde::{Deserialize, Serialize},
    std::{borrow::Cow, net::SocketAddr},
};

/// Result of encoding or decoding a control datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// Bytes of the IPv4 and UDP headers of a datagram, which count towards the budget of control
/// traffic.
pub const HEADER_BYTES: usize = 28;

/// Name of the protocol in error messages.
const PROTOCOL: &str = "control";

/// Sender and sequence number of a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Number of the node id or host id of the sending process.
    pub sender: u64,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Sequence number of the datagram within the incarnation.
    pub sequence: u64,
}

/// State of a host, in the order in which one incarnation passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HostState {
    /// The agent is running, but its backend server does not accept connections yet.
    Starting,
    /// The host accepts new flows.
    Ready,
    /// The host keeps its flows and accepts no new ones.
    Draining,
    /// The host has left or was declared dead.
    Gone,
}

/// Membership entry of a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostEntry {
    /// Identity of the host.
    pub host: HostId,
    /// Service of the host.
    pub service: ServiceId,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the agent's data-plane socket.
    pub data_address: SocketAddr,
    /// Address of the agent's control-plane socket.
    pub control_address: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// State of the host.
    pub state: HostState,
    /// Relative share of new flows.
    pub weight: Weight,
}

impl HostEntry {
    /// Returns whether this entry replaces `other`, an entry of the same host.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// Message of a control datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces a host; sent by its agent to a balancer.
    Announce {
        /// Entry of the host.
        entry: HostEntry,
        /// Candidate table that the agent uses.
        table: TableVersion,
    },
    /// Carries host entries from one process to another.
    Hosts {
        /// Sender, for log messages.
        from: NodeId,
        /// Newest known entry of each host.
        entries: Vec<HostEntry>,
    },
    /// Lists the open flows that an agent owns in the buckets of which the receiver is the first
    /// candidate. A part without flows states that the agent owns none there.
    Handover {
        /// Host that owns the flows.
        from: HostId,
        /// Incarnation of the owner.
        incarnation: Incarnation,
        /// Service of both agents.
        service: ServiceId,
        /// Candidate table by which the flows were selected.
        table: TableVersion,
        /// Number of the list within the owner's incarnation; a later list replaces an earlier one.
        generation: u64,
        /// Position of this part within the list, counted from 0.
        part: u32,
        /// Number of parts in the list; increases when the owner accepts further flows.
        parts: u32,
        /// Open flows in this part.
        flows: Vec<FlowKey>,
    },
    /// Confirms to the owner that a first candidate has stored a part of a handover list.
    HandoverConfirm {
        /// Host that received the part.
        from: HostId,
        /// Incarnation of the receiver.
        incarnation: Incarnation,
        /// Incarnation of the owner that sent the part.
        owner_incarnation: Incarnation,
        /// Number of the confirmed list.
        generation: u64,
        /// Position of the confirmed part.
        part: u32,
    },
    /// Shows a balancer that an agent is alive.
    Heartbeat(Heartbeat),
    /// Requests the objects of a service; sent by an agent that has no configuration.
    ConfigRequest {
        /// Service of the agent.
        service: ServiceName,
        /// Failure domain of the agent.
        domain: DomainName,
    },
    /// Assigns an agent the balancers that it announces its host to; sent by a balancer.
    Assignment {
        /// Control addresses of the assigned balancers.
        balancers: Vec<SocketAddr>,
        /// Control addresses of other balancers, for use when all assigned ones are unresponsive.
        spares: Vec<SocketAddr>,
    },
    /// Carries a balancer's digests, which the agent that sent the heartbeat compares with its own.
    HeartbeatAnswer {
        /// Digest of the host entries of the agent's service.
        hosts_digest: u32,
        /// Digest of the service's object, all failure domains and their liveness records.
        config_digest: u32,
        /// Whether the agent should announce its host because the balancer lacks the entry.
        wants_entry: bool,
    },
    /// Carries recent changes and digests between balancers.
    Gossip(Gossip),
    /// Carries the digests of all groups of one kind; the receiver answers those that differ with
    /// [`Message::Versions`].
    Groups {
        /// Kind of the items.
        kind: ItemKind,
        /// Digest of each group.
        digests: Vec<u32>,
    },
    /// Lists identity and rank of all items of a group whose identities lie in `first..=last`.
    Versions {
        /// Kind of the items.
        kind: ItemKind,
        /// Index of the group.
        group: u8,
        /// Lowest identity that the list covers.
        first: u64,
        /// Highest identity that the list covers.
        last: u64,
        /// Identity and rank of each item.
        items: Vec<ItemRank>,
    },
    /// Requests items by identity.
    Want {
        /// Kind of the items.
        kind: ItemKind,
        /// Identities of the requested items.
        ids: Vec<u64>,
    },
    /// Carries objects of the store.
    Objects(Vec<WireObject>),
    /// Carries liveness records of balancers and failure domains.
    LivenessRecords(Vec<LivenessRecord>),
    /// Asks a balancer to check a subject that the sender finds unresponsive.
    Suspect {
        /// Unresponsive subject.
        subject: Subject,
        /// Incarnation of the host, or counter of the liveness record.
        claim: u64,
    },
    /// Asks the receiver to show that it is alive.
    Probe,
    /// Answers a [`Message::Probe`].
    ProbeAnswer,
    /// Asks an agent for the length of its current handover list. A first candidate sends it before
    /// it answers packets of unknown flows with resets.
    HandoverQuery {
        /// Host of the sender.
        from: HostId,
        /// Service of both agents.
        service: ServiceId,
        /// Number of the round of queries, which the answer repeats.
        round: u64,
    },
    /// Answers a [`Message::HandoverQuery`].
    HandoverState {
        /// Host that owns the flows.
        from: HostId,
        /// Incarnation of the owner.
        incarnation: Incarnation,
        /// Candidate table that the owner uses.
        table: TableVersion,
        /// Number of the owner's current list for the host that asked.
        generation: u64,
        /// Number of parts in the list.
        parts: u32,
        /// Round of the query that this answers.
        round: u64,
    },
    /// Reports an agent's load to another agent of its service.
    Load {
        /// Host of the sender.
        host: HostId,
        /// Service of both agents.
        service: ServiceId,
        /// Open connections of the backend server, counted by the agent.
        connections: u32,
        /// Relative share of the host in new flows.
        weight: Weight,
    },
}

/// Encodes and authenticates a message.
///
/// # Errors
///
/// Fails with kind `limit_exceeded` when the datagram is larger than [`MAX_DATAGRAM_BYTES`].
pub fn encode(key: DatagramKey, origin: &Origin, message: &Message) -> Result<Vec<u8>> {
    sealed::seal(
        PROTOCOL,
        key,
        &(origin, wire_form(origin, message).as_ref()),
    )
}

/// Returns the form of a message that is encoded: heartbeats are relative to the origin.
fn wire_form<'a>(origin: &Origin, message: &'a Message) -> Cow<'a, Message> {
    match message {
        Message::Heartbeat(heartbeat) => {
            Cow::Owned(Message::Heartbeat(heartbeat.relative_to(origin)))
        }
        other => Cow::Borrowed(other),
    }
}

/// Returns the size of the datagram for a message in bytes, IP and UDP headers included.
#[must_use]
pub fn wire_bytes(origin: &Origin, message: &Message) -> u64 {
    let message = wire_form(origin, message);
    let body =
        postcard::experimental::serialized_size(&(origin, message.as_ref())).unwrap_or_default();
    (body + TAG_BYTES + HEADER_BYTES) as u64
}

/// Returns the encoded size of a part of a message in bytes.
#[must_use]
pub fn encoded_bytes<T: Serialize>(part: &T) -> usize {
    postcard::experimental::serialized_size(part).unwrap_or(usize::MAX)
}

/// Verifies and decodes a datagram.
///
/// Does not detect replays; pass the origin to [`ReplayGuard::accept`].
///
/// # Errors
///
/// Fails with kind `unauthorized` when the tag does not match, and with `malformed` when the
/// datagram is too short, too long or cannot be decoded.
pub fn decode(key: DatagramKey, datagram: &[u8]) -> Result<(Origin, Message)> {
    let (origin, message): (Origin, Message) = sealed::open(PROTOCOL, key, datagram)?;
    let message = match message {
        Message::Heartbeat(heartbeat) => Message::Heartbeat(heartbeat.absolute_from(&origin)),
        other => other,
    };
    Ok((origin, message))
}
