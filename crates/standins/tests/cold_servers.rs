//! Tests of slow start and admission with backend servers that are cold, fail or report a false
//! load. All parts run as processes.
//!
//! The capacity of a server is what the catalogue states: 32 connections when cold and 400 after
//! 10 s. With the sizes of the demonstration it would warm up faster than callers open flows.

mod common;

use {
    cardamomloom_protocol::object::SERVICES_PREFIX,
    cardamomloom_standins::{
        backend::{Behaviour, LoadAnswer, LoadReport, ServerCounts},
        demo::{Customer, Installation, Load, collect_summaries},
    },
    std::{
        io::{Error, Result},
        thread,
        time::{Duration, Instant},
    },
};

/// Index of the service under test.
const SERVICE: usize = 0;

/// Number of hosts of the service in a new installation.
const HOSTS: usize = 7;

/// Connections that a cold server can serve.
const COLD_CONNECTIONS: u32 = 32;

/// Connection slots of each host.
const SLOTS: u32 = 4;

/// Connections in each slot of a warm server.
const CONNECTIONS_PER_SLOT: u32 = 100;

/// Time in which a cold server becomes warm.
const WARM_MS: u64 = 10_000;

/// More flows than the cold servers of the service can serve together, opened faster than the
/// servers warm up.
const SURGE: Load = Load {
    flows: 600,
    requests_per_flow: 3,
    interval_ms: 1_500,
    open_over_ms: 200,
    timeout_ms: 15_000,
};

/// Fewer flows than the cold servers of the service can serve together.
const STEADY: Load = Load {
    flows: 140,
    requests_per_flow: 8,
    interval_ms: 1_500,
    open_over_ms: 1_000,
    timeout_ms: 15_000,
};

/// Returns the behaviour of a server that warms up as the catalogue states and overloads above its
/// capacity.
fn slow_start_behaviour(load: LoadAnswer) -> Behaviour {
    Behaviour {
        cold_connections: COLD_CONNECTIONS,
        full_connections: SLOTS * CONNECTIONS_PER_SLOT,
        warm_ms: WARM_MS,
        load,
        ..Behaviour::default()
    }
}

/// Starts an installation whose servers of [`SERVICE`] report the given loads.
fn start_installation(
    folder: &std::path::Path,
    loads: [LoadAnswer; HOSTS],
) -> Result<Installation> {
    let mut catalogue = Customer::Derwent.catalogue().map_err(Error::other)?;
    let service = format!(
        "{SERVICES_PREFIX}{}",
        Customer::Derwent.services()[SERVICE].name
    );
    for (_, value) in catalogue.iter_mut().filter(|(key, _)| *key == service) {
        value["slots_per_host"] = SLOTS.into();
        value["connections_per_slot"] = CONNECTIONS_PER_SLOT.into();
        value["slow_start_connections"] = COLD_CONNECTIONS.into();
        value["slow_start_ms"] = WARM_MS.into();
    }
    let installation = Installation::start_with_catalogue(Customer::Derwent, folder, catalogue)?;
    for (host, load) in loads.into_iter().enumerate() {
        installation.set_behaviour(SERVICE, host, slow_start_behaviour(load))?;
    }
    Ok(installation)
}

/// Returns the counters of the first `hosts` servers.
fn counts(installation: &Installation, hosts: usize) -> Result<Vec<ServerCounts>> {
    (0..hosts)
        .map(|host| installation.server_counts(SERVICE, host))
        .collect()
}

fn assert_no_overload(counts: &[ServerCounts]) {
    assert!(
        counts.iter().all(|count| count.overloads == 0),
        "a server was overloaded: {counts:?}"
    );
}

/// Waits at most 10 s until the counters of the first [`HOSTS`] servers satisfy a condition.
fn wait_until(
    installation: &Installation,
    condition: impl Fn(&[ServerCounts]) -> bool,
) -> Result<()> {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let counts = counts(installation, HOSTS)?;
        if condition(&counts) {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(Error::other(format!(
                "the servers do not satisfy the condition after 10 s: {counts:?}"
            )));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until the servers have accepted `total` connections together.
fn wait_for_accepted(installation: &Installation, total: u64) -> Result<()> {
    wait_until(installation, |counts| {
        counts.iter().map(|count| count.accepted).sum::<u64>() >= total
    })
}

/// Waits until every agent has read two more load reports.
///
/// Agents read a report every second, so the first of the two has taken effect by then.
fn wait_for_reports(installation: &Installation) -> Result<()> {
    let previous_counts = counts(installation, HOSTS)?;
    wait_until(installation, |counts| {
        let mut pairs = counts.iter().zip(&previous_counts);
        pairs.all(|(count, previous)| count.load_reads >= previous.load_reads + 2)
    })
}

/// Guards against an agent that admits a surge above the capacity of a server that has just started
/// (P3).
#[test]
fn verify_surge_overloads_no_cold_server() {
    let (callers, counts) = common::run_exclusively("cold", |folder| {
        let mut installation = start_installation(folder, [LoadAnswer::Truth; HOSTS])?;
        let callers = installation.start_callers(SERVICE, &SURGE)?;
        Ok((collect_summaries([callers])?, counts(&installation, HOSTS)?))
    });
    assert_no_overload(&counts);
    assert!(callers.ok > 0, "no flow was served: {callers:?}");
    assert_eq!(
        (callers.broken, callers.misdelivered),
        (0, 0),
        "{callers:?}"
    );
}

/// Guards against an agent that admits as much to a crashed server as before the crash (F2), and
/// against a crash that breaks flows of other servers.
#[test]
fn verify_crashed_server_loses_only_its_own_connections() {
    let (lost_connections, callers, counts) = common::run_exclusively("crash", |folder| {
        let mut installation = start_installation(folder, [LoadAnswer::Truth; HOSTS])?;
        let steady = installation.start_callers(SERVICE, &STEADY)?;
        wait_for_accepted(&installation, STEADY.flows as u64)?;
        let lost_connections = installation.server_counts(SERVICE, 0)?.accepted;
        installation.crash_server(SERVICE, 0)?;
        let surge = installation.start_callers(SERVICE, &SURGE)?;
        let callers = collect_summaries([steady, surge])?;
        Ok((lost_connections, callers, counts(&installation, HOSTS)?))
    });
    assert_no_overload(&counts);
    assert!(
        lost_connections > 0,
        "the server had no connection to lose when it crashed"
    );
    assert!(
        callers.broken <= lost_connections,
        "the server lost {lost_connections} connections: {callers:?}"
    );
    assert_eq!(callers.misdelivered, 0, "{callers:?}");
}

/// Guards against agents that rely on false load reports (F8): a server that reports no load or an
/// old load would be overloaded, and one that reports too much would shift its share to the others.
#[test]
fn verify_wrong_load_reports_overload_no_server() {
    let idle = LoadAnswer::False(LoadReport::default());
    let busy = LoadAnswer::False(LoadReport {
        load_ppm: 2_000_000,
        shedding: true,
    });
    let lagging = LoadAnswer::Lagging { lag_ms: 60_000 };
    let loads = [idle, idle, lagging, lagging, busy, LoadAnswer::Truth, busy];
    let (callers, counts) = common::run_exclusively("load", |folder| {
        let mut installation = start_installation(folder, loads)?;
        wait_for_reports(&installation)?;
        let callers = installation.start_callers(SERVICE, &SURGE)?;
        Ok((collect_summaries([callers])?, counts(&installation, HOSTS)?))
    });
    assert_no_overload(&counts);
    assert!(callers.ok > 0, "no flow was served: {callers:?}");
    assert_eq!(
        (callers.broken, callers.misdelivered),
        (0, 0),
        "{callers:?}"
    );
}

/// Guards against a joining host that receives its full share of flows while its server is cold,
/// and against a join that breaks flows of other hosts.
#[test]
fn verify_joining_cold_host_ramps_up() {
    let (callers, counts) = common::run_exclusively("join", |folder| {
        let mut installation = start_installation(folder, [LoadAnswer::Truth; HOSTS])?;
        let steady = installation.start_callers(SERVICE, &STEADY)?;
        installation.add_host(SERVICE, "tas-hobart")?;
        installation.set_behaviour(SERVICE, HOSTS, slow_start_behaviour(LoadAnswer::Truth))?;
        wait_for_accepted(&installation, STEADY.flows as u64 / 2)?;
        let surge = installation.start_callers(SERVICE, &SURGE)?;
        let callers = collect_summaries([steady, surge])?;
        Ok((callers, counts(&installation, HOSTS + 1)?))
    });
    assert_no_overload(&counts);
    assert!(
        counts[HOSTS].accepted > 0,
        "the joining host received no flow"
    );
    assert_eq!(
        (callers.broken, callers.misdelivered),
        (0, 0),
        "{callers:?}"
    );
}
