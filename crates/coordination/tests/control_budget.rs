//! Tests of the rate limit for control traffic (section 9 of the design).

use {
    cardamomloom_coordination::dissemination::budget::{BudgetOptions, ControlBudget, Priority},
    cardamomloom_core::{ByteCount, ByteRate, Span, Time},
    proptest::prelude::*,
};

fn options() -> BudgetOptions {
    BudgetOptions {
        rate_bytes_per_s: ByteRate(3_000),
        burst_bytes: ByteCount(6_000),
        max_queued_per_priority: 64,
    }
}

/// Guards against queued load reports that delay the announcement of a lost failure domain.
#[test]
fn verify_urgent_messages_pass_first() {
    let mut budget = ControlBudget::new(options());
    for number in 0..10 {
        budget.enqueue(Priority::Load, 1_000, (Priority::Load, number));
    }
    assert_eq!(
        budget.dequeue(Time::ZERO).len(),
        6,
        "a burst of 6,000 bytes holds 6 messages"
    );
    for priority in Priority::ALL.into_iter().rev() {
        budget.enqueue(priority, 1_000, (priority, 100));
    }
    let mut order = Vec::new();
    for second in 1..4 {
        order.extend(budget.dequeue(Time::ZERO + Span::from_secs(second)));
    }
    let priorities: Vec<Priority> = order.iter().map(|(priority, _)| *priority).collect();
    assert_eq!(priorities[..4], Priority::ALL);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against exceeding the rate limit, unbounded queues, and messages that are dropped
    /// without being counted, for random sizes and times of messages.
    #[test]
    fn verify_rate_and_queues_are_limited(
        messages in prop::collection::vec((0_usize..4, 30_u64..1_400, 0_u64..300), 1..400),
    ) {
        let mut budget = ControlBudget::new(options());
        let mut now = Time::ZERO;
        let (mut sent_bytes, mut sent_count) = (0, 0);
        for (priority, bytes, elapsed_ms) in &messages {
            now = now + Span::from_millis(*elapsed_ms);
            budget.enqueue(Priority::ALL[*priority], *bytes, *bytes);
            let dequeued = budget.dequeue(now);
            sent_bytes += dequeued.iter().sum::<u64>();
            sent_count += dequeued.len();
            let limit = 6_000 + now.0 * 3_000 / 1_000_000;
            prop_assert!(sent_bytes <= limit, "{sent_bytes} bytes sent, {limit} allowed at {now}");
            prop_assert!(budget.queued() <= 4 * 64);
        }
        let dropped: u64 = budget.dropped().iter().sum();
        prop_assert_eq!(sent_count + budget.queued() + usize::try_from(dropped).unwrap_or(0), messages.len());
    }
}
