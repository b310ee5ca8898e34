//! Detection of services without any host. Guards against callers that wait for a service that is
//! down, and against refusals during a gap that is short enough for retransmitted SYNs to bridge.

use {
    cardamomloom_coordination::passthrough::balancer::ServiceOutages,
    cardamomloom_core::{ServiceName, Span, Time},
};

const REFUSE_AFTER: Span = Span::from_millis(1_500);

fn service(name: &str) -> ServiceName {
    name.parse().expect("valid name")
}

fn outages() -> ServiceOutages {
    ServiceOutages::new(REFUSE_AFTER)
}

/// Records that a new flow cannot be placed, and returns whether the outage is confirmed.
fn record_failure(outages: &mut ServiceOutages, at_ms: u64, name: &str) -> bool {
    outages.record_failure(Time::from_millis(at_ms), &service(name))
}

#[test]
fn verify_that_a_long_outage_is_confirmed_and_a_gap_is_not() {
    let mut outages = outages();
    for at_ms in (0..1_500).step_by(100) {
        assert!(!record_failure(&mut outages, at_ms, "a"), "{at_ms} ms");
    }
    assert!(record_failure(&mut outages, 1_500, "a"));
    assert!(!record_failure(&mut outages, 1_500, "b"));
}

#[test]
fn verify_that_a_placed_flow_ends_an_outage() {
    let mut outages = outages();
    record_failure(&mut outages, 0, "a");
    record_failure(&mut outages, 1_000, "a");
    outages.end(&service("a"));
    assert!(!record_failure(&mut outages, 2_000, "a"));
}

#[test]
fn verify_that_a_time_without_new_flows_does_not_count_as_outage() {
    let mut outages = outages();
    record_failure(&mut outages, 0, "a");
    assert!(!record_failure(&mut outages, 60_000, "a"));
    assert!(!record_failure(&mut outages, 61_000, "a"));
    assert!(record_failure(&mut outages, 62_000, "a"));
}
