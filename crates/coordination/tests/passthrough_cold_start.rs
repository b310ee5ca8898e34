//! SYNs for a cold host whose limit its agent does not know yet.
//!
//! Load pattern: after a loss of power callers return before the agents have a catalogue. Guards
//! against SYNs that are dropped, so that their callers wait for a retransmission, although the host
//! can take them a few milliseconds later; and against a cold host that gets them before its limit is
//! known.

use {
    cardamomloom_coordination::passthrough::agent::{Action, Agent, AgentIdentity, AgentOptions},
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, CatalogueVersion, HostReport, HostReportState, RelayHeader, RouteEntry,
        RouteTarget, RunId, Segment, SegmentFlags, ServiceEntry, ServiceTag,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const SERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 80);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

const fn at(time_ms: u64) -> Time {
    Time::from_millis(time_ms)
}

fn cold_agent() -> Agent {
    let identity = AgentIdentity {
        address: *SERVER.ip(),
        process_run: RunId(1),
        service: "service-0".parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        server: SERVER,
    };
    let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
    let report = HostReport {
        instance: "a".into(),
        service: "service-0".parse().expect("valid name"),
        address: SERVER,
        slots: 4,
        state: HostReportState::Ready,
        cold_left_ms: 2_000,
        sequence: 1,
        started_unix_ms: Some(1),
    };
    assert!(agent.on_report(at(1), &report, &mut Vec::new()));
    agent
}

fn catalogue(cold_flows_per_s: f64) -> CatalogueDocument {
    CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![RouteEntry {
            name: "route-0".into(),
            address: SERVICE_ADDRESS,
            targets: vec![RouteTarget {
                service: "service-0".parse().expect("valid name"),
                weight: 1,
            }],
            is_idempotent: true,
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
        }],
        services: vec![ServiceEntry {
            name: "service-0".parse().expect("valid name"),
            max_connections: 2_000,
            cold_flows_per_s,
            cold_for_ms: 2_000,
        }],
        idle_timeout_ms: 12_000,
    }
}

fn open_flow(agent: &mut Agent, time_ms: u64, port: u16) -> Vec<Action> {
    let syn = Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        destination: SERVICE_ADDRESS,
        flags: SegmentFlags {
            is_syn: true,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: 0,
        payload_bytes: 0,
        response_status: None,
    };
    let tag = ServiceTag::from(&"service-0".parse().expect("valid name"));
    let header =
        RelayHeader::from_balancer(Ipv4Addr::LOCALHOST, tag, CatalogueVersion(1), RunId(0));
    let mut actions = Vec::new();
    agent.on_relayed(at(time_ms), &header, &syn, &[7], &mut actions);
    actions
}

fn delivered(agent: &mut Agent, time_ms: u64) -> usize {
    let mut actions = Vec::new();
    agent.deliver_queued_syns(at(time_ms), &mut actions);
    let is_delivery = |action: &&Action| matches!(action, Action::DeliverBuffered(_));
    actions.iter().filter(is_delivery).count()
}

#[test]
fn verify_that_a_syn_waits_for_the_limit_of_a_cold_host() {
    let mut agent = cold_agent();
    for port in 1..=3 {
        assert_eq!(open_flow(&mut agent, 5, port), []);
    }
    assert_eq!(delivered(&mut agent, 50), 0, "the limit is unknown");
    agent.on_catalogue(Time::from_millis(50), catalogue(0.0));
    assert_eq!(delivered(&mut agent, 100), 3, "the host has no limit");
}

#[test]
fn verify_that_waiting_syns_count_against_the_limit_of_a_cold_host() {
    let mut agent = cold_agent();
    for port in 1..=8 {
        assert_eq!(open_flow(&mut agent, 5, port), []);
    }
    agent.on_catalogue(Time::ZERO, catalogue(20.0));
    assert_eq!(delivered(&mut agent, 100), 2, "20 flows a second for 0.1 s");
    assert_eq!(delivered(&mut agent, 150), 1);
}
