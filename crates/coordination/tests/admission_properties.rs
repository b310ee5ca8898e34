//! Property tests of admission: random sequences of admissions, failures and limit changes are
//! checked against a simple model.

use {
    cardamomloom_coordination::admission::{
        AdaptiveLimitOptions, Admission, AdmissionPolicy, AdmissionRequest, ConnectOutcome,
        ConnectionGuard, Limits, ServerReport,
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
    FailConnect(u8),
    Close(u8),
    Reset,
    RestartSlowStart,
    Report(bool),
    Accepting(bool),
    Limits { slots: u32, per_slot: u32 },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1..20_u8).prop_map(Step::Admit),
        8 => any::<u8>().prop_map(Step::Accept),
        1 => any::<u8>().prop_map(Step::FailConnect),
        4 => any::<u8>().prop_map(Step::Close),
        1 => Just(Step::Reset),
        1 => Just(Step::RestartSlowStart),
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

/// Model of the admission: the guards that are held, the limits and the accepted connections.
struct Oracle {
    connecting: Vec<ConnectionGuard>,
    open: Vec<ConnectionGuard>,
    limits: Limits,
    accepting: bool,
    now: Time,
    /// Connections that the server accepted since the last reset or restart of the slow start.
    accepted_since_reset: u64,
    /// Resets of the adaptive limit that the policy has reported.
    limit_resets: u64,
}

impl Oracle {
    fn guard_count(&self) -> usize {
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
    let previous_limit = policy.status().adaptive_limit;
    match step {
        Step::Admit(count) => {
            for _ in 0..*count {
                let Ok(guard) = policy.admit(now, AdmissionRequest::default()) else {
                    break;
                };
                prop_assert!(oracle.accepting, "a draining host admitted a connection");
                oracle.connecting.push(guard);
                let guards = oracle.guard_count() as u64;
                prop_assert!(guards <= u64::from(oracle.limits.connections()));
            }
        }
        Step::Accept(index) => {
            if let Some(mut guard) = pick(&mut oracle.connecting, *index) {
                guard.set_connected();
                oracle.open.push(guard);
                oracle.accepted_since_reset += 1;
                let latency = Span::from_millis(1);
                policy.observe_connect(now, ConnectOutcome::Accepted { latency });
            }
        }
        Step::FailConnect(index) => {
            drop(pick(&mut oracle.connecting, *index));
            policy.observe_connect(now, ConnectOutcome::Failed);
            let max_limit = oracle.limits.slow_start_connections;
            prop_assert!(
                policy.status().adaptive_limit <= max_limit,
                "the limit is above slow start after a failed connect"
            );
            prop_assert!(policy.admit(now, AdmissionRequest::default()).is_err());
        }
        Step::Close(index) => drop(pick(&mut oracle.open, *index)),
        Step::Reset => {
            drop(oracle.open.pop());
            policy.observe_reset(now);
        }
        Step::RestartSlowStart => {
            policy.restart_slow_start(now);
            oracle.accepted_since_reset = 0;
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
            prop_assert_eq!(policy.status().adaptive_limit, previous_limit);
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
        oracle.guard_count(),
        "the open connections differ from the guards that are held"
    );
    prop_assert!(status.adaptive_limit <= oracle.limits.connections().max(4));
    if status.limit_resets > oracle.limit_resets {
        oracle.limit_resets = status.limit_resets;
        oracle.accepted_since_reset = 0;
    }
    // A step raises the limit by a quarter and requires successes of an eighth of it. With
    // rounding, each success raises it by at most three connections.
    let max_limit =
        u64::from(oracle.limits.slow_start_connections) + 3 * oracle.accepted_since_reset;
    prop_assert!(
        u64::from(status.adaptive_limit) <= max_limit,
        "the limit rose without enough accepted connections"
    );
    Ok(())
}

/// Guards against a limit that is exceeded by one connection, a guard that does not release its
/// connection, a draining host that admits, and an adaptive limit that rises without observed
/// success.
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
            accepted_since_reset: 0,
            limit_resets: 0,
        };
        let mut policy = AdmissionPolicy::new(oracle.limits, AdaptiveLimitOptions::default());
        for step in &steps {
            apply(&mut policy, &mut oracle, step)?;
        }
        Ok(())
    });
    outcome.expect("admission and oracle agree");
}

/// Guards against a lower class that uses as much of an overloaded server, or as many retries, as a
/// higher one.
#[test]
fn verify_lower_class_is_shed_first() {
    let count_admitted_and_retries = |class| {
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
            .map_while(|_| policy.admit(Time::ZERO, AdmissionRequest::default()).ok())
            .collect();
        let retries = (0..1_000)
            .take_while(|_| policy.withdraw_retry(Time::ZERO))
            .count();
        (guards.len(), retries)
    };
    let (bulk, standard) = (
        count_admitted_and_retries(ServiceClass::Bulk),
        count_admitted_and_retries(ServiceClass::Standard),
    );
    let critical = count_admitted_and_retries(ServiceClass::Critical);
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

/// Guards against an adaptive limit that rises with time alone: an idle server can become cold
/// without any sign of it.
#[test]
fn verify_limit_of_an_idle_server_does_not_rise() {
    let mut policy = AdmissionPolicy::new(limits(4, 20), AdaptiveLimitOptions::default());
    let initial_limit = policy.status().adaptive_limit;
    for second in 0..600 {
        let now = Time::from_millis(second * 1_000);
        let mut guard = policy
            .admit(now, AdmissionRequest::default())
            .expect("an idle server is below its limit");
        guard.set_connected();
        let latency = Span::from_millis(1);
        policy.observe_connect(now, ConnectOutcome::Accepted { latency });
    }
    assert_eq!(policy.status().adaptive_limit, initial_limit);
}

/// Guards against a server with many connections whose limit is reset for the few connection resets
/// of normal service, and against one that resets many connections and keeps its limit.
#[test]
fn verify_resets_count_in_proportion_to_open_connections() {
    let limits = Limits {
        slow_start_connections: 1_000,
        ..limits(4, 250)
    };
    let limit_resets_after = |connection_resets| {
        let mut policy = AdmissionPolicy::new(limits, AdaptiveLimitOptions::default());
        let admit = |policy: &mut AdmissionPolicy| {
            let mut guard = policy.admit(Time::ZERO, AdmissionRequest::default()).ok()?;
            guard.set_connected();
            Some(guard)
        };
        let guards: Vec<_> = (0..1_000).map_while(|_| admit(&mut policy)).collect();
        assert_eq!(guards.len(), 1_000);
        for _ in 0..connection_resets {
            policy.observe_reset(Time::ZERO);
        }
        policy.status().limit_resets
    };
    assert_eq!((limit_resets_after(9), limit_resets_after(10)), (0, 1));
}
