//! Spread of the catalogue from the store to all processes, over links of 10 Mbit/s.
//!
//! Load pattern: a catalogue of thousands of routes changes, and every process of the fleet needs the
//! change at the same time. Guards against one link that feeds the whole fleet, so that a confirmed
//! change is in force too late.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{Simulation, SimulationOptions},
};

/// Bytes a second of a link of 10 Mbit/s.
const SLOW_LINK_BYTES_PER_S: u64 = 1_250_000;

/// Number of routes in a large catalogue.
const LARGE_CATALOGUE: u16 = 5_545;

/// Starts a fleet of balancers in front of two services with slow links, which has settled.
fn slow_fleet(balancers: u8, hosts: u8) -> Simulation {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers,
        hosts,
        link_bytes_per_s: SLOW_LINK_BYTES_PER_S,
        ..SimulationOptions::default()
    });
    simulation.run(Span::from_secs(5));
    assert_in_force(&simulation, "the first catalogue");
    simulation
}

#[track_caller]
fn assert_in_force(simulation: &Simulation, what: &str) {
    let versions = simulation.catalogue_versions();
    let newest = simulation.stored_version();
    assert!(
        versions.keys().eq([&newest]),
        "{what}: version {newest} is not in force everywhere: {versions:?}"
    );
}

#[test]
fn verify_that_a_large_catalogue_is_in_force_in_time_at_78_processes() {
    let mut simulation = slow_fleet(24, 27);
    simulation.add_routes(LARGE_CATALOGUE);
    simulation.run(Span::from_secs(2));
    assert_in_force(&simulation, "a catalogue that has grown");
}

#[test]
fn verify_that_a_large_catalogue_is_in_force_in_time_at_295_processes() {
    let mut simulation = slow_fleet(91, 102);
    simulation.add_routes(LARGE_CATALOGUE);
    simulation.run(Span::from_secs(3));
    assert_in_force(&simulation, "a catalogue that has grown");
}

#[test]
fn verify_that_one_change_of_a_large_catalogue_is_in_force_in_time() {
    for (balancers, hosts, bound) in [
        (24, 27, Span::from_millis(1_000)),
        (91, 102, Span::from_millis(1_500)),
    ] {
        let mut simulation = slow_fleet(balancers, hosts);
        simulation.add_routes(LARGE_CATALOGUE);
        simulation.run(Span::from_secs(60));
        assert_in_force(&simulation, "a catalogue that has grown");
        simulation.set_route_targets(0, &[(1, 1)]);
        simulation.run(bound);
        assert_in_force(&simulation, "a change of one route");
    }
}

/// Time in which a change must be in force at 78 processes, with any fault.
const USERS_BOUND: Span = Span::from_secs(5);

#[test]
fn verify_that_readers_that_end_during_a_spread_do_not_delay_it() {
    for spread_for_ms in [700, 800, 900, 1_000, 1_200] {
        let mut simulation = slow_fleet(24, 27);
        simulation.add_routes(LARGE_CATALOGUE);
        simulation.run(Span::from_millis(spread_for_ms));
        for index in [0, 1] {
            let reader = simulation.balancers()[index];
            simulation.kill_balancer(reader);
        }
        simulation.run(USERS_BOUND);
        assert_in_force(
            &simulation,
            &format!("readers killed after {spread_for_ms} ms"),
        );
    }
}

#[test]
fn verify_that_versions_in_quick_succession_are_in_force_in_time() {
    let mut simulation = slow_fleet(24, 27);
    simulation.add_routes(LARGE_CATALOGUE);
    simulation.run(USERS_BOUND);
    for change in 0..20 {
        simulation.set_route_targets(0, &[(change % 2, 1)]);
        simulation.run(Span::from_millis(150));
    }
    simulation.run(Span::from_secs(2));
    assert_in_force(&simulation, "the last of twenty changes");
}

#[test]
fn verify_that_all_processes_that_start_at_once_get_a_large_catalogue() {
    let mut simulation = slow_fleet(24, 27);
    simulation.add_routes(LARGE_CATALOGUE);
    simulation.run(USERS_BOUND);
    let balancers = simulation.balancers();
    let agents = [simulation.agents(0), simulation.agents(1)].concat();
    for balancer in &balancers {
        simulation.kill_balancer(*balancer);
    }
    for agent in &agents {
        simulation.kill_agent(*agent);
    }
    simulation.set_route_targets(0, &[(1, 1)]);
    simulation.run(Span::from_secs(1));
    for balancer in balancers {
        simulation.start_balancer(balancer);
    }
    for agent in agents {
        simulation.start_agent(agent);
    }
    simulation.run(USERS_BOUND);
    assert_in_force(&simulation, "a change before the start");
}

#[test]
fn verify_that_processes_without_the_catalogue_ask_a_bounded_number_of_times() {
    for (balancers, hosts) in [(24, 27), (91, 102), (170, 200)] {
        let processes = usize::from(balancers) + 2 * usize::from(hosts);
        let mut simulation = slow_fleet(balancers, hosts);
        simulation.take_copy_requests();
        simulation.add_routes(LARGE_CATALOGUE);
        simulation.run(USERS_BOUND);
        assert_in_force(&simulation, &format!("{processes} processes"));
        let requests = simulation.take_copy_requests();
        assert!(
            requests <= 12 * processes,
            "{requests} requests of {processes} processes"
        );
    }
}
