//! Open flows whose route changes its targets. Guards against packets of open flows that are
//! forwarded by the present targets of their route, and against resets of flows that a host of a
//! former target holds.

use {
    cardamomloom_coordination::passthrough::{
        agent::{Action, Agent, AgentIdentity, AgentOptions},
        balancer::{Balancer, BalancerOptions, ForwardingDecision},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            Announcement, CatalogueDocument, CatalogueVersion, FlowOwner, PeerMessage, RelayHeader,
            RouteEntry, RouteTarget, RunId, Segment, SegmentFlags, ServiceTag,
        },
    },
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddrV4},
    },
};

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const FORMER_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const PRESENT_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 1, 1);
const FORMER_SERVICE: &str = "service-0";
const PRESENT_SERVICE: &str = "service-1";
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn catalogue(version: u64, targets: &[(&str, u32)]) -> CatalogueDocument {
    let targets = targets.iter().map(|(service, weight)| RouteTarget {
        service: service.parse().expect("valid name"),
        weight: *weight,
    });
    CatalogueDocument {
        version: CatalogueVersion(version),
        routes: vec![RouteEntry {
            name: "route-0".into(),
            address: SERVICE_ADDRESS,
            targets: targets.collect(),
            is_idempotent: false,
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
        }],
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    }
}

fn announcement(agent: Ipv4Addr, service: &str, process: u64, run: u64) -> Announcement {
    Announcement {
        agent,
        process: RunId(process),
        sequence: 1,
        revision: 1,
        service: service.parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        run: RunId(run),
        state: HostState::Ready,
        catalogue: CatalogueVersion(1),
        interval_ms: 250,
        rerouted_addresses: Vec::new(),
        asks_hosts: None,
    }
}

/// Returns a balancer that knows a host of each service.
fn balancer(targets: &[(&str, u32)]) -> Balancer {
    let mut balancer = Balancer::new(BalancerOptions::default(), BALANCER, &[], Time::ZERO);
    balancer.on_catalogue(Time::ZERO, catalogue(1, targets));
    for (agent, service) in [
        (FORMER_AGENT, FORMER_SERVICE),
        (PRESENT_AGENT, PRESENT_SERVICE),
    ] {
        announce(
            &mut balancer,
            Time::ZERO,
            announcement(agent, service, 1, 1),
        );
    }
    balancer
}

fn announce(balancer: &mut Balancer, now: Time, announcement: Announcement) {
    balancer.on_message(now, PeerMessage::Announcement(announcement));
}

fn segment(is_syn: bool) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024),
        destination: SERVICE_ADDRESS,
        flags: SegmentFlags {
            is_syn,
            is_ack: !is_syn,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: if is_syn { 0 } else { 77 },
        payload_bytes: if is_syn { 0 } else { 100 },
        response_status: None,
    }
}

fn tag(service: &str) -> ServiceTag {
    ServiceTag::from(&service.parse().expect("valid name"))
}

/// Returns the agents, with the tags of the services, that a packet of an open flow is forwarded to.
/// Agents that get copies know it from the header.
fn receivers(balancer: &mut Balancer, now: Time) -> BTreeSet<(Ipv4Addr, u32)> {
    let hops = match balancer.on_packet(now, &segment(false)) {
        ForwardingDecision::Forward { to, header } => vec![(to, header)],
        ForwardingDecision::ForwardCopies(copies) => copies,
        other => panic!("not forwarded: {other:?}"),
    };
    let is_shared = hops.len() > 1;
    let hops = hops.into_iter().map(|(to, header)| {
        assert!(header.has_copies || !is_shared);
        (to, header.service.0)
    });
    hops.collect()
}

fn former_host() -> (Ipv4Addr, u32) {
    (FORMER_AGENT, tag(FORMER_SERVICE).0)
}

fn present_host() -> (Ipv4Addr, u32) {
    (PRESENT_AGENT, tag(PRESENT_SERVICE).0)
}

#[test]
fn verify_that_a_cached_flow_keeps_the_service_of_its_host() {
    let mut balancer = balancer(&[(FORMER_SERVICE, 1)]);
    let syn = balancer.on_packet(Time::from_millis(10), &segment(true));
    assert!(matches!(syn, ForwardingDecision::Forward { to, .. } if to == FORMER_AGENT));
    let change = Time::from_millis(1_000);
    balancer.on_catalogue(change, catalogue(2, &[(PRESENT_SERVICE, 1)]));
    let hops = receivers(&mut balancer, change);
    assert_eq!(hops, BTreeSet::from([former_host()]));
}

#[test]
fn verify_that_an_unknown_flow_is_looked_up_at_every_target() {
    // A target without weight gets no new flows and keeps its open ones.
    for weights in [[90, 10], [0, 1], [0, 0]] {
        let targets = [(FORMER_SERVICE, weights[0]), (PRESENT_SERVICE, weights[1])];
        let hops = receivers(&mut balancer(&targets), Time::from_millis(10));
        assert_eq!(
            hops,
            BTreeSet::from([former_host(), present_host()]),
            "{weights:?}"
        );
    }
}

#[test]
fn verify_that_a_former_target_is_asked_while_its_flows_may_be_open() {
    let mut balancer = balancer(&[(FORMER_SERVICE, 1)]);
    balancer.on_catalogue(
        Time::from_millis(1_000),
        catalogue(2, &[(PRESENT_SERVICE, 1)]),
    );
    let hops = receivers(&mut balancer, Time::from_millis(1_010));
    assert_eq!(hops, BTreeSet::from([former_host(), present_host()]));
    // No flow is older than 60 s.
    let hops = receivers(&mut balancer, Time::from_millis(61_001));
    assert_eq!(hops, BTreeSet::from([present_host()]));
}

#[test]
fn verify_that_a_balancer_learns_of_rerouted_flows_from_their_agents() {
    // This balancer has not seen the catalogue that routed the address to the former service.
    let mut balancer = balancer(&[(PRESENT_SERVICE, 1)]);
    let now = Time::from_millis(100);
    assert_eq!(
        receivers(&mut balancer, now),
        BTreeSet::from([present_host()])
    );
    let holding = Announcement {
        sequence: 2,
        revision: 2,
        rerouted_addresses: vec![SERVICE_ADDRESS],
        ..announcement(FORMER_AGENT, FORMER_SERVICE, 1, 1)
    };
    announce(&mut balancer, now, holding);
    let both = BTreeSet::from([former_host(), present_host()]);
    assert_eq!(receivers(&mut balancer, now), both);

    // A restarted agent does not know the flows that its host holds.
    let restarted = announcement(FORMER_AGENT, FORMER_SERVICE, 2, 0);
    announce(&mut balancer, now, restarted);
    let with_host = Announcement {
        sequence: 2,
        revision: 2,
        ..announcement(FORMER_AGENT, FORMER_SERVICE, 2, 1)
    };
    announce(&mut balancer, now, with_host);
    assert_eq!(receivers(&mut balancer, now), both);

    // A new run of the backend server holds none of them.
    let new_run = announcement(FORMER_AGENT, FORMER_SERVICE, 3, 2);
    announce(&mut balancer, now, new_run);
    assert_eq!(
        receivers(&mut balancer, now),
        BTreeSet::from([present_host()])
    );
}

#[test]
fn verify_that_an_owner_at_a_reused_address_is_forgotten() {
    let mut balancer = balancer(&[(FORMER_SERVICE, 1), (PRESENT_SERVICE, 1)]);
    let owner = FlowOwner {
        flow: segment(false).flow_from_caller(),
        agent: FORMER_AGENT,
    };
    balancer.on_message(Time::ZERO, PeerMessage::Owner(owner));
    let now = Time::from_millis(100);
    assert_eq!(
        receivers(&mut balancer, now),
        BTreeSet::from([former_host()])
    );
    let reused = announcement(FORMER_AGENT, PRESENT_SERVICE, 2, 2);
    announce(&mut balancer, now, reused);
    let hops = receivers(&mut balancer, now);
    let services: BTreeSet<u32> = hops.iter().map(|(_, service)| *service).collect();
    assert_eq!(services, BTreeSet::from([tag(PRESENT_SERVICE).0]));
}

#[test]
fn verify_that_a_retransmitted_syn_reaches_the_host_that_accepted_the_flow() {
    let identity = AgentIdentity {
        address: FORMER_AGENT,
        process_run: RunId(1),
        service: FORMER_SERVICE.parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        server: SocketAddrV4::new(FORMER_AGENT, 80),
    };
    let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
    agent.on_catalogue(Time::ZERO, catalogue(1, &[(FORMER_SERVICE, 1)]));
    let header = |version| {
        let tag = tag(FORMER_SERVICE);
        RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(version), RunId(1))
    };
    let syn_ack = Segment {
        source: SERVICE_ADDRESS,
        destination: segment(true).source,
        flags: SegmentFlags {
            is_syn: true,
            is_ack: true,
            ..SegmentFlags::default()
        },
        ..segment(true)
    };
    let now = Time::from_millis(100);
    let mut actions = Vec::new();
    agent.on_server_packet(now, &syn_ack, &[], &mut actions);
    agent.on_catalogue(now, catalogue(2, &[(PRESENT_SERVICE, 1)]));
    let now = now + Span::from_millis(200);
    actions.clear();
    agent.on_relayed(now, &header(1), &segment(true), &[], &mut actions);
    assert_eq!(actions, [Action::Deliver]);
}
