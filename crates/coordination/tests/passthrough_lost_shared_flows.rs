//! Lost flows of an address that several services may hold flows to.
//!
//! Load pattern: the route of an address has two services, and all machines lose power. Guards against
//! callers that wait until their deadline because packets of their flows are sent as copies, and
//! against resets of flows that a host of one of the services may still hold.

use {
    cardamomloom_coordination::passthrough::balancer::{Balancer, BalancerOptions, LostFlow},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            Announcement, CatalogueDocument, CatalogueVersion, PeerMessage, RouteEntry,
            RouteTarget, RunId, Segment, SegmentFlags, ServiceAbsence, ServiceTag,
        },
    },
    cardamomloom_standins::passthrough::{CallerOptions, Load, Simulation, SimulationOptions},
    std::net::{Ipv4Addr, SocketAddrV4},
};

const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const NOW: Time = Time::from_millis(10_000);

fn tag(service: &str) -> ServiceTag {
    ServiceTag::from(&service.parse().expect("valid name"))
}

fn announcement(host: u8, service: &str, addresses: &[SocketAddrV4]) -> PeerMessage {
    PeerMessage::Announcement(Announcement {
        agent: Ipv4Addr::new(10, 1, 0, host),
        process: RunId(1),
        sequence: 1,
        revision: 1,
        service: service.parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        run: RunId(1),
        state: HostState::Ready,
        catalogue: CatalogueVersion(1),
        interval_ms: 250,
        rerouted_addresses: addresses.to_vec(),
        asks_hosts: None,
    })
}

/// Returns a balancer with a route to two services and a host of each of three.
fn balancer(started: Time) -> Balancer {
    let mut balancer = Balancer::new(
        BalancerOptions::default(),
        Ipv4Addr::new(10, 0, 0, 1),
        &[],
        started,
    );
    let targets = ["service-0", "service-1"].map(|service| RouteTarget {
        service: service.parse().expect("valid name"),
        weight: 1,
    });
    balancer.on_catalogue(
        started,
        CatalogueDocument {
            version: CatalogueVersion(1),
            routes: vec![RouteEntry {
                name: "route-0".into(),
                address: SERVICE_ADDRESS,
                targets: targets.to_vec(),
                is_idempotent: false,
                priority: 1,
                response_goal_ms: 0,
                timeout_ms: 0,
            }],
            services: Vec::new(),
            idle_timeout_ms: 15_000,
        },
    );
    for (host, service) in [(0, "service-0"), (1, "service-1"), (2, "service-2")] {
        balancer.on_message(started, announcement(host, service, &[]));
    }
    balancer
}

fn request(acknowledgment: u32) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024),
        destination: SERVICE_ADDRESS,
        flags: SegmentFlags {
            is_ack: true,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment,
        payload_bytes: 100,
        response_status: None,
    }
}

/// Returns the statement of a service, one of whose agents knows `possible_owners`.
fn statement(acknowledgment: u32, service: &str, possible_owners: &[&str]) -> PeerMessage {
    PeerMessage::ServiceAbsence(ServiceAbsence {
        flow: request(acknowledgment).flow_from_caller(),
        acknowledgment,
        agent: Ipv4Addr::new(10, 1, 0, 9),
        service: tag(service),
        possible_owners: possible_owners.iter().copied().map(tag).collect(),
        knows_former_targets: true,
    })
}

/// Returns the resets after `balancer` has received a request and, 8 ms later, `messages`.
fn resets(mut balancer: Balancer, messages: &[PeerMessage]) -> Vec<LostFlow> {
    balancer.on_packet(NOW, &request(77));
    for message in messages {
        balancer.on_message(NOW + Span::from_millis(8), message.clone());
    }
    balancer.take_lost_flows()
}

#[test]
fn verify_that_a_flow_is_reset_only_when_every_possible_service_denies_it() {
    let both = ["service-0", "service-1"];
    let first = statement(77, "service-0", &both);
    let second = statement(77, "service-1", &both);
    let lost = LostFlow {
        flow: request(77).flow_from_caller(),
        sequence: 77,
    };
    let statements = [first.clone(), second.clone(), second.clone()];
    assert_eq!(resets(balancer(Time::ZERO), &statements), [lost]);
    let cases: [(&str, Vec<PeerMessage>); 5] = [
        ("one service is silent", vec![first.clone(), first.clone()]),
        (
            "an agent knows a former target",
            vec![first.clone(), statement(77, "service-1", &["service-2"])],
        ),
        (
            "a host of another service holds flows to the address",
            vec![
                first.clone(),
                announcement(3, "service-2", &[SERVICE_ADDRESS]),
                second.clone(),
            ],
        ),
        (
            "a statement is about an earlier flow",
            vec![first.clone(), statement(76, "service-1", &both)],
        ),
        (
            "another process has a newer catalogue",
            vec![
                first.clone(),
                PeerMessage::Announcement(Announcement {
                    catalogue: CatalogueVersion(2),
                    ..match announcement(4, "service-1", &[]) {
                        PeerMessage::Announcement(announcement) => announcement,
                        _ => unreachable!(),
                    }
                }),
                second.clone(),
            ],
        ),
    ];
    for (case, messages) in cases {
        assert!(resets(balancer(Time::ZERO), &messages).is_empty(), "{case}");
    }
    let started = NOW - Span::from_millis(100);
    assert!(
        resets(balancer(started), &statements).is_empty(),
        "agents may not have announced the addresses of their flows yet"
    );
}

/// Guards against late statements that reset a new flow of the same addresses and ports.
#[test]
fn verify_that_late_statements_reset_nothing() {
    let both = ["service-0", "service-1"];
    let statements = both.map(|service| statement(77, service, &both));
    let mut without_packet = balancer(Time::ZERO);
    for message in &statements {
        without_packet.on_message(NOW, message.clone());
    }
    assert!(without_packet.take_lost_flows().is_empty());

    let mut late = balancer(Time::ZERO);
    late.on_packet(NOW - Span::from_millis(2_000), &request(77));
    for message in &statements {
        late.on_message(NOW, message.clone());
    }
    assert!(late.take_lost_flows().is_empty());

    let mut reopened = balancer(Time::ZERO);
    reopened.on_packet(NOW, &request(77));
    let mut syn = request(0);
    syn.flags.is_syn = true;
    syn.flags.is_ack = false;
    reopened.on_packet(NOW, &syn);
    for message in &statements {
        reopened.on_message(NOW, message.clone());
    }
    assert!(reopened.take_lost_flows().is_empty());
}

/// Returns a simulation in which 80 flows to an address of two services pause while all machines lose
/// power for 1.5 s.
fn simulate_power_loss(balancers: u8, pause: Span) -> Simulation {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers,
        hosts: 9,
        ..SimulationOptions::default()
    });
    simulation.set_route_targets(0, &[(0, 90), (1, 10)]);
    simulation.run(Span::from_millis(1_500));
    simulation.schedule_load(Load {
        service: 0,
        flows_per_s: 40,
        duration: Span::from_secs(2),
        caller: CallerOptions {
            requests: 3,
            pause,
            ..CallerOptions::default()
        },
    });
    simulation.run(Span::from_millis(2_200));
    let agents: Vec<_> = (0..2)
        .flat_map(|service| simulation.agents(service))
        .collect();
    for balancer in simulation.balancers() {
        simulation.kill_balancer(balancer);
    }
    for agent in &agents {
        simulation.kill_agent(*agent);
        simulation.crash_server(*agent);
    }
    simulation.run(Span::from_millis(1_500));
    for agent in &agents {
        simulation.restart_server(*agent, false);
        simulation.start_agent(*agent);
    }
    for balancer in simulation.balancers() {
        simulation.start_balancer(balancer);
    }
    simulation.run(Span::from_secs(15));
    simulation
}

#[test]
fn verify_that_callers_of_lost_flows_of_two_services_learn_it_before_their_deadline() {
    for (balancers, pause_ms) in [(5, 4_000), (24, 4_000), (91, 6_000)] {
        let simulation = simulate_power_loss(balancers, Span::from_millis(pause_ms));
        let counters = simulation.counters();
        assert_eq!(
            (counters.reset, counters.timed_out),
            (counters.opened, 0),
            "{balancers} balancers"
        );
        let violations = simulation.violations();
        assert!(
            violations.is_empty(),
            "{balancers} balancers: {violations:?}"
        );
    }
}
