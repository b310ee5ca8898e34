//! Operators race on one entry while answers are lost, writes are delayed and reads are stale;
//! an oracle checks the history of the store.

use {
    cardamomloom_coordination::changes::{
        Action, Change, ChangeContext, ChangeMachine, ChangeOptions, Event, Intent, Outcome,
        ReadAnswer, WriteAnswer,
    },
    cardamomloom_core::{
        ObjectVersion, OperationId, Span, Time,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::{object::history::without_record, store_api::Object},
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

/// Three pauses, so that changes also end with an unknown outcome.
const OPTIONS: ChangeOptions = ChangeOptions {
    resolve_timeout: Span::from_millis(600),
    retry_interval: Span::from_millis(200),
};

/// What happens to the next call of an operator.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    LostBefore,
    LostAfter,
    /// The answer is lost and the write reaches the store later, or at the end.
    Delayed,
    Refused,
    /// A read is answered with an earlier state of the store; a write is answered.
    Stale(usize),
}

#[derive(Clone, Debug)]
enum Step {
    Start {
        operator: usize,
        intent: u8,
        text: u8,
    },
    Call {
        operator: usize,
        fate: Fate,
    },
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
        let fate = prop_oneof![
            6 => Just(Fate::Answered),
            1 => Just(Fate::LostBefore),
            2 => Just(Fate::LostAfter),
            2 => Just(Fate::Delayed),
            1 => Just(Fate::Refused),
            1 => (0..6_usize).prop_map(Fate::Stale),
        ];
        prop_oneof![
            2 => (0..OPERATORS, 0..6_u8, any::<u8>())
                .prop_map(|(operator, intent, text)| Step::Start { operator, intent, text }),
            12 => (0..OPERATORS, fate).prop_map(|(operator, fate)| Step::Call { operator, fate }),
            1 => any::<usize>().prop_map(Step::DeliverDelayed),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone, Debug)]
struct Request {
    operation: OperationId,
    expected: ObjectVersion,
    value: Option<Value>,
}

#[derive(Debug)]
struct Accepted {
    request: Request,
    replaced: Option<Value>,
}

#[derive(Debug)]
struct Ended {
    change: Change,
    base: ObjectVersion,
    outcome: Outcome,
}

struct Running {
    change: Change,
    machine: ChangeMachine,
    action: Action,
}

#[derive(Default)]
struct World {
    now: Time,
    version: u64,
    present: Option<Object>,
    /// State of the store after each write, the newest last.
    past: Vec<ReadAnswer>,
    history: Vec<Accepted>,
    delayed: Vec<Request>,
    running: [Option<Running>; OPERATORS],
    ended: Vec<Ended>,
    operations: u64,
}

impl World {
    fn write(&mut self, request: &Request) -> WriteAnswer {
        let version = self
            .present
            .as_ref()
            .map_or(ObjectVersion(0), |object| object.version);
        if version != request.expected {
            return WriteAnswer::Conflict(self.present.clone());
        }
        self.version += 1;
        let replaced = self.present.take().and_then(|object| object.value);
        if let Some(value) = &request.value {
            self.present = Some(Object {
                key: Arc::from(KEY),
                version: ObjectVersion(self.version),
                value: Some(value.clone()),
            });
        }
        self.past.push(self.seen());
        self.history.push(Accepted {
            request: request.clone(),
            replaced,
        });
        WriteAnswer::Accepted(ObjectVersion(self.version))
    }

    fn seen(&self) -> ReadAnswer {
        ReadAnswer {
            object: self.present.clone(),
            store_version: ObjectVersion(self.version),
        }
    }

    fn seen_earlier(&self, writes_ago: usize) -> ReadAnswer {
        let index = self.past.len().checked_sub(writes_ago + 1);
        index
            .and_then(|index| self.past.get(index).cloned())
            .unwrap_or_default()
    }

    fn start(&mut self, operator: usize, intent: u8, text: u8) {
        if self.running[operator].is_some() {
            return;
        }
        self.operations += 1;
        let reason = json!({"reason": format!("reason {text}")});
        let region = json!({"region": format!("region-{text}")});
        let intent = match intent {
            0 => Intent::Delete,
            1 | 2 => Intent::Replace(json!({
                "name": "tas-hobart", "region": "tas", "state": "in",
                "reason": format!("created by {}", self.operations),
            })),
            3 | 4 => Intent::Set(fields(reason)),
            _ => Intent::Set(fields(region)),
        };
        let change = Change {
            key: Arc::from(KEY),
            intent,
            operation: OperationId(self.operations),
            expected_version: None,
            force: true,
            dry_run: false,
        };
        let mut machine = ChangeMachine::new(change.clone(), OPTIONS);
        let action = machine.on_event(self.now, Event::Start);
        self.running[operator] = Some(Running {
            change,
            machine,
            action,
        });
    }

    fn call(&mut self, operator: usize, fate: Fate) {
        let Some(mut running) = self.running[operator].take() else {
            return;
        };
        let event = match running.action.clone() {
            Action::Read => Event::Read(match fate {
                Fate::Answered | Fate::LostAfter | Fate::Delayed => Ok(self.seen()),
                Fate::Stale(writes_ago) => Ok(self.seen_earlier(writes_ago)),
                Fate::LostBefore | Fate::Refused => Err(unavailable()),
            }),
            Action::ReadContext => Event::Context(Ok(ChangeContext::default())),
            Action::Write { expected, value } => {
                let request = Request {
                    operation: running.change.operation,
                    expected,
                    value,
                };
                Event::Written(self.write_with(request, fate))
            }
            Action::Wait(span) => {
                self.now = self.now + span;
                Event::Waited
            }
            Action::Finish(_) => return,
        };
        running.action = running.machine.on_event(self.now, event);
        if let Action::Finish(outcome) = running.action {
            self.ended.push(Ended {
                change: running.change,
                base: running.machine.base_version(),
                outcome,
            });
        } else {
            self.running[operator] = Some(running);
        }
    }

    fn write_with(&mut self, request: Request, fate: Fate) -> WriteAnswer {
        match fate {
            Fate::Answered | Fate::Stale(_) => return self.write(&request),
            Fate::Refused => return WriteAnswer::Refused(unavailable()),
            Fate::LostBefore => {}
            Fate::LostAfter => {
                self.write(&request);
            }
            Fate::Delayed => self.delayed.push(request),
        }
        WriteAnswer::Lost(unavailable())
    }

    fn accepted(&self, operation: OperationId) -> usize {
        self.history
            .iter()
            .filter(|accepted| accepted.request.operation == operation)
            .count()
    }

    /// The oracle: what the history must show for each change that has ended.
    fn check(&self) {
        for ended in &self.ended {
            let accepted = self.accepted(ended.change.operation);
            let is_deletion = ended.change.intent == Intent::Delete;
            match &ended.outcome {
                Outcome::Done(_) if is_deletion => assert!(
                    self.history
                        .iter()
                        .any(|other| other.request.value.is_none()
                            && other.request.expected >= ended.base),
                    "deletion is reported as done, but the object was not deleted: {ended:?}"
                ),
                Outcome::Done(_) => {
                    assert_eq!(accepted, 1, "done, but not written once: {ended:?}");
                }
                Outcome::NotWritten(_) | Outcome::Unchanged(_) | Outcome::DryRun(_) => {
                    assert_eq!(accepted, 0, "not done, but written: {ended:?}");
                }
                Outcome::Unknown { .. } => {
                    assert!(accepted <= 1, "written more than once: {ended:?}");
                }
            }
        }
        for accepted in &self.history {
            self.check_nothing_lost(accepted);
        }
    }

    /// A change of fields leaves every other field as the replaced version had it.
    fn check_nothing_lost(&self, accepted: &Accepted) {
        let ended = self.ended.iter().map(|ended| &ended.change);
        let running = self.running.iter().flatten().map(|running| &running.change);
        let change = ended
            .chain(running)
            .find(|change| change.operation == accepted.request.operation);
        let (Some(change), Some(value)) = (change, &accepted.request.value) else {
            return;
        };
        let Intent::Set(own) = &change.intent else {
            return;
        };
        let mut expected = without_record(accepted.replaced.as_ref().unwrap_or(&Value::Null));
        for (name, field) in own {
            expected[name] = field.clone();
        }
        assert_eq!(
            without_record(value),
            expected,
            "a field of another writer was overwritten unseen by {change:?}"
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
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::default()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Start {
                operator,
                intent,
                text,
            } => world.start(operator, intent, text),
            Step::Call { operator, fate } => world.call(operator, fate),
            Step::DeliverDelayed(index) if !world.delayed.is_empty() => {
                let request = world.delayed.remove(index % world.delayed.len());
                world.write(&request);
            }
            Step::DeliverDelayed(_) => {}
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }

    /// Delivers every delayed write, because "not done" must stay true.
    fn teardown(mut world: World, (): ()) {
        for request in std::mem::take(&mut world.delayed) {
            world.write(&request);
        }
        world.check();
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
    /// or that is reported as done or not done when the opposite is true.
    #[test]
    fn verify_racing_operators_lose_nothing(sequential 1..150 => RacingOperators);
}
