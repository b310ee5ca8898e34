//! Tests of the whole system, run as processes, under faults and planned changes.
//!
//! Each test starts about 25 processes, so the tests run one after another.

mod common;

use {
    cardamomloom_standins::{
        demo::{Customer, Installation, Load, Outcome, run_with_faults},
        fabric::Links,
        store::Faults,
    },
    nix::sys::signal::Signal,
    std::{
        io::{Error, Result},
        net::{TcpStream, UdpSocket},
        thread,
        time::{Duration, Instant},
    },
};

/// Runs callers of every service and calls `inject_faults` while they open flows.
fn run(
    name: &str,
    load: &Load,
    inject_faults: impl FnOnce(&mut Installation) -> Result<()>,
) -> Outcome {
    common::run_exclusively(name, |folder| {
        run_with_faults(Customer::Derwent, folder, load, inject_faults)
    })
}

/// Guards against flows that depend on one balancer: killing a balancer must not break a flow.
#[test]
fn verify_killed_balancer_breaks_no_flow() {
    let outcome = run("kill-balancer", &Load::default(), |installation| {
        installation.balancer(1)?.signal(Signal::SIGKILL)
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against a balancer that forwards old packets after a pause, which breaks flows or repeats
/// requests.
#[test]
fn verify_paused_balancer_breaks_no_flow() {
    let load = Load {
        requests_per_flow: 36,
        timeout_ms: 30_000,
        ..Load::default()
    };
    let outcome = run("pause-balancer", &load, |installation| {
        let balancer = installation.balancer(1)?;
        balancer.signal(Signal::SIGSTOP)?;
        thread::sleep(Duration::from_secs(20));
        balancer.signal(Signal::SIGCONT)
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against flows that break while their agent is paused, and against requests that then run
/// again on another host: other agents must not answer for an agent that may resume.
#[test]
fn verify_paused_agent_keeps_its_flows() {
    let load = Load {
        requests_per_flow: 36,
        timeout_ms: 45_000,
        ..Load::default()
    };
    let outcome = run("pause-agent", &load, |installation| {
        let agent = installation.agent(0, 1)?;
        agent.signal(Signal::SIGSTOP)?;
        thread::sleep(Duration::from_secs(20));
        agent.signal(Signal::SIGCONT)
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against a killed agent whose failure breaks flows of other hosts, and against requests of
/// its flows that run again on another host.
#[test]
fn verify_killed_agent_breaks_only_its_own_flows() {
    let mut own_flows = 0;
    let outcome = run("kill-agent", &Load::default(), |installation| {
        installation.agent(0, 2)?.signal(Signal::SIGKILL)?;
        // No flow has ended yet, so the connections that the backend server accepted are the
        // flows that the agent owned when it was killed.
        own_flows = installation.server_counts(0, 2)?.accepted;
        Ok(())
    });
    assert!(outcome.callers.broken <= own_flows, "{outcome:?}");
    assert_eq!(outcome.callers.refused, 0, "{outcome:?}");
    assert_eq!(outcome.callers.misdelivered, 0, "{outcome:?}");
    assert_eq!(outcome.duplicated, 0, "{outcome:?}");
}

/// Guards against a draining agent that exits while it has flows, or never exits.
#[test]
fn verify_drained_agent_ends_after_its_flows() {
    let outcome = run("drain-agent", &Load::default(), |installation| {
        installation.agent(0, 1)?.signal(Signal::SIGTERM)?;
        installation.wait_for_agent(0, 1, Duration::from_secs(40))
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against planned changes that break flows when they overlap: every balancer is replaced
/// while hosts drain and join.
#[test]
fn verify_overlapping_planned_changes_break_no_flow() {
    let load = Load {
        requests_per_flow: 20,
        ..Load::default()
    };
    let outcome = run("rolling", &load, |installation| {
        installation.add_host(0, "tas-hobart")?;
        installation.agent(0, 0)?.signal(Signal::SIGTERM)?;
        installation.replace_balancer(0)?;
        installation.add_host(0, "tas-devonport")?;
        installation.agent(0, 3)?.signal(Signal::SIGTERM)?;
        installation.replace_balancer(1)?;
        installation.agent(1, 0)?.signal(Signal::SIGTERM)?;
        installation.replace_balancer(2)
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against a data path that needs the store: the store is killed while flows are opened.
#[test]
fn verify_killed_store_breaks_no_flow() {
    let outcome = run("kill-store", &Load::default(), |installation| {
        installation.store().signal(Signal::SIGKILL)
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against flows that need ordered or complete delivery between processes: links lose 2 %
/// of the packets and reorder others while a balancer is replaced and a host drains.
#[test]
fn verify_lossy_links_break_no_flow() {
    let outcome = run("lossy", &Load::default(), |installation| {
        installation.set_links(Links {
            loss_ppm: 20_000,
            delay_ms: 3,
            jitter_ms: 4,
        })?;
        installation.replace_balancer(0)?;
        installation.agent(0, 0)?.signal(Signal::SIGTERM)
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against a data path that needs the store: the store answers every call with an error
/// while a host drains.
#[test]
fn verify_store_outage_breaks_no_flow() {
    let outcome = run("store-down", &Load::default(), |installation| {
        installation.agent(0, 0)?.signal(Signal::SIGTERM)?;
        installation.set_store_faults(Faults {
            down: true,
            ..Faults::default()
        })
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against a process that fails when any of its ports receives malformed data.
#[test]
fn verify_garbage_on_every_port_changes_nothing() {
    let outcome = run("garbage", &Load::default(), |installation| {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        for address in installation.daemon_addresses() {
            for length in [0, 1, 3, 20, 47, 48, 60, 200, 1_400] {
                let bytes: Vec<u8> = (0..=u8::MAX).cycle().step_by(37).take(length).collect();
                socket.send_to(&bytes, address)?;
            }
            if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200))
            {
                // The server may close the connection before the write ends, so errors are ignored.
                let _ = std::io::Write::write_all(&mut stream, &[0xff; 600]);
            }
        }
        Ok(())
    });
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Guards against agents that never hand over their flows to a new first candidate: hosts join and
/// drain under load, and every agent must confirm the handover to every other agent.
#[test]
fn verify_joining_hosts_learn_the_flows_of_others() {
    let load = Load {
        requests_per_flow: 24,
        ..Load::default()
    };
    let mut entries = 0;
    let outcome = run("join-hosts", &load, |installation| {
        let hosts = installation.services()[0].hosts;
        for domain in ["tas-hobart", "tas-launceston", "tas-devonport"] {
            installation.add_host(0, domain)?;
        }
        installation.replace_balancer(0)?;
        for host in hosts..hosts + 3 {
            entries += wait_for_handover(installation, host)?;
        }
        installation.agent(0, 1)?.signal(Signal::SIGTERM)
    });
    assert!(
        entries > 0,
        "the joining hosts received no flow entry by handover"
    );
    assert!(outcome.is_clean(), "{outcome:?}");
}

/// Waits at most 15 s until the handover to an agent is confirmed and complete, and returns the
/// number of flows of other agents in its directory.
fn wait_for_handover(installation: &Installation, host: usize) -> Result<u64> {
    let deadline = Instant::now() + Duration::from_secs(15);
    loop {
        let status = installation.agent_status(0, host);
        if let Ok(status) = &status
            && status["handover"]["authoritative"] == true
            && status["handover"]["confirmed"] == true
        {
            let entries = &status["handover"]["directory_entries"];
            return Ok(entries.as_u64().unwrap_or_default());
        }
        if Instant::now() > deadline {
            return Err(Error::other(format!(
                "host {host}: handover not confirmed after 15 s: {status:?}"
            )));
        }
        thread::sleep(Duration::from_millis(50));
    }
}
