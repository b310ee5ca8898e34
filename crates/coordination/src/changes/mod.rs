//! Operator change logic: read, check, compare, write under a version condition, and settle a
//! write whose answer was lost.

mod compare;
mod danger;
mod verdict;

pub use {
    compare::{Difference, conflict, differences},
    danger::{ChangeContext, check_schema},
    verdict::{WriteStatus, deletion_status, write_status},
};

use {
    cardamomloom_core::{
        ObjectVersion, OperationId, Span, Time,
        error::{Error, ErrorKind, invalid_argument},
    },
    cardamomloom_protocol::{
        object::history::{with_write_record, without_record},
        store_api::Object,
    },
    serde_json::{Map, Value},
    std::sync::Arc,
};

/// Result of preparing a change.
pub type Result<T> = std::result::Result<T, Error>;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Intent {
    /// The object has this value; it is created when it does not exist.
    Replace(Value),
    /// The fields of an existing object have these values; the others stay.
    Set(Map<String, Value>),
    /// The object does not exist.
    Delete,
}

/// One change of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the object.
    pub key: Arc<str>,
    /// What the operator wants.
    pub intent: Intent,
    /// Marks the write.
    pub operation: OperationId,
    /// Version that the operator saw, when the change states one; 0 when the object is new.
    pub expected_version: Option<ObjectVersion>,
    /// Whether a dangerous change is confirmed.
    pub force: bool,
    /// Whether to stop before the write.
    pub dry_run: bool,
}

/// Times of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeOptions {
    /// Time from a lost answer after which the outcome is reported as unknown.
    pub resolve_timeout: Span,
    /// Pause between two attempts to settle.
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

/// What the driver is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the object and answer with [`Event::Read`].
    Read,
    /// Read the rest of the catalogue and the present use, and answer with [`Event::Context`].
    ReadContext,
    /// Write (or delete, without a value) under a version condition; answer with
    /// [`Event::Written`].
    Write {
        /// Version that the store must have.
        expected: ObjectVersion,
        /// New value.
        value: Option<Value>,
    },
    /// Wait, then answer with [`Event::Waited`].
    Wait(Span),
    /// The change has ended.
    Finish(Outcome),
}

/// What a read showed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadAnswer {
    /// The object, or `None` when it does not exist.
    pub object: Option<Object>,
    /// Version of the store at the time of the answer; it shows whether the answer is old.
    pub store_version: ObjectVersion,
}

/// Answer of the store to a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAnswer {
    /// The write took effect with this version.
    Accepted(ObjectVersion),
    /// Another version is present; `None` when the object does not exist.
    Conflict(Option<Object>),
    /// The write certainly did not reach the store, or the store refused it.
    Refused(Error),
    /// It is not known whether the write took or will take effect.
    Lost(Error),
}

/// What the driver reports.
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
    /// The write took effect; the version is absent when the answer was lost and others have
    /// written since, or the object was deleted.
    Done(Option<ObjectVersion>),
    /// The object already has the wanted value.
    Unchanged(ObjectVersion),
    /// The change was only tried; these fields would change.
    DryRun(Vec<Difference>),
    /// Nothing was written, and nothing will be.
    NotWritten(Error),
    /// The write may have taken effect, or may still do so.
    Unknown {
        /// Version that the write replaces.
        base: ObjectVersion,
        /// What was seen.
        reason: Arc<str>,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Idle,
    Reading,
    Surveying,
    Writing,
    /// A write of this change was lost; its effect is looked up until the time is over.
    Settling {
        until: Time,
    },
    Finished,
}

/// State machine of one change.
#[derive(Clone, Debug)]
pub struct ChangeMachine {
    change: Change,
    options: ChangeOptions,
    phase: Phase,
    /// Present object when the change was prepared; later writes replace exactly this version.
    base: Option<(ObjectVersion, Value)>,
    own: Option<Value>,
    settle_until: Option<Time>,
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
            own: None,
            settle_until: None,
        }
    }

    /// Returns the fields that the change sets, once the object has been read.
    #[must_use]
    pub fn differences(&self) -> Vec<Difference> {
        differences(self.base.as_ref().map(|base| &base.1), self.own.as_ref())
    }

    /// Returns the version that the change replaces, 0 for a creation.
    #[must_use]
    pub fn base_version(&self) -> ObjectVersion {
        self.base
            .as_ref()
            .map_or(ObjectVersion(0), |(version, _)| *version)
    }

    /// Processes an event and returns what to do next.
    pub fn on_event(&mut self, now: Time, event: Event) -> Action {
        let action = match (&self.phase, event) {
            (Phase::Idle, Event::Start) => {
                self.phase = Phase::Reading;
                Action::Read
            }
            (Phase::Reading, Event::Read(Ok(seen))) => self
                .prepare(seen.object.as_ref())
                .unwrap_or_else(|error| finish(Outcome::NotWritten(error))),
            (Phase::Reading, Event::Read(Err(error)))
            | (Phase::Surveying, Event::Context(Err(error))) => finish(Outcome::NotWritten(error)),
            (Phase::Surveying, Event::Context(Ok(around))) => self.check(&around),
            (Phase::Writing, Event::Written(written)) => self.on_written(now, written),
            (Phase::Settling { until }, Event::Read(read)) => {
                let until = *until;
                self.on_read_back(now, until, read)
            }
            (Phase::Settling { .. }, Event::Waited) => Action::Read,
            (_, event) => finish(Outcome::NotWritten(invalid_argument(format!(
                "change: unexpected event {event:?}"
            )))),
        };
        if matches!(action, Action::Finish(_)) {
            self.phase = Phase::Finished;
        }
        action
    }

    /// Computes the new value from the present object.
    fn prepare(&mut self, present: Option<&Object>) -> Result<Action> {
        let change = &self.change;
        let live = present.and_then(|object| {
            let value = object.value.clone()?;
            Some((object.version, value))
        });
        let own = match &change.intent {
            Intent::Replace(value) => Some(without_record(value)),
            Intent::Set(fields) => Some(with_fields(existing(&change.key, live.as_ref())?, fields)),
            Intent::Delete => {
                danger::check_deletable(&change.key)?;
                existing(&change.key, live.as_ref())?;
                None
            }
        };
        let version = live
            .as_ref()
            .map_or(ObjectVersion(0), |(version, _)| *version);
        if let Some(seen) = change.expected_version
            && seen != version
        {
            return Err(compare::other_base(
                &change.key,
                seen,
                own.as_ref(),
                present,
            ));
        }
        if let Some(own) = &own {
            check_schema(&change.key, own)?;
        }
        self.base = live;
        self.own = own;
        if self.own.is_some() && self.differences().is_empty() && self.base.is_some() {
            return Ok(finish(Outcome::Unchanged(version)));
        }
        self.phase = Phase::Surveying;
        Ok(Action::ReadContext)
    }

    fn check(&mut self, around: &ChangeContext) -> Action {
        let key = &self.change.key;
        let claims = self
            .own
            .as_ref()
            .map_or(Ok(()), |own| danger::check_claims(key, own, around));
        if let Err(error) = claims {
            return finish(Outcome::NotWritten(error));
        }
        let base = self.base.as_ref().map(|(_, value)| value);
        if !self.change.force
            && let Some(reason) = danger::danger(key, base, self.own.as_ref(), around)
        {
            return finish(Outcome::NotWritten(danger::force_required(&reason)));
        }
        if self.change.dry_run {
            return finish(Outcome::DryRun(self.differences()));
        }
        self.write()
    }

    /// Writes under the condition that the store still has the version that was read.
    fn write(&mut self) -> Action {
        self.phase = Phase::Writing;
        let base = self.base.as_ref().map(|(version, value)| (*version, value));
        Action::Write {
            expected: self.base_version(),
            value: self
                .own
                .clone()
                .map(|own| with_write_record(own, self.change.operation, base)),
        }
    }

    fn on_written(&mut self, now: Time, written: WriteAnswer) -> Action {
        match (written, self.settle_until) {
            (WriteAnswer::Accepted(version), _) => finish(Outcome::Done(Some(version))),
            // Without an earlier lost write, the answer of the store is the whole truth.
            (WriteAnswer::Conflict(present), None) => self.report_conflict(present.as_ref()),
            (WriteAnswer::Refused(error), None) => finish(Outcome::NotWritten(error)),
            (WriteAnswer::Lost(_), None) => {
                let until = now + self.options.resolve_timeout;
                self.settle_until = Some(until);
                self.phase = Phase::Settling { until };
                Action::Read
            }
            (
                WriteAnswer::Conflict(_) | WriteAnswer::Refused(_) | WriteAnswer::Lost(_),
                Some(until),
            ) => {
                self.phase = Phase::Settling { until };
                Action::Wait(self.options.retry_interval)
            }
        }
    }

    fn on_read_back(&mut self, now: Time, until: Time, read: Result<ReadAnswer>) -> Action {
        let seen = match read {
            Ok(seen) => seen,
            Err(error) if now >= until => return self.unknown(&error.message),
            Err(_) => return Action::Wait(self.options.retry_interval),
        };
        match self.judge(&seen) {
            WriteStatus::Applied(version) => finish(Outcome::Done(version)),
            WriteStatus::NotApplied => self.report_conflict(seen.object.as_ref()),
            WriteStatus::Unknown => self.unknown(
                "the object was deleted, or written more often than its record reaches back",
            ),
            WriteStatus::Pending if now >= until => self.unknown("the write is not visible so far"),
            // Both writes demand the same version, so the store accepts at most one of them.
            // This does not hold for a creation: after a deletion the store would accept the
            // first one again.
            WriteStatus::Pending if self.base.is_some() => self.write(),
            WriteStatus::Pending => Action::Wait(self.options.retry_interval),
        }
    }

    fn judge(&self, seen: &ReadAnswer) -> WriteStatus {
        if self.own.is_some() {
            write_status(seen, self.base_version(), self.change.operation)
        } else {
            deletion_status(seen, self.base_version())
        }
    }

    fn report_conflict(&self, present: Option<&Object>) -> Action {
        let base = self.base.as_ref().map(|(_, value)| value);
        finish(Outcome::NotWritten(conflict(
            &self.change.key,
            base,
            self.own.as_ref(),
            present,
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

fn existing<'a>(key: &str, live: Option<&'a (ObjectVersion, Value)>) -> Result<&'a Value> {
    live.map(|(_, value)| value).ok_or_else(|| {
        Error::new(
            ErrorKind::NotFound,
            format!("change: object {key:?} does not exist"),
        )
    })
}

fn with_fields(base: &Value, fields: &Map<String, Value>) -> Value {
    let mut value = without_record(base);
    if let Value::Object(present) = &mut value {
        for (name, field) in fields {
            if field.is_null() {
                present.remove(name);
            } else {
                present.insert(name.clone(), field.clone());
            }
        }
    }
    value
}
