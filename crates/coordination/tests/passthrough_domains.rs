//! New flows that leave the failure domain of their balancer. Guards against flows that leave without a
//! gain, flows that wait in a full domain, and shares that oscillate between domains.

use cardamomloom_standins::passthrough::{PlacementRule, QueueModel, QueuedFlow};

const SEED: u64 = 7;

/// Three domains with ten hosts each; all have the given part of the load that they can serve.
fn three_domains(load: f64) -> QueueModel {
    let mut model = QueueModel::new(
        PlacementRule::OwnDomain,
        &[10, 10, 10],
        &[0.0, 2.0, 5.0],
        SEED,
    );
    model.flows_per_s = vec![load * QueueModel::capacity(10); 3];
    model.run(10_000);
    model
}

#[test]
fn verify_that_flows_stay_at_even_demand() {
    for load in [0.3, 0.5, 0.8] {
        let mut model = three_domains(load);
        model.run(20_000);
        let staying = model.share(20_000, |flow| !flow.leaves);
        println!("load {load}: {staying} stay");
        assert!(staying >= 0.9);
    }
    let mut rendezvous = QueueModel::new(
        PlacementRule::Rendezvous,
        &[10, 10, 10],
        &[0.0, 2.0, 5.0],
        SEED,
    );
    rendezvous.flows_per_s = vec![0.5 * QueueModel::capacity(10); 3];
    assert!(rendezvous.run(10_000).share(10_000, |flow| !flow.leaves) < 0.9);
}

#[test]
fn verify_that_demand_in_a_small_domain_is_spread() {
    for (part, lag_ms) in [(0.5, 0), (0.7, 0), (0.5, 2_000)] {
        let run = |rule| {
            let mut model = QueueModel::new(rule, &[4, 13, 13], &[0.0, 2.0, 5.0], SEED);
            let total = 0.7 * QueueModel::capacity(30);
            model.lag_ms = lag_ms;
            model.flows_per_s = vec![
                part * total,
                (1.0 - part) / 2.0 * total,
                (1.0 - part) / 2.0 * total,
            ];
            model.run(60_000);
            model
        };
        let (own, any) = (run(PlacementRule::OwnDomain), run(PlacementRule::AnyDomain));
        println!(
            "{part} of the callers, {lag_ms} ms late: p99 {} ms, {} ms in one pool; {} leave, imbalance {}",
            own.p99_ms(20_000),
            any.p99_ms(20_000),
            own.leaving(0, 20_000),
            own.imbalance(20_000)
        );
        // The share cannot follow changes of the demand that are not known yet.
        let bound_ms = 1.5 * any.p99_ms(20_000) + lag_ms as f64;
        assert!(own.p99_ms(20_000) <= bound_ms);
    }
}

#[test]
fn verify_that_a_step_in_demand_settles_within_3_s() {
    // Twelve heartbeat intervals are 3 s. Where loads are older, an interval is as long as their age.
    for (demand, lag_ms, settled_ms) in [(1.1, 0, 3_000), (1.5, 0, 3_000), (1.5, 1_000, 15_000)] {
        let mut model = three_domains(0.4);
        model.lag_ms = lag_ms;
        model.flows_per_s[0] = demand * QueueModel::capacity(10);
        model.run(settled_ms);
        let shares: Vec<f64> = (0..20)
            .map(|_| model.run(1_000).leaving(0, 1_000))
            .collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        println!("demand {demand}, {lag_ms} ms late: mean share {mean:.3}, {shares:.2?}");
        assert!(mean >= 1.0 - 1.0 / demand);
        assert!(shares.iter().all(|share| (share - mean).abs() <= 0.1));
        model.flows_per_s[0] = 0.4 * QueueModel::capacity(10);
        assert!(model.run(settled_ms + 1_000).leaving(0, 1_000) <= 0.1);
    }
}

#[test]
fn verify_that_a_domain_may_leave_and_return_cold() {
    for fault in ["lost", "full"] {
        let mut model = three_domains(0.5);
        let normal_ms = model.p99_ms(5_000);
        for host in &mut model.hosts[..10] {
            (host.is_usable, host.takes_flows) = (fault != "lost", fault != "full");
        }
        // The loads of full hosts arrive with the next heartbeat.
        model.run(500).run(5_000);
        assert!(model.last(5_000).all(|flow| flow.host >= 10), "{fault}");
        for host in &mut model.hosts[..10] {
            (host.is_usable, host.takes_flows, host.slowness) = (true, true, 3.0);
        }
        // A cold domain can serve two thirds of its demand.
        model.run(3_000);
        let cold_ms = model.p99_ms(2_000);
        let cold_share = model.leaving(0, 2_000);
        for host in &mut model.hosts[..10] {
            host.slowness = 1.0;
        }
        model.run(4_000);
        println!(
            "{fault}: p99 {normal_ms} ms before, {cold_ms} ms cold with {cold_share} leaving; {} leave after",
            model.leaving(0, 1_000)
        );
        assert!(cold_ms <= 5.0 * normal_ms, "{fault}: {cold_ms}");
        assert!(model.leaving(0, 1_000) <= 0.1, "{fault}");
    }
}

#[test]
fn verify_that_missing_loads_keep_flows_in_their_domain() {
    let mut model = three_domains(0.5);
    for host in &mut model.hosts {
        host.reports = false;
    }
    model.run(10_000);
    assert!(model.share(5_000, |flow| !flow.leaves) >= 0.9);
    // Hosts of the other domains cannot be heard.
    let mut model = three_domains(0.5);
    for host in &mut model.hosts[10..] {
        host.reports = false;
    }
    model.run(10_000);
    assert!(model.leaving(0, 5_000) <= 0.1);
}

#[test]
fn verify_that_near_domains_are_preferred_among_ten() {
    let positions_ms: Vec<f64> = (0..10)
        .map(|domain| f64::from(domain * domain) * 0.5)
        .collect();
    let mut model = QueueModel::new(PlacementRule::OwnDomain, &[4; 10], &positions_ms, SEED);
    model.flows_per_s = vec![0.4 * QueueModel::capacity(4); 10];
    model.flows_per_s[0] = 2.0 * QueueModel::capacity(4);
    model.run(20_000);
    let domain_of = |host: usize| model.hosts[host].domain;
    let is_leaving = |flow: &QueuedFlow| flow.domain == 0 && flow.leaves;
    let near = model.share(10_000, |flow| is_leaving(flow) && domain_of(flow.host) <= 5);
    let far = model.share(10_000, |flow| is_leaving(flow) && domain_of(flow.host) > 5);
    let others = model.share(10_000, |flow| flow.domain != 0 && flow.leaves);
    println!(
        "near {near}, far {far}, others {others}, p99 {}",
        model.p99_ms(10_000)
    );
    assert!(near > 2.0 * far);
    assert!(others <= 0.1);
    assert!(model.imbalance(10_000) <= 2.0);
}

#[test]
fn verify_services_with_no_host_or_one_host_in_a_domain() {
    for (hosts, positions_ms) in [
        (&[0, 6, 6][..], &[0.0, 2.0, 5.0][..]),
        (&[1, 6, 6], &[0.0, 2.0, 5.0]),
        (&[12], &[0.0]),
    ] {
        let mut model = QueueModel::new(PlacementRule::OwnDomain, hosts, positions_ms, SEED);
        model.flows_per_s = vec![0.6 * QueueModel::capacity(12) / hosts.len() as f64; hosts.len()];
        model.run(20_000);
        println!(
            "{hosts:?}: p99 {} ms, {} leave",
            model.p99_ms(10_000),
            model.leaving(0, 10_000)
        );
        assert!(model.p99_ms(10_000) <= 500.0);
        assert!(hosts.len() > 1 || model.leaving(0, 20_000) == 0.0);
    }
}
