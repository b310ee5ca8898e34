//! Placement by expected wait in a balancer, and the order in which an agent relays SYNs. Guards against
//! loads that have no effect, flows that leave their failure domain, and copies of a SYN that go to the
//! host that did not answer the first one.

use {
    cardamomloom_coordination::passthrough::{
        agent::{Action, Agent, AgentIdentity, AgentOptions},
        balancer::{Balancer, BalancerOptions, ForwardingDecision},
        load::{LoadControlOptions, PlacementPolicy, PlacementReason},
    },
    cardamomloom_core::Time,
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            AgentHeartbeat, Announcement, BalancerHeartbeat, CatalogueDocument, CatalogueVersion,
            HostAdvertisement, HostLoad, LoadHeartbeat, PeerLoad, PeerLoads, PeerMessage,
            RelayHeader, RouteEntry, RouteTarget, RunId, Segment, SegmentFlags, ServiceTag,
        },
    },
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddrV4},
    },
};

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const NOW: Time = Time::from_millis(5_000);
const LOAD_CONTROL: LoadControlOptions = LoadControlOptions {
    placement: PlacementPolicy::ExpectedWait,
    prefers_own_domain: true,
    rejects_late_flows: false,
};

/// Returns the agent of a host; hosts 0 to 2 are in the own domain, hosts 3 to 5 in another.
fn agent(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, host)
}

fn segment(port: u16, is_syn: bool, retransmissions: u32) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        destination: SERVICE,
        flags: SegmentFlags {
            is_syn,
            is_ack: !is_syn,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: retransmissions,
        payload_bytes: 0,
        response_status: None,
    }
}

/// Returns a balancer of domain 0 that knows the waits of six hosts.
fn balancer(load_control: LoadControlOptions, waits_ms: [u16; 6]) -> Balancer {
    let options = BalancerOptions {
        load_control,
        ..BalancerOptions::default()
    };
    let own_domain = "domain-0".parse().expect("valid name");
    let mut balancer = Balancer::new(options, BALANCER, &[], Time::ZERO).with_domain(own_domain);
    let target = RouteTarget {
        service: "service-0".parse().expect("valid name"),
        weight: 1,
    };
    let route = RouteEntry {
        name: "route-0".into(),
        address: SERVICE,
        targets: vec![target],
        is_idempotent: true,
        priority: 1,
        response_goal_ms: 0,
        timeout_ms: 0,
    };
    let document = CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![route],
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    };
    balancer.on_catalogue(NOW, document);
    for (host, wait_ms) in (0..).zip(waits_ms) {
        let announcement = Announcement {
            agent: agent(host),
            process: RunId(1),
            sequence: 1,
            revision: 1,
            service: "service-0".parse().expect("valid name"),
            domain: format!("domain-{}", host / 3).parse().expect("valid name"),
            run: RunId(1),
            state: HostState::Ready,
            catalogue: CatalogueVersion(1),
            interval_ms: 250,
            rerouted_addresses: Vec::new(),
            asks_hosts: None,
        };
        balancer.on_message(NOW, PeerMessage::Announcement(announcement));
        let heartbeat = AgentHeartbeat {
            agent: agent(host),
            process: RunId(1),
            sequence: 2,
            revision: 1,
            asks_hosts: None,
        };
        let load = HostLoad {
            wait_ms,
            work_ms: 30,
            slots: 64,
        };
        let load = LoadHeartbeat {
            heartbeat,
            load,
            round_trip_us: 0,
        };
        balancer.on_message(NOW, PeerMessage::LoadHeartbeat(load));
    }
    balancer
}

fn receiver(decision: &ForwardingDecision) -> Ipv4Addr {
    match decision {
        ForwardingDecision::Forward { to, .. } => *to,
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Returns the hosts that 200 new flows are placed on.
fn placed_on(balancer: &mut Balancer) -> BTreeSet<Ipv4Addr> {
    let place = |port| receiver(&balancer.on_packet(NOW, &segment(port, true, 0)));
    (1_024..1_224).map(place).collect()
}

#[test]
fn verify_the_hosts_that_a_balancer_uses() {
    let hosts = |hosts: &[u8]| hosts.iter().copied().map(agent).collect::<BTreeSet<_>>();
    let full = HostLoad::TAKES_NO_FLOWS;
    let off = LoadControlOptions::default();
    for (load_control, waits_ms, expected) in [
        (
            off,
            [0, 0, full, full, full, full],
            hosts(&[0, 1, 2, 3, 4, 5]),
        ),
        (LOAD_CONTROL, [0, 0, full, 0, 0, 0], hosts(&[0, 1])),
        (LOAD_CONTROL, [full, full, full, 0, full, 0], hosts(&[3, 5])),
        (LOAD_CONTROL, [full; 6], hosts(&[0, 1, 2])),
    ] {
        let mut balancer = balancer(load_control, waits_ms);
        assert_eq!(placed_on(&mut balancer), expected, "{waits_ms:?}");
    }
    let mut balancer = balancer(LOAD_CONTROL, [full, full, full, 0, 0, 0]);
    placed_on(&mut balancer);
    let counts: Vec<_> = balancer.placement_counts().iter().collect();
    assert_eq!(
        counts,
        [("other_domain", PlacementReason::OwnHostsFull, 200)]
    );
}

#[test]
fn verify_that_copies_go_elsewhere_and_lookups_start_near() {
    let mut balancer = balancer(LOAD_CONTROL, [0; 6]);
    for port in 1_024..1_124 {
        let first = receiver(&balancer.on_packet(NOW, &segment(port, true, 0)));
        let second = receiver(&balancer.on_packet(NOW, &segment(port, true, 1)));
        assert_ne!(first, second);
        let unknown = receiver(&balancer.on_packet(NOW, &segment(port + 1_000, false, 7)));
        assert!(unknown <= agent(2));
    }
}

/// Returns the hosts to which an agent that accepts no flows relays 100 SYNs that have visited some
/// agents.
fn relayed_to(load_control: LoadControlOptions, visited: u8, waits_ms: [u16; 5]) -> BTreeSet<u8> {
    let options = AgentOptions {
        load_control,
        ..AgentOptions::default()
    };
    let identity = AgentIdentity {
        address: agent(0),
        process_run: RunId(1),
        service: "service-0".parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        server: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
    };
    let tag = ServiceTag::from(&identity.service);
    let mut relaying = Agent::new(options, identity, &[], Time::ZERO);
    let hosts = (1..=5).map(|host| HostAdvertisement {
        agent: agent(host),
        run: RunId(1),
        accepts_new: true,
    });
    let heartbeat = BalancerHeartbeat {
        hosts: hosts.collect(),
        balancer: BALANCER,
        is_stopping: false,
        is_informed: true,
        is_reader: true,
        interval_ms: 500,
        wants_answer: false,
        catalogue: CatalogueVersion(1),
        domain_status: None,
        confirmed_ago_ms: Some(0),
        balancers: Vec::new(),
    };
    let loads = (1..).zip(waits_ms).map(|(host, wait_ms)| PeerLoad {
        agent: agent(host),
        wait_ms,
        work_ms: 30,
        is_same_domain: host <= 2,
    });
    let loads = PeerLoads {
        loads: loads.collect(),
    };
    let mut actions = Vec::new();
    relaying.on_message(NOW, PeerMessage::BalancerHeartbeat(heartbeat), &mut actions);
    relaying.on_message(NOW, PeerMessage::PeerLoads(loads), &mut actions);
    let mut header = RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(1), RunId(1));
    for other in 0..visited {
        let previous = Ipv4Addr::new(10, 9, 0, other);
        header = header
            .relayed_by(
                previous,
                cardamomloom_protocol::passthrough::RelayKind::PassOn,
                RunId(1),
            )
            .expect("few agents");
    }
    for port in 1_024..1_124 {
        relaying.on_relayed(NOW, &header, &segment(port, true, 0), &[], &mut actions);
    }
    let relayed = actions.iter().filter_map(|action| match action {
        Action::Relay { to, .. } => Some(to.octets()[3]),
        _ => None,
    });
    relayed.collect()
}

#[test]
fn verify_the_order_in_which_an_agent_relays() {
    let off = LoadControlOptions::default();
    let busy = [500, 520, 10, 20, 500];
    for (load_control, visited, waits_ms, expected) in [
        (off, 0, busy, vec![1, 2, 3, 4, 5]),
        // The own domain first, without the host that waits much longer than the other.
        (LOAD_CONTROL, 0, [0; 5], vec![1, 2]),
        (LOAD_CONTROL, 0, [500, 10, 0, 0, 0], vec![2]),
        (LOAD_CONTROL, 0, busy, vec![1, 2]),
        // The last visit goes to another domain, to a host with a short wait.
        (LOAD_CONTROL, 2, busy, vec![3, 4]),
        (LOAD_CONTROL, 2, [0; 5], vec![1, 2]),
    ] {
        let hosts = relayed_to(load_control, visited, waits_ms);
        assert_eq!(
            hosts,
            expected.into_iter().collect(),
            "{visited} {waits_ms:?}"
        );
    }
}
