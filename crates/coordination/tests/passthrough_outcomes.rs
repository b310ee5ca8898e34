//! Share of new flows of a backend server that fails requests: guards against callers that are sent
//! to it again and again, against one that is never tried again, and against single failures that
//! take a backend server out.

use {
    cardamomloom_coordination::passthrough::agent::{Outcome, OutcomeOptions, OutcomeTracker},
    cardamomloom_core::Time,
};

/// Offers `flows` flows, one each `interval_ms`, of which the backend server fails every `failing`th
/// one that it gets, and returns how many it got.
fn offer(
    outcomes: &mut OutcomeTracker,
    from_ms: u64,
    flows: u64,
    interval_ms: u64,
    failing: Option<u64>,
) -> u64 {
    let mut taken = 0;
    for index in 0..flows {
        let now = Time::from_millis(from_ms + index * interval_ms);
        if outcomes.admits(now) {
            taken += 1;
            let fails = failing.is_some_and(|failing| taken % failing == 0);
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
    taken
}

#[test]
fn verify_that_a_server_that_fails_half_gets_few_flows() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    offer(&mut outcomes, 0, 20, 50, Some(2));
    let taken = offer(&mut outcomes, 1_000, 200, 50, Some(2));
    assert!((20..=50).contains(&taken), "{taken} of 200 flows");
}

#[test]
fn verify_that_a_recovered_server_gets_its_share_back() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    offer(&mut outcomes, 0, 200, 50, Some(2));
    let last_failure = Time::from_millis(10_000);
    assert!(outcomes.admitted_share(last_failure) < 0.5);
    offer(&mut outcomes, 10_000, 100, 50, None);
    let taken = offer(&mut outcomes, 15_000, 100, 50, None);
    assert_eq!(taken, 100);
}

#[test]
fn verify_that_a_server_with_little_load_that_fails_everything_is_noticed() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    let taken = offer(&mut outcomes, 0, 60, 1_000, Some(1));
    assert!(taken <= 40, "{taken} of 60 flows, one a second");
}

#[test]
fn verify_that_single_failures_change_nothing() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    let taken = offer(&mut outcomes, 0, 400, 50, Some(40));
    assert_eq!(taken, 400);
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
fn verify_that_a_server_that_fails_everything_is_still_tried() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    let taken = offer(&mut outcomes, 0, 400, 50, Some(1));
    assert!((40..=80).contains(&taken), "{taken} of 400 flows");
}

#[test]
fn verify_that_a_new_life_starts_without_a_record() {
    let mut outcomes = OutcomeTracker::new(OutcomeOptions::default());
    offer(&mut outcomes, 0, 100, 50, Some(1));
    outcomes.restart();
    assert!((outcomes.admitted_share(Time::from_millis(5_000)) - 1.0).abs() < f64::EPSILON);
    assert_eq!(outcomes.totals().0, 0);
}
