//! SYNs that are queued until a backend server has room. Guards against callers of urgent routes
//! that wait behind others, against flows that open twice because a SYN is answered after its
//! retransmission, and against unbounded memory.

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

fn syn(port: u16, priority: u8, retransmissions: u32) -> QueuedSyn {
    QueuedSyn {
        flow: FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        },
        priority,
        retransmissions,
        header: RelayHeader::from_balancer(
            Ipv4Addr::LOCALHOST,
            ServiceTag(1),
            CatalogueVersion(1),
            RunId(1),
        ),
        packet: Box::default(),
    }
}

/// Empties the queue and returns the callers' ports in the order of delivery.
fn delivery_order(queue: &mut SynQueue, now: Time) -> Vec<u16> {
    std::iter::from_fn(|| queue.pop(now))
        .map(|syn| syn.flow.caller.port())
        .collect()
}

#[test]
fn verify_that_urgent_routes_go_first_and_then_the_newest() {
    let mut queue = SynQueue::new(8);
    for (time_ms, port, priority) in [(0, 1, 2), (10, 2, 1), (20, 3, 2), (30, 4, 1)] {
        queue.push(at(time_ms), syn(port, priority, 0));
    }
    assert_eq!(delivery_order(&mut queue, at(40)), [4, 2, 3, 1]);
}

#[test]
fn verify_that_a_syn_about_to_be_retransmitted_is_discarded() {
    let mut queue = SynQueue::new(8);
    queue.push(at(0), syn(1, 1, 0));
    queue.push(at(1), syn(2, 1, 1));
    queue.push(at(2), syn(3, 1, 2));
    assert_eq!(delivery_order(&mut queue, at(300)), [3, 2]);
}

#[test]
fn verify_that_a_retransmitted_syn_replaces_the_queued_one() {
    let mut queue = SynQueue::new(8);
    queue.push(at(0), syn(1, 1, 0));
    queue.push(at(100), syn(1, 1, 1));
    assert_eq!(delivery_order(&mut queue, at(120)), [1]);
}

#[test]
fn verify_that_a_full_queue_discards_the_oldest_of_the_least_urgent() {
    let mut queue = SynQueue::new(2);
    queue.push(at(0), syn(1, 2, 0));
    queue.push(at(10), syn(2, 2, 0));
    queue.push(at(20), syn(3, 1, 0));
    assert_eq!(delivery_order(&mut queue, at(30)), [3, 2]);
}
