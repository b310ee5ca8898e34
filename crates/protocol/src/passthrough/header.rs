//! Header between a balancer and an agent, or two agents, in front of a caller's packet.
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
//! | 16 | 8 | life of the host that the sender chose, 0 when it does not matter |
//! | 24 | 4 | IPv4 address of the balancer that took the packet |
//! | 28 | 1 | number of visited agents |
//! | 29 | 1 | position of the least loaded visited agent |
//! | 30 | 1 | requests that wait for its host beyond its slots |
//! | 31 | 1 | zero |
//! | 32 | 16 | IPv4 addresses of the visited agents |
//! | 48 | 8 | tag: keyed SipHash-2-4 over bytes 0 to 47 and the first 32 bytes of the packet |

use {
    super::{CatalogueVersion, RunId},
    crate::{
        bytes::{be_u32, be_u64},
        forward::{DatagramKey, header_tag},
    },
    cardamomloom_core::{
        ServiceName,
        error::{Error, malformed},
    },
    siphasher::sip::SipHasher24,
    std::{hash::Hasher, net::Ipv4Addr},
};

/// Result of decoding a relay header.
pub type Result<T> = std::result::Result<T, Error>;

/// Bytes of the header.
pub const RELAY_HEADER_BYTES: usize = 56;

/// Agents that an opening packet can visit.
pub const MAX_VISITED: usize = 4;

const MAGIC: u16 = 0xca50;
const VERSION: u8 = 1;
const TAG_OFFSET: usize = 48;
const TAGGED_PACKET_BYTES: usize = 32;

/// Short identity of a service in headers; two services of a catalogue with equal tags are refused
/// by the address check of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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
    /// A balancer chose the receiver.
    Forward,
    /// An agent passes on an opening packet that its host does not take.
    PassOn,
    /// An agent looks for the owner of a flow; the receiver does not look further.
    Search,
    /// All visited agents were busy, and the receiver is the least loaded of them.
    Assign,
}

/// The least loaded agent that an opening packet visited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeastLoaded {
    /// Position among the visited agents.
    pub position: u8,
    /// Requests that wait for its host beyond its slots.
    pub queue_excess: u8,
}

/// Decoded relay header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayHeader {
    /// Why the packet is relayed.
    pub kind: RelayKind,
    /// Service of the packet.
    pub service: ServiceTag,
    /// Catalogue of the balancer that took the packet.
    pub catalogue: CatalogueVersion,
    /// Life of the host that the sender chose.
    pub run: RunId,
    /// Balancer that took the packet.
    pub balancer: Ipv4Addr,
    /// The least loaded of the visited agents.
    pub least_loaded: LeastLoaded,
    visited: [Ipv4Addr; MAX_VISITED],
    visited_count: u8,
}

impl RelayHeader {
    /// Creates the header of a packet that a balancer takes.
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
            visited: [Ipv4Addr::UNSPECIFIED; MAX_VISITED],
            visited_count: 0,
        }
    }

    /// Returns the agents that had the packet before.
    #[must_use]
    pub fn visited(&self) -> &[Ipv4Addr] {
        &self.visited[..usize::from(self.visited_count)]
    }

    /// Returns the header with which `agent` relays the packet, or `None` when the packet visited
    /// the most agents that it may.
    #[must_use]
    pub fn relayed_by(&self, agent: Ipv4Addr, kind: RelayKind, run: RunId) -> Option<Self> {
        let mut next = *self;
        *next.visited.get_mut(usize::from(self.visited_count))? = agent;
        next.visited_count += 1;
        next.kind = kind;
        next.run = run;
        Some(next)
    }

    /// Returns the encoded header for `packet`.
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
    /// Fails with kind `malformed` when the datagram is short, has another magic, version or
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
            _ => return Err(malformed("relay: unknown kind")),
        };
        let visited_count = header[28];
        if usize::from(visited_count) > MAX_VISITED {
            return Err(malformed("relay: too many visited agents"));
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
            visited,
            visited_count,
        };
        Ok((decoded, packet))
    }
}
