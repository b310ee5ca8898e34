//! Flows that no host holds any more.
//!
//! Load pattern: after a loss of power everywhere, callers with long flows send their next request
//! on flows that were lost. Guards against callers that wait until their deadline although it is
//! known that nobody can answer, and against resets of flows that a silent host may still hold.

use {
    cardamomloom_coordination::passthrough::agent::{Action, Agent, AgentIdentity, AgentOptions},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentDeparture, AgentSetDigest, BalancerHeartbeat, CatalogueDocument, CatalogueVersion,
        FlowAbsence, HostAdvertisement, PeerMessage, RelayHeader, RouteEntry, RouteTarget, RunId,
        Segment, SegmentFlags, ServiceTag,
    },
    cardamomloom_standins::passthrough::{CallerOptions, Load, Simulation, SimulationOptions},
    std::net::{Ipv4Addr, SocketAddrV4},
};

const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const OTHER_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
const THIRD_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);
const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// The process has run for longer than the longest flow, so it knows all flows of its host.
const NOW: Time = Time::from_millis(120_000);

fn catalogue(version: u64, services: &[&str]) -> CatalogueDocument {
    let targets = services.iter().map(|service| RouteTarget {
        service: service.parse().expect("valid name"),
        weight: 1,
    });
    CatalogueDocument {
        version: CatalogueVersion(version),
        routes: vec![RouteEntry {
            address: SERVICE_ADDRESS,
            targets: targets.collect(),
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
            name: "route-0".into(),
            is_idempotent: true,
        }],
        services: Vec::new(),
        idle_timeout_ms: 12_000,
    }
}

fn heartbeat(hosts: &[Ipv4Addr]) -> PeerMessage {
    let hosts = hosts.iter().map(|agent| HostAdvertisement {
        agent: *agent,
        run: RunId(1),
        accepts_new: true,
    });
    PeerMessage::BalancerHeartbeat(BalancerHeartbeat {
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
        hosts: hosts.collect(),
    })
}

/// Returns an agent that has known [`OTHER_AGENT`] as the only other agent for 2 s.
fn agent() -> Agent {
    let service = "service-0".parse().expect("valid name");
    let identity = AgentIdentity {
        address: AGENT,
        process_run: RunId(1),
        service,
        domain: "domain-0".parse().expect("valid name"),
        server: SocketAddrV4::new(AGENT, 80),
    };
    let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
    agent.on_catalogue(NOW, catalogue(1, &["service-0"]));
    let mut actions = Vec::new();
    for ago_ms in [2_000, 100] {
        let hosts = heartbeat(&[AGENT, OTHER_AGENT]);
        agent.on_message(NOW - Span::from_millis(ago_ms), hosts, &mut actions);
    }
    assert!(actions.is_empty());
    agent
}

fn request() -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024),
        destination: SERVICE_ADDRESS,
        flags: SegmentFlags {
            is_ack: true,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: 77,
        payload_bytes: 100,
        response_status: None,
    }
}

fn absence(acknowledgment: u32, known_agents: &[Ipv4Addr]) -> PeerMessage {
    PeerMessage::Absence(FlowAbsence {
        flow: request().flow_from_caller(),
        acknowledgment,
        agent: OTHER_AGENT,
        known_agents: known_agents.iter().copied().collect::<AgentSetDigest>(),
        is_server_new: false,
    })
}

/// Returns the number of resets after `agent` has received the request and then `answers`.
fn resets(agent: Agent, answers: &[PeerMessage]) -> usize {
    let tag = ServiceTag::from(&"service-0".parse().expect("valid name"));
    let header = RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(1), RunId(1));
    resets_with_header(agent, header, answers)
}

fn resets_with_header(mut agent: Agent, header: RelayHeader, answers: &[PeerMessage]) -> usize {
    let mut actions = Vec::new();
    agent.on_relayed(NOW, &header, &request(), &[], &mut actions);
    for answer in answers {
        agent.on_message(NOW + Span::from_millis(8), answer.clone(), &mut actions);
    }
    let is_reset = |action: &&Action| matches!(action, Action::Reset { sequence: 77, .. });
    actions.iter().filter(is_reset).count()
}

#[test]
fn verify_that_a_flow_is_reset_when_all_agents_deny_it() {
    let denial = absence(77, &[AGENT, OTHER_AGENT]);
    assert_eq!(resets(agent(), &[denial.clone(), denial]), 1);
}

#[test]
fn verify_that_a_flow_which_any_host_may_hold_is_not_reset() {
    let denial = absence(77, &[AGENT, OTHER_AGENT]);
    assert_eq!(resets(agent(), &[]), 0, "the other agent is silent");
    let earlier_flow = absence(76, &[AGENT, OTHER_AGENT]);
    assert_eq!(
        resets(agent(), &[earlier_flow]),
        0,
        "denies an earlier flow"
    );
    let knows_more = absence(77, &[AGENT, OTHER_AGENT, THIRD_AGENT]);
    assert_eq!(
        resets(agent(), &[knows_more, denial.clone()]),
        0,
        "the other agent knows an agent that was not asked"
    );

    let mut actions = Vec::new();
    let mut with_new_host = agent();
    let hosts = heartbeat(&[AGENT, OTHER_AGENT, THIRD_AGENT]);
    with_new_host.on_message(NOW - Span::from_millis(50), hosts, &mut actions);
    let hosts = heartbeat(&[AGENT, OTHER_AGENT]);
    with_new_host.on_message(NOW - Span::from_millis(20), hosts, &mut actions);
    assert_eq!(
        resets(with_new_host, std::slice::from_ref(&denial)),
        0,
        "balancers disagree about the agents"
    );

    let mut with_silent_host = agent();
    let hosts = heartbeat(&[AGENT, OTHER_AGENT, THIRD_AGENT]);
    with_silent_host.on_message(NOW - Span::from_millis(5_000), hosts, &mut actions);
    for ago_ms in [4_000, 100] {
        let hosts = heartbeat(&[AGENT, OTHER_AGENT]);
        with_silent_host.on_message(NOW - Span::from_millis(ago_ms), hosts, &mut actions);
    }
    assert_eq!(
        resets(with_silent_host, std::slice::from_ref(&denial)),
        0,
        "restarted balancers do not list an agent that is silent"
    );

    let mut with_departed_host = agent();
    let hosts = heartbeat(&[AGENT, OTHER_AGENT, THIRD_AGENT]);
    with_departed_host.on_message(NOW - Span::from_millis(1_900), hosts, &mut actions);
    let departure = PeerMessage::Departure(AgentDeparture { agent: THIRD_AGENT });
    with_departed_host.on_message(NOW - Span::from_millis(100), departure, &mut actions);
    with_departed_host.on_message(NOW - Span::from_millis(50), heartbeat(&[]), &mut actions);
    assert_eq!(
        resets(with_departed_host, std::slice::from_ref(&denial)),
        1,
        "an agent that has exited without flows need not be asked"
    );

    let mut with_new_target = agent();
    with_new_target.on_catalogue(NOW, catalogue(2, &["service-1"]));
    with_new_target.on_catalogue(NOW, catalogue(3, &["service-0"]));
    assert_eq!(
        resets(with_new_target, std::slice::from_ref(&denial)),
        0,
        "a host of another service may hold the flow"
    );

    let mut with_two_targets = agent();
    with_two_targets.on_catalogue(NOW, catalogue(2, &["service-0", "service-1"]));
    assert_eq!(resets(with_two_targets, std::slice::from_ref(&denial)), 0);

    let tag = ServiceTag::from(&"service-0".parse().expect("valid name"));
    let mut header = RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(1), RunId(1));
    header.has_copies = true;
    assert_eq!(
        resets_with_header(agent(), header, &[denial]),
        0,
        "the balancer also asks the hosts of another service"
    );
}

/// Returns a simulation in which 80 flows pause while all machines lose power for 1.5 s.
fn simulate_power_loss(balancers: u8, pause: Span) -> Simulation {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers,
        hosts: 9,
        ..SimulationOptions::default()
    });
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
    for (index, agent) in agents.iter().enumerate() {
        // One host has left for good; the agent beside it starts again nevertheless.
        if index > 0 {
            simulation.restart_server(*agent, false);
        }
        simulation.start_agent(*agent);
    }
    for balancer in simulation.balancers() {
        simulation.start_balancer(balancer);
    }
    simulation.run(Span::from_secs(15));
    simulation
}

#[test]
fn verify_that_callers_of_lost_flows_learn_it_before_their_deadline() {
    // With 91 balancers an agent announces itself to each of them every 1.1 s, so that it takes
    // longer until all agents of a service are known.
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
