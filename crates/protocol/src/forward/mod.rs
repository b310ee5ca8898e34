//! Header that a balancer or agent adds in front of a caller's IP packet to forward it to an agent.
//!
//! Layout, 48 bytes, big endian:
//!
//! | offset | bytes | field |
//! |---|---|---|
//! | 0 | 2 | magic `0xca4d` |
//! | 2 | 1 | version 1 |
//! | 3 | 1 | hop count |
//! | 4 | 4 | service id |
//! | 8 | 8 | version of the sender's candidate table |
//! | 16 | 4 | bucket |
//! | 20 | 1 | number of visited hosts, 0 to 4 |
//! | 21 | 3 | zero |
//! | 24 | 16 | ids of the visited hosts, 4 bytes each |
//! | 40 | 8 | tag: keyed SipHash-2-4 over bytes 0 to 39 and the first 40 bytes of the packet |

use {
    crate::bytes::{be_u32, be_u64},
    cardamomloom_core::{
        BucketId, HostId, ServiceId, TableVersion,
        error::{Error, malformed},
    },
    siphasher::sip::SipHasher24,
    std::hash::Hasher,
};

/// Result of decoding a forward header.
pub type Result<T> = std::result::Result<T, Error>;

/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 48;

/// Maximum number of hosts that a packet visits, equal to the number of candidates of a bucket.
pub const MAX_VISITED: usize = 4;

const MAGIC: u16 = 0xca4d;
const VERSION: u8 = 1;
const TAG_OFFSET: usize = 40;
const TAGGED_PACKET_BYTES: usize = 40;

/// Key that authenticates datagrams between the processes of one installation.
///
/// The `Debug` form does not show the key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct DatagramKey(pub [u8; 16]);

impl DatagramKey {
    /// Returns the SipHash-2-4 tag of the parts of a datagram.
    #[must_use]
    pub fn tag(self, parts: &[&[u8]]) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        for part in parts {
            hasher.write(part);
        }
        hasher.finish()
    }
}

impl std::fmt::Debug for DatagramKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DatagramKey(..)")
    }
}

/// Hosts that a packet was sent to, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visited {
    hosts: [HostId; MAX_VISITED],
    count: u8,
}

impl Visited {
    /// Returns whether the packet was sent to `host`.
    #[must_use]
    pub fn contains(&self, host: HostId) -> bool {
        self.as_slice().contains(&host)
    }

    /// Appends a host; returns false if the list is full.
    pub fn push(&mut self, host: HostId) -> bool {
        let Some(slot) = self.hosts.get_mut(usize::from(self.count)) else {
            return false;
        };
        *slot = host;
        self.count += 1;
        true
    }

    /// Returns the visited hosts in order.
    #[must_use]
    pub fn as_slice(&self) -> &[HostId] {
        &self.hosts[..usize::from(self.count)]
    }
}

/// Decoded forward header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardHeader {
    /// Service that the sender selected by the packet's destination.
    pub service: ServiceId,
    /// Version of the candidate table that the sender used.
    pub table: TableVersion,
    /// Bucket of the flow in that table.
    pub bucket: BucketId,
    /// Number of agents that have forwarded the packet.
    pub hops: u8,
    /// Hosts that the packet was sent to, the receiver included.
    pub visited: Visited,
}

impl ForwardHeader {
    /// Writes the header and `packet` into `out` and returns the number of bytes written.
    ///
    /// Returns `None` if `out` is too small.
    #[must_use]
    pub fn encode_into(&self, key: DatagramKey, packet: &[u8], out: &mut [u8]) -> Option<usize> {
        let total_bytes = HEADER_BYTES + packet.len();
        let out = out.get_mut(..total_bytes)?;
        let header = self.encode(key, packet);
        out[..HEADER_BYTES].copy_from_slice(&header);
        out[HEADER_BYTES..].copy_from_slice(packet);
        Some(total_bytes)
    }

    /// Returns the encoded header for `packet`, without the packet.
    #[must_use]
    pub fn encode(&self, key: DatagramKey, packet: &[u8]) -> [u8; HEADER_BYTES] {
        let mut header = [0; HEADER_BYTES];
        header[0..2].copy_from_slice(&MAGIC.to_be_bytes());
        header[2] = VERSION;
        header[3] = self.hops;
        header[4..8].copy_from_slice(&self.service.0.to_be_bytes());
        header[8..16].copy_from_slice(&self.table.0.to_be_bytes());
        header[16..20].copy_from_slice(&self.bucket.0.to_be_bytes());
        header[20] = self.visited.count;
        for (slot, host) in header[24..TAG_OFFSET]
            .chunks_exact_mut(4)
            .zip(self.visited.hosts)
        {
            slot.copy_from_slice(&host.0.to_be_bytes());
        }
        let tag = header_tag(key, &header[..TAG_OFFSET], packet, TAGGED_PACKET_BYTES);
        header[TAG_OFFSET..].copy_from_slice(&tag.to_be_bytes());
        header
    }

    /// Splits a datagram into the header and the IP packet.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the datagram is too short, has an unknown magic or version,
    /// names too many visited hosts, or has a wrong tag.
    pub fn decode(key: DatagramKey, datagram: &[u8]) -> Result<(Self, &[u8])> {
        let Some((header, packet)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
            return Err(malformed("forward: datagram is shorter than the header"));
        };
        if header[0..2] != MAGIC.to_be_bytes() || header[2] != VERSION {
            return Err(malformed("forward: unknown magic or version"));
        }
        let count = header[20];
        if usize::from(count) > MAX_VISITED {
            return Err(malformed(format!(
                "forward: {count} visited hosts exceed the limit of {MAX_VISITED}"
            )));
        }
        let expected = header_tag(key, &header[..TAG_OFFSET], packet, TAGGED_PACKET_BYTES);
        if header[TAG_OFFSET..] != expected.to_be_bytes() {
            return Err(malformed("forward: authentication tag does not match"));
        }
        let mut hosts = [HostId::default(); MAX_VISITED];
        for (host, slot) in hosts.iter_mut().zip(header[24..TAG_OFFSET].chunks_exact(4)) {
            *host = HostId(be_u32(slot));
        }
        let decoded = Self {
            service: ServiceId(be_u32(&header[4..8])),
            table: TableVersion(be_u64(&header[8..16])),
            bucket: BucketId(be_u32(&header[16..20])),
            hops: header[3],
            visited: Visited { hosts, count },
        };
        Ok((decoded, packet))
    }
}

/// Returns the tag over a header and the first `packet_bytes` bytes of the packet that follows it.
pub(crate) fn header_tag(
    key: DatagramKey,
    header: &[u8],
    packet: &[u8],
    packet_bytes: usize,
) -> u64 {
    key.tag(&[header, &packet[..packet.len().min(packet_bytes)]])
}
