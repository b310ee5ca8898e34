//! Runs of a backend server as an agent distinguishes them. Guards against a late report of an
//! earlier run that resets the flows of the current one, and against a backend server whose reports
//! are rejected because its clock was set back before it started.

use {
    cardamomloom_coordination::passthrough::agent::{Agent, AgentIdentity, AgentOptions},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{HostReport, HostReportState, RunId},
    std::net::{Ipv4Addr, SocketAddrV4},
};

const SERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80);

fn agent() -> Agent {
    let identity = AgentIdentity {
        address: *SERVER.ip(),
        process_run: RunId(1),
        service: "service-0".parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        server: SERVER,
    };
    Agent::new(AgentOptions::default(), identity, &[], Time::ZERO)
}

fn report(instance: &str, started_unix_ms: u64, sequence: u64) -> HostReport {
    HostReport {
        instance: instance.into(),
        service: "service-0".parse().expect("valid name"),
        address: SERVER,
        slots: 4,
        state: HostReportState::Ready,
        cold_left_ms: 0,
        sequence,
        started_unix_ms: Some(started_unix_ms),
    }
}

fn is_accepted(agent: &mut Agent, at_ms: u64, report: &HostReport) -> bool {
    agent.on_report(Time::from_millis(at_ms), report, &mut Vec::new())
}

#[test]
fn verify_that_a_late_report_of_an_earlier_run_is_rejected() {
    let mut agent = agent();
    assert!(is_accepted(&mut agent, 0, &report("a", 1_000, 1)));
    assert!(is_accepted(&mut agent, 500, &report("b", 2_000, 1)));
    assert!(!is_accepted(&mut agent, 600, &report("a", 1_000, 2)));
    let long_after = Span::from_secs(60).as_millis();
    assert!(
        !is_accepted(&mut agent, long_after, &report("a", 1_000, 3)),
        "a run that ended is not accepted again, however long the current one has not reported"
    );
}

#[test]
fn verify_that_a_run_with_an_earlier_start_time_is_accepted_after_the_report_timeout() {
    let mut agent = agent();
    assert!(is_accepted(&mut agent, 0, &report("a", 9_000, 1)));
    assert!(
        !is_accepted(&mut agent, 700, &report("b", 4_000, 1)),
        "within the report timeout it may be a late report"
    );
    assert!(is_accepted(&mut agent, 3_000, &report("b", 4_000, 4)));
    assert!(is_accepted(&mut agent, 3_700, &report("b", 4_000, 5)));
    assert!(!is_accepted(&mut agent, 3_800, &report("a", 9_000, 2)));
}
