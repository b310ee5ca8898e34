//! Lost flows of an address that several services may hold flows to.
//!
//! Load pattern: the route of an address has two services, and all machines lose power. Guards against
//! callers that wait until their deadline because packets of their flows are sent as copies, and
//! against resets of flows that a host of one of the services may still hold.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{CallerOptions, Load, Simulation, SimulationOptions},
};

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
