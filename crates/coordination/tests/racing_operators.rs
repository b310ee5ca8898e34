//! State-machine test of concurrent changes: operators race on one object while answers are lost,
//! writes are delayed and reads are stale. An oracle checks the history of the store.

use {
    cardamomloom_coordination::changes::{
        Action, Change, ChangeContext, ChangeMachine, ChangeOptions, Event, Intent, Outcome,
        ReadAnswer, WriteAnswer,
    },
    cardamomloom_core::{
        ObjectVersion, OperationId, Span, Time,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::{object::history::without_write_record, store_api::Object},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    serde_json::{Map, Value, json},
    std::sync::Arc,
};

const KEY: &str = "domains/tas-hobart";
const OPERATORS: usize = 4;

/// The timeout is three retry intervals, so that changes also end with an unknown outcome.
const OPTIONS: ChangeOptions = ChangeOptions {
    resolve_timeout: Span::from_millis(600),
    retry_interval: Span::from_millis(200),
};

/// What happens to one call of an operator to the store.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    /// The store executes the call and answers.
    Answered,
    /// The request is lost, so the store does not execute it.
    RequestLost,
    /// The store executes a write, and its answer is lost. A read is answered.
    AnswerLost,
    /// There is no answer to a write, and it reaches the store later, at the latest when the test
    /// ends. A read is answered.
    Delayed,
    /// The store refuses the call.
    Refused,
    /// A read is answered with the state of the store before this number of writes; a write is
    /// answered.
    Stale(usize),
}

#[derive(Clone, Debug)]
enum Step {
    /// An idle operator starts a change.
    Start {
        operator: usize,
        intent: u8,
        text: u8,
    },
    /// An operator executes the next action of its change.
    Call {
        operator: usize,
        outcome: CallOutcome,
    },
    /// A delayed write reaches the store.
    DeliverDelayed(usize),
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let outcome = prop_oneof![
            6 => Just(CallOutcome::Answered),
            1 => Just(CallOutcome::RequestLost),
            2 => Just(CallOutcome::AnswerLost),
            2 => Just(CallOutcome::Delayed),
            1 => Just(CallOutcome::Refused),
            1 => (0..6_usize).prop_map(CallOutcome::Stale),
        ];
        prop_oneof![
            2 => (0..OPERATORS, 0..6_u8, any::<u8>())
                .prop_map(|(operator, intent, text)| Step::Start { operator, intent, text }),
            12 => (0..OPERATORS, outcome)
                .prop_map(|(operator, outcome)| Step::Call { operator, outcome }),
            1 => any::<usize>().prop_map(Step::DeliverDelayed),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Conditional write to the store; a deletion has no value.
#[derive(Clone, Debug)]
struct Request {
    operation: OperationId,
    expected: ObjectVersion,
    value: Option<Value>,
}

/// Write that the store accepted, with the value that it replaced.
#[derive(Debug)]
struct AcceptedWrite {
    request: Request,
    replaced: Option<Value>,
}

#[derive(Debug)]
struct EndedChange {
    change: Change,
    base: ObjectVersion,
    outcome: Outcome,
}

struct RunningChange {
    change: Change,
    machine: ChangeMachine,
    /// Next action of the operator.
    action: Action,
}

/// A store with one object, and the operators that change it.
#[derive(Default)]
struct Simulation {
    now: Time,
    store_version: u64,
    object: Option<Object>,
    /// State of the store after each write, the newest last.
    past_states: Vec<ReadAnswer>,
    history: Vec<AcceptedWrite>,
    delayed: Vec<Request>,
    running: [Option<RunningChange>; OPERATORS],
    ended: Vec<EndedChange>,
    operation_count: u64,
}

impl Simulation {
    fn write(&mut self, request: &Request) -> WriteAnswer {
        let version = self
            .object
            .as_ref()
            .map_or(ObjectVersion(0), |object| object.version);
        if version != request.expected {
            return WriteAnswer::Conflict(self.object.clone());
        }
        self.store_version += 1;
        let replaced = self.object.take().and_then(|object| object.value);
        if let Some(value) = &request.value {
            self.object = Some(Object {
                key: Arc::from(KEY),
                version: ObjectVersion(self.store_version),
                value: Some(value.clone()),
            });
        }
        self.past_states.push(self.read());
        self.history.push(AcceptedWrite {
            request: request.clone(),
            replaced,
        });
        WriteAnswer::Accepted(ObjectVersion(self.store_version))
    }

    fn read(&self) -> ReadAnswer {
        ReadAnswer {
            object: self.object.clone(),
            store_version: ObjectVersion(self.store_version),
        }
    }

    /// Returns the state of the store before the last `writes_ago` writes.
    fn read_stale(&self, writes_ago: usize) -> ReadAnswer {
        let index = self.past_states.len().checked_sub(writes_ago + 1);
        index
            .and_then(|index| self.past_states.get(index).cloned())
            .unwrap_or_default()
    }

    fn start(&mut self, operator: usize, intent: u8, text: u8) {
        if self.running[operator].is_some() {
            return;
        }
        self.operation_count += 1;
        let reason = json!({"reason": format!("reason {text}")});
        let region = json!({"region": format!("region-{text}")});
        let intent = match intent {
            0 => Intent::Delete,
            1 | 2 => Intent::Replace(json!({
                "name": "tas-hobart", "region": "tas", "state": "in",
                "reason": format!("created by {}", self.operation_count),
            })),
            3 | 4 => Intent::Set(fields(reason)),
            _ => Intent::Set(fields(region)),
        };
        let change = Change {
            key: Arc::from(KEY),
            intent,
            operation: OperationId(self.operation_count),
            expected_version: None,
            force: true,
            dry_run: false,
        };
        let mut machine = ChangeMachine::new(change.clone(), OPTIONS);
        let action = machine.on_event(self.now, Event::Start);
        self.running[operator] = Some(RunningChange {
            change,
            machine,
            action,
        });
    }

    /// Executes the next action of an operator's change.
    fn call(&mut self, operator: usize, call_outcome: CallOutcome) {
        let Some(mut running) = self.running[operator].take() else {
            return;
        };
        let event = match running.action.clone() {
            Action::Read => Event::Read(match call_outcome {
                CallOutcome::Answered | CallOutcome::AnswerLost | CallOutcome::Delayed => {
                    Ok(self.read())
                }
                CallOutcome::Stale(writes_ago) => Ok(self.read_stale(writes_ago)),
                CallOutcome::RequestLost | CallOutcome::Refused => Err(unavailable()),
            }),
            Action::ReadContext => Event::Context(Ok(ChangeContext::default())),
            Action::Write { expected, value } => {
                let request = Request {
                    operation: running.change.operation,
                    expected,
                    value,
                };
                Event::Written(self.send_write(request, call_outcome))
            }
            Action::Wait(span) => {
                self.now = self.now + span;
                Event::Waited
            }
            Action::Finish(_) => return,
        };
        running.action = running.machine.on_event(self.now, event);
        if let Action::Finish(outcome) = running.action {
            self.ended.push(EndedChange {
                change: running.change,
                base: running.machine.base_version(),
                outcome,
            });
        } else {
            self.running[operator] = Some(running);
        }
    }

    fn send_write(&mut self, request: Request, outcome: CallOutcome) -> WriteAnswer {
        match outcome {
            CallOutcome::Answered | CallOutcome::Stale(_) => return self.write(&request),
            CallOutcome::Refused => return WriteAnswer::Refused(unavailable()),
            CallOutcome::RequestLost => {}
            CallOutcome::AnswerLost => {
                self.write(&request);
            }
            CallOutcome::Delayed => self.delayed.push(request),
        }
        WriteAnswer::Lost(unavailable())
    }

    fn accepted_count(&self, operation: OperationId) -> usize {
        self.history
            .iter()
            .filter(|accepted| accepted.request.operation == operation)
            .count()
    }

    /// Checks the reported outcome of each ended change against the history of the store.
    fn check(&self) {
        for ended in &self.ended {
            let accepted = self.accepted_count(ended.change.operation);
            let is_deletion = ended.change.intent == Intent::Delete;
            match &ended.outcome {
                Outcome::Done(_) if is_deletion => assert!(
                    self.history
                        .iter()
                        .any(|other| other.request.value.is_none()
                            && other.request.expected >= ended.base),
                    "the deletion is reported as done, but the object was not deleted: {ended:?}"
                ),
                Outcome::Done(_) => {
                    assert_eq!(accepted, 1, "done, but not written exactly once: {ended:?}");
                }
                Outcome::NotWritten(_) | Outcome::Unchanged(_) | Outcome::DryRun(_) => {
                    assert_eq!(
                        accepted, 0,
                        "reported as not written, but written: {ended:?}"
                    );
                }
                Outcome::Unknown { .. } => {
                    assert!(accepted <= 1, "written more than once: {ended:?}");
                }
            }
        }
        for accepted in &self.history {
            self.check_other_fields_kept(accepted);
        }
    }

    /// Checks that a change of some fields kept every other field of the replaced version.
    fn check_other_fields_kept(&self, accepted: &AcceptedWrite) {
        let ended = self.ended.iter().map(|ended| &ended.change);
        let running = self.running.iter().flatten().map(|running| &running.change);
        let change = ended
            .chain(running)
            .find(|change| change.operation == accepted.request.operation);
        let (Some(change), Some(value)) = (change, &accepted.request.value) else {
            return;
        };
        let Intent::Set(set_fields) = &change.intent else {
            return;
        };
        let mut expected = without_write_record(accepted.replaced.as_ref().unwrap_or(&Value::Null));
        for (name, field) in set_fields {
            expected[name] = field.clone();
        }
        assert_eq!(
            without_write_record(value),
            expected,
            "a field that another writer had changed was overwritten by {change:?}"
        );
    }
}

fn fields(value: Value) -> Map<String, Value> {
    match value {
        Value::Object(fields) => fields,
        _ => Map::new(),
    }
}

fn unavailable() -> Error {
    Error::new(ErrorKind::StoreUnavailable, "store: no answer")
}

struct RacingOperators;

impl StateMachineTest for RacingOperators {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::default()
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        match step {
            Step::Start {
                operator,
                intent,
                text,
            } => simulation.start(operator, intent, text),
            Step::Call { operator, outcome } => simulation.call(operator, outcome),
            Step::DeliverDelayed(index) if !simulation.delayed.is_empty() => {
                let index = index % simulation.delayed.len();
                let request = simulation.delayed.remove(index);
                simulation.write(&request);
            }
            Step::DeliverDelayed(_) => {}
        }
        simulation
    }

    fn check_invariants(simulation: &Simulation, (): &()) {
        simulation.check();
    }

    /// Delivers every delayed write: a change that was reported as not written must stay so.
    fn teardown(mut simulation: Simulation, (): ()) {
        for request in std::mem::take(&mut simulation.delayed) {
            simulation.write(&request);
        }
        simulation.check();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    })]

    /// Guards against a change that overwrites what another operator wrote, that is written twice,
    /// or whose reported outcome contradicts the history of the store.
    #[test]
    fn verify_racing_operators_lose_nothing(sequential 1..150 => RacingOperators);
}
