//! Tests of membership under crashes, partitions, pauses and packet loss (sections 9 and 16 of the
//! design; F1, F5).

use {
    cardamomloom_core::Span,
    cardamomloom_protocol::control::HostState,
    cardamomloom_standins::control_plane::{Fleet, FleetOptions, Process},
};

const SETTLE_TIMEOUT: Span = Span::from_secs(20);
const MAX_DETECTION_SPAN: Span = Span::from_secs(2);

fn settled_fleet(options: FleetOptions) -> Fleet {
    let mut fleet = Fleet::start(options);
    let settle_time = fleet.run_until(SETTLE_TIMEOUT, Fleet::are_all_hosts_ready);
    assert!(settle_time.is_some(), "not all hosts became ready");
    fleet.run(Span::from_secs(3));
    fleet
}

fn two_regions() -> FleetOptions {
    FleetOptions {
        domains: vec![("a", "n"), ("b", "n"), ("c", "s"), ("d", "s")],
        balancers: 12,
        hosts: 40,
        services: 4,
        ..FleetOptions::default()
    }
}

/// Guards against a crashed host that still receives new flows after 2 s.
#[test]
fn verify_killed_host_is_gone_everywhere_within_two_seconds() {
    let mut fleet = settled_fleet(two_regions());
    for host in [0, 7, 13, 22, 39] {
        fleet.agents[host].is_running = false;
        let time = fleet.run_until(Span::from_secs(10), |fleet| {
            fleet.all_balancers_see(host, HostState::Gone)
        });
        assert!(
            time.is_some_and(|time| time <= MAX_DETECTION_SPAN),
            "host {host} was gone after {time:?}"
        );
    }
}

/// Guards against the removal of live hosts because datagrams are lost or reordered.
#[test]
fn verify_loss_removes_no_live_host() {
    let mut fleet = settled_fleet(two_regions());
    for _ in 0..600 {
        fleet.run(Span::from_millis(100));
        for host in 0..fleet.agents.len() {
            assert!(
                fleet.all_balancers_see(host, HostState::Ready),
                "host {host} is not ready at {}",
                fleet.now
            );
        }
    }
}

/// Guards against the removal of a host that only one of its observers cannot reach.
#[test]
fn verify_host_unreachable_from_one_observer_stays() {
    let mut fleet = settled_fleet(FleetOptions::default());
    fleet
        .partitioned_pairs
        .insert((Process::Balancer(0), Process::Agent(4)));
    let unreachable = fleet.run_until(Span::from_secs(5), |fleet| {
        fleet.balancers[0].membership.unreachable_hosts().count() == 1
    });
    assert!(
        unreachable.is_some(),
        "balancer 0 did not detect that host 4 is unreachable"
    );
    for _ in 0..300 {
        fleet.run(Span::from_millis(100));
        assert!(
            fleet.all_balancers_see(4, HostState::Ready),
            "host 4 was removed"
        );
    }
    let host = fleet.agents[4].entry.host;
    let reachable_hosts = fleet.balancers[0].membership.reachable_hosts();
    let state = reachable_hosts.get(host).map(|entry| entry.state);
    assert_eq!(
        state,
        Some(HostState::Draining),
        "balancer 0 still sends new flows to host 4"
    );
    fleet.partitioned_pairs.clear();
    let reachable = fleet.run_until(Span::from_secs(7), |fleet| {
        fleet.balancers[0].membership.unreachable_hosts().count() == 0
    });
    assert!(
        reachable.is_some(),
        "balancer 0 did not detect that host 4 is reachable again"
    );
}

/// Guards against regions that remove each other's hosts during a partition, or that do not merge
/// again after it.
#[test]
fn verify_partitioned_regions_keep_their_hosts_and_merge() {
    let mut fleet = settled_fleet(two_regions());
    fleet.partitioned_regions.insert("n");
    fleet.run(Span::from_secs(5));
    // Host 0 is in the northern region, host 8 in the southern one.
    fleet.agents[0].is_running = false;
    fleet.agents[8].is_running = false;
    fleet.run(Span::from_secs(115));
    let crashed = [0, 8];
    for host in (0..fleet.agents.len()).filter(|host| !crashed.contains(host)) {
        assert!(
            fleet.all_balancers_see(host, HostState::Ready),
            "host {host} was removed during the partition"
        );
    }
    let gone = |fleet: &Fleet, balancer: usize, host| {
        fleet.state_at(&fleet.balancers[balancer], host) == HostState::Gone
    };
    assert!(
        gone(&fleet, 0, 0),
        "the northern region did not remove its crashed host"
    );
    assert!(
        gone(&fleet, 2, 8),
        "the southern region did not remove its crashed host"
    );
    fleet.partitioned_regions.clear();
    let merged = fleet.run_until(Span::from_secs(20), |fleet| {
        let no_domain_is_lost = fleet.running_balancers().all(|balancer| {
            ["a", "b", "c", "d"]
                .iter()
                .all(|d| !fleet.is_domain_down(balancer, d))
        });
        no_domain_is_lost
            && fleet.is_converged()
            && crashed
                .iter()
                .all(|h| fleet.all_balancers_see(*h, HostState::Gone))
    });
    assert!(
        merged.is_some(),
        "the regions did not merge after the partition"
    );
    for host in (0..fleet.agents.len()).filter(|host| !crashed.contains(host)) {
        assert!(
            fleet.all_balancers_see(host, HostState::Ready),
            "host {host} is not ready after the regions merged"
        );
    }
}

/// Guards against the loss of a failure domain causing a removal and a table change for every host.
#[test]
fn verify_lost_domain_is_one_event() {
    let mut fleet = settled_fleet(two_regions());
    let survivors: Vec<usize> = (0..12).filter(|index| index % 4 != 1).collect();
    for index in (1..12).step_by(4) {
        fleet.balancers[index].is_running = false;
    }
    let lost: Vec<usize> = (0..40).filter(|host| host / 4 % 4 == 1).collect();
    for host in &lost {
        fleet.agents[*host].is_running = false;
    }
    let previous_changes: Vec<u32> = fleet.balancers.iter().map(|b| b.table_rebuilds).collect();
    let time = fleet.run_until(Span::from_secs(10), |fleet| {
        fleet
            .running_balancers()
            .all(|balancer| fleet.is_domain_down(balancer, "b"))
    });
    assert!(
        time.is_some_and(|time| time <= Span::from_secs(3)),
        "the failure domain was declared lost after {time:?}"
    );
    fleet.run(Span::from_secs(5));
    for index in survivors {
        let balancer = &fleet.balancers[index];
        let hosts = balancer.membership.hosts();
        for host in &lost {
            let entry = hosts.get(fleet.agents[*host].entry.host);
            let state = entry.map(|entry| entry.state);
            assert_eq!(
                state,
                Some(HostState::Ready),
                "host {host} was removed on its own"
            );
        }
        let changes = balancer.table_rebuilds - previous_changes[index];
        assert!(changes <= 3, "{changes} table changes at balancer {index}");
    }
    for index in (1..12).step_by(4) {
        fleet.start_balancer(index);
    }
    for host in &lost {
        fleet.start_agent(*host);
    }
    let recovery_time = fleet.run_until(Span::from_secs(10), |fleet| {
        fleet.are_all_hosts_ready()
            && fleet
                .running_balancers()
                .all(|b| !fleet.is_domain_down(b, "b"))
    });
    assert!(recovery_time.is_some(), "the failure domain did not return");
}

/// Guards against a balancer that was partitioned bringing back a host that is long gone.
#[test]
fn verify_removed_host_does_not_return() {
    let mut fleet = settled_fleet(FleetOptions {
        balancers: 4,
        ..FleetOptions::default()
    });
    fleet.partition_balancer(3);
    fleet.agents[2].is_running = false;
    fleet.run(Span::from_secs(90));
    let host = fleet.agents[2].entry.host;
    for index in 0..3 {
        let known = fleet.balancers[index].membership.hosts().get(host);
        assert_eq!(known, None, "balancer {index} did not remove the gone host");
    }
    let known_state = fleet.state_at(&fleet.balancers[3], 2);
    assert_eq!(
        known_state,
        HostState::Ready,
        "balancer 3 is not partitioned"
    );
    fleet.partitioned_pairs.clear();
    for _ in 0..300 {
        fleet.run(Span::from_millis(50));
        for index in 0..3 {
            let state = fleet.state_at(&fleet.balancers[index], 2);
            assert_eq!(
                state,
                HostState::Gone,
                "balancer {index} added the gone host again"
            );
        }
    }
    assert_eq!(fleet.state_at(&fleet.balancers[3], 2), HostState::Gone);
}

/// Guards against a balancer that removes live hosts because it was paused itself.
#[test]
fn verify_paused_balancers_remove_no_host() {
    let mut fleet = settled_fleet(FleetOptions::default());
    let until = fleet.now + Span::from_secs(30);
    for index in 0..2 {
        fleet.balancers[index].paused_until = until;
    }
    for _ in 0..400 {
        fleet.run(Span::from_millis(100));
        for host in 0..10 {
            let state = fleet.state_at(&fleet.balancers[2], host);
            assert_eq!(state, HostState::Ready, "host {host} was removed");
        }
    }
    assert!(fleet.are_all_hosts_ready());
}

/// Guards against a restarted host that stays gone because of its previous run, and against a host
/// that stays gone although it was only paused.
#[test]
fn verify_restarted_and_resumed_hosts_return() {
    let mut fleet = settled_fleet(FleetOptions::default());
    fleet.agents[1].is_running = false;
    fleet.agents[5].paused_until = fleet.now + Span::from_secs(8);
    fleet.run(Span::from_secs(4));
    assert!(fleet.all_balancers_see(1, HostState::Gone));
    assert!(fleet.all_balancers_see(5, HostState::Gone));
    fleet.start_agent(1);
    fleet.run(Span::from_secs(4));
    let recovery_time = fleet.run_until(Span::from_secs(3), Fleet::are_all_hosts_ready);
    assert!(
        recovery_time.is_some(),
        "the restarted or the resumed host did not become ready"
    );
}
