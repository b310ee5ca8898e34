//! Placement of new flows by expected wait. Guards against long waits at slow hosts while others are
//! idle, hosts that are never used again after a slow period, and herds that follow outdated loads.

use cardamomloom_standins::passthrough::{PlacementRule, QueueModel};

const SEED: u64 = 7;

const MAX_IMBALANCE: f64 = 1.15;

/// Runs ten hosts, of which one may be slow, at 80 % of the load that ten healthy ones can serve.
fn run_ten_hosts(rule: PlacementRule, slowness: f64, lag_ms: u64, interval_ms: u64) -> QueueModel {
    let mut model = QueueModel::new(rule, &[10], &[0.0], SEED);
    model.hosts[3].slowness = slowness;
    (model.lag_ms, model.interval_ms) = (lag_ms, interval_ms);
    model.flows_per_s[0] = 0.8 * QueueModel::capacity(10);
    model.run(30_000);
    model
}

#[test]
fn verify_that_a_slow_host_does_not_delay_new_flows() {
    let healthy = run_ten_hosts(PlacementRule::AnyDomain, 1.0, 0, 250);
    let slow = run_ten_hosts(PlacementRule::AnyDomain, 5.0, 0, 250);
    let rendezvous = run_ten_hosts(PlacementRule::Rendezvous, 5.0, 0, 250);
    let bound_ms = 1.5 * healthy.p99_ms(20_000);
    println!(
        "p99 {} ms healthy, {} ms with a slow host, {} ms by rendezvous; imbalance {} and {}",
        healthy.p99_ms(20_000),
        slow.p99_ms(20_000),
        rendezvous.p99_ms(20_000),
        slow.imbalance(20_000),
        rendezvous.imbalance(20_000),
    );
    assert!(slow.p99_ms(20_000) <= bound_ms);
    assert!(rendezvous.p99_ms(20_000) > bound_ms);
    assert!(healthy.imbalance(20_000) <= MAX_IMBALANCE);
    assert!(slow.imbalance(20_000) <= MAX_IMBALANCE);
    assert!(rendezvous.imbalance(20_000) > MAX_IMBALANCE);
}

#[test]
fn verify_that_a_host_gets_its_share_back_within_3_s() {
    for load in [0.4, 0.7] {
        for fault in ["slow", "full", "gone"] {
            let mut model = QueueModel::new(PlacementRule::AnyDomain, &[10], &[0.0], SEED);
            model.flows_per_s[0] = load * QueueModel::capacity(10);
            let host = &mut model.hosts[3];
            match fault {
                "slow" => host.slowness = 5.0,
                "full" => host.takes_flows = false,
                _ => host.is_usable = false,
            }
            model.run(10_000);
            let before = model.share(5_000, |flow| flow.host == 3);
            let host = &mut model.hosts[3];
            (host.slowness, host.takes_flows, host.is_usable) = (1.0, true, true);
            model.run(3_000).run(4_000);
            let after = model.share(4_000, |flow| flow.host == 3);
            println!("{fault} at {load}: share {before} before, {after} after");
            assert!(before < 0.05, "{fault} at {load}: {before}");
            assert!((0.07..0.13).contains(&after), "{fault} at {load}: {after}");
        }
    }
}

#[test]
fn verify_that_late_and_missing_loads_are_no_worse_than_none() {
    let rendezvous = run_ten_hosts(PlacementRule::Rendezvous, 1.0, 0, 250);
    let rendezvous_slow = run_ten_hosts(PlacementRule::Rendezvous, 5.0, 0, 250);
    for (lag_ms, interval_ms) in [(2_000, 250), (0, 2_000)] {
        let late = run_ten_hosts(PlacementRule::AnyDomain, 1.0, lag_ms, interval_ms);
        let slow = run_ten_hosts(PlacementRule::AnyDomain, 5.0, lag_ms, interval_ms);
        let bound_ms = 1.5 * rendezvous.p99_ms(20_000);
        println!(
            "loads {lag_ms} ms late, every {interval_ms} ms: p99 {} ms, {} ms with a slow host, bound {bound_ms} ms",
            late.p99_ms(20_000),
            slow.p99_ms(20_000)
        );
        assert!(late.p99_ms(20_000) <= bound_ms);
        assert!(slow.p99_ms(20_000) <= 0.1 * rendezvous_slow.p99_ms(20_000));
    }
    // A silent host is not taken for an idle one, and a balancer without loads uses all hosts.
    for silent in [1, 10] {
        let mut model = QueueModel::new(PlacementRule::AnyDomain, &[10], &[0.0], SEED);
        model.flows_per_s[0] = 0.7 * QueueModel::capacity(10);
        model.run(5_000);
        for host in &mut model.hosts[..silent] {
            host.reports = false;
        }
        model.restart_balancers();
        model.run(20_000);
        println!("{silent} silent: imbalance {}", model.imbalance(20_000));
        assert!(model.imbalance(20_000) <= MAX_IMBALANCE);
    }
}
