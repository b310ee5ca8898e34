//! Control messages between balancers and agents under pass-through delivery.
//!
//! A datagram is the postcard encoding of a [`PeerMessage`], followed by an 8-byte SipHash-2-4 tag.
//! The encoding depends on the order of fields and variants. Some of the types are also written as
//! JSON, under the names in their `serde` attributes.

use {
    super::{
        AgentList, AgentListRequest, CatalogueDocument, CatalogueVersion, DomainStatus, FlowId,
        LoadHeartbeat, PeerLoads, ServiceAbsence,
    },
    crate::{control::HostState, forward::DatagramKey, sealed},
    cardamomloom_core::{DomainName, ServiceName, error::Error},
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher24,
    std::{
        fmt,
        hash::{Hash, Hasher},
        net::{Ipv4Addr, SocketAddrV4},
        num::ParseIntError,
        str::FromStr,
    },
};

/// Result of encoding or decoding a control message.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of rerouted addresses in an [`Announcement`], so that it fits a datagram.
pub const MAX_REROUTED_ADDRESSES: usize = 64;

/// Name of the protocol in error messages.
const PROTOCOL: &str = "passthrough";

/// Identifies one run of a process at an address; a restart changes it. 0 if the run is unknown.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunId(pub u64);

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "l-{:x}", self.0)
    }
}

impl FromStr for RunId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u64::from_str_radix(text.strip_prefix("l-").unwrap_or(text), 16).map(Self)
    }
}

/// Digest of a list of hosts; equal digests show that two processes have the same list.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostListDigest(pub u32);

impl HostListDigest {
    /// Returns the digest of a list, which depends on the order of the hosts.
    #[must_use]
    pub fn of(hosts: &[HostAdvertisement]) -> Self {
        let mut hasher = SipHasher24::new();
        hosts.hash(&mut hasher);
        let [.., a, b, c, d] = hasher.finish().to_be_bytes();
        Self(u32::from_be_bytes([a, b, c, d]))
    }
}

impl fmt::Display for HostListDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for HostListDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

/// Digest of a set of agents, independent of their order; equal digests show that two agents know
/// the same agents of their service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AgentSetDigest(pub u32);

impl FromIterator<Ipv4Addr> for AgentSetDigest {
    fn from_iter<T: IntoIterator<Item = Ipv4Addr>>(agents: T) -> Self {
        let sum = agents.into_iter().fold(0_u32, |sum, agent| {
            let mut hasher = SipHasher24::new();
            agent.hash(&mut hasher);
            let [.., a, b, c, d] = hasher.finish().to_be_bytes();
            sum.wrapping_add(u32::from_be_bytes([a, b, c, d]))
        });
        Self(sum)
    }
}

impl fmt::Display for AgentSetDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for AgentSetDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

/// State of a host. Its agent sends an announcement after each change, and to balancers that lack
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Run of the agent's process.
    pub process: RunId,
    /// Sequence number among the announcements and heartbeats of the agent's run.
    pub sequence: u64,
    /// Number of the state within the agent's run; heartbeats repeat it.
    pub revision: u32,
    /// Service of the host.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Run of the backend server.
    #[serde(rename = "life")]
    pub run: RunId,
    /// State of the host.
    #[serde(rename = "standing")]
    pub state: HostState,
    /// Version of the catalogue that the agent has.
    pub catalogue: CatalogueVersion,
    /// Time until the next announcement or heartbeat.
    pub interval_ms: u16,
    /// Addresses that the host holds flows to, although the agent's catalogue routes them to other
    /// services; at most [`MAX_REROUTED_ADDRESSES`].
    #[serde(default)]
    pub rerouted_addresses: Vec<SocketAddrV4>,
    /// Digest of the agent's list of hosts of the service; the balancer sends its list if that has
    /// another digest. `None` if the agent requests no list.
    pub asks_hosts: Option<HostListDigest>,
}

/// Heartbeat of an agent whose state has not changed since its last announcement. It has a quarter
/// of the size of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Run of the agent's process.
    pub process: RunId,
    /// Sequence number among the announcements and heartbeats of the agent's run.
    pub sequence: u64,
    /// Number of the last announced state within the agent's run.
    pub revision: u32,
    /// Digest of the agent's list of hosts of the service; the balancer sends its list if that has
    /// another digest. `None` if the agent requests no list.
    pub asks_hosts: Option<HostListDigest>,
}

/// Heartbeat of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerHeartbeat {
    /// Address of the balancer.
    pub balancer: Ipv4Addr,
    /// Whether the balancer is about to stop.
    pub is_stopping: bool,
    /// Whether the balancer is initialized and can serve a [`Snapshot`].
    pub is_informed: bool,
    /// Whether the balancer is a store reader.
    pub is_reader: bool,
    /// Time until the next heartbeat.
    pub interval_ms: u16,
    /// Whether the receiver should answer immediately.
    pub wants_answer: bool,
    /// Version of the catalogue that the balancer has.
    pub catalogue: CatalogueVersion,
    /// Failure domains that are out of service, or `None` if the balancer has not learned them yet.
    #[serde(rename = "standing")]
    pub domain_status: Option<DomainStatus>,
    /// Time since the store confirmed catalogue and failure domains, or `None` if it never did.
    pub confirmed_ago_ms: Option<u32>,
    /// Balancers that the sender knows; empty in a heartbeat without lists.
    pub balancers: Vec<Ipv4Addr>,
    /// Hosts of the receiver's service; empty if the receiver has the list or did not request it, or
    /// if the list is sent as [`HostListPart`]s because it does not fit a datagram.
    pub hosts: Vec<HostAdvertisement>,
}

/// Advertisement of a host to the other agents of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostAdvertisement {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Run of the backend server.
    #[serde(rename = "life")]
    pub run: RunId,
    /// Whether the host accepts new flows.
    pub accepts_new: bool,
}

/// Names the agent that owns a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowOwner {
    /// Flow that the agent owns.
    pub flow: FlowId,
    /// Address of the agent.
    pub agent: Ipv4Addr,
}

/// States that a host does not hold a flow, and never will under this handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowAbsence {
    /// Flow that is looked up.
    pub flow: FlowId,
    /// Acknowledgment number of the packet that is looked up. It tells flows apart that use the same
    /// addresses and ports one after the other.
    pub acknowledgment: u32,
    /// Address of the agent that does not hold the flow.
    pub agent: Ipv4Addr,
    /// Agents of the service that this agent knows.
    pub known_agents: AgentSetDigest,
    /// Whether the backend server started a short time ago.
    pub is_server_new: bool,
}

/// Part of a list of hosts that does not fit a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListPart {
    /// Digest of the whole list.
    pub list: HostListDigest,
    /// Position of this part, from 0.
    pub position: u8,
    /// Number of parts of the list.
    pub parts: u8,
    /// Hosts of this part.
    pub hosts: Vec<HostAdvertisement>,
}

/// Exit of an agent whose host holds no flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentDeparture {
    /// Address of the agent.
    pub agent: Ipv4Addr,
}

/// Control message between balancers and agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Announces the state of a host; sent by its agent to a balancer.
    Announcement(Announcement),
    /// Shows that a balancer is alive; sent to agents and other balancers.
    BalancerHeartbeat(BalancerHeartbeat),
    /// Names the owner of a flow; sent by the owner to processes that relayed packets of the flow.
    Owner(FlowOwner),
    /// Shows that an agent is alive and its host unchanged; sent to a balancer.
    Heartbeat(AgentHeartbeat),
    /// States that a host does not hold a flow; sent by its agent to the agent that looks up the
    /// owner.
    Absence(FlowAbsence),
    /// Announces that an agent exits and that its host holds no flows; sent to the other agents of
    /// the service.
    Departure(AgentDeparture),
    /// Part of the hosts of the receiver's service; sent by a balancer to an agent that requests the
    /// list.
    HostListPart(HostListPart),
    /// Heartbeat with the load of the host; sent by its agent to a balancer that accepts it.
    LoadHeartbeat(LoadHeartbeat),
    /// Loads of hosts of the receiver's service; sent by a balancer to an agent that requests the
    /// hosts with a [`LoadHeartbeat`].
    PeerLoads(PeerLoads),
    /// States that no host of a service holds a flow; sent by the agent that looked up the owner to
    /// the balancer that sent it the packet.
    ServiceAbsence(ServiceAbsence),
    /// Requests the list of agents of another agent of the service.
    AgentListRequest(AgentListRequest),
    /// List of agents; sent to the agent that requested it.
    AgentList(AgentList),
}

/// State that a balancer serves to processes that are starting or lag behind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Catalogue, or `None` if the balancer has none.
    pub catalogue: Option<CatalogueDocument>,
    /// Failure domains that are out of service, or `None` if the balancer has not learned them.
    #[serde(rename = "standing")]
    pub domain_status: Option<DomainStatus>,
    /// Time since the store confirmed catalogue and failure domains, or `None` if it never did.
    pub confirmed_ago_ms: Option<u32>,
    /// Balancers that the sender knows.
    pub balancers: Vec<Ipv4Addr>,
    /// Last announcement of each host that the sender knows.
    pub hosts: Vec<Announcement>,
}

/// Encodes and authenticates a control message.
///
/// # Errors
///
/// Fails with kind `limit_exceeded` when the message does not fit a datagram.
pub fn seal(key: DatagramKey, message: &PeerMessage) -> Result<Vec<u8>> {
    sealed::seal(PROTOCOL, key, message)
}

/// Verifies and decodes a control message.
///
/// # Errors
///
/// Fails with kind `unauthorized` when the tag does not match, and with `malformed` when the
/// datagram is too short, too long or cannot be decoded.
pub fn open(key: DatagramKey, datagram: &[u8]) -> Result<PeerMessage> {
    sealed::open(PROTOCOL, key, datagram)
}
