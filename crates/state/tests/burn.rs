//! Tests of the windows of connection counts and of burn rates.

use {
    cardamomloom_core::{PartsPerMillion, ServiceId, Time},
    cardamomloom_state::burn::{BurnLog, Urgency, WINDOWS_S, WindowSum, burn_rate, urgency},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
};

const MICROS_PER_S: u64 = 1_000_000;

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a window that counts connections from before its start, or omits some within
    /// it.
    #[test]
    fn verify_windows_hold_their_connections(
        steps in prop::collection::vec((1_u64..20_000, 0_u64..5, 0_u64..5), 1..200)
    ) {
        let mut log = BurnLog::default();
        let mut recorded = Vec::new();
        let mut now_s = 0;
        for (step_s, good, bad) in steps {
            now_s += step_s;
            log.record(Time(now_s * MICROS_PER_S), good, bad);
            recorded.push((now_s, good, bad));
        }
        let samples = log.samples(Time(now_s * MICROS_PER_S), ServiceId(1));
        for (window_s, sum) in WINDOWS_S.into_iter().zip(&samples.windows) {
            let bucket_s = if window_s <= 3_600 { 10 } else { 300 };
            let within = |limit_s: u64| {
                let recent = recorded.iter().filter(|event| now_s - event.0 < limit_s);
                recent.fold((0, 0), |total, event| (total.0 + event.1, total.1 + event.2))
            };
            // A bucket that lies only partly within the window, at its start, is not counted.
            let (min, max) = (within(window_s - bucket_s), within(window_s));
            prop_assert!(sum.good >= min.0 && sum.good <= max.0, "{sum:?} is not within {min:?} and {max:?}");
            prop_assert!(sum.bad >= min.1 && sum.bad <= max.1, "{sum:?} is not within {min:?} and {max:?}");
        }
        let history: u64 = samples.history.iter().map(|sum| sum.good).sum();
        prop_assert_eq!(history, samples.windows[3].good);
    }
}

fn sums(bad_per_1000: [u64; 4]) -> Vec<WindowSum> {
    bad_per_1000
        .into_iter()
        .zip(WINDOWS_S)
        .map(|(bad, window_s)| WindowSum {
            window_s,
            good: 1_000 - bad,
            bad,
        })
        .collect()
}

/// Guards against a page for a short burst of failures, and against a slow burn without any alert.
#[test]
fn verify_urgency_needs_a_short_and_a_long_window() {
    let objective = PartsPerMillion(999_000);
    assert_eq!(urgency(&sums([20, 1, 0, 0]), objective), Urgency::None);
    assert_eq!(urgency(&sums([20, 20, 1, 0]), objective), Urgency::Page);
    assert_eq!(urgency(&sums([0, 0, 7, 1]), objective), Urgency::Ticket);
    assert_eq!(urgency(&sums([0, 0, 0, 2]), objective), Urgency::Ticket);
    assert_eq!(urgency(&[], objective), Urgency::None);
}

/// Guards against a division by zero when the objective allows no failures or there are no
/// connections.
#[test]
fn verify_burn_without_budget_or_connections() {
    let strict = PartsPerMillion(1_000_000);
    assert_eq!(burn_rate(&WindowSum::default(), strict), None);
    assert_eq!(burn_rate(&sums([0; 4])[0], strict), Some(0.0));
    assert_eq!(burn_rate(&sums([1; 4])[0], strict), None);
    assert_eq!(urgency(&sums([1, 1, 1, 1]), strict), Urgency::Page);
    assert_eq!(urgency(&sums([0, 0, 0, 1]), strict), Urgency::Ticket);
}
