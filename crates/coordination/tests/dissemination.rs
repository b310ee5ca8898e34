//! Tests of the dissemination of configuration under packet loss and store failures (sections 10,
//! 15 and 16 of the design; P10, F3).

use {
    cardamomloom_coordination::membership::Confirmation,
    cardamomloom_core::{ObjectVersion, Span},
    cardamomloom_protocol::control::HostState,
    cardamomloom_standins::control_plane::{Fleet, FleetOptions},
    std::collections::BTreeMap,
};

/// Time within which a configuration change must be in force everywhere, as P10 promises.
const IN_FORCE_BOUND: Span = Span::from_secs(19);

fn options() -> FleetOptions {
    FleetOptions {
        domains: vec![("a", "n"), ("b", "n"), ("c", "s"), ("d", "s")],
        balancers: 24,
        hosts: 32,
        services: 4,
        ..FleetOptions::default()
    }
}

fn settled_fleet(options: FleetOptions) -> Fleet {
    let mut fleet = Fleet::start(options);
    let settle_time = fleet.run_until(Span::from_secs(20), Fleet::are_all_hosts_ready);
    assert!(settle_time.is_some(), "not all hosts became ready");
    fleet.run(Span::from_secs(3));
    fleet
}

/// The last seen version of every object at every process, to check that no version decreases.
#[derive(Default)]
struct VersionMonitor(BTreeMap<(usize, String), ObjectVersion>);

impl VersionMonitor {
    fn check(&mut self, fleet: &Fleet) {
        let balancers = fleet.balancers.iter().map(|b| b.membership.replica());
        let agents = fleet.agents.iter().map(|a| a.membership.replica());
        for (process, replica) in balancers.chain(agents).enumerate() {
            for object in replica.objects().with_prefix("") {
                let key = (process, object.key.to_string());
                let previous = self.0.insert(key, object.version);
                assert!(
                    previous.is_none_or(|previous| previous <= object.version),
                    "the version of {} decreased from {previous:?} to {} at process {process}",
                    object.key,
                    object.version
                );
            }
        }
    }
}

/// Guards against packet loss delaying a configuration change at some process beyond the bound.
#[test]
fn verify_configuration_is_in_force_within_the_bound() {
    let mut fleet = settled_fleet(options());
    for round in 0..10 {
        let key = format!("services/service-{}", round % 4);
        let version = fleet.put_service(round % 4, 100 + u32::try_from(round).expect("small"));
        let time = fleet.run_until(IN_FORCE_BOUND, |fleet| fleet.is_in_force(&key, version));
        assert!(
            time.is_some(),
            "{key} is not in force within {IN_FORCE_BOUND}"
        );
    }
}

/// Guards against a number of store requests that grows with the number of processes.
#[test]
fn verify_few_readers_watch_the_store() {
    let mut fleet = settled_fleet(options());
    let readers = fleet
        .balancers
        .iter()
        .filter(|b| b.membership.is_store_reader());
    assert_eq!(readers.count(), 8, "two readers in each failure domain");
    let previous_calls = fleet.store.calls;
    fleet.run(Span::from_secs(60));
    let calls = fleet.store.calls - previous_calls;
    // Eight store readers with watches of 20 s make 24 calls in 60 s. One more call per reader may
    // have begun before.
    assert!(calls <= 32, "{calls} calls in 60 s");
}

/// Guards against changes that no longer spread after the store readers crashed.
#[test]
fn verify_failed_readers_are_replaced() {
    let mut fleet = settled_fleet(options());
    for balancer in &mut fleet.balancers {
        balancer.is_running = !balancer.membership.is_store_reader();
    }
    fleet.run(Span::from_secs(1));
    let version = fleet.put_service(0, 77);
    let time = fleet.run_until(IN_FORCE_BOUND, |fleet| {
        fleet.is_in_force("services/service-0", version)
    });
    assert!(
        time.is_some(),
        "the change is not in force: no balancer replaced the store readers"
    );
}

/// Guards against a store outage of ten minutes blocking other changes: during it hosts crash, join
/// and drain, and a balancer starts.
#[test]
fn verify_store_outage_of_ten_minutes() {
    let mut fleet = settled_fleet(options());
    let version = fleet.put_service(2, 55);
    fleet.run(Span::from_secs(10));
    fleet.store.is_down = true;
    let mut monitor = VersionMonitor::default();
    for minute in 0..10_usize {
        let killed = minute * 3 % 32;
        fleet.agents[killed].is_running = false;
        fleet.run(Span::from_secs(20));
        assert!(
            fleet.all_balancers_see(killed, HostState::Gone),
            "host {killed} is not gone everywhere"
        );
        fleet.start_agent(killed);
        let now = fleet.now;
        let drained = (minute * 5 + 1) % 32;
        fleet.agents[drained]
            .membership
            .set_state(now, HostState::Draining);
        fleet.run(Span::from_secs(20));
        assert!(
            fleet.all_balancers_see(drained, HostState::Draining),
            "host {drained} is not draining everywhere"
        );
        fleet.start_agent(drained);
        if minute == 4 {
            fleet.balancers[9].is_running = false;
            fleet.run(Span::from_secs(5));
            fleet.start_balancer_without_store(9);
        }
        fleet.run(Span::from_secs(20));
        assert!(
            fleet.are_all_hosts_ready(),
            "not all hosts are ready after minute {minute}"
        );
        monitor.check(&fleet);
    }
    let new_replica = fleet.balancers[9].membership.replica();
    let known = Fleet::version_at(new_replica, "services/service-2");
    assert_eq!(
        known, version,
        "the balancer that started during the outage lacks the latest version"
    );
    fleet.store.is_down = false;
    let version = fleet.put_service(1, 66);
    let time = fleet.run_until(IN_FORCE_BOUND, |fleet| {
        fleet.is_in_force("services/service-1", version)
    });
    assert!(
        time.is_some(),
        "a change after the outage is not in force in time"
    );
}

/// Guards against older object versions replacing newer ones after the store was restored from a
/// backup or answers with stale versions.
#[test]
fn verify_restored_store_decreases_no_version() {
    let mut fleet = settled_fleet(options());
    let backup = fleet.store_objects();
    let version = fleet.put_service(0, 99);
    let time = fleet.run_until(IN_FORCE_BOUND, |fleet| {
        fleet.is_in_force("services/service-0", version)
    });
    assert!(time.is_some());
    let mut monitor = VersionMonitor::default();
    monitor.check(&fleet);
    fleet.store.restore(&backup);
    // Peers would repair a decreased version within a second, so that every step is checked.
    for _ in 0..500 {
        fleet.step();
        monitor.check(&fleet);
    }
    fleet.run(Span::from_secs(30));
    monitor.check(&fleet);
    assert!(fleet.is_in_force("services/service-0", version));
    fleet.store.end_watches();
    // The restored store continues to number its writes from the version of the backup.
    let mut latest = ObjectVersion(0);
    for connections in 1..=6 {
        latest = fleet.put_service(0, connections);
        fleet.run(Span::from_secs(2));
        monitor.check(&fleet);
    }
    assert!(latest > version);
    let time = fleet.run_until(IN_FORCE_BOUND, |fleet| {
        fleet.is_in_force("services/service-0", latest)
    });
    assert!(
        time.is_some(),
        "a version above those before the restore is not in force in time"
    );
}

/// Guards against changes that a slow store delays beyond the bound or that an interrupted watch
/// loses.
#[test]
fn verify_slow_store_and_cut_watches() {
    let mut fleet = settled_fleet(options());
    fleet.store.delay = Span::from_secs(3);
    for round in 0..5_u32 {
        fleet.store.end_watches();
        let version = fleet.put_service(3, 10 + round);
        fleet.store.end_watches();
        let time = fleet.run_until(IN_FORCE_BOUND, |fleet| {
            fleet.is_in_force("services/service-3", version)
        });
        assert!(
            time.is_some(),
            "the change of round {round} is not in force in time"
        );
    }
}

/// Guards against a deletion that does not reach a process that was not watching the store when it
/// happened.
#[test]
fn verify_deletion_reaches_every_process() {
    let mut fleet = settled_fleet(options());
    let version = fleet.store.put("services/service-3", None);
    let time = fleet.run_until(IN_FORCE_BOUND, |fleet| {
        fleet.is_in_force("services/service-3", version)
    });
    assert!(time.is_some(), "the deletion is not known everywhere");
}

/// Guards against a process that uses outdated versions after a pause without confirming them.
#[test]
fn verify_resumed_process_confirms_its_versions() {
    let mut fleet = settled_fleet(options());
    fleet.balancers[5].paused_until = fleet.now + Span::from_secs(30);
    fleet.run(Span::from_secs(1));
    let version = fleet.put_service(0, 11);
    fleet.run(Span::from_millis(29_010));
    let mut was_pending = false;
    for _ in 0..500 {
        fleet.step();
        let membership = &fleet.balancers[5].membership;
        let known = Fleet::version_at(membership.replica(), "services/service-0");
        match membership.confirmation() {
            Confirmation::Pending => was_pending = true,
            Confirmation::Confirmed if !was_pending => {}
            Confirmation::Confirmed => {
                assert_eq!(known, version, "an outdated version was confirmed");
            }
            Confirmation::Isolated => {
                panic!("the process is isolated although peers are reachable");
            }
        }
    }
    assert!(was_pending, "the process did not detect its pause");
    let state = fleet.balancers[5].membership.confirmation();
    assert_eq!(state, Confirmation::Confirmed);
}

/// Guards against a process without reachable peers that waits for them forever or does not report
/// that it is isolated.
#[test]
fn verify_isolated_process_reports_it_and_recovers() {
    let mut fleet = settled_fleet(options());
    fleet.partition_balancer(5);
    fleet.run(Span::from_secs(1));
    let now = fleet.now;
    fleet.balancers[5].membership.confirm_versions(now);
    fleet.run(Span::from_secs(2));
    let state = fleet.balancers[5].membership.confirmation();
    assert_eq!(state, Confirmation::Isolated);
    fleet.partitioned_pairs.clear();
    let confirmed = fleet.run_until(Span::from_secs(5), |fleet| {
        fleet.balancers[5].membership.confirmation() == Confirmation::Confirmed
    });
    assert!(confirmed.is_some());
}
