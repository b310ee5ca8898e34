//! Searches for the owner of a flow: guards against logs in which every agent of a service reports
//! the same lost flow.

use {
    cardamomloom_coordination::passthrough::agent::{
        Action, Agent, AgentIdentity, AgentOptions, DropReason,
    },
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{
        CatalogueVersion, RelayHeader, RelayKind, RunId, Segment, SegmentFlags, ServiceTag,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const OTHER_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

#[test]
fn verify_that_only_the_first_agent_reports_a_lost_flow() {
    let service = "service-0".parse().expect("valid name");
    let tag = ServiceTag::from(&service);
    let identity = AgentIdentity {
        address: AGENT,
        process_run: RunId(1),
        service,
        domain: "domain-0".parse().expect("valid name"),
        server: SocketAddrV4::new(AGENT, 80),
    };
    // The process has run for longer than any flow, so it knows all flows of its host.
    let now = Time::from_millis(120_000);
    let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
    let segment = Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024),
        destination: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        flags: SegmentFlags {
            is_ack: true,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: 1,
        payload_bytes: 0,
        response_status: None,
    };
    let forwarded = RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(1), RunId(1));
    let searched = forwarded
        .relayed_by(OTHER_AGENT, RelayKind::Search, RunId::default())
        .expect("room");
    for (header, reason) in [
        (forwarded, DropReason::UnknownFlow),
        (searched, DropReason::NotOwner),
    ] {
        let mut actions = Vec::new();
        agent.on_relayed(now, &header, &segment, &[], &mut actions);
        assert_eq!(actions, [Action::Drop(reason)]);
    }
}
