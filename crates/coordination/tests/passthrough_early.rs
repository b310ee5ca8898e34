//! Opening packets that come before a balancer can place them: guards against a caller that waits
//! for its copy although the balancer knows a host sooner, and against memory without a bound.

use {
    cardamomloom_coordination::passthrough::balancer::StartupQueue,
    cardamomloom_core::{Span, Time},
};

const fn at(time_ms: u64) -> Time {
    Time::from_millis(time_ms)
}

#[test]
fn verify_that_early_packets_are_placed_in_order_once() {
    let mut early = StartupQueue::default();
    for number in 0..3_u8 {
        assert!(early.push(at(u64::from(number) * 10), &[number]));
    }
    let packets = early.drain(at(60));
    assert_eq!(packets, [[0].into(), [1].into(), [2].into()]);
    assert!(early.drain(at(61)).is_empty());
}

#[test]
fn verify_that_a_packet_whose_copy_is_due_is_not_placed() {
    let mut early = StartupQueue::new(8, Span::from_millis(180));
    early.push(at(0), &[1]);
    early.push(at(150), &[2]);
    assert_eq!(early.drain(at(190)), [[2].into()]);
}

#[test]
fn verify_that_the_held_packets_are_bounded() {
    let mut early = StartupQueue::new(2, Span::from_millis(180));
    assert!(early.push(at(0), &[1]));
    assert!(early.push(at(0), &[2]));
    assert!(!early.push(at(1), &[3]));
    assert!(
        early.push(at(200), &[4]),
        "room after the first have expired"
    );
}
