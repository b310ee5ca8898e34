//! Explanations for operators. Guards against an explanation that names another rule, or another decision
//! of an agent, than the one by which packets are forwarded.

use {
    cardamomloom_coordination::passthrough::{
        AdmissionDecision, FlowExplanation, FlowQuery, PlacementRule,
        agent::{Action, Agent, AgentIdentity, AgentOptions},
        balancer::{Balancer, BalancerOptions},
        load::{LoadControlOptions, LoadView, PlacementPolicy},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            Announcement, CatalogueDocument, CatalogueVersion, HostLoad, HostReport,
            HostReportState, PeerMessage, RelayHeader, RouteEntry, RouteTarget, RunId, Segment,
            SegmentFlags, ServiceEntry, ServiceTag,
        },
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const NOW: Time = Time::from_millis(1_000);
const NEAR: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const FAR: Ipv4Addr = Ipv4Addr::new(10, 2, 0, 1);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn query() -> FlowQuery {
    FlowQuery {
        service: "service-0".parse().expect("valid name"),
        from: "near".parse().expect("valid name"),
    }
}

/// Returns a balancer that knows a host in the failure domain of the caller and one in another.
fn balancer() -> Balancer {
    let address = Ipv4Addr::new(10, 0, 0, 1);
    let mut balancer = Balancer::new(BalancerOptions::default(), address, &[], NOW);
    for (agent, domain) in [(NEAR, "near"), (FAR, "far")] {
        let announcement = Announcement {
            agent,
            process: RunId(1),
            sequence: 1,
            revision: 1,
            service: query().service,
            domain: domain.parse().expect("valid name"),
            run: RunId(1),
            state: HostState::Ready,
            catalogue: CatalogueVersion(1),
            interval_ms: 250,
            rerouted_addresses: Vec::new(),
            asks_hosts: None,
        };
        balancer.on_message(NOW, PeerMessage::Announcement(announcement));
    }
    balancer
}

/// Returns loads in which the two hosts have these waits, in milliseconds.
fn loads(near_wait_ms: u16, far_wait_ms: u16) -> LoadView {
    let mut loads = LoadView::default();
    for (agent, domain, wait_ms) in [(NEAR, "near", near_wait_ms), (FAR, "far", far_wait_ms)] {
        let domain = domain.parse().expect("valid name");
        let load = HostLoad {
            wait_ms,
            work_ms: 30,
            slots: 2,
        };
        loads.record(NOW, agent, &domain, load, Some(Span::from_millis(6)));
    }
    loads
}

fn explain(options: LoadControlOptions, loads: &LoadView) -> (PlacementRule, Ipv4Addr) {
    let summary = balancer().summary(NOW);
    let explanation = FlowExplanation::new(NOW, &query(), options, &summary, loads);
    assert_eq!(explanation.candidates.len(), 2);
    (explanation.rule, explanation.candidates[0].agent)
}

#[test]
fn verify_that_the_rule_of_a_balancer_is_named() {
    let off = LoadControlOptions::default();
    let by_wait = LoadControlOptions {
        placement: PlacementPolicy::ExpectedWait,
        ..off
    };
    let own_domain = LoadControlOptions {
        prefers_own_domain: true,
        ..by_wait
    };
    let unknown = LoadView::default();
    let full = HostLoad::TAKES_NO_FLOWS;
    let cases = [
        (off, loads(90, 0), PlacementRule::Rendezvous, FAR),
        (by_wait, unknown, PlacementRule::LoadsUnknown, NEAR),
        (by_wait, loads(90, 0), PlacementRule::ShortestResponse, FAR),
        // The round trip of 6 ms counts.
        (own_domain, loads(5, 0), PlacementRule::OwnDomain, NEAR),
        (own_domain, loads(7, 0), PlacementRule::OtherDomain, FAR),
        (own_domain, loads(full, 0), PlacementRule::OtherDomain, FAR),
        (own_domain, loads(full, full), PlacementRule::NoHost, NEAR),
    ];
    for (options, loads, rule, first) in cases {
        assert_eq!(explain(options, &loads), (rule, first), "{options:?}");
    }
    let other = FlowQuery {
        service: "service-9".parse().expect("valid name"),
        ..query()
    };
    let summary = balancer().summary(NOW);
    let explanation = FlowExplanation::new(NOW, &other, own_domain, &summary, &loads(0, 0));
    assert_eq!(explanation.rule, PlacementRule::NoHost);
    assert!(explanation.candidates.is_empty());
}

fn agent(cold_left_ms: u64) -> Agent {
    let server = SocketAddrV4::new(NEAR, 80);
    let identity = AgentIdentity {
        address: NEAR,
        process_run: RunId(1),
        service: query().service,
        domain: query().from,
        server,
    };
    let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
    let report = HostReport {
        instance: "a".into(),
        service: query().service,
        address: server,
        slots: 1,
        state: HostReportState::Ready,
        cold_left_ms,
        sequence: 1,
        started_unix_ms: Some(1),
    };
    assert!(agent.on_report(NOW, &report, &mut Vec::new()));
    let document = CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![RouteEntry {
            name: "route-0".into(),
            address: SERVICE_ADDRESS,
            targets: vec![RouteTarget {
                service: query().service,
                weight: 1,
            }],
            is_idempotent: true,
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
        }],
        services: vec![ServiceEntry {
            name: query().service,
            max_connections: 2_000,
            cold_flows_per_s: 0.1,
            cold_for_ms: 2_000,
        }],
        idle_timeout_ms: 12_000,
    };
    agent.on_catalogue(NOW, document);
    agent
}

/// Sends the SYN of a new flow to an agent. Returns its decision.
fn send_syn(agent: &mut Agent, port: u16) -> AdmissionDecision {
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
    let tag = ServiceTag::from(&query().service);
    let header =
        RelayHeader::from_balancer(Ipv4Addr::LOCALHOST, tag, CatalogueVersion(1), RunId(0));
    let (queued, mut actions) = (agent.queued_syns(), Vec::new());
    agent.on_relayed(NOW, &header, &syn, &[7], &mut actions);
    match actions[..] {
        [Action::Deliver] => AdmissionDecision::Accept,
        [Action::Relay { .. }] => AdmissionDecision::Relay,
        [Action::Drop(_)] => AdmissionDecision::Drop,
        [] if agent.queued_syns() > queued => AdmissionDecision::Queue,
        _ => panic!("unexpected: {actions:?}"),
    }
}

#[test]
fn verify_that_the_explained_decision_of_an_agent_is_what_it_does() {
    let (mut warm, mut cold) = (agent(0), agent(2_000));
    let mut decisions = Vec::new();
    for port in 1..=6 {
        for agent in [&mut warm, &mut cold] {
            let explanation = agent.explain(NOW, &query());
            let reason = explanation.reason;
            assert_eq!(send_syn(agent, port), explanation.decision, "{reason}");
            decisions.push(explanation.decision);
        }
    }
    for decision in [AdmissionDecision::Accept, AdmissionDecision::Queue] {
        assert!(decisions.contains(&decision), "{decisions:?}");
    }
    warm.stop(NOW);
    let explanation = warm.explain(NOW, &query());
    assert_eq!(explanation.decision, AdmissionDecision::Drop);
    assert_eq!(send_syn(&mut warm, 9), AdmissionDecision::Drop);
    assert_eq!((explanation.slots, explanation.max_callers), (Some(1), 4));
    assert!(explanation.queued_syns > 0);
    let other = FlowQuery {
        service: "service-9".parse().expect("valid name"),
        ..query()
    };
    let explanation = cold.explain(NOW, &other);
    assert_eq!(explanation.decision, AdmissionDecision::Drop);
}
