//! Packet format of the simulation, without IP and TCP encodings or checksums.

use {
    super::host::status_of,
    cardamomloom_protocol::passthrough::{PacketFormat, Segment, SegmentFlags},
    std::net::{Ipv4Addr, SocketAddrV4},
};

const HEADER_BYTES: usize = 23;

/// Packet format with a fixed header of 23 bytes before the payload.
///
/// The header holds the flags (1 byte), the source and the destination address and port (6 bytes
/// each), the sequence and the acknowledgment number (4 bytes each), and 2 zero bytes. Numbers are
/// big-endian.
#[derive(Clone, Copy, Debug, Default)]
pub struct TestPacketFormat;

impl PacketFormat for TestPacketFormat {
    fn parse(&self, packet: &[u8]) -> Option<Segment> {
        let (header, payload) = packet.split_first_chunk::<HEADER_BYTES>()?;
        let read_u32 = |offset: usize| {
            u32::from_be_bytes([
                header[offset],
                header[offset + 1],
                header[offset + 2],
                header[offset + 3],
            ])
        };
        let read_u16 = |offset: usize| u16::from_be_bytes([header[offset], header[offset + 1]]);
        let endpoint = |offset: usize| {
            SocketAddrV4::new(Ipv4Addr::from(read_u32(offset)), read_u16(offset + 4))
        };
        let flags = header[0];
        Some(Segment {
            source: endpoint(1),
            destination: endpoint(7),
            flags: SegmentFlags {
                is_syn: flags & 1 != 0,
                is_ack: flags & 2 != 0,
                is_fin: flags & 4 != 0,
                is_rst: flags & 8 != 0,
                is_returned: flags & 16 != 0,
            },
            sequence: read_u32(13),
            acknowledgment: read_u32(17),
            payload_bytes: u16::try_from(payload.len()).ok()?,
            response_status: response_status(payload),
        })
    }

    fn restore(&self, packet: &mut [u8]) {
        if let Some(flags) = packet.first_mut() {
            *flags &= !16;
        }
    }

    fn encode(&self, segment: &Segment, payload: &[u8]) -> Vec<u8> {
        let flags = segment.flags;
        let mut packet = vec![
            u8::from(flags.is_syn)
                | u8::from(flags.is_ack) << 1
                | u8::from(flags.is_fin) << 2
                | u8::from(flags.is_rst) << 3
                | u8::from(flags.is_returned) << 4,
        ];
        for endpoint in [segment.source, segment.destination] {
            packet.extend_from_slice(&endpoint.ip().octets());
            packet.extend_from_slice(&endpoint.port().to_be_bytes());
        }
        packet.extend_from_slice(&segment.sequence.to_be_bytes());
        packet.extend_from_slice(&segment.acknowledgment.to_be_bytes());
        packet.extend_from_slice(&[0, 0]);
        packet.extend_from_slice(&payload[..usize::from(segment.payload_bytes)]);
        packet
    }
}

fn response_status(payload: &[u8]) -> Option<u16> {
    Some(status_of(u64::from_be_bytes(payload.try_into().ok()?)))
}
