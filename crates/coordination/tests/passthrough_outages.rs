//! Services without any host: guards against callers that wait for a service that is down, and
//! against refusals during a gap that the copies of an opening packet bridge.

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

fn is_certain(outages: &mut ServiceOutages, at_ms: u64, name: &str) -> bool {
    outages.is_certain(Time::from_millis(at_ms), &service(name))
}

#[test]
fn verify_that_a_long_outage_is_certain_and_a_gap_is_not() {
    let mut outages = outages();
    for at_ms in (0..1_500).step_by(100) {
        assert!(!is_certain(&mut outages, at_ms, "a"), "{at_ms} ms");
    }
    assert!(is_certain(&mut outages, 1_500, "a"));
    assert!(!is_certain(&mut outages, 1_500, "b"));
}

#[test]
fn verify_that_a_host_ends_an_outage() {
    let mut outages = outages();
    is_certain(&mut outages, 0, "a");
    is_certain(&mut outages, 1_000, "a");
    outages.end(&service("a"));
    assert!(!is_certain(&mut outages, 2_000, "a"));
}

#[test]
fn verify_that_a_time_without_callers_is_no_outage() {
    let mut outages = outages();
    is_certain(&mut outages, 0, "a");
    assert!(!is_certain(&mut outages, 60_000, "a"));
    assert!(!is_certain(&mut outages, 61_000, "a"));
    assert!(is_certain(&mut outages, 62_000, "a"));
}
