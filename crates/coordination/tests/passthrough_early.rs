//! SYNs that arrive before a balancer can place them. Guards against callers that have to
//! retransmit a SYN although the balancer learns of a host sooner, and against unbounded memory.

use {
    cardamomloom_coordination::passthrough::balancer::StartupQueue,
    cardamomloom_core::{Span, Time},
};

const fn at(time_ms: u64) -> Time {
    Time::from_millis(time_ms)
}

#[test]
fn verify_that_queued_packets_are_returned_in_order_once() {
    let mut queue = StartupQueue::default();
    for number in 0..3_u8 {
        assert!(queue.push(at(u64::from(number) * 10), &[number]));
    }
    let packets = queue.drain(at(60));
    assert_eq!(packets, [[0].into(), [1].into(), [2].into()]);
    assert!(queue.drain(at(61)).is_empty());
}

#[test]
fn verify_that_an_expired_packet_is_not_returned() {
    let mut queue = StartupQueue::new(8, Span::from_millis(180));
    queue.push(at(0), &[1]);
    queue.push(at(150), &[2]);
    assert_eq!(queue.drain(at(190)), [[2].into()]);
}

#[test]
fn verify_that_the_queue_is_bounded() {
    let mut queue = StartupQueue::new(2, Span::from_millis(180));
    assert!(queue.push(at(0), &[1]));
    assert!(queue.push(at(0), &[2]));
    assert!(!queue.push(at(1), &[3]));
    assert!(
        queue.push(at(200), &[4]),
        "the queue has room after the first packets have expired"
    );
}
