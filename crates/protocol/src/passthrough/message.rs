//! Control messages between balancers and agents that use pass-through delivery.
//!
//! A datagram is the postcard encoding of a [`PeerMessage`], followed by an 8-byte SipHash-2-4 tag.

use {
    super::{CatalogueDocument, CatalogueVersion, DomainStatus, FlowId},
    crate::{control::HostState, forward::DatagramKey, sealed},
    cardamomloom_core::{DomainName, ServiceName, error::Error},
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher24,
    std::{
        fmt,
        hash::{Hash, Hasher},
        net::Ipv4Addr,
        num::ParseIntError,
        str::FromStr,
    },
};

/// Result of encoding or decoding a control message.
pub type Result<T> = std::result::Result<T, Error>;

/// Name of the protocol in errors.
const AREA: &str = "passthrough";

/// Tells apart the lives of backend servers at one address; 0 when it is not known.
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

/// Tells whether two processes have the same list of hosts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostListDigest(pub u32);

impl HostListDigest {
    /// Returns the digest of a list.
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

/// State of a host, which its agent sends when it changes and to balancers that lack it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Life of the agent's process.
    pub process: RunId,
    /// Number of the announcement or beat within this life.
    pub sequence: u64,
    /// Number of the state within this life; beats name it.
    pub revision: u32,
    /// Service of the host.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Life of the backend server.
    #[serde(rename = "life")]
    pub run: RunId,
    /// State of the host.
    #[serde(rename = "standing")]
    pub state: HostState,
    /// Catalogue that the agent knows.
    pub catalogue: CatalogueVersion,
    /// Time until the next announcement or beat.
    pub interval_ms: u16,
    /// Asks for the hosts of the service, unless the list has this digest.
    pub asks_hosts: Option<HostListDigest>,
}

/// Sign of life of an agent whose state is as announced. A beat is a quarter of the size of an
/// announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Life of the agent's process.
    pub process: RunId,
    /// Number of the announcement or beat within this life.
    pub sequence: u64,
    /// Number of the state within this life.
    pub revision: u32,
    /// Asks for the hosts of the service, unless the list has this digest.
    pub asks_hosts: Option<HostListDigest>,
}

/// Sign of life of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerHeartbeat {
    /// Address of the balancer.
    pub balancer: Ipv4Addr,
    /// Whether the balancer ends soon.
    pub is_stopping: bool,
    /// Whether the balancer can answer a request for a [`Snapshot`].
    pub is_informed: bool,
    /// Whether the balancer reads the store itself.
    pub is_reader: bool,
    /// Time until the next sign of life.
    pub interval_ms: u16,
    /// Whether the receiver should answer at once.
    pub wants_answer: bool,
    /// Catalogue that the balancer knows.
    pub catalogue: CatalogueVersion,
    /// Failure domains that are out, or `None` when the balancer does not know them yet.
    #[serde(rename = "standing")]
    pub domain_status: Option<DomainStatus>,
    /// Time since the store confirmed the above, or `None` when it never did.
    pub confirmed_ago_ms: Option<u32>,
    /// Balancers that the sender knows, or none in a short view.
    pub balancers: Vec<Ipv4Addr>,
    /// Hosts of the receiver's service, or none when the receiver has them.
    pub hosts: Vec<HostAdvertisement>,
}

/// A host as agents of the same service need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostAdvertisement {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Life of the backend server.
    #[serde(rename = "life")]
    pub run: RunId,
    /// Whether the host takes new flows.
    pub accepts_new: bool,
}

/// Says which agent owns a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowOwner {
    /// The flow.
    pub flow: FlowId,
    /// Address of the owner.
    pub agent: Ipv4Addr,
}

/// A control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From an agent to a balancer.
    Announcement(Announcement),
    /// From a balancer to an agent or another balancer.
    BalancerHeartbeat(BalancerHeartbeat),
    /// From the owner of a flow to processes that had its packets.
    Owner(FlowOwner),
    /// From an agent to a balancer.
    Heartbeat(AgentHeartbeat),
}

/// What a process that starts or lags copies from a balancer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The catalogue.
    pub catalogue: Option<CatalogueDocument>,
    /// Failure domains that are out.
    #[serde(rename = "standing")]
    pub domain_status: Option<DomainStatus>,
    /// Time since the store confirmed the above.
    pub confirmed_ago_ms: Option<u32>,
    /// Balancers that are known.
    pub balancers: Vec<Ipv4Addr>,
    /// Hosts that are known.
    pub hosts: Vec<Announcement>,
}

/// Encodes and authenticates a control message.
///
/// # Errors
///
/// Fails with kind `limit_exceeded` when the message does not fit a datagram.
pub fn seal(key: DatagramKey, message: &PeerMessage) -> Result<Vec<u8>> {
    sealed::seal(AREA, key, message)
}

/// Checks and decodes a control message.
///
/// # Errors
///
/// Fails with kind `unauthorized` when the tag does not match, and with `malformed` when the
/// datagram is short, too long or cannot be decoded.
pub fn open(key: DatagramKey, datagram: &[u8]) -> Result<PeerMessage> {
    sealed::open(AREA, key, datagram)
}
