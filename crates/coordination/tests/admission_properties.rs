//! Random sequences of admissions, failures and changes of limits against a simple oracle.

use {
    cardamomloom_coordination::admission::{
        AdaptiveLimitOptions, Admission, AdmissionPolicy, Attempt, ConnectOutcome, ConnectionGuard,
        Limits, ServerReport,
    },
    cardamomloom_core::{Span, Time, Weight},
    cardamomloom_protocol::object::ServiceClass,
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
};

#[derive(Clone, Debug)]
enum Step {
    Admit(u8),
    Accept(u8),
    Refuse(u8),
    Close(u8),
    Reset,
    BecomeCold,
    Report(bool),
    Accepting(bool),
    Limits { slots: u32, per_slot: u32 },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1..20_u8).prop_map(Step::Admit),
        8 => any::<u8>().prop_map(Step::Accept),
        1 => any::<u8>().prop_map(Step::Refuse),
        4 => any::<u8>().prop_map(Step::Close),
        1 => Just(Step::Reset),
        1 => Just(Step::BecomeCold),
        1 => any::<bool>().prop_map(Step::Report),
        1 => prop_oneof![3 => Just(true), 1 => Just(false)].prop_map(Step::Accepting),
        1 => (1..5_u32, 1..30_u32).prop_map(|(slots, per_slot)| Step::Limits { slots, per_slot }),
        6 => (0..500_u64).prop_map(Step::Wait),
    ]
}

fn limits(slots: u32, per_slot: u32) -> Limits {
    Limits {
        slots,
        connections_per_slot: per_slot,
        slow_start_connections: 4,
        slow_start_span: Span::from_secs(2),
        class: ServiceClass::Standard,
        weight: Weight::STANDARD,
    }
}

/// What the oracle knows: how many guards are held, and the limits.
struct Oracle {
    connecting: Vec<ConnectionGuard>,
    open: Vec<ConnectionGuard>,
    limits: Limits,
    accepting: bool,
    now: Time,
    /// Connections that the server accepted since trust last fell to cold.
    accepted_since_cold: u64,
    collapses: u64,
}

impl Oracle {
    fn held(&self) -> usize {
        self.connecting.len() + self.open.len()
    }
}

fn pick(guards: &mut Vec<ConnectionGuard>, index: u8) -> Option<ConnectionGuard> {
    let count = guards.len();
    (count > 0).then(|| guards.swap_remove(usize::from(index) % count))
}

fn apply(
    policy: &mut AdmissionPolicy,
    oracle: &mut Oracle,
    step: &Step,
) -> Result<(), TestCaseError> {
    let now = oracle.now;
    let trusted_before = policy.status().adaptive_limit;
    match step {
        Step::Admit(count) => {
            for _ in 0..*count {
                let Ok(guard) = policy.admit(now, Attempt::default()) else {
                    break;
                };
                prop_assert!(oracle.accepting, "a draining host admitted a connection");
                oracle.connecting.push(guard);
                let held = oracle.held() as u64;
                prop_assert!(held <= u64::from(oracle.limits.connections()));
            }
        }
        Step::Accept(index) => {
            if let Some(mut guard) = pick(&mut oracle.connecting, *index) {
                guard.set_connected();
                oracle.open.push(guard);
                oracle.accepted_since_cold += 1;
                let latency = Span::from_millis(1);
                policy.observe_connect(now, ConnectOutcome::Accepted { latency });
            }
        }
        Step::Refuse(index) => {
            drop(pick(&mut oracle.connecting, *index));
            policy.observe_connect(now, ConnectOutcome::Refused);
            let most = oracle.limits.slow_start_connections;
            prop_assert!(
                policy.status().adaptive_limit <= most,
                "trust after a refusal"
            );
            prop_assert!(policy.admit(now, Attempt::default()).is_err());
        }
        Step::Close(index) => drop(pick(&mut oracle.open, *index)),
        Step::Reset => {
            drop(oracle.open.pop());
            policy.observe_reset(now);
        }
        Step::BecomeCold => {
            policy.restart_slow_start(now);
            oracle.accepted_since_cold = 0;
        }
        Step::Report(shedding) => {
            let load_ppm = if *shedding { 1_000_000 } else { 0 };
            policy.observe_report(
                now,
                ServerReport {
                    load_ppm,
                    shedding: *shedding,
                },
            );
            prop_assert_eq!(policy.status().adaptive_limit, trusted_before);
        }
        Step::Accepting(accepting) => {
            oracle.accepting = *accepting;
            policy.set_accepting(*accepting);
        }
        Step::Limits { slots, per_slot } => {
            oracle.limits = limits(*slots, *per_slot);
            policy.set_limits(oracle.limits);
        }
        Step::Wait(span_ms) => oracle.now = now + Span::from_millis(*span_ms),
    }
    check(policy, oracle)
}

fn check(policy: &AdmissionPolicy, oracle: &mut Oracle) -> Result<(), TestCaseError> {
    let status = policy.status();
    prop_assert_eq!(
        status.open_connections as usize,
        oracle.held(),
        "guards and count differ"
    );
    prop_assert!(status.adaptive_limit <= oracle.limits.connections().max(4));
    if status.limit_resets > oracle.collapses {
        oracle.collapses = status.limit_resets;
        oracle.accepted_since_cold = 0;
    }
    // Trust is earned: a step raises it by a quarter for an eighth of it in successes. Rounding
    // makes this at most three connections for each success.
    let earned = u64::from(oracle.limits.slow_start_connections) + 3 * oracle.accepted_since_cold;
    prop_assert!(
        u64::from(status.adaptive_limit) <= earned,
        "trust without success"
    );
    Ok(())
}

/// Guards against a limit that is exceeded by one connection, a guard that does not release, a
/// draining host that admits, and trust that rises without observed success.
#[test]
fn verify_admission_agrees_with_an_oracle() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..300);
    let outcome = runner.run(&steps, |steps| {
        let mut oracle = Oracle {
            connecting: Vec::new(),
            open: Vec::new(),
            limits: limits(4, 20),
            accepting: true,
            now: Time::ZERO,
            accepted_since_cold: 0,
            collapses: 0,
        };
        let mut policy = AdmissionPolicy::new(oracle.limits, AdaptiveLimitOptions::default());
        for step in &steps {
            apply(&mut policy, &mut oracle, step)?;
        }
        Ok(())
    });
    outcome.expect("admission and oracle agree");
}

/// Guards against a lower class that fills a server under pressure before a higher one.
#[test]
fn verify_lower_class_gives_way_first() {
    let admitted = |class| {
        let limits = Limits {
            class,
            slow_start_connections: 80,
            ..limits(4, 20)
        };
        let mut policy = AdmissionPolicy::new(limits, AdaptiveLimitOptions::default());
        policy.observe_report(
            Time::ZERO,
            ServerReport {
                load_ppm: 1_000_000,
                shedding: true,
            },
        );
        let guards: Vec<_> = (0..100)
            .map_while(|_| policy.admit(Time::ZERO, Attempt::default()).ok())
            .collect();
        let retries = (0..1_000)
            .take_while(|_| policy.withdraw_retry(Time::ZERO))
            .count();
        (guards.len(), retries)
    };
    let (bulk, standard) = (
        admitted(ServiceClass::Bulk),
        admitted(ServiceClass::Standard),
    );
    let critical = admitted(ServiceClass::Critical);
    assert!(
        bulk.0 < standard.0 && standard.0 < critical.0,
        "{bulk:?} {standard:?} {critical:?}"
    );
    assert!(
        bulk.1 < standard.1 && standard.1 < critical.1,
        "{bulk:?} {standard:?} {critical:?}"
    );
    assert_eq!(critical.0, 80, "the highest class may fill the limit");
}

/// Guards against trust that rises with time alone: an idle server becomes cold unnoticed.
#[test]
fn verify_an_idle_server_earns_no_trust() {
    let mut policy = AdmissionPolicy::new(limits(4, 20), AdaptiveLimitOptions::default());
    let before = policy.status().adaptive_limit;
    for second in 0..600 {
        let now = Time::from_millis(second * 1_000);
        let mut guard = policy
            .admit(now, Attempt::default())
            .expect("an idle server has room");
        guard.set_connected();
        let latency = Span::from_millis(1);
        policy.observe_connect(now, ConnectOutcome::Accepted { latency });
    }
    assert_eq!(policy.status().adaptive_limit, before);
}

/// Guards against a server with many connections that counts as cold for the few resets of normal
/// service, and against one that resets many and does not.
#[test]
fn verify_resets_count_in_proportion_to_open_connections() {
    let limits = Limits {
        slow_start_connections: 1_000,
        ..limits(4, 250)
    };
    let collapses_after = |resets| {
        let mut policy = AdmissionPolicy::new(limits, AdaptiveLimitOptions::default());
        let admit = |policy: &mut AdmissionPolicy| {
            let mut guard = policy.admit(Time::ZERO, Attempt::default()).ok()?;
            guard.set_connected();
            Some(guard)
        };
        let guards: Vec<_> = (0..1_000).map_while(|_| admit(&mut policy)).collect();
        assert_eq!(guards.len(), 1_000);
        for _ in 0..resets {
            policy.observe_reset(Time::ZERO);
        }
        policy.status().limit_resets
    };
    assert_eq!((collapses_after(9), collapses_after(10)), (0, 1));
}
