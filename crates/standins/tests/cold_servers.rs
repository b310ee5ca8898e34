//! Backend servers that are cold, fail or report a false load, as real processes.
//!
//! A server bears what the catalogue says: 32 connections when cold and 400 after 10 s. With the
//! sizes of the demonstration it would warm up faster than the callers can open flows.

mod common;

use {
    cardamomloom_protocol::object::SERVICES_PREFIX,
    cardamomloom_standins::{
        backend::{Behaviour, LoadAnswer, LoadReport, ServerCounts},
        demo::{Customer, Installation, Load, collect},
    },
    std::{
        io::{Error, Result},
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: usize = 0;
const HOSTS: usize = 7;
const COLD: u32 = 32;
const SLOTS: u32 = 4;
const PER_SLOT: u32 = 100;
const WARM_MS: u64 = 10_000;

/// More flows than the cold servers of the service bear together, faster than they warm up.
const SURGE: Load = Load {
    flows: 600,
    requests_per_flow: 3,
    interval_ms: 1_500,
    open_over_ms: 200,
    timeout_ms: 15_000,
};

/// Fewer flows than the cold servers of the service bear together.
const STEADY: Load = Load {
    flows: 140,
    requests_per_flow: 8,
    interval_ms: 1_500,
    open_over_ms: 1_000,
    timeout_ms: 15_000,
};

fn field_behaviour(load: LoadAnswer) -> Behaviour {
    Behaviour {
        cold_connections: COLD,
        full_connections: SLOTS * PER_SLOT,
        warm_ms: WARM_MS,
        load,
        ..Behaviour::default()
    }
}

fn start(folder: &std::path::Path, loads: [LoadAnswer; HOSTS]) -> Result<Installation> {
    let mut catalogue = Customer::Derwent.catalogue().map_err(Error::other)?;
    let service = format!(
        "{SERVICES_PREFIX}{}",
        Customer::Derwent.services()[SERVICE].name
    );
    for (_, value) in catalogue.iter_mut().filter(|(key, _)| *key == service) {
        value["slots_per_host"] = SLOTS.into();
        value["connections_per_slot"] = PER_SLOT.into();
        value["slow_start_connections"] = COLD.into();
        value["slow_start_ms"] = WARM_MS.into();
    }
    let installation = Installation::start_with(Customer::Derwent, folder, catalogue)?;
    for (host, load) in loads.into_iter().enumerate() {
        installation.set_behaviour(SERVICE, host, field_behaviour(load))?;
    }
    Ok(installation)
}

fn counts(installation: &Installation, hosts: usize) -> Result<Vec<ServerCounts>> {
    (0..hosts)
        .map(|host| installation.server_counts(SERVICE, host))
        .collect()
}

fn assert_no_overload(counts: &[ServerCounts]) {
    assert!(
        counts.iter().all(|count| count.overloads == 0),
        "{counts:?}"
    );
}

/// Waits until the counts of the first [`HOSTS`] servers satisfy a condition.
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
            return Err(Error::other(format!("state not reached: {counts:?}")));
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

/// Waits until every agent has read two more reports, 1 s apart, so that the first has taken effect.
fn wait_for_reports(installation: &Installation) -> Result<()> {
    let before = counts(installation, HOSTS)?;
    wait_until(installation, |counts| {
        let mut pairs = counts.iter().zip(&before);
        pairs.all(|(count, before)| count.load_reads >= before.load_reads + 2)
    })
}

/// Guards against a surge that gives a server that has just started more than it bears (P3).
#[test]
fn verify_cold_servers_are_not_overrun() {
    let (callers, counts) = common::exclusive("cold", |folder| {
        let mut installation = start(folder, [LoadAnswer::Truth; HOSTS])?;
        let callers = installation.start_callers(SERVICE, &SURGE)?;
        Ok((collect([callers])?, counts(&installation, HOSTS)?))
    });
    assert_no_overload(&counts);
    assert!(callers.ok > 0, "no flow was served: {callers:?}");
    assert_eq!(
        (callers.broken, callers.misdelivered),
        (0, 0),
        "{callers:?}"
    );
}

/// Guards against an agent that gives a server that failed its former load again (F2), and against
/// a failure that ends flows of other servers.
#[test]
fn verify_crashed_server_loses_only_its_own_connections() {
    let (lost, callers, counts) = common::exclusive("crash", |folder| {
        let mut installation = start(folder, [LoadAnswer::Truth; HOSTS])?;
        let steady = installation.start_callers(SERVICE, &STEADY)?;
        wait_for_accepted(&installation, STEADY.flows as u64)?;
        let lost = installation.server_counts(SERVICE, 0)?.accepted;
        installation.crash_server(SERVICE, 0)?;
        let surge = installation.start_callers(SERVICE, &SURGE)?;
        let callers = collect([steady, surge])?;
        Ok((lost, callers, counts(&installation, HOSTS)?))
    });
    assert_no_overload(&counts);
    assert!(lost > 0, "the server had no connection");
    assert!(callers.broken <= lost, "{lost} lost: {callers:?}");
    assert_eq!(callers.misdelivered, 0, "{callers:?}");
}

/// Guards against agents that believe a server that reports no load, reports an old load, or
/// reports more than it has and so moves its share to the others (F8).
#[test]
fn verify_wrong_load_reports_overload_no_server() {
    let idle = LoadAnswer::False(LoadReport::default());
    let busy = LoadAnswer::False(LoadReport {
        load_ppm: 2_000_000,
        shedding: true,
    });
    let late = LoadAnswer::Lagging { lag_ms: 60_000 };
    let loads = [idle, idle, late, late, busy, LoadAnswer::Truth, busy];
    let (callers, counts) = common::exclusive("load", |folder| {
        let mut installation = start(folder, loads)?;
        wait_for_reports(&installation)?;
        let callers = installation.start_callers(SERVICE, &SURGE)?;
        Ok((collect([callers])?, counts(&installation, HOSTS)?))
    });
    assert_no_overload(&counts);
    assert!(callers.ok > 0, "no flow was served: {callers:?}");
    assert_eq!(
        (callers.broken, callers.misdelivered),
        (0, 0),
        "{callers:?}"
    );
}

/// Guards against a joining host that gets its full share while cold, and against a join that
/// breaks flows of other hosts.
#[test]
fn verify_joining_cold_host_ramps_up() {
    let (callers, counts) = common::exclusive("join", |folder| {
        let mut installation = start(folder, [LoadAnswer::Truth; HOSTS])?;
        let steady = installation.start_callers(SERVICE, &STEADY)?;
        installation.add_host(SERVICE, "tas-hobart")?;
        installation.set_behaviour(SERVICE, HOSTS, field_behaviour(LoadAnswer::Truth))?;
        wait_for_accepted(&installation, STEADY.flows as u64 / 2)?;
        let surge = installation.start_callers(SERVICE, &SURGE)?;
        let callers = collect([steady, surge])?;
        Ok((callers, counts(&installation, HOSTS + 1)?))
    });
    assert_no_overload(&counts);
    assert!(counts[HOSTS].accepted > 0, "the host got no flow");
    assert_eq!(
        (callers.broken, callers.misdelivered),
        (0, 0),
        "{callers:?}"
    );
}
