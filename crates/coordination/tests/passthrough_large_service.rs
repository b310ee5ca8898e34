//! Services whose list of hosts does not fit a datagram.
//!
//! Load pattern: a service of 120 hosts whose busy hosts pass flows on, while balancers are replaced
//! and the routers spread open flows anew. Guards against owners that no lookup reaches, because the
//! agents know only some of the hosts of their service.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{
        CallerOptions, HostOptions, Load, Simulation, SimulationOptions,
    },
};

#[test]
fn verify_that_open_flows_of_a_large_service_are_found_through_other_balancers() {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers: 6,
        hosts: 120,
        services: 1,
        host: HostOptions {
            slots: 1,
            service_time: Span::from_millis(60),
            ..HostOptions::default()
        },
        ..SimulationOptions::default()
    });
    simulation.run(Span::from_secs(2));
    simulation.schedule_load(Load {
        service: 0,
        flows_per_s: 250,
        duration: Span::from_secs(6),
        caller: CallerOptions {
            requests: 5,
            pause: Span::from_millis(300),
            ..CallerOptions::default()
        },
    });
    for index in [0, 3, 5] {
        simulation.run(Span::from_millis(1_500));
        let balancer = simulation.balancers()[index];
        simulation.kill_balancer(balancer);
        simulation.run(Span::from_millis(600));
        simulation.start_balancer(balancer);
    }
    simulation.run(Span::from_secs(8));
    let counters = simulation.counters();
    assert_eq!((counters.timed_out, counters.reset), (0, 0));
    assert!(
        simulation.violations().is_empty(),
        "{:?}",
        simulation.violations()
    );
}
