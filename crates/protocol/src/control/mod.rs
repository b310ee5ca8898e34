//! Control datagrams between the processes of one installation.
//!
//! A datagram is the postcard encoding of an [`Origin`] and a [`Message`], followed by an 8-byte
//! SipHash-2-4 tag over both.

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

/// Result of decoding a control datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// Bytes of the IPv4 and UDP headers of a datagram, which count towards the control budget.
pub const HEADER_BYTES: usize = 28;

/// Name of the protocol in errors.
const AREA: &str = "control";

/// Who sent a datagram, and which of its datagrams this is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Identity of the sending process: the number of its node id or host id.
    pub sender: u64,
    /// Life of the sending process.
    pub incarnation: Incarnation,
    /// Number of the datagram within this life.
    pub sequence: u64,
}

/// State of a host, in the order in which one incarnation passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HostState {
    /// The agent runs and its backend server does not accept connections yet.
    Starting,
    /// The host takes new flows.
    Ready,
    /// The host keeps its flows and takes no new ones.
    Draining,
    /// The host left or was found dead.
    Gone,
}

/// What the system knows of one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostEntry {
    /// Identity of the host.
    pub host: HostId,
    /// Service that the host answers for.
    pub service: ServiceId,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the agent's packet socket.
    pub data_address: SocketAddr,
    /// Address of the agent's control socket.
    pub control_address: SocketAddr,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// State of the host.
    pub state: HostState,
    /// Share in placement.
    pub weight: Weight,
}

impl HostEntry {
    /// Tells whether this entry replaces `other` of the same host.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// Message of a control datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An agent tells a balancer that its host exists and is alive.
    Announce {
        /// The host.
        entry: HostEntry,
        /// Table of the service at the agent.
        table: TableVersion,
    },
    /// A process tells another what it knows of hosts.
    Hosts {
        /// The sender, for log lines.
        from: NodeId,
        /// Host entries, newest known state.
        entries: Vec<HostEntry>,
    },
    /// An agent tells the first candidate of some buckets which open flows it owns there. A part
    /// without flows says that it owns none.
    Handover {
        /// The owner.
        from: HostId,
        /// Life of the owner.
        incarnation: Incarnation,
        /// Service of both agents.
        service: ServiceId,
        /// Table for which the flows were selected.
        table: TableVersion,
        /// Number of the list within the life of the owner; a later list replaces an earlier one.
        generation: u64,
        /// Position of this part within the list, counted from 0.
        part: u32,
        /// Number of parts in the list; it grows when the owner opens further flows.
        parts: u32,
        /// Open flows of the owner.
        flows: Vec<FlowKey>,
    },
    /// A first candidate confirms that it keeps a part of a handover.
    HandoverConfirm {
        /// The receiver of the handover.
        from: HostId,
        /// Life of the receiver.
        incarnation: Incarnation,
        /// Life of the owner whose part is confirmed.
        owner_incarnation: Incarnation,
        /// The confirmed list.
        generation: u64,
        /// The confirmed part.
        part: u32,
    },
    /// An agent tells a balancer that it is alive.
    Heartbeat(Heartbeat),
    /// An agent without configuration asks for the objects of its service.
    ConfigRequest {
        /// Service of the agent.
        service: ServiceName,
        /// Failure domain of the agent.
        domain: DomainName,
    },
    /// A balancer tells an agent which balancers it is to announce its host to.
    Assignment {
        /// Control sockets of the balancers.
        balancers: Vec<SocketAddr>,
        /// Control sockets of others, to turn to when all of these are silent.
        spares: Vec<SocketAddr>,
    },
    /// A balancer tells an agent its digests, which the agent compares with its own.
    HeartbeatAnswer {
        /// Digest of the hosts of the agent's service.
        hosts_digest: u32,
        /// Digest of the service's object, all failure domains and their marks.
        config_digest: u32,
        /// Whether the balancer lacks the host's entry and asks for an announcement.
        wants_entry: bool,
    },
    /// Changes and digests.
    Gossip(Gossip),
    /// Digests of the groups of one kind; groups that differ are answered with `Versions`.
    Groups {
        /// Kind of the items.
        kind: ItemKind,
        /// Digest of each group.
        digests: Vec<u32>,
    },
    /// Identity and rank of all items of a group whose identities lie in `first..=last`.
    Versions {
        /// Kind of the items.
        kind: ItemKind,
        /// Index of the group.
        group: u8,
        /// Lowest identity that the list covers.
        first: u64,
        /// Highest identity that the list covers.
        last: u64,
        /// The items.
        items: Vec<ItemRank>,
    },
    /// Asks for items.
    Want {
        /// Kind of the items.
        kind: ItemKind,
        /// Identities of the items.
        ids: Vec<u64>,
    },
    /// Objects of the store.
    Objects(Vec<WireObject>),
    /// Marks of lost balancers and failure domains.
    LivenessRecords(Vec<LivenessRecord>),
    /// A balancer found a subject silent and asks another to check it too.
    Suspect {
        /// The silent subject.
        subject: Subject,
        /// Incarnation of the host, or counter of the mark.
        claim: u64,
    },
    /// Asks for a sign of life.
    Probe,
    /// Answers a probe.
    ProbeAnswer,
    /// A first candidate asks an agent how long its list is now, before it answers unknown
    /// packets with resets.
    HandoverQuery {
        /// The sender.
        from: HostId,
        /// Service of both agents.
        service: ServiceId,
        /// Repeated in the answer.
        round: u64,
    },
    /// Answer to a [`Message::HandoverQuery`].
    HandoverState {
        /// The owner.
        from: HostId,
        /// Life of the owner.
        incarnation: Incarnation,
        /// Table of the owner.
        table: TableVersion,
        /// List of the owner for the asking host.
        generation: u64,
        /// Number of parts in the list.
        parts: u32,
        /// Round of the query.
        round: u64,
    },
    /// An agent tells a peer of its service how many connections its server holds.
    Load {
        /// The sender.
        host: HostId,
        /// Service of both agents.
        service: ServiceId,
        /// Open connections, counted by the agent itself.
        connections: u32,
        /// Share of the sender in placement.
        weight: Weight,
    },
}

/// Returns the datagram for a message.
///
/// # Errors
///
/// Fails with kind `limit_exceeded` when the datagram is larger than [`MAX_DATAGRAM_BYTES`].
pub fn encode(key: DatagramKey, origin: &Origin, message: &Message) -> Result<Vec<u8>> {
    sealed::seal(AREA, key, &(origin, on_wire(origin, message).as_ref()))
}

/// Returns a message as its datagram holds it.
fn on_wire<'a>(origin: &Origin, message: &'a Message) -> Cow<'a, Message> {
    match message {
        Message::Heartbeat(heartbeat) => {
            Cow::Owned(Message::Heartbeat(heartbeat.relative_to(origin)))
        }
        other => Cow::Borrowed(other),
    }
}

/// Returns the size of the datagram for a message with its IP and UDP headers, in bytes.
#[must_use]
pub fn wire_bytes(origin: &Origin, message: &Message) -> u64 {
    let message = on_wire(origin, message);
    let body =
        postcard::experimental::serialized_size(&(origin, message.as_ref())).unwrap_or_default();
    (body + TAG_BYTES + HEADER_BYTES) as u64
}

/// Returns the encoded size of a part of a message, in bytes.
#[must_use]
pub fn encoded_bytes<T: Serialize>(part: &T) -> usize {
    postcard::experimental::serialized_size(part).unwrap_or(usize::MAX)
}

/// Returns origin and message of a datagram.
///
/// The caller rejects replays with a [`ReplayGuard`].
///
/// # Errors
///
/// Fails with kind `unauthorized` when the tag does not match, and with `malformed` when the
/// datagram is short, too long or cannot be decoded.
pub fn decode(key: DatagramKey, datagram: &[u8]) -> Result<(Origin, Message)> {
    let (origin, message): (Origin, Message) = sealed::open(AREA, key, datagram)?;
    let message = match message {
        Message::Heartbeat(heartbeat) => Message::Heartbeat(heartbeat.absolute_from(&origin)),
        other => other,
    };
    Ok((origin, message))
}
