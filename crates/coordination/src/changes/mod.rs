//! State machine for one operator change of a catalogue object.
//!
//! A change reads the object, checks the new value, writes it under the condition that the object
//! still has the version that was read, and resolves the outcome of a write whose answer was lost.

mod checks;
mod compare;
mod write_status;

pub use {
    checks::{ChangeContext, check_schema},
    compare::{Difference, conflict, differences},
    write_status::{WriteStatus, deletion_status, write_status},
};

use {
    cardamomloom_core::{
        ObjectVersion, OperationId, Span, Time,
        error::{Error, ErrorKind, invalid_argument},
    },
    cardamomloom_protocol::{
        object::history::{with_write_record, without_write_record},
        store_api::Object,
    },
    serde_json::{Map, Value},
    std::sync::Arc,
};

/// Result of a read or of a step of a change.
pub type Result<T> = std::result::Result<T, Error>;

/// State of the object that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Intent {
    /// Replaces the whole value; creates the object when it does not exist.
    Replace(Value),
    /// Sets these fields of an existing object and keeps the others; a null removes its field.
    Set(Map<String, Value>),
    /// Deletes an existing object.
    Delete,
}

/// One change of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the object.
    pub key: Arc<str>,
    /// Requested new state.
    pub intent: Intent,
    /// Identifies the write in the write record of the object.
    pub operation: OperationId,
    /// Version that the change was made on, if it states one; 0 stands for an object that does not
    /// exist yet.
    pub expected_version: Option<ObjectVersion>,
    /// Whether the change is written even if it is dangerous.
    pub force: bool,
    /// Whether to stop before the write.
    pub dry_run: bool,
}

/// Timeouts of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeOptions {
    /// Time from a lost answer after which the outcome is reported as unknown.
    pub resolve_timeout: Span,
    /// Time between two attempts to resolve the outcome of a lost write.
    pub retry_interval: Span,
}

impl Default for ChangeOptions {
    fn default() -> Self {
        Self {
            resolve_timeout: Span::from_secs(10),
            retry_interval: Span::from_millis(200),
        }
    }
}

/// Next I/O operation that the driver of a change performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the object and report it with [`Event::Read`].
    Read,
    /// Read the rest of the catalogue and the current usage, and report them with
    /// [`Event::Context`].
    ReadContext,
    /// Write the object, or delete it when there is no value, under a version condition. Report
    /// the answer with [`Event::Written`].
    Write {
        /// Version that the object must still have in the store.
        expected: ObjectVersion,
        /// New value; `None` deletes the object.
        value: Option<Value>,
    },
    /// Wait, then report [`Event::Waited`].
    Wait(Span),
    /// Stop: the change has ended.
    Finish(Outcome),
}

/// Answer of the store to a read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadAnswer {
    /// The object, or `None` when it does not exist.
    pub object: Option<Object>,
    /// Version of the store at the time of the answer; it shows whether the answer is stale.
    pub store_version: ObjectVersion,
}

/// Answer of the store to a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAnswer {
    /// The write took effect with this version.
    Accepted(ObjectVersion),
    /// The store has another version of the object; `None` when the object does not exist.
    Conflict(Option<Object>),
    /// The write certainly did not reach the store, or the store refused it.
    Refused(Error),
    /// The answer was lost, so the write may have taken effect or may still do so.
    Lost(Error),
}

/// Result of an action, reported by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The change starts.
    Start,
    /// Answer to [`Action::Read`].
    Read(Result<ReadAnswer>),
    /// Answer to [`Action::ReadContext`].
    Context(Result<ChangeContext>),
    /// Answer to [`Action::Write`].
    Written(WriteAnswer),
    /// The wait is over.
    Waited,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The write took effect. The version is absent when the answer was lost and others have
    /// written since, and when the object was deleted.
    Done(Option<ObjectVersion>),
    /// The object already has the requested value in this version; nothing was written.
    Unchanged(ObjectVersion),
    /// The change passed all checks and would change these fields; nothing was written.
    DryRun(Vec<Difference>),
    /// Nothing was written, and no write of this change can take effect later.
    NotWritten(Error),
    /// The write may have taken effect, or may still do so.
    Unknown {
        /// Version that the write replaces.
        base: ObjectVersion,
        /// Why the outcome could not be determined.
        reason: Arc<str>,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Idle,
    Reading,
    ReadingContext,
    Writing,
    /// The answer to a write of this change was lost; the object is read again until the status of
    /// the write is known or the deadline has passed.
    Resolving {
        deadline: Time,
    },
    Finished,
}

/// State machine of one change.
#[derive(Clone, Debug)]
pub struct ChangeMachine {
    change: Change,
    options: ChangeOptions,
    phase: Phase,
    /// The object when the change was prepared, or `None` when it did not exist. Every write of
    /// this change replaces exactly this version.
    base: Option<(ObjectVersion, Value)>,
    /// New value; `None` for a deletion.
    proposed: Option<Value>,
    /// Set once the answer to a write was lost.
    resolve_deadline: Option<Time>,
}

impl ChangeMachine {
    /// Creates the state machine of a change.
    #[must_use]
    pub const fn new(change: Change, options: ChangeOptions) -> Self {
        Self {
            change,
            options,
            phase: Phase::Idle,
            base: None,
            proposed: None,
            resolve_deadline: None,
        }
    }

    /// Returns the fields that the change sets; it is empty until the object has been read.
    #[must_use]
    pub fn differences(&self) -> Vec<Difference> {
        differences(
            self.base.as_ref().map(|base| &base.1),
            self.proposed.as_ref(),
        )
    }

    /// Returns the version that the change replaces; 0 for a creation.
    #[must_use]
    pub fn base_version(&self) -> ObjectVersion {
        self.base
            .as_ref()
            .map_or(ObjectVersion(0), |(version, _)| *version)
    }

    /// Processes the result of the last action and returns the next action.
    pub fn on_event(&mut self, now: Time, event: Event) -> Action {
        let action = match (&self.phase, event) {
            (Phase::Idle, Event::Start) => {
                self.phase = Phase::Reading;
                Action::Read
            }
            (Phase::Reading, Event::Read(Ok(answer))) => self
                .prepare(answer.object.as_ref())
                .unwrap_or_else(|error| finish(Outcome::NotWritten(error))),
            (Phase::Reading, Event::Read(Err(error)))
            | (Phase::ReadingContext, Event::Context(Err(error))) => {
                finish(Outcome::NotWritten(error))
            }
            (Phase::ReadingContext, Event::Context(Ok(context))) => self.check(&context),
            (Phase::Writing, Event::Written(answer)) => self.on_written(now, answer),
            (Phase::Resolving { deadline }, Event::Read(read)) => {
                let deadline = *deadline;
                self.on_read_back(now, deadline, read)
            }
            (Phase::Resolving { .. }, Event::Waited) => Action::Read,
            (_, event) => finish(Outcome::NotWritten(invalid_argument(format!(
                "change: event {event:?} does not answer the last action; the change was stopped"
            )))),
        };
        if matches!(action, Action::Finish(_)) {
            self.phase = Phase::Finished;
        }
        action
    }

    /// Computes the proposed value from the object as it was read, and checks its schema.
    fn prepare(&mut self, current: Option<&Object>) -> Result<Action> {
        let change = &self.change;
        let base = current.and_then(|object| {
            let value = object.value.clone()?;
            Some((object.version, value))
        });
        let proposed = match &change.intent {
            Intent::Replace(value) => Some(without_write_record(value)),
            Intent::Set(fields) => Some(with_fields(
                require_existing(&change.key, base.as_ref())?,
                fields,
            )),
            Intent::Delete => {
                checks::check_deletable(&change.key)?;
                require_existing(&change.key, base.as_ref())?;
                None
            }
        };
        let version = base
            .as_ref()
            .map_or(ObjectVersion(0), |(version, _)| *version);
        if let Some(expected) = change.expected_version
            && expected != version
        {
            return Err(compare::version_mismatch(
                &change.key,
                expected,
                proposed.as_ref(),
                current,
            ));
        }
        if let Some(proposed) = &proposed {
            check_schema(&change.key, proposed)?;
        }
        self.base = base;
        self.proposed = proposed;
        if self.proposed.is_some() && self.differences().is_empty() && self.base.is_some() {
            return Ok(finish(Outcome::Unchanged(version)));
        }
        self.phase = Phase::ReadingContext;
        Ok(Action::ReadContext)
    }

    /// Checks the change against the catalogue and the current usage, and writes it if it passes.
    fn check(&mut self, context: &ChangeContext) -> Action {
        let key = &self.change.key;
        let uniqueness = self.proposed.as_ref().map_or(Ok(()), |proposed| {
            checks::check_uniqueness(key, proposed, context)
        });
        if let Err(error) = uniqueness {
            return finish(Outcome::NotWritten(error));
        }
        let base = self.base.as_ref().map(|(_, value)| value);
        if !self.change.force
            && let Some(reason) = checks::force_reason(key, base, self.proposed.as_ref(), context)
        {
            return finish(Outcome::NotWritten(checks::force_required(&reason)));
        }
        if self.change.dry_run {
            return finish(Outcome::DryRun(self.differences()));
        }
        self.write()
    }

    /// Writes under the condition that the object still has the version that was read.
    fn write(&mut self) -> Action {
        self.phase = Phase::Writing;
        let base = self.base.as_ref().map(|(version, value)| (*version, value));
        Action::Write {
            expected: self.base_version(),
            value: self
                .proposed
                .clone()
                .map(|proposed| with_write_record(proposed, self.change.operation, base)),
        }
    }

    fn on_written(&mut self, now: Time, answer: WriteAnswer) -> Action {
        match (answer, self.resolve_deadline) {
            (WriteAnswer::Accepted(version), _) => finish(Outcome::Done(Some(version))),
            // No earlier answer was lost, so this one is conclusive. After a lost answer it is
            // not: the conflict may be with the earlier write of this change.
            (WriteAnswer::Conflict(current), None) => self.report_conflict(current.as_ref()),
            (WriteAnswer::Refused(error), None) => finish(Outcome::NotWritten(error)),
            (WriteAnswer::Lost(_), None) => {
                let deadline = now + self.options.resolve_timeout;
                self.resolve_deadline = Some(deadline);
                self.phase = Phase::Resolving { deadline };
                Action::Read
            }
            (
                WriteAnswer::Conflict(_) | WriteAnswer::Refused(_) | WriteAnswer::Lost(_),
                Some(deadline),
            ) => {
                self.phase = Phase::Resolving { deadline };
                Action::Wait(self.options.retry_interval)
            }
        }
    }

    /// Resolves the outcome of a write whose answer was lost, from the object as it is now.
    fn on_read_back(&mut self, now: Time, deadline: Time, read: Result<ReadAnswer>) -> Action {
        let answer = match read {
            Ok(answer) => answer,
            Err(error) if now >= deadline => return self.unknown(&error.message),
            Err(_) => return Action::Wait(self.options.retry_interval),
        };
        match self.status_of_write(&answer) {
            WriteStatus::Applied(version) => finish(Outcome::Done(version)),
            WriteStatus::NotApplied => self.report_conflict(answer.object.as_ref()),
            WriteStatus::Unknown => self.unknown(
                "the object was deleted, or written more often than its record reaches back",
            ),
            WriteStatus::Pending if now >= deadline => {
                self.unknown("the write is not visible so far")
            }
            // A repeated write has the same version condition, so the store accepts at most one of
            // the two. This does not hold for a creation: once the object was deleted, the store
            // would accept the first write as well.
            WriteStatus::Pending if self.base.is_some() => self.write(),
            WriteStatus::Pending => Action::Wait(self.options.retry_interval),
        }
    }

    fn status_of_write(&self, answer: &ReadAnswer) -> WriteStatus {
        if self.proposed.is_some() {
            write_status(answer, self.base_version(), self.change.operation)
        } else {
            deletion_status(answer, self.base_version())
        }
    }

    fn report_conflict(&self, current: Option<&Object>) -> Action {
        let base = self.base.as_ref().map(|(_, value)| value);
        finish(Outcome::NotWritten(conflict(
            &self.change.key,
            base,
            self.proposed.as_ref(),
            current,
        )))
    }

    fn unknown(&self, reason: &str) -> Action {
        finish(Outcome::Unknown {
            base: self.base_version(),
            reason: Arc::from(reason),
        })
    }
}

const fn finish(outcome: Outcome) -> Action {
    Action::Finish(outcome)
}

/// Returns the value of the object, or an error of kind `not_found`.
fn require_existing<'a>(key: &str, base: Option<&'a (ObjectVersion, Value)>) -> Result<&'a Value> {
    base.map(|(_, value)| value).ok_or_else(|| {
        Error::new(
            ErrorKind::NotFound,
            format!("change: object {key:?} does not exist"),
        )
    })
}

/// Returns `base` with some fields replaced; a null removes its field.
fn with_fields(base: &Value, fields: &Map<String, Value>) -> Value {
    let mut value = without_write_record(base);
    if let Value::Object(object_fields) = &mut value {
        for (name, field) in fields {
            if field.is_null() {
                object_fields.remove(name);
            } else {
                object_fields.insert(name.clone(), field.clone());
            }
        }
    }
    value
}
