//! Processes that know of a newer catalogue than their own. Guards against new flows that are opened or
//! refused by a catalogue that is known to be outdated, and against a fleet that waits for ever for
//! processes that do not hand the new one on.

use {
    cardamomloom_coordination::passthrough::{
        StoreAccess,
        agent::{Action, Agent, AgentIdentity, AgentOptions, DropReason as AgentDropReason},
        balancer::{Balancer, BalancerOptions, DropReason, ForwardingDecision},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            Announcement, BalancerHeartbeat, CatalogueDocument, CatalogueVersion, DomainStatus,
            HostReport, HostReportState, PeerMessage, RelayHeader, RouteEntry, RouteTarget, RunId,
            Segment, SegmentFlags, ServiceTag, StoreRevision,
        },
    },
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddrV4},
    },
};

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 5);
const READERS: [Ipv4Addr; 2] = [Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2)];
const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const ROUTED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const UNKNOWN: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Time in which a change must be in force at every process.
const IN_FORCE_WITHIN: Span = Span::from_secs(3);

fn catalogue() -> CatalogueDocument {
    CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![RouteEntry {
            name: "route-0".into(),
            address: ROUTED,
            targets: vec![RouteTarget {
                service: "service-0".parse().expect("valid name"),
                weight: 1,
            }],
            is_idempotent: true,
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
        }],
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    }
}

fn domain_status() -> DomainStatus {
    DomainStatus {
        era: None,
        revision: StoreRevision(1),
        domains_out: BTreeSet::new(),
    }
}

/// Returns the heartbeats of the readers, which have a version of the catalogue.
fn heartbeats(version: u64) -> impl Iterator<Item = PeerMessage> {
    READERS.into_iter().map(move |reader| {
        let heartbeat = heartbeat(reader, version);
        PeerMessage::BalancerHeartbeat(heartbeat)
    })
}

fn heartbeat(reader: Ipv4Addr, version: u64) -> BalancerHeartbeat {
    BalancerHeartbeat {
        balancer: reader,
        is_stopping: false,
        is_informed: true,
        is_reader: true,
        interval_ms: 500,
        wants_answer: false,
        catalogue: CatalogueVersion(version),
        domain_status: Some(domain_status()),
        confirmed_ago_ms: Some(0),
        balancers: Vec::new(),
        hosts: Vec::new(),
    }
}

fn announcement(sequence: u64, catalogue: u64) -> PeerMessage {
    PeerMessage::Announcement(Announcement {
        agent: AGENT,
        process: RunId(1),
        sequence,
        revision: 1,
        service: "service-0".parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        run: RunId(1),
        state: HostState::Ready,
        catalogue: CatalogueVersion(catalogue),
        interval_ms: 250,
        rerouted_addresses: Vec::new(),
        asks_hosts: None,
    })
}

fn segment(destination: SocketAddrV4, port: u16, is_syn: bool, retransmissions: u32) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        destination,
        flags: SegmentFlags {
            is_syn,
            is_ack: !is_syn,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: if is_syn { retransmissions } else { 77 },
        payload_bytes: if is_syn { 0 } else { 100 },
        response_status: None,
    }
}

/// Returns a balancer with version 1, and the time at which it has just learned of version 2 and its
/// only agent has announced itself with `agent_catalogue`.
fn balancer_behind(agent_catalogue: u64) -> (Balancer, Time) {
    let mut balancer = Balancer::new(BalancerOptions::default(), BALANCER, &[], Time::ZERO);
    balancer.on_catalogue(Time::ZERO, catalogue());
    balancer.on_domain_status(Time::ZERO, domain_status());
    let now = Time::from_millis(5_000);
    receive(&mut balancer, now, heartbeats(1));
    balancer.on_message(now, announcement(1, 1));
    let open = balancer.on_packet(now, &segment(ROUTED, 1_024, true, 0));
    assert!(matches!(open, ForwardingDecision::Forward { .. }));
    balancer.on_message(now, announcement(2, agent_catalogue));
    receive(&mut balancer, now, heartbeats(2));
    (balancer, now)
}

fn receive(balancer: &mut Balancer, now: Time, messages: impl Iterator<Item = PeerMessage>) {
    for message in messages {
        balancer.on_message(now, message);
    }
}

fn later(balancer: &mut Balancer, now: Time, agent_catalogue: u64) -> Time {
    let later = now + IN_FORCE_WITHIN;
    balancer.on_message(later, announcement(3, agent_catalogue));
    receive(balancer, later, heartbeats(2));
    later
}

#[test]
fn verify_that_an_address_is_not_refused_by_an_outdated_catalogue() {
    let (mut balancer, now) = balancer_behind(1);
    let decision = balancer.on_packet(now, &segment(UNKNOWN, 1_025, true, 1));
    assert_eq!(decision, ForwardingDecision::Drop(DropReason::NoRoute));
}

#[test]
fn verify_that_a_balancer_opens_no_flow_by_an_outdated_catalogue() {
    let (mut balancer, now) = balancer_behind(1);
    let syn = segment(ROUTED, 1_025, true, 0);
    let at_once = balancer.on_packet(now, &syn);
    assert!(matches!(at_once, ForwardingDecision::Forward { .. }));
    let later = later(&mut balancer, now, 1);
    // Nobody is refused, because the new catalogue may route the address.
    let decision = balancer.on_packet(later, &syn);
    assert_eq!(
        decision,
        ForwardingDecision::Drop(DropReason::OutdatedCatalogue)
    );
    assert!(!balancer.is_ready(later), "routers send to others");
    let open_flow = balancer.on_packet(later, &segment(ROUTED, 1_024, false, 0));
    assert!(
        matches!(open_flow, ForwardingDecision::Forward { .. }),
        "open flows go on: {open_flow:?}"
    );
    balancer.on_catalogue(
        later,
        CatalogueDocument {
            version: CatalogueVersion(2),
            ..catalogue()
        },
    );
    assert!(balancer.is_ready(later));
    let decision = balancer.on_packet(later, &syn);
    assert!(matches!(decision, ForwardingDecision::Forward { .. }));
}

#[test]
fn verify_that_an_agent_with_the_newer_catalogue_decides_for_a_balancer_that_is_behind() {
    let (mut balancer, now) = balancer_behind(2);
    let later = later(&mut balancer, now, 2);
    let decision = balancer.on_packet(later, &segment(ROUTED, 1_025, true, 0));
    assert!(matches!(decision, ForwardingDecision::Forward { to, .. } if to == AGENT));
}

#[test]
fn verify_that_a_balancer_that_is_behind_reads_the_store_itself() {
    let (mut balancer, now) = balancer_behind(1);
    assert_eq!(balancer.store_access(now), StoreAccess::None);
    let later = later(&mut balancer, now, 1);
    let access = balancer.store_access(later);
    assert!(matches!(access, StoreAccess::Follow { .. }), "{access:?}");
}

#[test]
fn verify_that_a_version_that_the_store_has_lost_stops_nobody() {
    let (mut balancer, start) = balancer_behind(1);
    // The readers that announced version 2 have gone back to version 1, or were replaced.
    for step in 1..40_u64 {
        let now = start + Span::from_millis(500 * step);
        balancer.on_message(now, announcement(2 + step, 1));
        receive(&mut balancer, now, heartbeats(1));
        let port = 2_000 + u16::try_from(step).expect("small");
        let decision = balancer.on_packet(now, &segment(ROUTED, port, true, 0));
        assert!(
            matches!(decision, ForwardingDecision::Forward { .. }),
            "step {step}: {decision:?}"
        );
        assert!(balancer.is_ready(now), "step {step}");
    }
}

#[test]
fn verify_that_a_balancer_that_is_cut_off_serves_on() {
    let (mut balancer, start) = balancer_behind(1);
    // Agents of the own failure domain are still heard.
    for step in 1..40_u64 {
        let now = start + Span::from_millis(500 * step);
        balancer.on_message(now, announcement(2 + step, 1));
        let port = 2_000 + u16::try_from(step).expect("small");
        let decision = balancer.on_packet(now, &segment(ROUTED, port, true, 0));
        let is_placed = matches!(decision, ForwardingDecision::Forward { .. });
        let silent_for = now.since(start);
        assert!(
            is_placed || silent_for <= IN_FORCE_WITHIN,
            "step {step}: {decision:?}"
        );
    }
}

/// Returns an agent with version 1 that has just learned of version 2.
fn agent_behind() -> (Agent, Time) {
    let identity = AgentIdentity {
        address: AGENT,
        process_run: RunId(1),
        service: "service-0".parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        server: SocketAddrV4::new(AGENT, 8_080),
    };
    let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
    agent.on_catalogue(Time::ZERO, catalogue());
    let now = Time::from_millis(5_000);
    for message in heartbeats(2) {
        agent.on_message(now, message, &mut Vec::new());
    }
    report(&mut agent, now, 1);
    (agent, now)
}

fn report(agent: &mut Agent, now: Time, sequence: u64) {
    let report = HostReport {
        instance: "i-1".into(),
        started_unix_ms: Some(1),
        service: "service-0".parse().expect("valid name"),
        address: SocketAddrV4::new(AGENT, 8_080),
        slots: 4,
        state: HostReportState::Ready,
        cold_left_ms: 0,
        sequence,
    };
    agent.on_report(now, &report, &mut Vec::new());
}

/// Returns what the agent does with a SYN from a balancer with a version of the catalogue.
fn on_syn(agent: &mut Agent, now: Time, port: u16, balancer_catalogue: u64) -> Vec<Action> {
    let service = ServiceTag::from(&"service-0".parse().expect("valid name"));
    let version = CatalogueVersion(balancer_catalogue);
    let header = RelayHeader::from_balancer(BALANCER, service, version, RunId(0));
    let mut actions = Vec::new();
    let syn = segment(ROUTED, port, true, 0);
    agent.on_relayed(now, &header, &syn, &[0; 32], &mut actions);
    actions
}

#[test]
fn verify_that_an_agent_opens_no_flow_by_an_outdated_catalogue() {
    let (mut agent, now) = agent_behind();
    assert_eq!(on_syn(&mut agent, now, 1, 1), [Action::Deliver]);
    let later = now + IN_FORCE_WITHIN;
    report(&mut agent, later, 2);
    for message in heartbeats(2) {
        agent.on_message(later, message, &mut Vec::new());
    }
    assert_eq!(
        on_syn(&mut agent, later, 2, 1),
        [Action::Drop(AgentDropReason::OutdatedCatalogue)]
    );
    assert_eq!(
        on_syn(&mut agent, later, 3, 2),
        [Action::Deliver],
        "a balancer with the newer catalogue decides"
    );
    let access = agent.store_access(later);
    assert!(matches!(access, StoreAccess::Follow { .. }), "{access:?}");
}
