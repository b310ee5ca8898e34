//! The packet loop of a balancer allocates nothing per packet.

use {
    arc_swap::ArcSwap,
    cardamomloom_core::{DomainName, HostId, Incarnation, ObjectVersion, ServiceId, Weight},
    cardamomloom_daemon::{
        balancer::{
            packet_loop::{self, PacketLoopOptions},
            refusals::PublishedRefusals,
        },
        freshness::Lease,
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState},
        forward::DatagramKey,
        gue,
        store_api::Object,
    },
    cardamomloom_state::{catalogue::Catalogue, hosts::HostTable, routing::RoutingTable},
    cardamomloom_transport::clock::MonotonicClock,
    stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc},
    std::{
        alloc::System,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        str::FromStr,
        sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    },
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const BURSTS: usize = 500;

fn routing(agent: SocketAddr) -> RoutingTable {
    let mut catalogue = Catalogue::default();
    let service = serde_json::json!({
        "name": "bookings", "id": 1, "owner": "test", "class": "critical",
        "addresses": ["203.0.113.1"], "port": 80, "slots_per_host": 4,
        "connections_per_slot": 2_000, "hash_key": "00112233445566778899aabbccddeeff",
    });
    let object = Object {
        key: Arc::from("services/bookings"),
        version: ObjectVersion(1),
        value: Some(service),
    };
    catalogue.apply(&object).expect("valid service");
    let mut hosts = HostTable::default();
    let entry = HostEntry {
        host: HostId(1),
        service: ServiceId(1),
        domain: DomainName::from_str("a").expect("valid name"),
        data_address: agent,
        control_address: agent,
        incarnation: Incarnation(1),
        state: HostState::Ready,
        weight: Weight::STANDARD,
    };
    hosts.merge(entry).expect("room for a host");
    let table = RoutingTable::default();
    table.rebuild(&catalogue, &hosts).expect("valid inputs")
}

fn segment(service: [u8; 4], port: u16) -> Vec<u8> {
    let mut packet = Vec::new();
    etherparse::PacketBuilder::ipv4([198, 51, 100, 1], service, 64)
        .tcp(port, 80, 1, 1_000)
        .write(&mut packet, &[7; 64])
        .expect("room in the vector");
    gue::encode(&packet)
}

/// Sends one burst of good and bad packets and waits for the good ones.
fn burst(fabric: &UdpSocket, agent: &UdpSocket, good: &[Vec<u8>], bad: &[Vec<u8>]) {
    let mut buffer = [0; 2_048];
    for packet in bad.iter().chain(good) {
        fabric.send(packet).expect("send on loopback");
    }
    for _ in good {
        agent.recv(&mut buffer).expect("a forwarded packet");
    }
}

/// Guards against an allocation per packet, forwarded or dropped, which would let the allocator
/// limit the packet rate.
#[test]
fn verify_packets_are_forwarded_without_allocation() {
    let localhost = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let [agent, fabric, balancer] =
        [(); 3].map(|()| UdpSocket::bind(localhost).expect("a loopback port"));
    fabric
        .connect(balancer.local_addr().expect("bound"))
        .expect("connect");
    let table = routing(agent.local_addr().expect("bound"));
    let stop = Arc::new(AtomicBool::new(false));
    let thread = packet_loop::spawn(
        PacketLoopOptions {
            socket: balancer,
            routing: Arc::new(ArcSwap::from_pointee(table)),
            lease: Lease::unlimited(),
            clock: MonotonicClock::start(),
            key: DatagramKey([1; 16]),
            published_refusals: PublishedRefusals::default(),
        },
        stop.clone(),
    )
    .expect("a thread");

    let good: Vec<_> = (0..16)
        .map(|port| segment([203, 0, 113, 1], 1_024 + port))
        .collect();
    let unknown = segment([203, 0, 113, 2], 1_024);
    let bad = [vec![1], vec![0xff; 80], unknown[..30].to_vec(), unknown];
    burst(&fabric, &agent, &good, &bad);

    let region = Region::new(ALLOCATOR);
    for _ in 0..BURSTS {
        burst(&fabric, &agent, &good, &bad);
    }
    let change = region.change();
    stop.store(true, Ordering::Relaxed);
    thread.join().expect("the loop ends");
    assert_eq!((change.allocations, change.reallocations), (0, 0));
}
