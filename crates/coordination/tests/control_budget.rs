//! Byte budget of control traffic (section 9 of the design).

use {
    cardamomloom_coordination::dissemination::budget::{BudgetOptions, ControlBudget, Priority},
    cardamomloom_core::{ByteCount, ByteRate, Span, Time},
    proptest::prelude::*,
};

fn options() -> BudgetOptions {
    BudgetOptions {
        rate_bytes_per_s: ByteRate(3_000),
        burst_bytes: ByteCount(6_000),
        queue_limit: 64,
    }
}

/// Guards against load reports that delay the news of a lost failure domain.
#[test]
fn verify_urgent_messages_pass_first() {
    let mut budget = ControlBudget::new(options());
    for number in 0..10 {
        budget.offer(Priority::Load, 1_000, (Priority::Load, number));
    }
    assert_eq!(budget.take(Time::ZERO).len(), 6, "the burst is used up");
    for priority in Priority::ALL.into_iter().rev() {
        budget.offer(priority, 1_000, (priority, 100));
    }
    let mut order = Vec::new();
    for second in 1..4 {
        order.extend(budget.take(Time::ZERO + Span::from_secs(second)));
    }
    let priorities: Vec<Priority> = order.iter().map(|(priority, _)| *priority).collect();
    assert_eq!(priorities[..4], Priority::ALL);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a rate above the budget, a queue without bound, and messages that are lost
    /// without being counted, whatever is offered and when.
    #[test]
    fn verify_rate_and_queues_are_limited(
        offers in prop::collection::vec((0_usize..4, 30_u64..1_400, 0_u64..300), 1..400),
    ) {
        let mut budget = ControlBudget::new(options());
        let mut now = Time::ZERO;
        let (mut sent, mut passed) = (0, 0);
        for (priority, bytes, wait_ms) in &offers {
            now = now + Span::from_millis(*wait_ms);
            budget.offer(Priority::ALL[*priority], *bytes, *bytes);
            let ready = budget.take(now);
            sent += ready.iter().sum::<u64>();
            passed += ready.len();
            let limit = 6_000 + now.0 * 3_000 / 1_000_000;
            prop_assert!(sent <= limit, "{sent} bytes sent, {limit} allowed at {now}");
            prop_assert!(budget.waiting() <= 4 * 64);
        }
        let dropped: u64 = budget.dropped().iter().sum();
        prop_assert_eq!(passed + budget.waiting() + usize::try_from(dropped).unwrap_or(0), offers.len());
    }
}
