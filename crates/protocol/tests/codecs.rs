//! Tests of the wire formats with damaged input and input from other installations.

use {
    cardamomloom_core::{
        BucketId, DomainName, HostId, Incarnation, ServiceId, TableVersion, Weight,
    },
    cardamomloom_protocol::{
        control::{self, Heartbeat, HostEntry, HostState, Message, Origin},
        forward::{DatagramKey, ForwardHeader, Visited},
        gue, packet,
    },
    proptest::prelude::*,
    std::{net::SocketAddr, str::FromStr},
};

const KEY: DatagramKey = DatagramKey([7; 16]);

fn tcp_packet(payload: &[u8]) -> Vec<u8> {
    let builder = etherparse::PacketBuilder::ipv4([198, 51, 100, 1], [203, 0, 113, 1], 64)
        .tcp(40_000, 80, 1, 1_000)
        .syn();
    let mut bytes = Vec::new();
    builder
        .write(&mut bytes, payload)
        .expect("writing to a vector cannot fail");
    bytes
}

fn header() -> ForwardHeader {
    let mut visited = Visited::default();
    assert!(visited.push(HostId(9)));
    ForwardHeader {
        service: ServiceId(3),
        table: TableVersion(0x0123_4567_89ab_cdef),
        bucket: BucketId(8_191),
        hops: 2,
        visited,
    }
}

fn entry() -> HostEntry {
    let address = SocketAddr::from_str("127.0.0.1:9000").expect("valid address");
    HostEntry {
        host: HostId(1),
        service: ServiceId(2),
        domain: DomainName::from_str("tas-hobart").expect("valid name"),
        data_address: address,
        control_address: address,
        incarnation: Incarnation(5),
        state: HostState::Ready,
        weight: Weight::STANDARD,
    }
}

/// Guards against header fields that are encoded and decoded at different offsets.
#[test]
fn verify_forward_header_round_trips() {
    let packet = tcp_packet(b"hello");
    let mut datagram = header().encode(KEY, &packet).to_vec();
    datagram.extend_from_slice(&packet);
    let (decoded, inner) = ForwardHeader::decode(KEY, &datagram).expect("valid datagram");
    assert_eq!(decoded, header());
    assert_eq!(inner, packet);
}

/// Guards against the delivery of a datagram that was changed or belongs to another installation.
#[test]
fn verify_forward_header_rejects_any_changed_byte() {
    let packet = tcp_packet(b"");
    let mut datagram = header().encode(KEY, &packet).to_vec();
    datagram.extend_from_slice(&packet);
    assert!(ForwardHeader::decode(DatagramKey([8; 16]), &datagram).is_err());
    for index in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[index] ^= 1;
        assert!(
            ForwardHeader::decode(KEY, &changed).is_err(),
            "byte {index} is not covered by the tag"
        );
    }
}

/// Guards against control messages that cannot be decoded after encoding.
#[test]
fn verify_control_message_round_trips() {
    let message = Message::Announce {
        entry: entry(),
        table: TableVersion(4),
    };
    let origin = Origin {
        sender: 7,
        incarnation: Incarnation(5),
        sequence: 3,
    };
    let datagram = control::encode(KEY, &origin, &message).expect("fits a datagram");
    assert_eq!(control::decode(KEY, &datagram), Ok((origin, message)));
}

/// Guards against a heartbeat whose host or incarnation changes on the way, also when they are
/// unrelated to those of the datagram's sender.
#[test]
fn verify_heartbeat_round_trips_from_any_origin() {
    let heartbeat = Message::Heartbeat(Heartbeat {
        host: HostId(0xfedc_ba98),
        incarnation: Incarnation(1_790_000_000_000_007),
        hosts_digest: 1,
        config_digest: 2,
        wants_answer: true,
    });
    for (sender, incarnation) in [
        (0xfedc_ba98, 1_790_000_000_000_000),
        (u64::MAX, u64::MAX),
        (0, 0),
    ] {
        let origin = Origin {
            sender,
            incarnation: Incarnation(incarnation),
            sequence: 3,
        };
        let datagram = control::encode(KEY, &origin, &heartbeat).expect("fits a datagram");
        assert_eq!(
            control::decode(KEY, &datagram),
            Ok((origin, heartbeat.clone()))
        );
    }
}

/// Guards against fragments and other protocols being parsed as TCP.
#[test]
fn verify_packet_parser_names_the_cause() {
    let mut fragment = tcp_packet(b"");
    fragment[6] = 0x20;
    assert_eq!(packet::parse(&fragment), Err(packet::DropCause::Fragment));
    let mut udp = tcp_packet(b"");
    udp[9] = 17;
    assert_eq!(packet::parse(&udp), Err(packet::DropCause::NotTcp));
    assert_eq!(packet::parse(&[]), Err(packet::DropCause::MalformedIp));
}

/// Guards against a reset that the caller ignores because its sequence number is wrong.
#[test]
fn verify_reset_acknowledges_the_syn() {
    let syn = packet::parse(&tcp_packet(b"")).expect("valid packet");
    let reset = packet::reset_for(&syn).expect("a SYN gets a reset");
    let reset = packet::parse(&reset).expect("valid packet");
    assert!(reset.rst);
    assert_eq!(reset.acknowledgement, Some(syn.sequence + 1));
    assert_eq!(reset.flow.caller, syn.flow.service);
    assert_eq!(packet::reset_for(&reset), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic in any decoder on bytes from an untrusted sender.
    #[test]
    fn verify_decoders_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = gue::decode(&bytes);
        let _ = packet::parse(&bytes);
        let _ = ForwardHeader::decode(KEY, &bytes);
        let _ = control::decode(KEY, &bytes);
    }

    /// Guards against a panic on a packet that starts validly and is truncated or damaged.
    #[test]
    fn verify_damaged_packets_never_panic(length in 0_usize..60, index in 0_usize..60, value in any::<u8>()) {
        let mut bytes = tcp_packet(b"0123456789");
        let last = bytes.len() - 1;
        bytes[index.min(last)] = value;
        bytes.truncate(length);
        if let Ok(meta) = packet::parse(&bytes) {
            let _ = packet::reset_for(&meta);
        }
    }
}
