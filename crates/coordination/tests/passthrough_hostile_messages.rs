//! Control messages and packets with arbitrary content, as a faulty or older process may send them.
//! Guards against one message that ends a process: every message is processed without a panic, and
//! the process goes on to announce itself.

use {
    cardamomloom_coordination::passthrough::{
        agent::{Agent, AgentIdentity, AgentOptions},
        balancer::{Balancer, BalancerOptions},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            AgentDeparture, AgentHeartbeat, AgentList, AgentListRequest, AgentSetDigest,
            Announcement, BalancerHeartbeat, CatalogueVersion, DomainStatus, FlowAbsence, FlowId,
            FlowOwner, HostAdvertisement, HostListDigest, HostListPart, HostReport,
            HostReportState, ListedAgent, PeerMessage, RelayHeader, RelayKind, RunId, Segment,
            SegmentFlags, ServiceAbsence, ServiceTag, StoreEra, StoreRevision,
        },
    },
    proptest::prelude::*,
    std::net::{Ipv4Addr, SocketAddrV4},
};

fn address() -> impl Strategy<Value = Ipv4Addr> {
    prop_oneof![
        (0..6_u8).prop_map(|last| Ipv4Addr::new(10, 1, 0, last)),
        any::<u32>().prop_map(Ipv4Addr::from),
    ]
}

fn flow() -> impl Strategy<Value = FlowId> {
    (address(), any::<u16>(), any::<bool>()).prop_map(|(caller, port, is_known)| FlowId {
        caller: SocketAddrV4::new(caller, port),
        service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, u8::from(is_known)), 443),
    })
}

fn hosts() -> impl Strategy<Value = Vec<HostAdvertisement>> {
    let host = (address(), any::<u64>(), any::<bool>());
    let host = host.prop_map(|(agent, run, accepts_new)| HostAdvertisement {
        agent,
        run: RunId(run),
        accepts_new,
    });
    prop::collection::vec(host, 0..70)
}

fn domain_status() -> impl Strategy<Value = Option<DomainStatus>> {
    let position = (any::<Option<u64>>(), any::<u64>());
    prop::option::of(position.prop_map(|(era, revision)| DomainStatus {
        era: era.map(StoreEra),
        revision: StoreRevision(revision),
        domains_out: ["domain-0".parse().expect("valid name")].into(),
    }))
}

fn host_state() -> impl Strategy<Value = HostState> {
    prop_oneof![
        Just(HostState::Starting),
        Just(HostState::Ready),
        Just(HostState::Draining),
        Just(HostState::Gone),
    ]
}

fn balancer_heartbeat() -> impl Strategy<Value = BalancerHeartbeat> {
    (
        address(),
        any::<[bool; 4]>(),
        any::<u16>(),
        any::<u64>(),
        domain_status(),
        any::<Option<u32>>(),
        prop::collection::vec(address(), 0..60),
        hosts(),
    )
        .prop_map(
            |(balancer, flags, interval_ms, catalogue, domain_status, ago_ms, balancers, hosts)| {
                BalancerHeartbeat {
                    balancer,
                    is_stopping: flags[0],
                    is_informed: flags[1],
                    is_reader: flags[2],
                    interval_ms,
                    wants_answer: flags[3],
                    catalogue: CatalogueVersion(catalogue),
                    domain_status,
                    confirmed_ago_ms: ago_ms,
                    balancers,
                    hosts,
                }
            },
        )
}

fn announcement() -> impl Strategy<Value = Announcement> {
    (
        address(),
        any::<[u64; 4]>(),
        any::<u32>(),
        host_state(),
        any::<u16>(),
        any::<Option<u32>>(),
        0..3_u8,
        prop::collection::vec(flow().prop_map(|flow| flow.service), 0..4),
    )
        .prop_map(
            |(
                agent,
                numbers,
                revision,
                state,
                interval_ms,
                digest,
                service,
                rerouted_addresses,
            )| {
                Announcement {
                    agent,
                    process: RunId(numbers[0]),
                    sequence: numbers[1],
                    revision,
                    service: format!("service-{service}").parse().expect("valid name"),
                    domain: "domain-0".parse().expect("valid name"),
                    run: RunId(numbers[2]),
                    state,
                    catalogue: CatalogueVersion(numbers[3]),
                    interval_ms,
                    rerouted_addresses,
                    asks_hosts: digest.map(HostListDigest),
                }
            },
        )
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let heartbeat = (
        address(),
        any::<[u64; 2]>(),
        any::<u32>(),
        any::<Option<u32>>(),
    );
    let absence = (flow(), any::<u32>(), address(), any::<u32>(), any::<bool>());
    let part = (any::<u32>(), any::<u8>(), any::<u8>(), hosts());
    prop_oneof![
        announcement().prop_map(PeerMessage::Announcement),
        balancer_heartbeat().prop_map(PeerMessage::BalancerHeartbeat),
        heartbeat.prop_map(|(agent, numbers, revision, digest)| {
            PeerMessage::Heartbeat(AgentHeartbeat {
                agent,
                process: RunId(numbers[0]),
                sequence: numbers[1],
                revision,
                asks_hosts: digest.map(HostListDigest),
            })
        }),
        (flow(), address()).prop_map(|(flow, agent)| PeerMessage::Owner(FlowOwner { flow, agent })),
        absence.prop_map(|(flow, acknowledgment, agent, digest, is_server_new)| {
            PeerMessage::Absence(FlowAbsence {
                flow,
                acknowledgment,
                agent,
                known_agents: AgentSetDigest(digest),
                is_server_new,
            })
        }),
        address().prop_map(|agent| PeerMessage::Departure(AgentDeparture { agent })),
        part.prop_map(|(digest, position, parts, hosts)| {
            PeerMessage::HostListPart(HostListPart {
                list: HostListDigest(digest),
                position,
                parts,
                hosts,
            })
        }),
        lookup_message(),
    ]
}

/// Returns statements and lists of agents around owner lookups.
fn lookup_message() -> impl Strategy<Value = PeerMessage> {
    let services = prop::collection::vec(any::<u32>().prop_map(ServiceTag), 0..20);
    let absence = (flow(), any::<u32>(), address(), any::<u32>(), services);
    let agents = prop::collection::vec((address(), any::<u16>()), 0..140);
    let list = (address(), any::<u32>(), any::<[bool; 2]>(), agents);
    prop_oneof![
        absence.prop_map(|(flow, acknowledgment, agent, service, possible_owners)| {
            PeerMessage::ServiceAbsence(ServiceAbsence {
                flow,
                acknowledgment,
                agent,
                service: ServiceTag(service),
                possible_owners,
                knows_former_targets: acknowledgment % 2 == 0,
            })
        }),
        address().prop_map(|agent| PeerMessage::AgentListRequest(AgentListRequest { agent })),
        list.prop_map(|(agent, service, [is_complete, is_fleet_new], agents)| {
            let agents = agents.into_iter();
            PeerMessage::AgentList(AgentList {
                agent,
                service: ServiceTag(service),
                is_complete,
                is_fleet_new,
                agents: agents
                    .map(|(agent, listed_ago_ms)| ListedAgent {
                        agent,
                        listed_ago_ms,
                    })
                    .collect(),
            })
        }),
    ]
}

fn segment() -> impl Strategy<Value = Segment> {
    (flow(), any::<[bool; 5]>(), any::<[u32; 2]>(), any::<u16>()).prop_map(
        |(flow, flags, numbers, payload_bytes)| Segment {
            source: flow.caller,
            destination: flow.service,
            flags: SegmentFlags {
                is_syn: flags[0],
                is_ack: flags[1],
                is_fin: flags[2],
                is_rst: flags[3],
                is_returned: flags[4],
            },
            sequence: numbers[0],
            acknowledgment: numbers[1],
            payload_bytes,
            response_status: None,
        },
    )
}

#[derive(Clone, Debug)]
enum Input {
    Message(PeerMessage),
    Relayed(Segment, bool),
    FromServer(Segment),
    Report { sequence: u64, cold_left_ms: u64 },
    Elapse { ms: u64 },
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        4 => message().prop_map(Input::Message),
        2 => (segment(), any::<bool>())
            .prop_map(|(segment, is_search)| Input::Relayed(segment, is_search)),
        1 => segment().prop_map(Input::FromServer),
        1 => (any::<u64>(), prop_oneof![0..5_000_u64, Just(u64::from(u32::MAX))])
            .prop_map(|(sequence, cold_left_ms)| Input::Report { sequence, cold_left_ms }),
        2 => (0..3_000_u64).prop_map(|ms| Input::Elapse { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_that_no_message_ends_a_process(inputs in prop::collection::vec(input(), 1..60)) {
        let own_address = Ipv4Addr::new(10, 1, 0, 1);
        let server = SocketAddrV4::new(own_address, 80);
        let identity = AgentIdentity {
            address: own_address,
            process_run: RunId(1),
            service: "service-0".parse().expect("valid name"),
            domain: "domain-0".parse().expect("valid name"),
            server,
        };
        let tag = ServiceTag::from(&identity.service);
        let mut agent = Agent::new(AgentOptions::default(), identity, &[], Time::ZERO);
        let mut balancer = Balancer::new(
            BalancerOptions::default(),
            Ipv4Addr::new(10, 0, 0, 1),
            &[],
            Time::ZERO,
        );
        let mut now = Time::ZERO;
        let mut actions = Vec::new();
        for input in inputs {
            match input {
                Input::Message(message) => {
                    balancer.on_message(now, message.clone());
                    agent.on_message(now, message, &mut actions);
                }
                Input::Relayed(segment, is_search) => {
                    balancer.on_packet(now, &segment);
                    let header = RelayHeader::from_balancer(
                        Ipv4Addr::LOCALHOST,
                        tag,
                        CatalogueVersion(0),
                        RunId(0),
                    );
                    let search = header.relayed_by(own_address, RelayKind::Search, RunId(0));
                    let header = search.filter(|_| is_search).unwrap_or(header);
                    agent.on_relayed(now, &header, &segment, &[], &mut actions);
                }
                Input::FromServer(segment) => {
                    agent.on_server_packet(now, &segment, &[], &mut actions);
                }
                Input::Report { sequence, cold_left_ms } => {
                    let report = HostReport {
                        instance: "a".into(),
                        service: "service-0".parse().expect("valid name"),
                        address: server,
                        slots: 1,
                        state: HostReportState::Ready,
                        cold_left_ms,
                        sequence,
                        started_unix_ms: Some(sequence >> 32),
                    };
                    agent.on_report(now, &report, &mut actions);
                }
                Input::Elapse { ms } => {
                    now = now + Span::from_millis(ms);
                    agent.on_tick(now);
                    agent.on_syn_timer(now, &mut actions);
                    let _ = agent.store_access(now);
                    balancer.on_tick(now);
                    balancer.store_access(now);
                }
            }
        }
        // Both still announce themselves to a process that they learn of.
        let newcomer = Ipv4Addr::new(10, 9, 0, 9);
        balancer.add_balancers(now, [newcomer]);
        agent.add_balancers(now, [newcomer]);
        for outgoing in [balancer.on_tick(now), agent.on_tick(now)] {
            prop_assert!(!outgoing.is_empty());
        }
    }
}
