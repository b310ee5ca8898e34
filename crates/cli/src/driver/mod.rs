//! Runs the change logic against the store and the endpoints of processes.

use {
    crate::{context::Context, processes},
    cardamomloom_coordination::changes::{
        Action, Change, ChangeContext, ChangeMachine, ChangeOptions, Difference, Event, Intent,
        Outcome, ReadAnswer, WriteAnswer,
    },
    cardamomloom_core::{
        ObjectVersion, Span, Time,
        error::{Error, ErrorKind, Result},
    },
    cardamomloom_protocol::object::{self, DOMAINS_PREFIX, SERVICES_PREFIX, Validate},
    cardamomloom_transport::store::WriteOutcome,
    serde::de::DeserializeOwned,
    serde_json::{Value, json},
    std::sync::Arc,
    tokio::time::{self, Instant},
};

/// A change that took effect, changed nothing, or was only tried.
pub struct Finished {
    /// Key of the object.
    pub key: Arc<str>,
    /// What happened.
    pub outcome: Outcome,
    /// Fields that the change sets.
    pub differences: Vec<Difference>,
    /// Lowest version that contains the change.
    pub target: ObjectVersion,
    /// The same for programs.
    pub json: Value,
}

/// Runs a change to its end.
///
/// # Errors
///
/// Fails with the kind of the reason when nothing was written, and with `outcome_unknown` when
/// that is not known; the message then names the command that settles it.
pub async fn run(context: &Context, change: Change) -> Result<Finished> {
    let start = Instant::now();
    let options = ChangeOptions {
        resolve_timeout: context.settle,
        ..ChangeOptions::default()
    };
    let mut machine = ChangeMachine::new(change.clone(), options);
    let mut event = Event::Start;
    let outcome = loop {
        let now = Time::ZERO + Span::from(start.elapsed());
        event = match machine.on_event(now, event) {
            Action::Read => Event::Read(read(context, &change.key).await),
            Action::ReadContext => Event::Context(survey(context, &change.key).await),
            Action::Write { expected, value } => {
                Event::Written(write(context, &change.key, expected, value.as_ref()).await)
            }
            Action::Wait(span) => {
                time::sleep(span.to_duration()).await;
                Event::Waited
            }
            Action::Finish(outcome) => break outcome,
        };
    };
    finished(context, &change, &machine, outcome)
}

fn finished(
    context: &Context,
    change: &Change,
    machine: &ChangeMachine,
    outcome: Outcome,
) -> Result<Finished> {
    let base = machine.base_version();
    let (name, target) = match &outcome {
        Outcome::NotWritten(error) => return Err(error.clone()),
        Outcome::Unknown { base, reason } => {
            return Err(unknown(context, change, *base, reason));
        }
        Outcome::Done(version) => ("done", version.unwrap_or(ObjectVersion(base.0 + 1))),
        Outcome::Unchanged(version) => ("unchanged", *version),
        Outcome::DryRun(_) => ("dry_run", base),
    };
    let differences = machine.differences();
    let json = json!({
        "key": change.key,
        "outcome": name,
        "version": target,
        "operation": change.operation.to_string(),
        "differences": differences,
    });
    Ok(Finished {
        key: change.key.clone(),
        outcome,
        differences,
        target,
        json,
    })
}

fn unknown(context: &Context, change: &Change, base: ObjectVersion, reason: &str) -> Error {
    let deletion = match change.intent {
        Intent::Delete => " --deletion",
        _ => "",
    };
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "change: the outcome for {:?} is not known: {reason}; to settle it run: cardamomloom --store {} get {} --operation {} --base {base}{deletion}",
            change.key, context.store_url, change.key, change.operation
        ),
    )
}

/// Reads an object together with the version of the store, which `get` does not give.
///
/// # Errors
///
/// Fails with kind `store_unavailable` when the store does not answer.
pub async fn read(context: &Context, key: &str) -> Result<ReadAnswer> {
    let list = context.store.list(key).await?;
    let mut objects = list.objects.into_iter();
    Ok(ReadAnswer {
        object: objects.find(|object| object.key.as_ref() == key),
        store_version: list.version,
    })
}

async fn write(
    context: &Context,
    key: &str,
    expected: ObjectVersion,
    value: Option<&Value>,
) -> WriteAnswer {
    let answer = match value {
        Some(value) => context.store.put(key, expected, value).await,
        None => context.store.delete(key, expected).await,
    };
    match answer {
        Ok(WriteOutcome::Written(version)) => WriteAnswer::Accepted(version),
        Ok(WriteOutcome::Conflict(present)) => WriteAnswer::Conflict(present),
        Err(error) if error.kind == ErrorKind::OutcomeUnknown => WriteAnswer::Lost(error),
        Err(error) => WriteAnswer::Refused(error),
    }
}

/// Reads the rest of the catalogue, and the present use when a service changes.
async fn survey(context: &Context, key: &str) -> Result<ChangeContext> {
    let mut around = ChangeContext {
        services: valid(context, SERVICES_PREFIX).await?,
        domains: valid(context, DOMAINS_PREFIX).await?,
        ..ChangeContext::default()
    };
    if key.starts_with(SERVICES_PREFIX) {
        around.max_open_flows = processes::most_used(context).await;
    }
    Ok(around)
}

async fn valid<T: DeserializeOwned + Validate>(context: &Context, prefix: &str) -> Result<Vec<T>> {
    let list = context.store.list(prefix).await?;
    let objects = list.objects.iter();
    Ok(objects
        .filter_map(|object| object::decode(&object.key, object.value.as_ref()?).ok())
        .collect())
}
