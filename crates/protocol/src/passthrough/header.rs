//! Header that a balancer or agent adds in front of a caller's packet to relay it to an agent.
//!
//! Layout, 56 bytes, big endian:
//!
//! | offset | bytes | field |
//! |---|---|---|
//! | 0 | 2 | magic `0xca50` |
//! | 2 | 1 | version 1 |
//! | 3 | 1 | kind |
//! | 4 | 4 | service tag |
//! | 8 | 8 | catalogue version of the balancer |
//! | 16 | 8 | run of the host that the sender chose, 0 if any run will do |
//! | 24 | 4 | IPv4 address of the balancer that received the packet |
//! | 28 | 1 | number of visited agents |
//! | 29 | 1 | position of the least loaded agent among the visited ones |
//! | 30 | 1 | queue excess of its host: requests that wait beyond its slots; 255 if there is none |
//! | 31 | 1 | bit 0: copies of the packet were sent to other services; bit 1: the balancer accepts load heartbeats; bits 2 to 7: code of a [`ServiceWait`] |
//! | 32 | 16 | IPv4 addresses of the visited agents |
//! | 48 | 8 | tag: keyed SipHash-2-4 over bytes 0 to 47 and the first 32 bytes of the packet |

use {
    super::{CatalogueVersion, RunId, ServiceWait},
    crate::{
        bytes::{be_u32, be_u64},
        forward::{DatagramKey, header_tag},
    },
    cardamomloom_core::{
        ServiceName,
        error::{Error, malformed},
    },
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher24,
    std::{hash::Hasher, net::Ipv4Addr},
};

/// Result of decoding a relay header.
pub type Result<T> = std::result::Result<T, Error>;

/// Length of the header in bytes.
pub const RELAY_HEADER_BYTES: usize = 56;

/// Maximum number of agents that a SYN visits.
pub const MAX_VISITED: usize = 4;

const MAGIC: u16 = 0xca50;
const VERSION: u8 = 1;
const COPIES_FLAG: u8 = 1;
const ACCEPTS_LOAD_FLAG: u8 = 2;
const SERVICE_WAIT_SHIFT: u32 = 2;
const TAG_OFFSET: usize = 48;
const TAGGED_PACKET_BYTES: usize = 32;

/// Hash of a service name that identifies the service in headers; never 0.
///
/// If two services of a catalogue have equal tags, the agent's check of the destination address
/// rejects packets of the wrong service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u32);

impl From<&ServiceName> for ServiceTag {
    fn from(service: &ServiceName) -> Self {
        let mut hasher = SipHasher24::new();
        hasher.write(service.as_str().as_bytes());
        let hash = hasher.finish();
        let [.., a, b, c, d] = (hash ^ (hash >> 32)).to_be_bytes();
        Self(u32::from_be_bytes([a, b, c, d]) | 1)
    }
}

/// Why a packet is relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayKind {
    /// The balancer chose the receiver.
    Forward,
    /// The host of the sending agent does not accept the SYN; the receiver is the next candidate.
    PassOn,
    /// The sending agent looks up the owner of the flow; the receiver must not continue the lookup.
    Search,
    /// All visited agents were busy; the receiver is the least loaded of them and accepts the SYN.
    Assign,
}

/// The least loaded of the agents that a SYN visited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeastLoaded {
    /// Index into the visited agents.
    pub position: u8,
    /// Requests that wait beyond the slots of its host; `u8::MAX` if no visited agent can take the
    /// flow.
    pub queue_excess: u8,
}

/// Decoded relay header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayHeader {
    /// Why the packet is relayed.
    pub kind: RelayKind,
    /// Service that the packet is for.
    pub service: ServiceTag,
    /// Catalogue version of the balancer that received the packet.
    pub catalogue: CatalogueVersion,
    /// Run of the host that the sender chose, or the default if any run will do.
    pub run: RunId,
    /// Balancer that received the packet from the caller.
    pub balancer: Ipv4Addr,
    /// Least loaded of the visited agents.
    pub least_loaded: LeastLoaded,
    /// Whether the owner of the flow may be a host of another service, so that the balancer looks for
    /// it there too.
    pub has_copies: bool,
    /// Whether the balancer accepts load heartbeats.
    pub accepts_load: bool,
    /// Least expected wait that the balancer knows among the usable hosts of the service. Unknown in a
    /// SYN that another host may have accepted, so that nobody refuses it.
    pub service_wait: ServiceWait,
    visited: [Ipv4Addr; MAX_VISITED],
    visited_count: u8,
}

impl RelayHeader {
    /// Creates the header of a packet that a balancer received from a caller.
    #[must_use]
    pub const fn from_balancer(
        balancer: Ipv4Addr,
        service: ServiceTag,
        catalogue: CatalogueVersion,
        run: RunId,
    ) -> Self {
        Self {
            kind: RelayKind::Forward,
            service,
            catalogue,
            run,
            balancer,
            least_loaded: LeastLoaded {
                position: 0,
                queue_excess: u8::MAX,
            },
            has_copies: false,
            accepts_load: false,
            service_wait: ServiceWait::UNKNOWN,
            visited: [Ipv4Addr::UNSPECIFIED; MAX_VISITED],
            visited_count: 0,
        }
    }

    /// Returns the agents that have relayed the packet, in order.
    #[must_use]
    pub fn visited(&self) -> &[Ipv4Addr] {
        &self.visited[..usize::from(self.visited_count)]
    }

    /// Returns the header with which `agent` relays the packet, or `None` if the packet has already
    /// visited [`MAX_VISITED`] agents.
    #[must_use]
    pub fn relayed_by(&self, agent: Ipv4Addr, kind: RelayKind, run: RunId) -> Option<Self> {
        let mut next = *self;
        *next.visited.get_mut(usize::from(self.visited_count))? = agent;
        next.visited_count += 1;
        next.kind = kind;
        next.run = run;
        Some(next)
    }

    /// Returns the encoded header for `packet`, without the packet.
    #[must_use]
    pub fn encode(&self, key: DatagramKey, packet: &[u8]) -> [u8; RELAY_HEADER_BYTES] {
        let mut header = [0; RELAY_HEADER_BYTES];
        header[0..2].copy_from_slice(&MAGIC.to_be_bytes());
        header[2] = VERSION;
        header[3] = self.kind as u8;
        header[4..8].copy_from_slice(&self.service.0.to_be_bytes());
        header[8..16].copy_from_slice(&self.catalogue.0.to_be_bytes());
        header[16..24].copy_from_slice(&self.run.0.to_be_bytes());
        header[24..28].copy_from_slice(&self.balancer.octets());
        header[28] = self.visited_count;
        header[29] = self.least_loaded.position;
        header[30] = self.least_loaded.queue_excess;
        let copies_flag = if self.has_copies { COPIES_FLAG } else { 0 };
        let load_flag = if self.accepts_load {
            ACCEPTS_LOAD_FLAG
        } else {
            0
        };
        header[31] = copies_flag | load_flag | self.service_wait.code() << SERVICE_WAIT_SHIFT;
        for (slot, agent) in header[32..TAG_OFFSET].chunks_exact_mut(4).zip(self.visited) {
            slot.copy_from_slice(&agent.octets());
        }
        let tag = header_tag(key, &header[..TAG_OFFSET], packet, TAGGED_PACKET_BYTES);
        header[TAG_OFFSET..].copy_from_slice(&tag.to_be_bytes());
        header
    }

    /// Splits a datagram into the header and the packet.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the datagram is too short, has an unknown magic, version or
    /// kind, names too many visited agents, or has a wrong tag.
    pub fn decode(key: DatagramKey, datagram: &[u8]) -> Result<(Self, &[u8])> {
        let Some((header, packet)) = datagram.split_first_chunk::<RELAY_HEADER_BYTES>() else {
            return Err(malformed("relay: datagram is shorter than the header"));
        };
        if header[0..2] != MAGIC.to_be_bytes() || header[2] != VERSION {
            return Err(malformed("relay: unknown magic or version"));
        }
        let kind = match header[3] {
            0 => RelayKind::Forward,
            1 => RelayKind::PassOn,
            2 => RelayKind::Search,
            3 => RelayKind::Assign,
            kind => return Err(malformed(format!("relay: unknown kind {kind}"))),
        };
        let visited_count = header[28];
        if usize::from(visited_count) > MAX_VISITED {
            return Err(malformed(format!(
                "relay: {visited_count} visited agents exceed the limit of {MAX_VISITED}"
            )));
        }
        if header[TAG_OFFSET..]
            != header_tag(key, &header[..TAG_OFFSET], packet, TAGGED_PACKET_BYTES).to_be_bytes()
        {
            return Err(malformed("relay: authentication tag does not match"));
        }
        let mut visited = [Ipv4Addr::UNSPECIFIED; MAX_VISITED];
        for (agent, slot) in visited
            .iter_mut()
            .zip(header[32..TAG_OFFSET].chunks_exact(4))
        {
            *agent = Ipv4Addr::from(be_u32(slot));
        }
        let decoded = Self {
            kind,
            service: ServiceTag(be_u32(&header[4..8])),
            catalogue: CatalogueVersion(be_u64(&header[8..16])),
            run: RunId(be_u64(&header[16..24])),
            balancer: Ipv4Addr::from(be_u32(&header[24..28])),
            least_loaded: LeastLoaded {
                position: header[29],
                queue_excess: header[30],
            },
            has_copies: header[31] & COPIES_FLAG != 0,
            accepts_load: header[31] & ACCEPTS_LOAD_FLAG != 0,
            service_wait: ServiceWait::from_code(header[31] >> SERVICE_WAIT_SHIFT),
            visited,
            visited_count,
        };
        Ok((decoded, packet))
    }
}
