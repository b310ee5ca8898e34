//! Owner lookups of agents that know different agents of their service, or have started recently.
//! Guards against lookups that end without a result for as long as the lists differ, and against resets
//! by an agent that does not know which agents or targets there were before it started.

use {
    cardamomloom_coordination::passthrough::{
        LookupOutcome,
        agent::{Action, Agent, AgentIdentity, AgentOptions},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentList, AgentListRequest, AgentSetDigest, BalancerHeartbeat, CatalogueDocument,
        CatalogueVersion, FlowAbsence, HostAdvertisement, HostReport, HostReportState, ListedAgent,
        PeerMessage, RelayHeader, RouteEntry, RouteTarget, RunId, Segment, SegmentFlags,
        ServiceTag,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
const THIRD: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);
const FOURTH: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 4);
const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const NOW: Time = Time::from_millis(120_000);

/// What follows from a packet of an unknown flow and the statements about it.
#[derive(Debug, Default, PartialEq, Eq)]
struct Effects {
    resets: usize,
    service_absences: usize,
    list_requests: Vec<Ipv4Addr>,
}

struct Fixture {
    agent: Agent,
    now: Time,
}

impl Fixture {
    /// Creates an agent that has run for `age`, with a new backend server, and has known [`OTHER`] for
    /// 2 s.
    fn new(age: Span) -> Self {
        let server = SocketAddrV4::new(AGENT, 80);
        let identity = AgentIdentity {
            address: AGENT,
            process_run: RunId(1),
            service: "service-0".parse().expect("valid name"),
            domain: "domain-0".parse().expect("valid name"),
            server,
        };
        let mut agent = Agent::new(AgentOptions::default(), identity, &[], NOW - age);
        let report = HostReport {
            instance: "i-1".into(),
            started_unix_ms: Some(1),
            service: "service-0".parse().expect("valid name"),
            address: server,
            slots: 4,
            state: HostReportState::Ready,
            cold_left_ms: 0,
            sequence: 1,
        };
        agent.on_report(NOW - age.min(Span::from_secs(3)), &report, &mut Vec::new());
        let target = RouteTarget {
            service: "service-0".parse().expect("valid name"),
            weight: 1,
        };
        let catalogue = CatalogueDocument {
            version: CatalogueVersion(1),
            routes: vec![RouteEntry {
                name: "route-0".into(),
                address: SERVICE_ADDRESS,
                targets: vec![target],
                is_idempotent: true,
                priority: 1,
                response_goal_ms: 0,
                timeout_ms: 0,
            }],
            services: Vec::new(),
            idle_timeout_ms: 12_000,
        };
        agent.on_catalogue(NOW - age, catalogue);
        let mut fixture = Self { agent, now: NOW };
        for ago_ms in [2_000, 100] {
            fixture.now = NOW - Span::from_millis(ago_ms);
            fixture.on_message(heartbeat(&[AGENT, OTHER]));
        }
        fixture.now = NOW;
        fixture
    }

    fn on_message(&mut self, message: PeerMessage) -> Vec<PeerMessage> {
        let mut actions = Vec::new();
        let outgoing = self.agent.on_message(self.now, message, &mut actions);
        assert!(actions.is_empty(), "{actions:?}");
        outgoing.into_iter().map(|sent| sent.message).collect()
    }

    /// Receives a request and the denials of agents, each with the agents that it would ask.
    fn look_up(&mut self, has_copies: bool, denials: &[(Ipv4Addr, &[Ipv4Addr], bool)]) -> Effects {
        self.now = self.now + Span::from_millis(200);
        self.on_message(heartbeat(&[AGENT, OTHER]));
        let tag = ServiceTag::from(&"service-0".parse().expect("valid name"));
        let mut header = RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(1), RunId(1));
        header.has_copies = has_copies;
        let mut actions = Vec::new();
        self.agent
            .on_relayed(self.now, &header, &request(), &[], &mut actions);
        for (agent, known_agents, is_server_new) in denials {
            let absence = PeerMessage::Absence(FlowAbsence {
                flow: request().flow_from_caller(),
                acknowledgment: 77,
                agent: *agent,
                known_agents: known_agents.iter().copied().collect::<AgentSetDigest>(),
                is_server_new: *is_server_new,
            });
            self.agent.on_message(self.now, absence, &mut actions);
        }
        let mut effects = Effects::default();
        for action in actions {
            match action {
                Action::Reset { .. } => effects.resets += 1,
                Action::Send {
                    to: BALANCER,
                    message: PeerMessage::ServiceAbsence(_),
                } => effects.service_absences += 1,
                Action::Send {
                    to,
                    message: PeerMessage::AgentListRequest(AgentListRequest { agent: AGENT }),
                } => effects.list_requests.push(to),
                _ => {}
            }
        }
        effects
    }
}

fn heartbeat(hosts: &[Ipv4Addr]) -> PeerMessage {
    let hosts = hosts.iter().map(|agent| HostAdvertisement {
        agent: *agent,
        run: RunId(1),
        accepts_new: true,
    });
    PeerMessage::BalancerHeartbeat(BalancerHeartbeat {
        balancer: BALANCER,
        is_stopping: false,
        is_informed: true,
        is_reader: true,
        interval_ms: 500,
        wants_answer: false,
        catalogue: CatalogueVersion(1),
        domain_status: None,
        confirmed_ago_ms: Some(0),
        balancers: Vec::new(),
        hosts: hosts.collect(),
    })
}

fn request() -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024),
        destination: SERVICE_ADDRESS,
        flags: SegmentFlags {
            is_ack: true,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: 77,
        payload_bytes: 100,
        response_status: None,
    }
}

fn agent_list(
    agent: Ipv4Addr,
    agents: &[Ipv4Addr],
    is_complete: bool,
    is_new: bool,
) -> PeerMessage {
    let agents = agents.iter().map(|agent| ListedAgent {
        agent: *agent,
        listed_ago_ms: 100,
    });
    PeerMessage::AgentList(AgentList {
        agent,
        service: ServiceTag::from(&"service-0".parse().expect("valid name")),
        is_complete,
        is_fleet_new: is_new,
        agents: agents.collect(),
    })
}

const RESET: Effects = Effects {
    resets: 1,
    service_absences: 0,
    list_requests: Vec::new(),
};
const OLD: Span = Span::from_secs(100);

#[test]
fn verify_that_a_lookup_continues_with_the_agents_of_another_list() {
    let mut fixture = Fixture::new(OLD);
    let known = [AGENT, OTHER, THIRD, FOURTH];
    let denial: (_, &[Ipv4Addr], _) = (OTHER, &known, false);
    let effects = fixture.look_up(false, &[denial]);
    assert_eq!((effects.resets, effects.list_requests), (0, vec![OTHER]));

    fixture.on_message(agent_list(OTHER, &known, true, false));
    let effects = fixture.look_up(false, &[denial, (THIRD, &known, false)]);
    assert_eq!(effects.resets, 0, "the fourth agent is silent");
    assert_eq!(fixture.look_up(false, &[(FOURTH, &known, false)]), RESET);
    let outcomes = fixture.agent.lookup_outcomes();
    assert_eq!(outcomes.count(LookupOutcome::ListsDiffer), 1);
    assert_eq!(outcomes.count(LookupOutcome::AgentSilent), 1);
}

#[test]
fn verify_that_an_agent_with_a_shorter_list_does_not_end_a_lookup() {
    let mut fixture = Fixture::new(OLD);
    assert_eq!(fixture.look_up(false, &[(OTHER, &[OTHER], false)]), RESET);
}

/// An agent of a marked copy does not reset the flow itself, nor does one that does not know whether the
/// route had other targets before it started.
#[test]
fn verify_that_the_balancer_is_told_when_other_services_may_own_a_flow() {
    let denial: (_, &[Ipv4Addr], _) = (OTHER, &[AGENT, OTHER], true);
    for (age, has_copies) in [(OLD, true), (Span::from_secs(30), false)] {
        let effects = Fixture::new(age).look_up(has_copies, &[denial]);
        assert_eq!((effects.resets, effects.service_absences), (0, 1));
    }
}

#[test]
fn verify_that_a_young_agent_needs_the_list_of_an_older_one_or_a_new_fleet() {
    let age = Span::from_secs(4);
    let known = [AGENT, OTHER];
    let cases: [(&str, Option<PeerMessage>, bool, usize); 6] = [
        ("nothing is known", None, true, 0),
        (
            "list of a young agent",
            Some(agent_list(OTHER, &known, false, false)),
            true,
            0,
        ),
        (
            "list of an older agent",
            Some(agent_list(OTHER, &known, true, false)),
            false,
            1,
        ),
        (
            "list of an older agent that names a silent one",
            Some(agent_list(OTHER, &[AGENT, OTHER, THIRD], true, false)),
            false,
            0,
        ),
        (
            "the whole fleet and the servers are new",
            Some(agent_list(BALANCER, &known, false, true)),
            true,
            1,
        ),
        (
            "the fleet is new, a server is old",
            Some(agent_list(BALANCER, &known, false, true)),
            false,
            0,
        ),
    ];
    for (case, list, is_server_new, decided) in cases {
        let mut fixture = Fixture::new(age);
        if let Some(list) = list {
            fixture.on_message(list);
        }
        let effects = fixture.look_up(false, &[(OTHER, &known, is_server_new)]);
        assert_eq!(effects.resets + effects.service_absences, decided, "{case}");
    }
}
