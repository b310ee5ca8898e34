//! Silences of a minute to hours between balancers and agents. Guards against processes that forget
//! each other for good, and against agents that forget balancers which run.

use {
    cardamomloom_coordination::passthrough::agent::{Agent, AgentIdentity, AgentOptions},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::RunId,
    cardamomloom_standins::passthrough::{CallerOptions, Load, Simulation, SimulationOptions},
    std::net::{Ipv4Addr, SocketAddrV4},
};

/// Time after the return of the machines from which requests must be served.
const RECOVERY_BOUND: Span = Span::from_secs(12);

/// Returns the numbers of flows that were opened and served after all balancers were away for
/// `outage`.
fn served_after(outage: Span) -> (usize, usize) {
    let mut simulation = Simulation::new(SimulationOptions {
        hosts: 3,
        services: 1,
        ..SimulationOptions::default()
    });
    simulation.run(Span::from_secs(5));
    for balancer in simulation.balancers() {
        simulation.kill_balancer(balancer);
    }
    simulation.run(outage);
    for balancer in simulation.balancers() {
        simulation.start_balancer(balancer);
    }
    simulation.run(RECOVERY_BOUND);
    simulation.schedule_load(Load {
        service: 0,
        flows_per_s: 20,
        duration: Span::from_secs(3),
        caller: CallerOptions::default(),
    });
    simulation.run(Span::from_secs(8));
    (simulation.counters().opened, simulation.counters().served)
}

#[test]
fn verify_that_service_returns_after_all_balancers_were_away() {
    for outage_s in [10, 64, 600, 7_200] {
        let (opened, served) = served_after(Span::from_secs(outage_s));
        assert_eq!(served, opened, "balancers were away for {outage_s} s");
    }
}

#[test]
fn verify_that_membership_stays_complete_without_changes() {
    for (balancers, minutes) in [(3, 10), (7, 10), (24, 5), (91, 5)] {
        let hosts = 4;
        let mut simulation = Simulation::new(SimulationOptions {
            balancers,
            hosts,
            services: 1,
            ..SimulationOptions::default()
        });
        simulation.run(Span::from_secs(30));
        for minute in 0..minutes {
            simulation.run(Span::from_secs(60));
            for agent in simulation.agents(0) {
                let known = simulation.known_balancers(agent);
                assert_eq!(known, usize::from(balancers), "minute {minute}, {agent}");
            }
            for balancer in simulation.balancers() {
                let known = simulation.known_hosts(balancer);
                assert_eq!(known, usize::from(hosts), "minute {minute}, {balancer}");
            }
        }
    }
}

#[test]
fn verify_that_agents_without_balancers_ask_the_registry_at_a_bounded_rate() {
    const AGENTS: u8 = 250;
    const HOUR_MS: u64 = 3_600_000;
    let mut calls_per_s = vec![0_u32; 3_601];
    let mut first_calls = Vec::new();
    for index in 0..AGENTS {
        let address = Ipv4Addr::new(10, 1, 0, index);
        let identity = AgentIdentity {
            address,
            process_run: RunId(1),
            service: "service-0".parse().expect("valid name"),
            domain: "domain-0".parse().expect("valid name"),
            server: SocketAddrV4::new(address, 80),
        };
        let seeds = [Ipv4Addr::new(10, 9, 0, 1)];
        let mut agent = Agent::new(AgentOptions::default(), identity, &seeds, Time::ZERO);
        let due = (0..HOUR_MS)
            .step_by(100)
            .filter(|now_ms| agent.should_list_balancers(Time::from_millis(*now_ms)));
        let due: Vec<u64> = due.collect();
        first_calls.push(due[0]);
        for now_ms in due {
            calls_per_s[usize::try_from(now_ms / 1_000).expect("index")] += 1;
        }
    }
    let latest_ms = first_calls.iter().max().copied().unwrap_or(u64::MAX);
    assert!(latest_ms <= 10_000, "first list after {latest_ms} ms");
    // A call that may lag is priced as a tenth of one.
    let peak = calls_per_s.iter().max().copied().unwrap_or_default();
    assert!(peak <= u32::from(AGENTS) / 2, "{peak} calls in a second");
    let after_first_minute: u32 = calls_per_s[60..3_600].iter().sum();
    let mean = f64::from(after_first_minute) / 3_540.0;
    assert!(mean <= 10.0, "{mean} calls a second");
}
