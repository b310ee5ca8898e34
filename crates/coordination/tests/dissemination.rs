//! Dissemination of configuration under loss and store failures (sections 10, 15 and 16; P10, F3).

use {
    cardamomloom_coordination::membership::Confirmation,
    cardamomloom_core::{ObjectVersion, Span},
    cardamomloom_protocol::control::HostState,
    cardamomloom_standins::control_plane::{Fleet, FleetOptions},
    std::collections::BTreeMap,
};

/// Bound of promise P10.
const IN_FORCE: Span = Span::from_secs(19);

fn options() -> FleetOptions {
    FleetOptions {
        domains: vec![("a", "n"), ("b", "n"), ("c", "s"), ("d", "s")],
        balancers: 24,
        hosts: 32,
        services: 4,
        ..FleetOptions::default()
    }
}

fn settled(options: FleetOptions) -> Fleet {
    let mut fleet = Fleet::start(options);
    let settled = fleet.run_until(Span::from_secs(20), Fleet::are_all_hosts_ready);
    assert!(settled.is_some(), "the fleet does not settle");
    fleet.run(Span::from_secs(3));
    fleet
}

/// Versions of all objects at every process; a check fails when one is lower than before.
#[derive(Default)]
struct Monotonic(BTreeMap<(usize, String), ObjectVersion>);

impl Monotonic {
    fn check(&mut self, fleet: &Fleet) {
        let balancers = fleet.balancers.iter().map(|b| b.membership.replica());
        let agents = fleet.agents.iter().map(|a| a.membership.replica());
        for (process, replica) in balancers.chain(agents).enumerate() {
            for object in replica.objects().with_prefix("") {
                let key = (process, object.key.to_string());
                let before = self.0.insert(key, object.version);
                assert!(
                    before.is_none_or(|before| before <= object.version),
                    "{} went back from {before:?} to {} at process {process}",
                    object.key,
                    object.version
                );
            }
        }
    }
}

/// Guards against a configuration that does not reach every process in time under loss.
#[test]
fn verify_configuration_is_in_force_within_the_bound() {
    let mut fleet = settled(options());
    for round in 0..10 {
        let key = format!("services/service-{}", round % 4);
        let version = fleet.put_service(round % 4, 100 + u32::try_from(round).expect("small"));
        let time = fleet.run_until(IN_FORCE, |fleet| fleet.is_in_force(&key, version));
        assert!(time.is_some(), "{key} is not in force in time");
    }
}

/// Guards against a fleet that asks the store in proportion to its size.
#[test]
fn verify_few_readers_watch_the_store() {
    let mut fleet = settled(options());
    let readers = fleet
        .balancers
        .iter()
        .filter(|b| b.membership.is_store_reader());
    assert_eq!(readers.count(), 8, "two readers in each failure domain");
    let before = fleet.store.calls;
    fleet.run(Span::from_secs(60));
    let calls = fleet.store.calls - before;
    // Eight watches of 20 s each make 24 calls in 60 s; one more each may have begun before.
    assert!(calls <= 32, "{calls} calls in 60 s");
}

/// Guards against changes that stop spreading when the readers die.
#[test]
fn verify_failed_readers_are_replaced() {
    let mut fleet = settled(options());
    for balancer in &mut fleet.balancers {
        balancer.is_running = !balancer.membership.is_store_reader();
    }
    fleet.run(Span::from_secs(1));
    let version = fleet.put_service(0, 77);
    let time = fleet.run_until(IN_FORCE, |fleet| {
        fleet.is_in_force("services/service-0", version)
    });
    assert!(time.is_some(), "nobody reads the store");
}

/// Guards against a system that stands still while the store is down for ten minutes: hosts die,
/// join and drain, and a balancer starts.
#[test]
fn verify_store_outage_of_ten_minutes() {
    let mut fleet = settled(options());
    let version = fleet.put_service(2, 55);
    fleet.run(Span::from_secs(10));
    fleet.store.is_down = true;
    let mut monotonic = Monotonic::default();
    for minute in 0..10_usize {
        let killed = minute * 3 % 32;
        fleet.agents[killed].is_running = false;
        fleet.run(Span::from_secs(20));
        assert!(
            fleet.all_balancers_see(killed, HostState::Gone),
            "host {killed}"
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
            "host {drained}"
        );
        fleet.start_agent(drained);
        if minute == 4 {
            fleet.balancers[9].is_running = false;
            fleet.run(Span::from_secs(5));
            fleet.start_balancer_without_store(9);
        }
        fleet.run(Span::from_secs(20));
        assert!(fleet.are_all_hosts_ready(), "minute {minute}");
        monotonic.check(&fleet);
    }
    let new = fleet.balancers[9].membership.replica();
    let known = Fleet::version_at(new, "services/service-2");
    assert_eq!(known, version, "the new balancer lacks the highest version");
    fleet.store.is_down = false;
    let version = fleet.put_service(1, 66);
    let time = fleet.run_until(IN_FORCE, |fleet| {
        fleet.is_in_force("services/service-1", version)
    });
    assert!(time.is_some(), "changes do not flow after the outage");
}

/// Guards against a store that was restored from a copy, or answers with stale versions, and takes
/// the configuration back.
#[test]
fn verify_no_object_goes_back_with_the_store() {
    let mut fleet = settled(options());
    let copy = fleet.store_objects();
    let version = fleet.put_service(0, 99);
    let time = fleet.run_until(IN_FORCE, |fleet| {
        fleet.is_in_force("services/service-0", version)
    });
    assert!(time.is_some());
    let mut monotonic = Monotonic::default();
    monotonic.check(&fleet);
    fleet.store.restore(&copy);
    // Peers would repair an object that went back within a second, so that every step counts.
    for _ in 0..500 {
        fleet.step();
        monotonic.check(&fleet);
    }
    fleet.run(Span::from_secs(30));
    monotonic.check(&fleet);
    assert!(fleet.is_in_force("services/service-0", version));
    fleet.store.end_watches();
    // The restored store numbers its next writes from the version of the copy.
    let mut latest = ObjectVersion(0);
    for connections in 1..=6 {
        latest = fleet.put_service(0, connections);
        fleet.run(Span::from_secs(2));
        monotonic.check(&fleet);
    }
    assert!(latest > version);
    let time = fleet.run_until(IN_FORCE, |fleet| {
        fleet.is_in_force("services/service-0", latest)
    });
    assert!(time.is_some(), "higher versions do not come through");
}

/// Guards against a slow store that delays changes beyond the bound, or a cut watch that loses one.
#[test]
fn verify_slow_store_and_cut_watches() {
    let mut fleet = settled(options());
    fleet.store.delay = Span::from_secs(3);
    for round in 0..5_u32 {
        fleet.store.end_watches();
        let version = fleet.put_service(3, 10 + round);
        fleet.store.end_watches();
        let time = fleet.run_until(IN_FORCE, |fleet| {
            fleet.is_in_force("services/service-3", version)
        });
        assert!(time.is_some(), "round {round}");
    }
}

/// Guards against a deletion that a process misses that did not watch at the time.
#[test]
fn verify_deletion_reaches_everybody() {
    let mut fleet = settled(options());
    let version = fleet.store.put("services/service-3", None);
    let time = fleet.run_until(IN_FORCE, |fleet| {
        fleet.is_in_force("services/service-3", version)
    });
    assert!(time.is_some(), "the deletion is not known everywhere");
}

/// Guards against a process that forwards with old versions after a pause.
#[test]
fn verify_resumed_process_confirms_its_versions() {
    let mut fleet = settled(options());
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
            Confirmation::Confirmed => assert_eq!(known, version, "confirmed an old version"),
            Confirmation::Isolated => panic!("peers are within reach"),
        }
    }
    assert!(was_pending, "the pause was not noticed");
    let state = fleet.balancers[5].membership.confirmation();
    assert_eq!(state, Confirmation::Confirmed);
}

/// Guards against a process without any contact that waits for ever, or reports nothing.
#[test]
fn verify_isolated_process_says_so_and_recovers() {
    let mut fleet = settled(options());
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
