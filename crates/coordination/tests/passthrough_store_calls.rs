//! Access to the store at the size of a large deployment.
//!
//! Load pattern: 91 balancers and 204 agents start at once, or lose the store at once. Guards against
//! a herd in which every process reads the store, against a fleet in which nobody reads it, and
//! against a large fleet that spends more calls a process than a small one.

use {
    cardamomloom_coordination::passthrough::{
        ReaderCensus, ReaderElection, StoreAccess, StoreAccessOptions,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_standins::passthrough::{Simulation, SimulationOptions},
    std::net::Ipv4Addr,
};

const BALANCERS: u8 = 91;

/// Returns the access of every balancer at `at_ms` when `readers` of the lowest addresses read the
/// store, and the balancers have known this since their start.
fn accesses(elections: &mut [ReaderElection], at_ms: u64, readers: usize) -> Vec<StoreAccess> {
    let balancers = elections.len();
    let census = |index: usize| ReaderCensus {
        balancers,
        preceding_balancers: index,
        preceding_readers: readers.min(index),
        is_initialized: true,
    };
    let elections = elections.iter_mut().enumerate();
    elections
        .map(|(index, election)| election.decide(Time::from_millis(at_ms), census(index)))
        .collect()
}

fn elections() -> Vec<ReaderElection> {
    let addresses = (0..BALANCERS).map(|index| Ipv4Addr::new(10, 1, 0, index));
    addresses
        .map(|address| ReaderElection::new(StoreAccessOptions::default(), address, Time::ZERO))
        .collect()
}

fn followers(accesses: &[StoreAccess]) -> usize {
    let is_following = |access: &&StoreAccess| matches!(access, StoreAccess::Follow { .. });
    accesses.iter().filter(is_following).count()
}

#[test]
fn verify_that_balancers_that_start_at_once_elect_two_readers() {
    let mut elections = elections();
    assert_eq!(followers(&accesses(&mut elections, 0, 0)), 0);
    assert_eq!(
        followers(&accesses(&mut elections, 500, 0)),
        2,
        "the others leave the two lowest addresses time to become readers"
    );
}

#[test]
fn verify_that_balancers_take_over_from_failed_readers_one_after_the_other() {
    let mut elections = elections();
    accesses(&mut elections, 0, 2);
    // The two readers fail at 1 s, and no other balancer becomes a reader.
    let counts: Vec<usize> = (0..60)
        .map(|step| followers(&accesses(&mut elections, 1_000 + step * 100, 0)))
        .collect();
    assert!(counts[2] >= 3, "a third reader within 200 ms: {counts:?}");
    assert!(counts[5] < 30, "not all at once: {counts:?}");
    assert_eq!(counts[59], usize::from(BALANCERS), "everybody in the end");
}

#[test]
fn verify_that_failing_calls_are_bounded_at_every_size() {
    for balancers in [5, 24, 91, 570] {
        let options = StoreAccessOptions::default();
        let backoff = options
            .takeover_backoff(balancers)
            .to_duration()
            .as_secs_f64();
        let calls_per_s = balancers as f64 / backoff;
        assert!(
            calls_per_s <= 20.0,
            "{balancers} balancers: {calls_per_s} calls a second"
        );
    }
}

/// Returns the number of processes that follow the store, sampled every 50 ms, as process-seconds.
fn follower_seconds(simulation: &mut Simulation, span: Span) -> f64 {
    simulation.take_store_follower_ticks();
    simulation.run(span);
    simulation.take_store_follower_ticks() as f64 * 0.05
}

#[test]
fn verify_that_a_large_fleet_starts_with_few_readers() {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers: BALANCERS,
        hosts: 102,
        services: 2,
        ..SimulationOptions::default()
    });
    let start = follower_seconds(&mut simulation, Span::from_secs(5));
    assert!(
        start <= 3.0 * 5.0,
        "{start} reader-seconds in the first 5 s"
    );
    let quiet = follower_seconds(&mut simulation, Span::from_secs(15));
    assert!(quiet <= 2.5 * 15.0, "{quiet} reader-seconds in 15 s");
    assert!(
        quiet >= 1.5 * 15.0,
        "the store has too few readers: {quiet}"
    );
}

#[test]
fn verify_that_readers_are_replaced_in_a_large_fleet() {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers: BALANCERS,
        hosts: 20,
        services: 2,
        ..SimulationOptions::default()
    });
    simulation.run(Span::from_secs(6));
    for index in [0, 1] {
        let balancer = simulation.balancers()[index];
        simulation.kill_balancer(balancer);
    }
    simulation.run(Span::from_secs(6));
    simulation.set_route_present(1, true);
    // The users' bound at this size.
    simulation.run(Span::from_secs(6));
    for _ in 0..200 {
        simulation.open_route(1);
        simulation.run(Span::from_millis(10));
    }
    simulation.run(Span::from_secs(3));
    assert!(
        simulation.violations().is_empty(),
        "{:?}",
        simulation.violations()
    );
    let counters = simulation.counters();
    assert_eq!(counters.served, counters.opened);
}
