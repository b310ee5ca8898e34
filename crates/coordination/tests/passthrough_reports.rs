//! Lives of a backend server as an agent takes them: guards against a late report that ends the
//! flows of the present life, and against a backend server that is ignored because its clock went
//! back before it started.

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

fn is_taken(agent: &mut Agent, at_ms: u64, report: &HostReport) -> bool {
    agent.on_report(Time::from_millis(at_ms), report, &mut Vec::new())
}

#[test]
fn verify_that_a_late_report_of_an_earlier_life_is_not_taken() {
    let mut agent = agent();
    assert!(is_taken(&mut agent, 0, &report("a", 1_000, 1)));
    assert!(is_taken(&mut agent, 500, &report("b", 2_000, 1)));
    assert!(!is_taken(&mut agent, 600, &report("a", 1_000, 2)));
    let long_after = Span::from_secs(60).as_millis();
    assert!(
        !is_taken(&mut agent, long_after, &report("a", 1_000, 3)),
        "a life that ended does not return, however long its successor is silent"
    );
}

#[test]
fn verify_that_a_life_whose_clock_went_back_is_taken_after_the_silence_of_the_one_before() {
    let mut agent = agent();
    assert!(is_taken(&mut agent, 0, &report("a", 9_000, 1)));
    assert!(
        !is_taken(&mut agent, 700, &report("b", 4_000, 1)),
        "it may be a late report"
    );
    assert!(is_taken(&mut agent, 3_000, &report("b", 4_000, 4)));
    assert!(is_taken(&mut agent, 3_700, &report("b", 4_000, 5)));
    assert!(!is_taken(&mut agent, 3_800, &report("a", 9_000, 2)));
}
