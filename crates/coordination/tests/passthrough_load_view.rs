//! Loads of hosts as balancers and agents know them. Guards against an estimate that is wrong under
//! load or that a host's statements mislead, against an old load that is taken for a present one, against
//! an unknown load that is taken for an idle host, and against control messages that exceed their limit.

use {
    cardamomloom_coordination::passthrough::{
        agent::AgentOptions,
        balancer::BalancerOptions,
        load::{LoadControlOptions, PlacementPolicy, WorkTimeEstimator},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, HostLoad},
    cardamomloom_standins::passthrough::{
        CallerOptions, Load, Simulation, SimulationOptions, domain_name,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const WORK: Span = Span::from_millis(22);

fn simulation(balancers: u8, hosts: u8) -> Simulation {
    let load_control = LoadControlOptions {
        placement: PlacementPolicy::ExpectedWait,
        ..LoadControlOptions::default()
    };
    let mut simulation = Simulation::new(SimulationOptions {
        balancers,
        hosts,
        services: 1,
        agent: AgentOptions {
            load_control,
            ..AgentOptions::default()
        },
        balancer: BalancerOptions {
            load_control,
            ..BalancerOptions::default()
        },
        ..SimulationOptions::default()
    });
    simulation.run(Span::from_secs(2));
    simulation
}

/// Opens `flows_per_s` flows, of one request each, for `duration`.
fn load(simulation: &mut Simulation, flows_per_s: u32, duration: Span) {
    simulation.schedule_load(Load {
        service: 0,
        flows_per_s,
        duration,
        caller: CallerOptions::default(),
    });
    simulation.run(duration);
}

fn host_load(simulation: &Simulation, agent: Ipv4Addr) -> HostLoad {
    let core = simulation.agent(agent).expect("the agent runs");
    core.host_load(simulation.now())
}

fn known_loads(simulation: &Simulation) -> Vec<usize> {
    let balancers = simulation.balancers().into_iter();
    balancers
        .filter_map(|balancer| simulation.balancer(balancer))
        .map(|core| core.loads().known(simulation.now()))
        .collect()
}

fn is_within_15_percent(estimate_ms: u16, truth: Span) -> bool {
    let truth_ms = truth.as_millis();
    u64::from(estimate_ms).abs_diff(truth_ms) * 100 <= truth_ms * 15
}

#[test]
fn verify_that_the_estimate_is_right_at_half_and_one_and_a_half_load() {
    // Four hosts of four slots answer 727 requests/s.
    for flows_per_s in [364, 1_090] {
        let mut simulation = simulation(2, 4);
        let agents = simulation.agents(0);
        simulation.set_service_time(agents[0], Span(WORK.0 * 5));
        load(&mut simulation, flows_per_s, Span::from_secs(5));
        for (index, agent) in agents.iter().enumerate() {
            let truth = Span(WORK.0 * if index == 0 { 5 } else { 1 });
            let estimate = host_load(&simulation, *agent);
            println!("{flows_per_s} flows/s, {truth}: {estimate:?}");
            assert!(
                is_within_15_percent(estimate.work_ms, truth),
                "{estimate:?}"
            );
        }
    }
}

#[test]
fn verify_that_false_slots_change_the_expected_wait_by_a_part_of_the_work_only() {
    const CALLERS: u16 = 24;
    const SLOTS: u64 = 4;
    let flow = |port| FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        service: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443),
    };
    let truth = WORK.0 * (u64::from(CALLERS) + 1 - SLOTS) / SLOTS;
    for stated in [1_usize, 2, 4, 8, 16] {
        let mut estimator = WorkTimeEstimator::new(stated);
        // Each response is followed by the next request, and a slot is free every WORK / SLOTS.
        for index in 0..1_000_u16 {
            let now = Time(u64::from(index) * WORK.0 / SLOTS);
            if let Some(answered) = index.checked_sub(CALLERS) {
                estimator.on_response(now, &flow(answered));
            }
            estimator.on_request(now, flow(index));
        }
        let wait = estimator.expected_wait(usize::from(CALLERS)).0;
        let error_limit = WORK.0 * (stated as u64).abs_diff(SLOTS) / SLOTS + WORK.0 / 20;
        println!("{stated} slots stated: {wait} us, truth {truth} us");
        assert!(wait.abs_diff(truth) <= error_limit);
        assert!(estimator.in_progress() <= usize::from(CALLERS));
    }
}

#[test]
fn verify_that_failing_stalled_draining_and_dead_hosts_state_long_waits() {
    let mut simulation = simulation(2, 6);
    let agents = simulation.agents(0);
    load(&mut simulation, 400, Span::from_secs(2));
    simulation.set_failure_ratio(agents[0], 1.0);
    simulation.set_service_time(agents[1], Span::from_secs(60));
    simulation.drain_server(agents[2]);
    simulation.crash_server(agents[3]);
    load(&mut simulation, 400, Span::from_secs(2));
    let loads: Vec<HostLoad> = agents
        .iter()
        .map(|agent| host_load(&simulation, *agent))
        .collect();
    println!("{loads:?}");
    assert!(loads[0].wait_ms >= 500, "fails: {:?}", loads[0]);
    assert!(is_within_15_percent(loads[0].work_ms, WORK));
    assert!(loads[1].work_ms >= 200, "stalled: {:?}", loads[1]);
    assert_eq!(loads[2].wait_ms, HostLoad::TAKES_NO_FLOWS, "draining");
    assert_eq!(loads[3].wait_ms, HostLoad::TAKES_NO_FLOWS, "dead");
    assert!(loads[4].wait_ms <= 500, "sound: {:?}", loads[4]);
}

#[test]
fn verify_that_restarted_hosts_and_processes_are_unknown_until_they_answer() {
    let mut simulation = simulation(3, 6);
    let agents = simulation.agents(0);
    load(&mut simulation, 400, Span::from_secs(3));
    assert_eq!(known_loads(&simulation), [6, 6, 6]);
    simulation.restart_server(agents[0], true);
    assert_eq!(host_load(&simulation, agents[0]).work_ms, 0);
    for balancer in simulation.balancers() {
        simulation.kill_balancer(balancer);
        simulation.start_balancer(balancer);
    }
    for agent in &agents {
        simulation.kill_agent(*agent);
        simulation.start_agent(*agent);
        assert_eq!(
            host_load(&simulation, *agent),
            HostLoad {
                wait_ms: HostLoad::TAKES_NO_FLOWS,
                work_ms: 0,
                slots: 0
            }
        );
    }
    assert_eq!(known_loads(&simulation), [0, 0, 0]);
    load(&mut simulation, 400, Span::from_secs(4));
    assert_eq!(known_loads(&simulation), [6, 6, 6]);
    for agent in &agents[1..] {
        let load = host_load(&simulation, *agent);
        assert!(is_within_15_percent(load.work_ms, WORK), "{load:?}");
    }
}

#[test]
fn verify_that_a_view_is_known_after_2_s_of_silence_and_unknown_after_3_s() {
    let mut simulation = simulation(2, 6);
    load(&mut simulation, 400, Span::from_secs(3));
    let silent = simulation.balancers()[0];
    simulation.set_inbound_control_loss(silent, true);
    simulation.run(Span::from_secs(2));
    assert_eq!(known_loads(&simulation), [6, 6]);
    simulation.run(Span::from_millis(1_100));
    assert_eq!(known_loads(&simulation), [0, 6]);
    simulation.set_inbound_control_loss(silent, false);
    load(&mut simulation, 400, Span::from_secs(1));
    assert_eq!(known_loads(&simulation), [6, 6]);
}

#[test]
fn verify_that_round_trips_and_loads_of_peers_are_measured_and_expire() {
    let mut simulation = simulation(2, 6);
    load(&mut simulation, 400, Span::from_secs(3));
    let agents = simulation.agents(0);
    for balancer in simulation.balancers() {
        let core = simulation.balancer(balancer).expect("the balancer runs");
        for domain in 0..3 {
            // Each way takes 2 to 3 ms.
            let round_trip = core.loads().round_trip(&domain_name(domain));
            let round_trip = round_trip.expect("the round trip is known");
            println!("{balancer} to domain {domain}: {round_trip}");
            assert!((4_000..=6_000).contains(&round_trip.0), "{round_trip}");
        }
    }
    let known_peers = |simulation: &Simulation| -> Vec<usize> {
        let known = agents.iter().map(|agent| {
            let core = simulation.agent(*agent).expect("the agent runs");
            let peers = agents.iter();
            peers
                .filter(|peer| core.peer_load(simulation.now(), **peer).is_some())
                .count()
        });
        known.collect()
    };
    assert_eq!(known_peers(&simulation), [5; 6]);
    for balancer in simulation.balancers() {
        simulation.kill_balancer(balancer);
    }
    simulation.run(Span::from_millis(3_100));
    assert_eq!(known_peers(&simulation), [0; 6]);
}

#[test]
fn verify_that_the_exchange_of_loads_stays_within_the_limit_at_every_size() {
    const MAX_BYTES_PER_S: usize = 3_000;
    for (balancers, hosts) in [(5, 10), (22, 56), (85, 200)] {
        let mut simulation = simulation(balancers, hosts);
        let flows_per_s = 30 * u32::from(hosts);
        load(&mut simulation, flows_per_s, Span::from_secs(6));
        simulation.take_control_bytes();
        load(&mut simulation, flows_per_s, Span::from_secs(10));
        let bytes = simulation.take_control_bytes();
        let addresses = simulation.balancers();
        let max_rate = |is_balancer: bool| {
            let senders = bytes
                .iter()
                .filter(|(address, _)| addresses.contains(*address) == is_balancer);
            senders.map(|(_, sent)| sent / 10).max().unwrap_or_default()
        };
        let known: usize = known_loads(&simulation).into_iter().sum();
        let (balancer, agent) = (max_rate(true), max_rate(false));
        println!(
            "{balancers} balancers, {hosts} hosts: at most {balancer} bytes/s of a balancer and \
             {agent} bytes/s of an agent, {known} loads known"
        );
        assert!(balancer <= MAX_BYTES_PER_S && agent <= MAX_BYTES_PER_S);
    }
}
