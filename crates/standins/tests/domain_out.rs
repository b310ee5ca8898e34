//! Takes a failure domain out while a balancer and an agent, which run as processes, are paused.

use {
    cardamomloom_standins::demo::{Customer, Installation, Load, run_with_faults},
    nix::sys::signal::Signal,
    std::{env, fs, io::Result, thread, time::Duration},
};

/// Bound of promise P4: time after which a failure domain that is out receives no packets.
const TRAFFIC_BOUND: Duration = Duration::from_secs(3);

const DOMAIN: &str = "tas-launceston";

/// Service and index of each host in [`DOMAIN`], which has every third host of a service.
const HOSTS: [(usize, usize); 3] = [(0, 1), (0, 4), (1, 1)];

const PAUSED_BALANCER: usize = 0;
const PAUSED_AGENT: (usize, usize) = (0, 4);

/// Packets, requests and flows after the paused processes resumed.
#[derive(Debug, Default)]
struct Observations {
    /// Packets that hosts in the failure domain received and dropped after the bound.
    late_packets: f64,
    /// Requests that the backend server of the paused agent ran after the agent resumed.
    late_requests: u64,
    /// Packets that the paused processes dropped because their versions were not confirmed after
    /// the pause.
    stale_packets: f64,
    /// Open flows of the hosts in the failure domain at the end.
    open_flows: u64,
}

/// Returns the number of packets that the hosts in [`DOMAIN`] dropped because it is out.
fn dropped_packets_in_domain(installation: &Installation) -> Result<f64> {
    let mut packets = 0.0;
    for (service, host) in HOSTS {
        let prefix = "cardamomloom_dropped_packets_total{cause=\"domain_out\"}";
        packets += installation.metric(Some(service), host, prefix)?;
    }
    Ok(packets)
}

/// Pauses a balancer and an agent, takes [`DOMAIN`] out and resumes them one after the other.
fn take_domain_out_during_pause(installation: &Installation) -> Result<Observations> {
    let balancer = installation.balancer(PAUSED_BALANCER)?;
    let agent = installation.agent(PAUSED_AGENT.0, PAUSED_AGENT.1)?;
    balancer.signal(Signal::SIGSTOP)?;
    agent.signal(Signal::SIGSTOP)?;
    // Packets of callers queue in the sockets of the paused processes during this time.
    thread::sleep(Duration::from_millis(800));
    installation.set_domain_out(DOMAIN, true)?;
    let previous_requests = installation.executed_requests(PAUSED_AGENT.0, PAUSED_AGENT.1)?;
    thread::sleep(TRAFFIC_BOUND);
    let mut observed = Observations::default();
    agent.signal(Signal::SIGCONT)?;
    thread::sleep(Duration::from_millis(500));
    let previous_packets = dropped_packets_in_domain(installation)?;
    balancer.signal(Signal::SIGCONT)?;
    thread::sleep(TRAFFIC_BOUND);
    observed.late_packets = dropped_packets_in_domain(installation)? - previous_packets;
    observed.late_requests =
        installation.executed_requests(PAUSED_AGENT.0, PAUSED_AGENT.1)? - previous_requests;
    let stale_prefix = "cardamomloom_dropped_packets_total{cause=\"stale\"}";
    observed.stale_packets = installation.metric(None, PAUSED_BALANCER, stale_prefix)?
        + installation.metric(Some(PAUSED_AGENT.0), PAUSED_AGENT.1, stale_prefix)?;
    for (service, host) in HOSTS {
        let status = installation.agent_status(service, host)?;
        observed.open_flows += status["open_flows"].as_u64().unwrap_or(u64::MAX);
    }
    Ok(observed)
}

/// Guards against a process that resumes from a pause and forwards to, or serves in, a failure
/// domain that went out meanwhile.
#[test]
fn verify_domain_out_receives_no_traffic_after_a_pause() {
    let folder = env::temp_dir().join(format!("cardamomloom-domain-{}", std::process::id()));
    let mut observed = Observations::default();
    let load = Load::default();
    let outcome = run_with_faults(Customer::Derwent, &folder, &load, |installation| {
        observed = take_domain_out_during_pause(installation)?;
        Ok(())
    });
    let _ = fs::remove_dir_all(&folder);
    let outcome = outcome.expect("every process starts, answers and exits in time");
    assert!(observed.late_packets.abs() < 0.5, "{observed:?}");
    assert_eq!(
        (observed.late_requests, observed.open_flows),
        (0, 0),
        "{observed:?}"
    );
    assert!(
        observed.stale_packets > 0.5,
        "no paused process dropped the packets that queued during the pause: {observed:?}"
    );
    assert_eq!(outcome.callers.misdelivered, 0, "{outcome:?}");
    assert_eq!(outcome.duplicated, 0, "{outcome:?}");
}
