//! Datagrams between processes under pass-through delivery: guards against garbage, changed bytes
//! and datagrams of another installation.

use {
    cardamomloom_protocol::{
        forward::DatagramKey,
        passthrough::{
            CatalogueVersion, FlowId, FlowOwner, LeastLoaded, MAX_VISITED, PeerMessage,
            RELAY_HEADER_BYTES, RelayHeader, RelayKind, RunId, ServiceTag, open, seal,
        },
    },
    proptest::prelude::*,
    std::net::{Ipv4Addr, SocketAddrV4},
};

const KEY: DatagramKey = DatagramKey([7; 16]);
const OTHER_KEY: DatagramKey = DatagramKey([8; 16]);

fn header() -> impl Strategy<Value = RelayHeader> {
    let kind = prop_oneof![
        Just(RelayKind::Forward),
        Just(RelayKind::PassOn),
        Just(RelayKind::Search),
        Just(RelayKind::Assign),
    ];
    let fields = (
        any::<u32>(),
        any::<u64>(),
        any::<u64>(),
        any::<u32>(),
        any::<u8>(),
    );
    (
        kind,
        fields,
        prop::collection::vec(any::<u32>(), 0..=MAX_VISITED),
    )
        .prop_map(
            |(kind, (service, catalogue, life, balancer, excess), agents)| {
                let mut header = RelayHeader::from_balancer(
                    Ipv4Addr::from(balancer),
                    ServiceTag(service),
                    CatalogueVersion(catalogue),
                    RunId(life),
                );
                for agent in agents {
                    let agent = Ipv4Addr::from(agent);
                    header = header.relayed_by(agent, kind, RunId(life)).expect("room");
                    header.least_loaded = LeastLoaded {
                        position: 0,
                        queue_excess: excess,
                    };
                }
                header
            },
        )
}

fn owner() -> PeerMessage {
    PeerMessage::Owner(FlowOwner {
        flow: FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        },
        agent: Ipv4Addr::new(10, 1, 0, 2),
    })
}

proptest! {
    #[test]
    fn verify_that_a_header_survives_the_wire(header in header(), packet in prop::collection::vec(any::<u8>(), 0..80)) {
        let mut datagram = header.encode(KEY, &packet).to_vec();
        datagram.extend_from_slice(&packet);
        let (decoded, rest) = RelayHeader::decode(KEY, &datagram).expect("valid datagram");
        prop_assert_eq!(decoded, header);
        prop_assert_eq!(rest, &packet[..]);
        prop_assert!(RelayHeader::decode(OTHER_KEY, &datagram).is_err());
    }

    #[test]
    fn verify_that_a_changed_header_is_refused(header in header(), position in 0..RELAY_HEADER_BYTES, change in 1..=u8::MAX) {
        let mut datagram = header.encode(KEY, &[]).to_vec();
        datagram[position] ^= change;
        prop_assert!(RelayHeader::decode(KEY, &datagram).is_err());
    }

    #[test]
    fn verify_that_garbage_is_refused(garbage in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(RelayHeader::decode(KEY, &garbage).is_err());
        prop_assert!(open(KEY, &garbage).is_err());
    }
}

#[test]
fn verify_that_a_message_of_another_installation_is_refused() {
    let datagram = seal(KEY, &owner()).expect("small message");
    assert_eq!(open(KEY, &datagram).expect("valid message"), owner());
    assert!(open(OTHER_KEY, &datagram).is_err());
}

#[test]
fn verify_that_a_packet_visits_a_bounded_number_of_agents() {
    let mut header = RelayHeader::from_balancer(
        Ipv4Addr::LOCALHOST,
        ServiceTag(1),
        CatalogueVersion(1),
        RunId(1),
    );
    for _ in 0..MAX_VISITED {
        header = header
            .relayed_by(Ipv4Addr::LOCALHOST, RelayKind::PassOn, RunId(1))
            .expect("room");
    }
    assert!(
        header
            .relayed_by(Ipv4Addr::LOCALHOST, RelayKind::PassOn, RunId(1))
            .is_none()
    );
}
