//! Callers that give up before their SYN is answered, as after an outage. Guards against their flows
//! keeping the slots of the host idle while other callers are queued.

use {
    cardamomloom_coordination::passthrough::{
        agent::{Action, Agent, AgentIdentity, AgentOptions},
        load::LoadControlOptions,
    },
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, CatalogueVersion, HostReport, HostReportState, RelayHeader, RouteEntry,
        RouteTarget, RunId, Segment, SegmentFlags, ServiceTag,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const SERVICE: &str = "service-0";
const SERVER: SocketAddrV4 = SocketAddrV4::new(AGENT, 80);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const SLOTS: u32 = 2;

fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port)
}

fn segment(port: u16, flags: SegmentFlags) -> Segment {
    Segment {
        source: caller(port),
        destination: SERVICE_ADDRESS,
        flags,
        sequence: 1,
        acknowledgment: 0,
        payload_bytes: 0,
        response_status: None,
    }
}

fn syn(port: u16) -> Segment {
    let flags = SegmentFlags {
        is_syn: true,
        ..SegmentFlags::default()
    };
    segment(port, flags)
}

fn request(port: u16) -> Segment {
    let flags = SegmentFlags {
        is_ack: true,
        ..SegmentFlags::default()
    };
    Segment {
        acknowledgment: 1_001,
        payload_bytes: 100,
        ..segment(port, flags)
    }
}

fn from_server(port: u16, flags: SegmentFlags, payload_bytes: u16) -> Segment {
    Segment {
        source: SERVICE_ADDRESS,
        destination: caller(port),
        sequence: 1_000,
        payload_bytes,
        ..segment(port, flags)
    }
}

fn relay(agent: &mut Agent, now: Time, segment: &Segment) -> Vec<Action> {
    let tag = ServiceTag::from(&SERVICE.parse().expect("valid name"));
    let balancer = Ipv4Addr::new(10, 0, 0, 1);
    let header = RelayHeader::from_balancer(balancer, tag, CatalogueVersion(1), RunId(1));
    let mut actions = Vec::new();
    agent.on_relayed(now, &header, segment, &[], &mut actions);
    actions
}

fn syn_ack(agent: &mut Agent, now: Time, port: u16) {
    let flags = SegmentFlags {
        is_syn: true,
        is_ack: true,
        ..SegmentFlags::default()
    };
    agent.on_server_packet(now, &from_server(port, flags, 0), &[], &mut Vec::new());
}

/// Returns an agent of a host with two slots that has answered one request within 30 ms.
fn agent() -> Agent {
    let identity = AgentIdentity {
        address: AGENT,
        process_run: RunId(1),
        service: SERVICE.parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        server: SERVER,
    };
    let options = AgentOptions {
        load_control: LoadControlOptions {
            rejects_late_flows: true,
            ..LoadControlOptions::default()
        },
        ..AgentOptions::default()
    };
    let mut agent = Agent::new(options, identity, &[], Time::ZERO);
    let route = RouteEntry {
        name: "route-0".into(),
        address: SERVICE_ADDRESS,
        targets: vec![RouteTarget {
            service: SERVICE.parse().expect("valid name"),
            weight: 1,
        }],
        is_idempotent: true,
        priority: 1,
        response_goal_ms: 300,
        timeout_ms: 1_500,
    };
    let catalogue = CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![route],
        ..CatalogueDocument::default()
    };
    agent.on_catalogue(Time::ZERO, catalogue);
    let report = HostReport {
        instance: "i-1".into(),
        started_unix_ms: Some(1),
        service: SERVICE.parse().expect("valid name"),
        address: SERVER,
        slots: SLOTS,
        state: HostReportState::Ready,
        cold_left_ms: 0,
        sequence: 1,
    };
    assert!(agent.on_report(Time::ZERO, &report, &mut Vec::new()));
    let opened = Time::from_millis(100);
    assert_eq!(relay(&mut agent, opened, &syn(1_000)), [Action::Deliver]);
    syn_ack(&mut agent, opened, 1_000);
    relay(&mut agent, Time::from_millis(106), &request(1_000));
    let flags = SegmentFlags {
        is_ack: true,
        ..SegmentFlags::default()
    };
    let response = from_server(1_000, flags, 100);
    agent.on_server_packet(Time::from_millis(136), &response, &[], &mut Vec::new());
    agent
}

/// Opens flows until SYNs are queued, and returns their number.
fn fill(agent: &mut Agent, now: Time, first_port: u16) -> u16 {
    (0..20)
        .take_while(|index| {
            let port = first_port + index;
            let is_accepted = relay(agent, now, &syn(port)) == [Action::Deliver];
            if is_accepted {
                syn_ack(agent, now, port);
            }
            is_accepted
        })
        .count()
        .try_into()
        .expect("at most 20")
}

#[test]
fn verify_that_flows_of_callers_that_gave_up_leave_room_for_others() {
    let mut agent = agent();
    let accepted = fill(&mut agent, Time::from_millis(200), 2_000);
    assert!((2..20).contains(&accepted), "{accepted}");
    // The callers of the accepted flows have given up and send nothing. 120 ms later the queued caller
    // gets the room, and so do as many new ones as before.
    let later = Time::from_millis(320);
    let mut actions = Vec::new();
    agent.deliver_queued_syns(later, &mut actions);
    assert!(
        matches!(actions[..], [Action::DeliverBuffered(_)]),
        "{actions:?}"
    );
    assert_eq!(fill(&mut agent, later, 3_000), accepted - 1);
    // A request that arrives late counts again.
    let waiting = agent.host_load(later).wait_ms;
    relay(&mut agent, later, &request(2_000));
    assert!(agent.host_load(later).wait_ms > waiting);
}
