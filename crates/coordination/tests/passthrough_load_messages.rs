//! Load heartbeats between processes of this and of the previous release, and the wait of a service in
//! relay headers. Guards against heartbeats that a balancer drops, against callers who are refused
//! because of hosts whose load nobody knows, and against responses that distort the estimate.

use {
    cardamomloom_coordination::passthrough::{
        agent::{Agent, AgentIdentity, AgentOptions},
        balancer::{Balancer, BalancerOptions, ForwardingDecision},
        load::{LoadControlOptions, PlacementPolicy},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            AgentHeartbeat, Announcement, BalancerHeartbeat, CatalogueDocument, CatalogueVersion,
            HostLoad, HostReport, HostReportState, LoadHeartbeat, PeerLoads, PeerMessage,
            RelayHeader, RunId, Segment, SegmentFlags, ServiceTag, ServiceWait,
        },
    },
    cardamomloom_standins::passthrough::{domain_name, route, service_name},
    std::net::{Ipv4Addr, SocketAddrV4},
};

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 5_000);
const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const LOAD_CONTROL: LoadControlOptions = LoadControlOptions {
    placement: PlacementPolicy::ExpectedWait,
    prefers_own_domain: false,
    rejects_late_flows: true,
};

const fn at(time_ms: u64) -> Time {
    Time::from_millis(time_ms)
}

const fn agent_address(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, index)
}

fn catalogue() -> CatalogueDocument {
    CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![route(ADDRESS, 0)],
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    }
}

/// Returns a packet of the caller: a SYN if `sequence` is 0, otherwise data.
fn from_caller(sequence: u32, acknowledgment: u32) -> Segment {
    Segment {
        source: CALLER,
        destination: ADDRESS,
        flags: SegmentFlags {
            is_syn: sequence == 0,
            is_ack: sequence > 0,
            ..SegmentFlags::default()
        },
        sequence,
        acknowledgment,
        payload_bytes: if sequence == 0 { 0 } else { 100 },
        response_status: None,
    }
}

fn agent() -> Agent {
    let identity = AgentIdentity {
        address: agent_address(1),
        process_run: RunId(1),
        service: service_name(0),
        domain: domain_name(0),
        server: SocketAddrV4::new(agent_address(1), 8_080),
    };
    let options = AgentOptions {
        load_control: LOAD_CONTROL,
        ..AgentOptions::default()
    };
    let mut agent = Agent::new(options, identity, &[BALANCER], at(0));
    agent.on_catalogue(at(0), catalogue());
    agent
}

fn report(agent: &mut Agent, now: Time) {
    let report = HostReport {
        instance: "i-1".into(),
        started_unix_ms: Some(1),
        service: service_name(0),
        address: SocketAddrV4::new(agent_address(1), 8_080),
        slots: 4,
        state: HostReportState::Ready,
        cold_left_ms: 0,
        sequence: now.as_millis(),
    };
    assert!(agent.on_report(now, &report, &mut Vec::new()));
}

fn relay(agent: &mut Agent, now: Time, segment: &Segment, accepts_load: bool) {
    let tag = ServiceTag::from(&service_name(0));
    let mut header =
        RelayHeader::from_balancer(BALANCER, tag, CatalogueVersion(1), RunId::default());
    header.accepts_load = accepts_load;
    agent.on_relayed(now, &header, segment, &[], &mut Vec::new());
}

fn balancer_heartbeat(agent: &mut Agent, now: Time) {
    let heartbeat = PeerMessage::BalancerHeartbeat(BalancerHeartbeat {
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
        hosts: Vec::new(),
    });
    agent.on_message(now, heartbeat, &mut Vec::new());
}

/// Runs an agent for a moment. Returns the message that it sends to the balancer, if any.
fn tick(agent: &mut Agent, now: Time) -> Option<PeerMessage> {
    report(agent, now);
    balancer_heartbeat(agent, now);
    let sent = agent.on_tick(now).into_iter();
    sent.map(|outgoing| outgoing.message).last()
}

/// Runs an agent from `from_ms` to `to_ms` and returns whether its last heartbeat has a load.
fn sends_load(agent: &mut Agent, from_ms: u64, to_ms: u64) -> bool {
    let moments = (from_ms..to_ms).step_by(50).map(at);
    let sent = moments.filter_map(|now| tick(agent, now)).last();
    matches!(sent, Some(PeerMessage::LoadHeartbeat(_)))
}

#[test]
fn verify_that_only_a_balancer_that_accepts_loads_gets_them() {
    let mut agent = agent();
    relay(&mut agent, at(0), &from_caller(0, 0), false);
    assert!(!sends_load(&mut agent, 0, 2_000), "previous release");
    relay(&mut agent, at(2_000), &from_caller(0, 0), true);
    assert!(sends_load(&mut agent, 2_000, 11_900));
    assert!(!sends_load(&mut agent, 11_900, 12_500), "10 s later");
    relay(&mut agent, at(12_500), &from_caller(0, 0), true);
    relay(&mut agent, at(12_500), &from_caller(0, 0), false);
    assert!(
        !sends_load(&mut agent, 12_500, 13_000),
        "went back to the previous release"
    );
}

#[test]
fn verify_that_only_the_answer_of_the_asked_balancer_gives_a_round_trip() {
    let mut agent = agent();
    relay(&mut agent, at(0), &from_caller(0, 0), true);
    assert!(sends_load(&mut agent, 0, 1_000));
    let mut round_trips_us = Vec::new();
    for now in (1_000..3_000).step_by(50).map(at) {
        if let Some(PeerMessage::LoadHeartbeat(sent)) = tick(&mut agent, now) {
            round_trips_us.push(sent.round_trip_us);
            // Loads without a heartbeat of the asked balancer answer an earlier question to another.
            let loads = || PeerMessage::from(PeerLoads::default());
            agent.on_message(now + Span::from_millis(1), loads(), &mut Vec::new());
            if round_trips_us.len() == 3 {
                balancer_heartbeat(&mut agent, now + Span::from_millis(6));
                agent.on_message(now + Span::from_millis(7), loads(), &mut Vec::new());
            }
        }
    }
    assert_eq!(round_trips_us[..5], [0, 0, 0, 7_000, 0]);
}

#[test]
fn verify_that_retransmissions_and_shed_requests_are_no_work() {
    let mut agent = agent();
    report(&mut agent, at(1));
    relay(&mut agent, at(1), &from_caller(0, 0), true);
    let answer = |agent: &mut Agent, time_ms, sequence, payload_bytes, status| {
        let segment = Segment {
            source: ADDRESS,
            destination: CALLER,
            payload_bytes,
            sequence,
            response_status: status,
            ..from_caller(1, 0)
        };
        agent.on_server_packet(at(time_ms), &segment, &[], &mut Vec::new());
        agent.host_load(at(time_ms)).work_ms
    };
    answer(&mut agent, 1, 1_000, 0, None);
    relay(&mut agent, at(10), &from_caller(1, 1_001), true);
    // A retransmission during the work changes nothing, and one after the response is no request.
    relay(&mut agent, at(30), &from_caller(1, 1_001), true);
    assert_eq!(answer(&mut agent, 50, 1_001, 100, Some(200)), 40);
    relay(&mut agent, at(51), &from_caller(1, 1_001), true);
    assert_eq!(answer(&mut agent, 52, 1_001, 100, Some(200)), 40);
    for (time_ms, sequence, status) in [(60, 101, 503), (70, 201, 500)] {
        let acknowledgment = 1_000 + sequence;
        relay(
            &mut agent,
            at(time_ms),
            &from_caller(sequence, acknowledgment),
            true,
        );
        let work_ms = answer(&mut agent, time_ms + 1, acknowledgment, 100, Some(status));
        assert_eq!(work_ms, 40, "status {status}");
    }
}

#[test]
fn verify_that_the_wait_of_a_service_is_unknown_without_half_of_its_loads() {
    let options = BalancerOptions {
        load_control: LOAD_CONTROL,
        ..BalancerOptions::default()
    };
    let mut balancer = Balancer::new(options, BALANCER, &[], at(0));
    balancer.on_catalogue(at(0), catalogue());
    let mut sequence = 0;
    let mut header_after = |from_ms: u64, to_ms: u64, loads: u8| {
        for time_ms in (from_ms..to_ms).step_by(250) {
            sequence += 1;
            balancer.on_tick(at(time_ms));
            for index in 1..=4 {
                let agent = agent_address(index);
                let heartbeat = AgentHeartbeat {
                    agent,
                    process: RunId(1),
                    sequence,
                    revision: 1,
                    asks_hosts: None,
                };
                let load = HostLoad {
                    wait_ms: 100 * u16::from(index),
                    work_ms: 30,
                    slots: 4,
                };
                let message = if sequence == 1 {
                    PeerMessage::Announcement(Announcement {
                        agent,
                        process: RunId(1),
                        sequence,
                        revision: 1,
                        service: service_name(0),
                        domain: domain_name(0),
                        run: RunId(1),
                        state: HostState::Ready,
                        catalogue: CatalogueVersion(1),
                        interval_ms: 250,
                        rerouted_addresses: Vec::new(),
                        asks_hosts: None,
                    })
                } else if index <= loads {
                    PeerMessage::LoadHeartbeat(LoadHeartbeat {
                        heartbeat,
                        load,
                        round_trip_us: 0,
                    })
                } else {
                    PeerMessage::Heartbeat(heartbeat)
                };
                balancer.on_message(at(time_ms), message);
            }
        }
        match balancer.on_packet(at(to_ms), &from_caller(0, 0)) {
            ForwardingDecision::Forward { header, .. } => {
                assert!(header.accepts_load);
                header.service_wait
            }
            decision => panic!("{decision:?}"),
        }
    };
    let shortest = ServiceWait::from_wait(Span::from_millis(100));
    assert_eq!(header_after(0, 250, 4), ServiceWait::UNKNOWN, "announced");
    assert_eq!(header_after(250, 1_000, 4), shortest);
    // The load of each host stays known for 3 s; hosts 3 and 4 then send heartbeats of the
    // previous release, and later host 2 as well.
    assert_eq!(header_after(1_000, 5_000, 2), shortest);
    assert_eq!(header_after(5_000, 7_000, 1), shortest, "view of 2 s");
    assert_eq!(header_after(7_000, 9_000, 1), ServiceWait::UNKNOWN);
}
