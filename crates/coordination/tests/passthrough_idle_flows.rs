//! Flows that callers leave idle for a while. Guards against an agent that denies a flow which its
//! host still holds because its own table has forgotten it.

use {
    cardamomloom_coordination::passthrough::agent::{Action, Agent, AgentIdentity, AgentOptions},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, CatalogueVersion, HostReport, HostReportState, RelayHeader, RouteEntry,
        RouteTarget, RunId, Segment, SegmentFlags, ServiceTag,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SERVICE: &str = "service-0";
const SERVER: SocketAddrV4 = SocketAddrV4::new(AGENT, 80);
const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const OPENED: Time = Time::from_millis(100);

fn catalogue(idle_timeout_ms: u64) -> CatalogueDocument {
    CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![RouteEntry {
            name: "route-0".into(),
            address: SERVICE_ADDRESS,
            targets: vec![RouteTarget {
                service: SERVICE.parse().expect("valid name"),
                weight: 1,
            }],
            is_idempotent: false,
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
        }],
        services: Vec::new(),
        idle_timeout_ms,
    }
}

fn report(sequence: u64) -> HostReport {
    HostReport {
        instance: "i-1".into(),
        started_unix_ms: Some(1),
        service: SERVICE.parse().expect("valid name"),
        address: SERVER,
        slots: 4,
        state: HostReportState::Ready,
        cold_left_ms: 0,
        sequence,
    }
}

fn segment(flags: SegmentFlags) -> Segment {
    Segment {
        source: CALLER,
        destination: SERVICE_ADDRESS,
        flags,
        sequence: 1,
        acknowledgment: 0,
        payload_bytes: 0,
        response_status: None,
    }
}

fn from_caller() -> Segment {
    let flags = SegmentFlags {
        is_ack: true,
        ..SegmentFlags::default()
    };
    Segment {
        acknowledgment: 1_001,
        payload_bytes: 100,
        ..segment(flags)
    }
}

fn relay(agent: &mut Agent, now: Time, segment: &Segment) -> Vec<Action> {
    let tag = ServiceTag::from(&SERVICE.parse().expect("valid name"));
    let header = RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(1), RunId(1));
    let mut actions = Vec::new();
    agent.on_relayed(now, &header, segment, &[], &mut actions);
    actions
}

/// Returns an agent whose host holds one flow, opened at [`OPENED`], after reports and ticks until
/// `now`.
fn agent_with_flow(idle_timeout_ms: u64, now: Time) -> Agent {
    let identity = AgentIdentity {
        address: AGENT,
        process_run: RunId(1),
        service: SERVICE.parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        server: SERVER,
    };
    let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
    agent.on_catalogue(Time::ZERO, catalogue(idle_timeout_ms));
    let mut actions = Vec::new();
    assert!(agent.on_report(Time::ZERO, &report(1), &mut actions));
    let syn = segment(SegmentFlags {
        is_syn: true,
        ..SegmentFlags::default()
    });
    assert_eq!(relay(&mut agent, OPENED, &syn), [Action::Deliver]);
    let syn_ack = Segment {
        source: SERVICE_ADDRESS,
        destination: CALLER,
        sequence: 1_000,
        ..segment(SegmentFlags {
            is_syn: true,
            is_ack: true,
            ..SegmentFlags::default()
        })
    };
    agent.on_server_packet(OPENED, &syn_ack, &[], &mut actions);
    assert_eq!(relay(&mut agent, OPENED, &from_caller()), [Action::Deliver]);
    for sequence in 2..=now.as_millis() / 1_000 {
        let reported_at = Time::from_millis(sequence * 1_000);
        agent.on_report(reported_at, &report(sequence), &mut actions);
        agent.on_tick(reported_at);
    }
    agent
}

#[test]
fn verify_that_a_flow_is_delivered_while_its_host_may_hold_it() {
    for (idle_timeout_ms, idle_s) in [(15_000, 24), (15_000, 55), (30_000, 24), (0, 55)] {
        let now = OPENED + Span::from_secs(idle_s);
        let mut agent = agent_with_flow(idle_timeout_ms, now);
        assert_eq!(
            relay(&mut agent, now, &from_caller()),
            [Action::Deliver],
            "idle for {idle_s} s, timeout {idle_timeout_ms} ms"
        );
        assert_eq!(agent.counts().0, 1, "the flow is active again");
    }
}

#[test]
fn verify_that_idle_flows_count_as_active_until_the_timeout_of_the_catalogue() {
    for (idle_timeout_ms, idle_s, active) in [
        (15_000, 14, 1),
        (15_000, 24, 0),
        (30_000, 24, 1),
        (30_000, 40, 0),
        (0, 55, 1),
        (u64::MAX, 55, 1),
    ] {
        let agent = agent_with_flow(idle_timeout_ms, OPENED + Span::from_secs(idle_s));
        assert_eq!(
            agent.counts().0,
            active,
            "idle for {idle_s} s, timeout {idle_timeout_ms} ms"
        );
    }
}

#[test]
fn verify_that_an_agent_with_an_idle_flow_does_not_announce_that_it_holds_none() {
    let now = OPENED + Span::from_secs(30);
    let mut agent = agent_with_flow(15_000, now);
    agent.stop(now);
    assert!(agent.departure_messages(now).is_empty());
}

#[test]
fn verify_that_a_flow_older_than_any_flow_is_forgotten() {
    for idle_timeout_ms in [15_000, u64::MAX] {
        let now = OPENED + Span::from_secs(70);
        let mut agent = agent_with_flow(idle_timeout_ms, now);
        let actions = relay(&mut agent, now, &from_caller());
        assert!(!actions.contains(&Action::Deliver), "{actions:?}");
    }
}
