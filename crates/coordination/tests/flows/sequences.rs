//! Property tests with random overlapping changes: no flow breaks, and none reaches two servers or
//! the wrong one.

use {
    cardamomloom_core::{Span, Weight},
    cardamomloom_standins::model::{FlowState, HostState, Simulation, ViolationCounts},
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    rand::{RngExt, seq::SliceRandom},
    std::cell::Cell,
};

const HOSTS: usize = 12;
const BALANCERS: usize = 3;
const SEQUENCES: u32 = 1_000;

/// Time without changes after which every packet must reach the owner of its flow. By then every
/// process has the current table, and lost handover messages have been retransmitted.
const SETTLE_SPAN: Span = Span::from_millis(4_500);

#[derive(Clone, Debug)]
enum Change {
    Open(usize),
    Traffic,
    OpenWithRetransmissions(Vec<usize>),
    Reuse(usize),
    Close(usize),
    Join(usize),
    Drain(usize),
    Leave,
    Full(usize, bool),
    Weight(usize, u32),
    RotateKey,
    DomainOut(usize),
    DomainIn(usize),
    Kill(usize),
    BalancerReplaced(usize),
    BalancerLearns(usize),
    HostLearns(usize),
    Wait(u64),
    CheckSettled,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (1_usize..16).prop_map(Change::Open),
        6 => Just(Change::Traffic),
        2 => prop::collection::vec(0..BALANCERS, 1..4).prop_map(Change::OpenWithRetransmissions),
        2 => any::<usize>().prop_map(Change::Reuse),
        1 => any::<usize>().prop_map(Change::Close),
        4 => (0..HOSTS).prop_map(Change::Join),
        3 => (0..HOSTS).prop_map(Change::Drain),
        1 => Just(Change::Leave),
        2 => (0..HOSTS, any::<bool>()).prop_map(|(host, full)| Change::Full(host, full)),
        1 => (0..HOSTS, 500_u32..2_000).prop_map(|(host, weight)| Change::Weight(host, weight)),
        1 => Just(Change::RotateKey),
        1 => (0_usize..3).prop_map(Change::DomainOut),
        3 => (0_usize..3).prop_map(Change::DomainIn),
        1 => (0..HOSTS).prop_map(Change::Kill),
        1 => (0..BALANCERS).prop_map(Change::BalancerReplaced),
        4 => (0..BALANCERS).prop_map(Change::BalancerLearns),
        4 => (0..HOSTS).prop_map(Change::HostLearns),
        4 => (10_u64..2_500).prop_map(Change::Wait),
        1 => Just(Change::CheckSettled),
    ]
}

fn apply(simulation: &mut Simulation, change: &Change) {
    match *change {
        Change::Open(count) => open(simulation, count),
        Change::Traffic => send_traffic(simulation),
        Change::OpenWithRetransmissions(ref balancers) => {
            let flow = simulation.add_flow();
            simulation.send_syn(flow, balancers);
        }
        Change::Reuse(flow) if !simulation.flows.is_empty() => {
            let balancer = simulation.rng.random_range(0..BALANCERS);
            simulation.reuse_five_tuple(flow % simulation.flows.len(), balancer);
        }
        Change::Close(flow) if !simulation.flows.is_empty() => {
            simulation.close(flow % simulation.flows.len());
        }
        Change::Join(host) if simulation.hosts[host].state == HostState::Absent => {
            simulation.join(host);
        }
        Change::Drain(host) if is_ready(simulation, host) && simulation.ready_hosts() > 2 => {
            simulation.drain(host);
        }
        Change::Leave => (0..HOSTS).for_each(|host| simulation.leave_if_idle(host)),
        Change::Full(host, full) => simulation.hosts[host].is_full = full,
        Change::Weight(host, weight) if is_ready(simulation, host) => {
            simulation.hosts[host].weight = Weight(weight);
            simulation.publish();
        }
        Change::RotateKey => {
            simulation.key = simulation.key.wrapping_add(1) % 4;
            simulation.publish();
        }
        Change::DomainOut(domain) => remove_domain(simulation, domain),
        Change::DomainIn(domain) => {
            let is_absent = |host: &usize| simulation.hosts[*host].state == HostState::Absent;
            let hosts: Vec<usize> = (domain * 4..domain * 4 + 4).filter(is_absent).collect();
            simulation.join_together(&hosts);
        }
        Change::Kill(host) if is_ready(simulation, host) && simulation.ready_hosts() > 2 => {
            simulation.remove(&[host]);
        }
        Change::BalancerReplaced(balancer) => {
            simulation.update_balancer(balancer, simulation.versions.len() - 1);
        }
        Change::BalancerLearns(balancer) => {
            let version = random_newer_version(simulation, simulation.balancers[balancer]);
            simulation.update_balancer(balancer, version);
        }
        Change::HostLearns(host) => {
            let version = random_newer_version(simulation, simulation.hosts[host].version);
            simulation.update_host(host, version);
        }
        Change::Wait(span_ms) => simulation.advance(Span::from_millis(span_ms)),
        Change::CheckSettled => check_settled(simulation),
        _ => {}
    }
}

fn random_newer_version(simulation: &mut Simulation, version: usize) -> usize {
    let newest = simulation.versions.len();
    simulation.rng.random_range(version..newest)
}

fn is_ready(simulation: &Simulation, host: usize) -> bool {
    simulation.hosts[host].state == HostState::Ready
}

fn remove_domain(simulation: &mut Simulation, domain: usize) {
    let hosts: Vec<usize> = (domain * 4..domain * 4 + 4).collect();
    let ready_elsewhere =
        (0..HOSTS).filter(|host| !hosts.contains(host) && is_ready(simulation, *host));
    if ready_elsewhere.count() > 1 {
        simulation.remove(&hosts);
    }
}

fn open(simulation: &mut Simulation, count: usize) {
    for _ in 0..count {
        let flow = simulation.add_flow();
        let copies = simulation.rng.random_range(1..3);
        let mut balancers: Vec<usize> = (0..BALANCERS).collect();
        balancers.shuffle(&mut simulation.rng);
        simulation.send_syn(flow, &balancers[..copies]);
    }
}

fn send_traffic(simulation: &mut Simulation) {
    for flow in 0..simulation.flows.len() {
        let balancer = simulation.rng.random_range(0..BALANCERS);
        simulation.send_next(flow, balancer);
    }
}

/// Checks that after a time without changes packets of every open flow reach their owner from every
/// balancer with at most one extra hop.
fn check_settled(simulation: &mut Simulation) {
    simulation.advance(SETTLE_SPAN);
    for flow in 0..simulation.flows.len() {
        for balancer in 0..BALANCERS {
            if !matches!(simulation.flows[flow].state, FlowState::Open { .. }) {
                continue;
            }
            let trace = simulation.send_next(flow, balancer);
            if !trace.is_delivered || trace.hops > 1 {
                simulation.violations.broken += 1;
            }
        }
    }
}

fn run_sequence(seed: u64, changes: &[Change], handover: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, HOSTS, BALANCERS, handover);
    open(&mut simulation, 10);
    for change in changes {
        apply(&mut simulation, change);
    }
    check_settled(&mut simulation);
    simulation
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed_f10f),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    })
}

/// Guards against flows that break, are answered twice or by the wrong server, while joins, drains,
/// redirects and changes of weights, hash keys and failure domains overlap and every balancer and
/// agent has a different version of the table.
#[test]
fn verify_overlapping_changes_break_no_flow() {
    let opened = Cell::new(0);
    let sequences = (any::<u64>(), prop::collection::vec(change(), 5..30));
    runner(SEQUENCES)
        .run(&sequences, |(seed, changes)| {
            let simulation = run_sequence(seed, &changes, true);
            opened.set(opened.get() + simulation.opened);
            prop_assert_eq!(simulation.violations, ViolationCounts::default());
            Ok(())
        })
        .unwrap_or_else(|failure| panic!("{failure}"));
    println!("{SEQUENCES} sequences, {} flows", opened.get());
    assert!(opened.get() >= 10_000, "only {} flows", opened.get());
}

/// Guards against a check that cannot fail: without handover messages it must find broken flows.
#[test]
fn verify_the_oracle_detects_broken_flows_without_handover() {
    let broken = Cell::new(0);
    let sequences = (any::<u64>(), prop::collection::vec(change(), 5..30));
    runner(60)
        .run(&sequences, |(seed, changes)| {
            let simulation = run_sequence(seed, &changes, false);
            broken.set(broken.get() + simulation.violations.broken);
            Ok(())
        })
        .unwrap_or_else(|failure| panic!("{failure}"));
    println!("60 sequences without handover, {} broken", broken.get());
    assert!(broken.get() > 0);
}

/// Guards against broken flows when a whole failure domain of 4 of 12 hosts returns at once, with
/// 10,000 open flows, while a host drains and all balancers have different tables.
#[test]
fn verify_a_returning_failure_domain_breaks_no_flow() {
    let mut simulation = Simulation::new(7, HOSTS, BALANCERS, true);
    remove_domain(&mut simulation, 2);
    simulation.advance(SETTLE_SPAN);
    open(&mut simulation, 10_500);
    simulation.advance(Span::from_millis(200));
    send_traffic(&mut simulation);
    simulation.join_together(&[8, 9, 10, 11]);
    simulation.update_balancer(0, simulation.versions.len() - 1);
    simulation.update_balancer(1, simulation.versions.len() - 2);
    send_traffic(&mut simulation);
    simulation.drain(0);
    simulation.hosts[9].is_full = true;
    simulation.advance(Span::from_millis(300));
    send_traffic(&mut simulation);
    check_settled(&mut simulation);
    assert!(
        simulation.opened >= 10_000,
        "only {} flows",
        simulation.opened
    );
    assert_eq!(simulation.violations, ViolationCounts::default());
}
