//! Packets of the platform: header of 32 bytes and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 8;
pub const ACK: u8 = 64;
pub const FIN: u8 = 128;
pub const RST: u8 = 2;
pub const BOUNCED: u8 = 32;

/// Key of the sum, which only clients and hosts know.
const SUM_KEY: u64 = 0x9e37_79b9_7f4a_7c15;

/// A packet of a client or host.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Creates a packet with its sum.
    pub fn new(
        src: SocketAddrV4,
        dst: SocketAddrV4,
        flags: u8,
        (seq, ack): (u32, u32),
        data: &[u8],
    ) -> Self {
        let mut packet = Self {
            flags,
            seq,
            ack,
            src,
            dst,
            sum: 0,
            data: data.to_vec(),
        };
        packet.sum = packet.expected_sum();
        packet
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let head = bytes.first_chunk::<32>()?;
        let u16_at = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let u32_at =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let data = &bytes[32..];
        (usize::from(u16_at(30)) == data.len()).then(|| Self {
            flags: head[4],
            seq: u32_at(6),
            ack: u32_at(10),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(22)), u16_at(14)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)), u16_at(20)),
            sum: u32_at(26),
            data: data.to_vec(),
        })
    }

    /// Encodes the packet; echo and pad are zero.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 32];
        bytes[4] = self.flags;
        bytes[6..10].copy_from_slice(&self.seq.to_be_bytes());
        bytes[10..14].copy_from_slice(&self.ack.to_be_bytes());
        bytes[14..16].copy_from_slice(&self.src.port().to_be_bytes());
        bytes[16..20].copy_from_slice(&self.dst.ip().octets());
        bytes[20..22].copy_from_slice(&self.dst.port().to_be_bytes());
        bytes[22..26].copy_from_slice(&self.src.ip().octets());
        bytes[26..30].copy_from_slice(&self.sum.to_be_bytes());
        let length = u16::try_from(self.data.len()).expect("packets are short");
        bytes[30..32].copy_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Returns whether all of these flags are set.
    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Returns whether the packet is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// Returns the sequence number after this packet.
    pub fn next_seq(&self) -> u32 {
        let flags = u32::from(self.has(SYN)) + u32::from(self.has(FIN));
        let data = u32::try_from(self.data.len()).expect("packets are short");
        self.seq.wrapping_add(flags).wrapping_add(data)
    }

    fn expected_sum(&self) -> u32 {
        let mut bytes = Self {
            sum: 0,
            flags: self.flags & !BOUNCED,
            ..self.clone()
        }
        .encode();
        bytes[..4].fill(0);
        let mut state = SUM_KEY;
        for byte in bytes {
            state = (state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
            state ^= state >> 29;
        }
        u32::try_from(state >> 32).expect("32 bits") | 1
    }
}
