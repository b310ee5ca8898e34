//! A failure domain goes out while processes are paused, as real processes.

use {
    cardamomloom_standins::demo::{Customer, Installation, Load, run_with},
    nix::sys::signal::Signal,
    std::{env, fs, io::Result, thread, time::Duration},
};

/// Bound of promise P4: no more packets after this time.
const QUIET: Duration = Duration::from_secs(3);

const DOMAIN: &str = "tas-launceston";

/// Service and index of the hosts in [`DOMAIN`]: every third host of each service.
const HOSTS: [(usize, usize); 3] = [(0, 1), (0, 4), (1, 1)];

const PAUSED_BALANCER: usize = 0;
const PAUSED_AGENT: (usize, usize) = (0, 4);

/// What was seen after the paused processes resumed.
#[derive(Debug, Default)]
struct Seen {
    /// Packets for hosts in the failure domain after the bound.
    late_packets: f64,
    /// Requests that the server beside the paused agent ran after it resumed.
    late_requests: u64,
    /// Packets that the paused processes dropped because their versions were not confirmed.
    stale: f64,
    /// Open flows of the hosts in the failure domain.
    open_flows: u64,
}

fn packets_at_hosts(installation: &Installation) -> Result<f64> {
    let mut packets = 0.0;
    for (service, host) in HOSTS {
        let prefix = "cardamomloom_dropped_packets_total{cause=\"domain_out\"}";
        packets += installation.metric(Some(service), host, prefix)?;
    }
    Ok(packets)
}

fn take_out(installation: &Installation) -> Result<Seen> {
    let balancer = installation.balancer(PAUSED_BALANCER)?;
    let agent = installation.agent(PAUSED_AGENT.0, PAUSED_AGENT.1)?;
    balancer.signal(Signal::SIGSTOP)?;
    agent.signal(Signal::SIGSTOP)?;
    // Packets of callers collect in the sockets of the paused processes meanwhile.
    thread::sleep(Duration::from_millis(800));
    installation.set_domain(DOMAIN, true)?;
    let executed = installation.executed(PAUSED_AGENT.0, PAUSED_AGENT.1)?;
    thread::sleep(QUIET);
    let mut seen = Seen::default();
    agent.signal(Signal::SIGCONT)?;
    thread::sleep(Duration::from_millis(500));
    let before = packets_at_hosts(installation)?;
    balancer.signal(Signal::SIGCONT)?;
    thread::sleep(QUIET);
    seen.late_packets = packets_at_hosts(installation)? - before;
    seen.late_requests = installation.executed(PAUSED_AGENT.0, PAUSED_AGENT.1)? - executed;
    let stale = "cardamomloom_dropped_packets_total{cause=\"stale\"}";
    seen.stale = installation.metric(None, PAUSED_BALANCER, stale)?
        + installation.metric(Some(PAUSED_AGENT.0), PAUSED_AGENT.1, stale)?;
    for (service, host) in HOSTS {
        let status = installation.agent_status(service, host)?;
        seen.open_flows += status["open_flows"].as_u64().unwrap_or(u64::MAX);
    }
    Ok(seen)
}

/// Guards against a process that resumes from a pause and forwards to, or serves in, a failure
/// domain that went out meanwhile.
#[test]
fn verify_domain_out_is_quiet_after_a_pause() {
    let folder = env::temp_dir().join(format!("cardamomloom-domain-{}", std::process::id()));
    let mut seen = Seen::default();
    let load = Load::default();
    let outcome = run_with(Customer::Derwent, &folder, &load, |installation| {
        seen = take_out(installation)?;
        Ok(())
    });
    let _ = fs::remove_dir_all(&folder);
    let outcome = outcome.expect("all processes start and end");
    assert!(seen.late_packets.abs() < 0.5, "{seen:?}");
    assert_eq!((seen.late_requests, seen.open_flows), (0, 0), "{seen:?}");
    assert!(seen.stale > 0.5, "the pause held packets back: {seen:?}");
    assert_eq!(outcome.callers.misdelivered, 0, "{outcome:?}");
    assert_eq!(outcome.duplicated, 0, "{outcome:?}");
}
