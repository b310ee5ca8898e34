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
