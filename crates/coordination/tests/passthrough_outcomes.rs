//! Outlier detection: the share of new flows that a backend server gets when it fails requests.
//! Guards against callers that are repeatedly sent to a failing backend server, against one that is
//! never tested again, and against ejection because of single failures.

use {
    cardamomloom_coordination::passthrough::agent::{Outcome, OutcomeOptions, OutcomeTracker},
    cardamomloom_core::Time,
};

/// Offers a flow every `interval_ms`, `flows` in total, and returns the number of admitted ones.
/// The backend server fails every admitted flow whose number is a multiple of `failure_period`.
fn offer_flows(
    outcomes: &mut OutcomeTracker,
    from_ms: u64,
    flows: u64,
    interval_ms: u64,
    failure_period: Option<u64>,
) -> u64 {
    let mut admitted = 0;
    for index in 0..flows {
        let now = Time::from_millis(from_ms + index * interval_ms);
        if outcomes.admit_next(now) {
            admitted += 1;
            let fails = failure_period.is_some_and(|period| admitted % period == 0);
            outcomes.record(
                now,
                if fails {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                },
            );
        }
    }
    admitted
}

#[test]
fn verify_that_a_server_that_fails_half_gets_few_flows() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    offer_flows(&mut outcomes, 0, 20, 50, Some(2));
    let admitted = offer_flows(&mut outcomes, 1_000, 200, 50, Some(2));
    assert!((20..=50).contains(&admitted), "{admitted} of 200 flows");
}

#[test]
fn verify_that_a_recovered_server_gets_its_share_back() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    offer_flows(&mut outcomes, 0, 200, 50, Some(2));
    let last_failure = Time::from_millis(10_000);
    assert!(outcomes.admitted_share(last_failure) < 0.5);
    offer_flows(&mut outcomes, 10_000, 100, 50, None);
    let admitted = offer_flows(&mut outcomes, 15_000, 100, 50, None);
    assert_eq!(admitted, 100);
}

#[test]
fn verify_that_a_server_with_little_load_that_fails_everything_is_detected() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    let admitted = offer_flows(&mut outcomes, 0, 60, 1_000, Some(1));
    assert!(admitted <= 40, "{admitted} of 60 flows, one a second");
}

#[test]
fn verify_that_single_failures_change_nothing() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    let admitted = offer_flows(&mut outcomes, 0, 400, 50, Some(40));
    assert_eq!(admitted, 400);
}

/// A backend server that has just started resets a few packets of flows that it does not hold.
#[test]
fn verify_that_two_resets_of_a_starting_server_change_nothing() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    let now = Time::from_millis(1_000);
    for outcome in [[Outcome::Failed; 2], [Outcome::Answered; 2]].concat() {
        outcomes.record(now, outcome);
    }
    assert!((outcomes.admitted_share(now) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn verify_that_a_server_that_fails_everything_is_still_tested() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    let admitted = offer_flows(&mut outcomes, 0, 400, 50, Some(1));
    assert!((40..=80).contains(&admitted), "{admitted} of 400 flows");
}

#[test]
fn verify_that_a_new_run_starts_without_outcomes() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    offer_flows(&mut outcomes, 0, 100, 50, Some(1));
    outcomes.reset();
    assert!((outcomes.admitted_share(Time::from_millis(5_000)) - 1.0).abs() < f64::EPSILON);
    assert_eq!(outcomes.totals().0, 0);
}
