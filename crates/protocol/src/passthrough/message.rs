//! Control messages between balancers and agents that use pass-through delivery.
//!
//! A datagram is the postcard encoding of a [`PeerMessage`], followed by an 8-byte SipHash-2-4 tag.

use {
    super::{CatalogueDocument, CatalogueVersion, FlowId, ZoneStanding},
    crate::forward::DatagramKey,
    cardamomloom_core::{
        DomainName, ServiceName,
        error::{Error, ErrorKind, malformed},
    },
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher24,
    std::{fmt, hash::Hasher, net::Ipv4Addr, num::ParseIntError, str::FromStr},
};

/// Result of encoding or decoding a control message.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest control datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const TAG_BYTES: usize = 8;

/// Tells apart the lives of backend servers at one address; 0 when it is not known.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Life(pub u64);

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "l-{:x}", self.0)
    }
}

impl FromStr for Life {
    type Err = ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u64::from_str_radix(text.strip_prefix("l-").unwrap_or(text), 16).map(Self)
    }
}

/// What an agent says of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HostStanding {
    /// The agent runs and has not heard of its backend server.
    Starting,
    /// The host takes new flows.
    Ready,
    /// The host keeps its flows and takes no new ones.
    Draining,
    /// The backend server is gone or silent.
    Gone,
}

/// Sign of life of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Life of the agent's process.
    pub process: Life,
    /// Number of the announcement within this life.
    pub sequence: u64,
    /// Service of the host.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Life of the backend server.
    pub life: Life,
    /// State of the host.
    pub standing: HostStanding,
    /// Requests that the backend server works on at the same time.
    pub slots: u16,
    /// Flows that are open.
    pub open_flows: u16,
    /// Catalogue that the agent knows.
    pub catalogue: CatalogueVersion,
    /// Time until the next announcement.
    pub interval_ms: u16,
    /// Whether the answer should list the hosts of the service.
    pub wants_hosts: bool,
}

/// Sign of life of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerView {
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
    pub standing: Option<ZoneStanding>,
    /// Time since the store confirmed the above, or `None` when it never did.
    pub confirmed_ago_ms: Option<u32>,
    /// Balancers that the sender knows.
    pub balancers: Vec<Ipv4Addr>,
    /// Hosts of the receiver's service.
    pub hosts: Vec<HostBrief>,
}

/// A host as agents of the same service need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostBrief {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Life of the backend server.
    pub life: Life,
    /// Whether the host takes new flows.
    pub accepts_new: bool,
    /// Whether the host has no free slot.
    pub is_busy: bool,
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
    View(BalancerView),
    /// From the owner of a flow to processes that had its packets.
    Owner(FlowOwner),
}

/// What a process that starts or lags copies from a balancer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The catalogue.
    pub catalogue: Option<CatalogueDocument>,
    /// Failure domains that are out.
    pub standing: Option<ZoneStanding>,
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
    let mut datagram = postcard::to_stdvec(message)
        .map_err(|error| malformed(format!("passthrough: message cannot be encoded: {error}")))?;
    if datagram.len() + TAG_BYTES > MAX_DATAGRAM_BYTES {
        return Err(Error::new(
            ErrorKind::LimitExceeded,
            format!(
                "passthrough: message of {} bytes exceeds the limit of {MAX_DATAGRAM_BYTES} bytes",
                datagram.len() + TAG_BYTES
            ),
        ));
    }
    let tag = tag(key, &datagram);
    datagram.extend_from_slice(&tag);
    Ok(datagram)
}

/// Checks and decodes a control message.
///
/// # Errors
///
/// Fails with kind `unauthorized` when the tag does not match, and with `malformed` when the
/// datagram is short or cannot be decoded.
pub fn open(key: DatagramKey, datagram: &[u8]) -> Result<PeerMessage> {
    let Some((body, received_tag)) = datagram.split_last_chunk::<TAG_BYTES>() else {
        return Err(malformed("passthrough: datagram is shorter than its tag"));
    };
    if *received_tag != tag(key, body) {
        return Err(Error::new(
            ErrorKind::Unauthorized,
            "passthrough: authentication tag does not match",
        ));
    }
    postcard::from_bytes(body)
        .map_err(|error| malformed(format!("passthrough: datagram cannot be decoded: {error}")))
}

fn tag(key: DatagramKey, body: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = SipHasher24::new_with_key(&key.0);
    hasher.write(body);
    hasher.finish().to_be_bytes()
}
