//! A packet format for tests.

use {
    super::host::status_of,
    cardamomloom_protocol::passthrough::{PacketFormat, Segment, SegmentFlags},
    std::net::{Ipv4Addr, SocketAddrV4},
};

const HEAD_BYTES: usize = 23;

/// Fixed head of 23 bytes, then the data.
#[derive(Clone, Copy, Debug, Default)]
pub struct TestPacketFormat;

impl PacketFormat for TestPacketFormat {
    fn parse(&self, packet: &[u8]) -> Option<Segment> {
        let (head, payload) = packet.split_first_chunk::<HEAD_BYTES>()?;
        let number = |from: usize| {
            u32::from_be_bytes([head[from], head[from + 1], head[from + 2], head[from + 3]])
        };
        let port = |from: usize| u16::from_be_bytes([head[from], head[from + 1]]);
        let end = |from: usize| SocketAddrV4::new(Ipv4Addr::from(number(from)), port(from + 4));
        let flags = head[0];
        Some(Segment {
            source: end(1),
            destination: end(7),
            flags: SegmentFlags {
                is_syn: flags & 1 != 0,
                is_ack: flags & 2 != 0,
                is_fin: flags & 4 != 0,
                is_rst: flags & 8 != 0,
                is_returned: flags & 16 != 0,
            },
            sequence: number(13),
            acknowledgment: number(17),
            payload_bytes: u16::try_from(payload.len()).ok()?,
            response_status: answer_status(payload),
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
        for end in [segment.source, segment.destination] {
            packet.extend_from_slice(&end.ip().octets());
            packet.extend_from_slice(&end.port().to_be_bytes());
        }
        packet.extend_from_slice(&segment.sequence.to_be_bytes());
        packet.extend_from_slice(&segment.acknowledgment.to_be_bytes());
        packet.extend_from_slice(&[0, 0]);
        packet.extend_from_slice(&payload[..usize::from(segment.payload_bytes)]);
        packet
    }
}

fn answer_status(payload: &[u8]) -> Option<u16> {
    Some(status_of(u64::from_be_bytes(payload.try_into().ok()?)))
}
