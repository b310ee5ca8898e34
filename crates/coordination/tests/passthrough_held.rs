//! Openings that wait for room at a backend server: guards against callers of urgent routes that
//! wait behind others, against flows that open twice, and against memory without a bound.

use {
    cardamomloom_coordination::passthrough::agent::{QueuedSyn, SynQueue},
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{
        CatalogueVersion, FlowId, RelayHeader, RunId, ServiceTag,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const fn at(time_ms: u64) -> Time {
    Time::from_millis(time_ms)
}

fn opening(port: u16, priority: u8, copies_before: u32) -> QueuedSyn {
    QueuedSyn {
        flow: FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        },
        priority,
        copies_before,
        header: RelayHeader::from_balancer(
            Ipv4Addr::LOCALHOST,
            ServiceTag(1),
            CatalogueVersion(1),
            RunId(1),
        ),
        packet: Box::default(),
    }
}

fn order(held: &mut SynQueue, now: Time) -> Vec<u16> {
    std::iter::from_fn(|| held.take(now))
        .map(|opening| opening.flow.caller.port())
        .collect()
}

#[test]
fn verify_that_urgent_routes_go_first_and_then_the_newest() {
    let mut held = SynQueue::new(8);
    for (time_ms, port, priority) in [(0, 1, 2), (10, 2, 1), (20, 3, 2), (30, 4, 1)] {
        held.hold(at(time_ms), opening(port, priority, 0));
    }
    assert_eq!(order(&mut held, at(40)), [4, 2, 3, 1]);
}

#[test]
fn verify_that_an_opening_whose_copy_is_due_is_forgotten() {
    let mut held = SynQueue::new(8);
    held.hold(at(0), opening(1, 1, 0));
    held.hold(at(1), opening(2, 1, 1));
    held.hold(at(2), opening(3, 1, 2));
    assert_eq!(order(&mut held, at(300)), [3, 2]);
}

#[test]
fn verify_that_a_copy_takes_the_place_of_its_original() {
    let mut held = SynQueue::new(8);
    held.hold(at(0), opening(1, 1, 0));
    held.hold(at(100), opening(1, 1, 1));
    assert_eq!(order(&mut held, at(120)), [1]);
}

#[test]
fn verify_that_the_oldest_of_the_least_urgent_is_forgotten_when_full() {
    let mut held = SynQueue::new(2);
    held.hold(at(0), opening(1, 2, 0));
    held.hold(at(10), opening(2, 2, 0));
    held.hold(at(20), opening(3, 1, 0));
    assert_eq!(order(&mut held, at(30)), [3, 2]);
}
