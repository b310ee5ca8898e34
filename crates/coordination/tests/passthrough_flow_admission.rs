//! Decisions on new flows under overload. Guards against a late flow that takes a slot from one in
//! goal, against the rejection of a flow that a host may answer or may have received, and against the
//! starvation of a less urgent route.

use {
    cardamomloom_coordination::passthrough::{
        agent::{GoalPosition, QueueRoom, QueuedSyn, SynQueue},
        load::{FlowDecision, HostState, HostTimes, NewFlow, RejectionCause, SlotDemand, syn_age},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        CatalogueVersion, FlowId, RelayHeader, RunId, ServiceTag, ServiceWait,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const fn ms(span_ms: u64) -> Span {
    Span::from_millis(span_ms)
}

const TIMES: HostTimes = HostTimes {
    slots: 2,
    work: ms(30),
    handshake: ms(10),
};

fn first_syn(service_wait_ms: u64) -> NewFlow {
    NewFlow {
        age: syn_age(0),
        goal: ms(250),
        timeout: Some(ms(1_000)),
        is_undelivered: true,
        service_wait: ServiceWait::from_wait(ms(service_wait_ms)),
    }
}

const fn full_host(wait_ms: u64) -> HostState {
    HostState {
        times: TIMES,
        wait: ms(wait_ms),
        has_room: false,
        has_late_room: false,
        is_filled_in_goal: true,
        may_relay: false,
    }
}

#[test]
fn verify_that_late_flows_take_only_room_that_is_left() {
    let host = |has_late_room| HostState {
        has_room: true,
        has_late_room,
        ..full_host(0)
    };
    let fresh = first_syn(0);
    let late = NewFlow {
        age: syn_age(1),
        is_undelivered: false,
        ..fresh
    };
    let late = NewFlow {
        goal: ms(200),
        ..late
    };
    assert_eq!(
        fresh.decide(&host(false)),
        FlowDecision::Accept { is_late: false }
    );
    assert_eq!(late.decide(&host(false)), FlowDecision::QueueLate);
    assert_eq!(
        late.decide(&host(true)),
        FlowDecision::Accept { is_late: true }
    );
}

#[test]
fn verify_that_a_flow_is_rejected_only_if_no_host_can_answer_it() {
    let decide = |flow: NewFlow, wait_ms| flow.decide(&full_host(wait_ms));
    assert_eq!(
        decide(first_syn(300), 300),
        FlowDecision::Reject(RejectionCause::FilledInGoal)
    );
    assert_eq!(
        decide(first_syn(1_500), 1_500),
        FlowDecision::Reject(RejectionCause::BeyondTimeout)
    );
    // Another host has room, or nothing is known of the others.
    assert_eq!(decide(first_syn(4), 1_500), FlowDecision::QueueLate);
    let unknown = NewFlow {
        service_wait: ServiceWait::UNKNOWN,
        ..first_syn(0)
    };
    assert_eq!(decide(unknown, 1_500), FlowDecision::QueueLate);
    // A host may have received an earlier copy, or the timeout is not configured.
    let delivered = NewFlow {
        is_undelivered: false,
        ..first_syn(1_500)
    };
    assert_eq!(decide(delivered, 1_500), FlowDecision::QueueLate);
    let without_timeout = NewFlow {
        timeout: None,
        ..first_syn(1_500)
    };
    assert_eq!(decide(without_timeout, 1_500), FlowDecision::QueueLate);
    // Slots have room for late flows.
    let host = HostState {
        is_filled_in_goal: false,
        ..full_host(300)
    };
    assert_eq!(first_syn(300).decide(&host), FlowDecision::QueueLate);
}

#[test]
fn verify_that_the_hosts_own_queue_stays_short() {
    assert_eq!(TIMES.max_in_progress(8), 5);
    assert_eq!(TIMES.max_late_in_progress(8), 3);
    let fast = HostTimes {
        work: ms(1),
        ..TIMES
    };
    assert_eq!(fast.max_in_progress(8), 8);
}

#[test]
fn verify_that_slots_count_as_filled_only_without_late_flows() {
    let mut demand = SlotDemand::default();
    for index in 0..70 {
        demand.on_request(Time::from_millis(index * 15));
    }
    let now = Time::from_millis(1_050);
    assert!(demand.fills_slots(now, &TIMES));
    assert!(!demand.fills_slots(Time::from_millis(1_400), &TIMES));
    demand.on_late_flow(now);
    assert!(!demand.fills_slots(now, &TIMES));
}

fn syn(port: u16, priority: u8) -> QueuedSyn {
    QueuedSyn {
        flow: FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, priority), 443),
        },
        priority,
        retransmissions: 0,
        header: RelayHeader::from_balancer(
            Ipv4Addr::LOCALHOST,
            ServiceTag(1),
            CatalogueVersion(1),
            RunId(1),
        ),
        packet: Box::default(),
    }
}

fn queue(queue: &mut SynQueue, now_ms: u64, syn: QueuedSyn, admit_by_ms: Option<u64>) {
    let now = Time::from_millis(now_ms);
    let position = GoalPosition {
        sent_at: now,
        admit_by: admit_by_ms.map(Time::from_millis),
    };
    queue.push_with_goal(now, syn, Some(position));
}

#[test]
fn verify_that_in_goal_syns_go_by_priority_and_arrival_and_late_ones_last() {
    let mut syns = SynQueue::new(8);
    for (now_ms, port, priority, admit_by_ms) in [
        (0, 1, 1, Some(100)),
        (1, 2, 0, None),
        (2, 3, 1, Some(100)),
        (3, 4, 0, Some(100)),
        (4, 5, 0, None),
        (5, 6, 0, Some(100)),
        (6, 7, 0, Some(20)),
    ] {
        queue(&mut syns, now_ms, syn(port, priority), admit_by_ms);
    }
    let now = Time::from_millis(50);
    let order: Vec<u16> = std::iter::from_fn(|| syns.pop(now))
        .map(|syn| syn.flow.caller.port())
        .collect();
    assert_eq!(order, [4, 6, 1, 3, 7, 5, 2]);
}

#[test]
fn verify_that_a_less_urgent_route_gets_its_share() {
    let mut syns = SynQueue::new(64);
    for port in 0..40 {
        queue(&mut syns, 0, syn(port, u8::from(port < 4)), Some(100));
    }
    let popped = (0..40).filter_map(|_| syns.pop_for(Time::from_millis(1), QueueRoom::ALL));
    let turns: Vec<usize> = popped
        .enumerate()
        .filter(|(_, (syn, _))| syn.priority == 1)
        .map(|(turn, _)| turn)
        .collect();
    assert_eq!(turns, [9, 19, 29, 39]);
}

#[test]
fn verify_that_a_syn_that_expires_is_handed_out_for_its_answer() {
    let mut syns = SynQueue::new(8);
    queue(&mut syns, 0, syn(1, 0), None);
    assert!(syns.take_discarded(Time::from_millis(170)).is_empty());
    assert_eq!(syns.take_discarded(Time::from_millis(171)).len(), 1);
    assert!(syns.is_empty());
}
