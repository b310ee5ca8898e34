//! Membership under kills, cuts, pauses and loss (sections 9 and 16 of the design; F1, F5).

use {
    cardamomloom_core::Span,
    cardamomloom_protocol::control::HostState,
    cardamomloom_standins::control_plane::{Fleet, FleetOptions, Process},
};

const SETTLE: Span = Span::from_secs(20);
const DETECTION: Span = Span::from_secs(2);

fn settled(options: FleetOptions) -> Fleet {
    let mut fleet = Fleet::start(options);
    let settled = fleet.run_until(SETTLE, Fleet::are_all_hosts_ready);
    assert!(settled.is_some(), "the fleet does not settle");
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

/// Guards against a dead host that keeps receiving new flows for longer than 2 s.
#[test]
fn verify_killed_host_is_gone_everywhere_within_two_seconds() {
    let mut fleet = settled(two_regions());
    for host in [0, 7, 13, 22, 39] {
        fleet.agents[host].is_running = false;
        let time = fleet.run_until(Span::from_secs(10), |fleet| {
            fleet.all_balancers_see(host, HostState::Gone)
        });
        assert!(
            time.is_some_and(|time| time <= DETECTION),
            "host {host} was gone after {time:?}"
        );
    }
}

/// Guards against hosts that are removed because datagrams are lost or overtake each other.
#[test]
fn verify_loss_removes_no_live_host() {
    let mut fleet = settled(two_regions());
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

/// Guards against one balancer that cannot reach a host and removes it everywhere.
#[test]
fn verify_host_unreachable_from_one_witness_stays() {
    let mut fleet = settled(FleetOptions::default());
    fleet
        .partitioned_pairs
        .insert((Process::Balancer(0), Process::Agent(4)));
    let unreachable = fleet.run_until(Span::from_secs(5), |fleet| {
        fleet.balancers[0].membership.unreachable_hosts().count() == 1
    });
    assert!(unreachable.is_some(), "the cut is not noticed");
    for _ in 0..300 {
        fleet.run(Span::from_millis(100));
        assert!(
            fleet.all_balancers_see(4, HostState::Ready),
            "host 4 was removed"
        );
    }
    let host = fleet.agents[4].entry.host;
    let seen = fleet.balancers[0].membership.reachable_hosts();
    let state = seen.get(host).map(|entry| entry.state);
    assert_eq!(state, Some(HostState::Draining), "it takes new flows");
    fleet.partitioned_pairs.clear();
    let reachable = fleet.run_until(Span::from_secs(7), |fleet| {
        fleet.balancers[0].membership.unreachable_hosts().count() == 0
    });
    assert!(reachable.is_some(), "the end of the cut is not noticed");
}

/// Guards against regions that remove each other's hosts when they lose contact, or do not find
/// each other again.
#[test]
fn verify_parted_regions_go_on_and_rejoin() {
    let mut fleet = settled(two_regions());
    fleet.partitioned_regions.insert("n");
    fleet.run(Span::from_secs(5));
    // Host 0 is in the northern region, host 8 in the southern one.
    fleet.agents[0].is_running = false;
    fleet.agents[8].is_running = false;
    fleet.run(Span::from_secs(115));
    let dead = [0, 8];
    for host in (0..fleet.agents.len()).filter(|host| !dead.contains(host)) {
        assert!(
            fleet.all_balancers_see(host, HostState::Ready),
            "host {host} was removed while the regions were parted"
        );
    }
    let gone = |fleet: &Fleet, balancer: usize, host| {
        fleet.state_at(&fleet.balancers[balancer], host) == HostState::Gone
    };
    assert!(gone(&fleet, 0, 0), "the north keeps its own dead host");
    assert!(gone(&fleet, 2, 8), "the south keeps its own dead host");
    fleet.partitioned_regions.clear();
    let rejoined = fleet.run_until(Span::from_secs(20), |fleet| {
        let is_whole = fleet.running_balancers().all(|balancer| {
            ["a", "b", "c", "d"]
                .iter()
                .all(|d| !fleet.is_domain_down(balancer, d))
        });
        is_whole
            && fleet.is_converged()
            && dead
                .iter()
                .all(|h| fleet.all_balancers_see(*h, HostState::Gone))
    });
    assert!(rejoined.is_some(), "the regions do not rejoin");
    for host in (0..fleet.agents.len()).filter(|host| !dead.contains(host)) {
        assert!(
            fleet.all_balancers_see(host, HostState::Ready),
            "host {host} is missing"
        );
    }
}

/// Guards against a lost failure domain that is one removal and one table change per host.
#[test]
fn verify_lost_domain_is_one_event() {
    let mut fleet = settled(two_regions());
    let survivors: Vec<usize> = (0..12).filter(|index| index % 4 != 1).collect();
    for index in (1..12).step_by(4) {
        fleet.balancers[index].is_running = false;
    }
    let lost: Vec<usize> = (0..40).filter(|host| host / 4 % 4 == 1).collect();
    for host in &lost {
        fleet.agents[*host].is_running = false;
    }
    let before: Vec<u32> = fleet.balancers.iter().map(|b| b.table_rebuilds).collect();
    let time = fleet.run_until(Span::from_secs(10), |fleet| {
        fleet
            .running_balancers()
            .all(|balancer| fleet.is_domain_down(balancer, "b"))
    });
    assert!(
        time.is_some_and(|time| time <= Span::from_secs(3)),
        "{time:?}"
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
                "host {host} was removed alone"
            );
        }
        let changes = balancer.table_rebuilds - before[index];
        assert!(changes <= 3, "{changes} table changes at balancer {index}");
    }
    for index in (1..12).step_by(4) {
        fleet.start_balancer(index);
    }
    for host in &lost {
        fleet.start_agent(*host);
    }
    let returned = fleet.run_until(Span::from_secs(10), |fleet| {
        fleet.are_all_hosts_ready()
            && fleet
                .running_balancers()
                .all(|b| !fleet.is_domain_down(b, "b"))
    });
    assert!(returned.is_some(), "the failure domain does not return");
}

/// Guards against a host that is long gone and comes back through a balancer that was cut off.
#[test]
fn verify_forgotten_host_does_not_return() {
    let mut fleet = settled(FleetOptions {
        balancers: 4,
        ..FleetOptions::default()
    });
    fleet.partition_balancer(3);
    fleet.agents[2].is_running = false;
    fleet.run(Span::from_secs(90));
    let host = fleet.agents[2].entry.host;
    for index in 0..3 {
        let known = fleet.balancers[index].membership.hosts().get(host);
        assert_eq!(known, None, "balancer {index} has not forgotten the host");
    }
    let believed = fleet.state_at(&fleet.balancers[3], 2);
    assert_eq!(believed, HostState::Ready, "the cut is not effective");
    fleet.partitioned_pairs.clear();
    for _ in 0..300 {
        fleet.run(Span::from_millis(50));
        for index in 0..3 {
            let state = fleet.state_at(&fleet.balancers[index], 2);
            assert_eq!(
                state,
                HostState::Gone,
                "balancer {index} has the host again"
            );
        }
    }
    assert_eq!(fleet.state_at(&fleet.balancers[3], 2), HostState::Gone);
}

/// Guards against a balancer that removes hosts because it was paused itself.
#[test]
fn verify_paused_balancers_remove_nobody() {
    let mut fleet = settled(FleetOptions::default());
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

/// Guards against a restarted host that stays gone because of its earlier life, and against a
/// paused one that others believe dead for good.
#[test]
fn verify_restarted_and_resumed_hosts_return() {
    let mut fleet = settled(FleetOptions::default());
    fleet.agents[1].is_running = false;
    fleet.agents[5].paused_until = fleet.now + Span::from_secs(8);
    fleet.run(Span::from_secs(4));
    assert!(fleet.all_balancers_see(1, HostState::Gone));
    assert!(fleet.all_balancers_see(5, HostState::Gone));
    fleet.start_agent(1);
    fleet.run(Span::from_secs(4));
    let returned = fleet.run_until(Span::from_secs(3), Fleet::are_all_hosts_ready);
    assert!(returned.is_some(), "a host does not return");
}
