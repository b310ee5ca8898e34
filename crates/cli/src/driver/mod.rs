//! Performs the I/O operations of the change state machine against the store and the HTTP endpoints
//! of balancers and agents.

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

/// Result of a change that took effect, was not needed, or was a dry run.
pub struct FinishedChange {
    /// Key of the object.
    pub key: Arc<str>,
    /// How the change ended; never `NotWritten` or `Unknown`, which are errors.
    pub outcome: Outcome,
    /// Fields that the change sets, with their previous values.
    pub differences: Vec<Difference>,
    /// Lowest version of the object that contains the change.
    pub target_version: ObjectVersion,
    /// JSON form of the result.
    pub json: Value,
}

/// Runs a change until it has ended.
///
/// # Errors
///
/// Fails with the kind of the cause when nothing was written, and with `outcome_unknown` when it
/// could not be determined whether the write took effect. The message then contains the command that
/// resolves the outcome.
pub async fn run(context: &Context, change: Change) -> Result<FinishedChange> {
    let start = Instant::now();
    let options = ChangeOptions {
        resolve_timeout: context.resolve_timeout,
        ..ChangeOptions::default()
    };
    let mut machine = ChangeMachine::new(change.clone(), options);
    let mut event = Event::Start;
    let outcome = loop {
        let now = Time::ZERO + Span::from(start.elapsed());
        event = match machine.on_event(now, event) {
            Action::Read => Event::Read(read(context, &change.key).await),
            Action::ReadContext => Event::Context(read_change_context(context, &change.key).await),
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
    finish_change(context, &change, &machine, outcome)
}

/// Converts the outcome of a change into its result.
fn finish_change(
    context: &Context,
    change: &Change,
    machine: &ChangeMachine,
    outcome: Outcome,
) -> Result<FinishedChange> {
    let base = machine.base_version();
    let (name, target_version) = match &outcome {
        Outcome::NotWritten(error) => return Err(error.clone()),
        Outcome::Unknown { base, reason } => {
            return Err(outcome_unknown_error(context, change, *base, reason));
        }
        Outcome::Done(version) => ("done", version.unwrap_or(ObjectVersion(base.0 + 1))),
        Outcome::Unchanged(version) => ("unchanged", *version),
        Outcome::DryRun(_) => ("dry_run", base),
    };
    let differences = machine.differences();
    let json = json!({
        "key": change.key,
        "outcome": name,
        "version": target_version,
        "operation": change.operation.to_string(),
        "differences": differences,
    });
    Ok(FinishedChange {
        key: change.key.clone(),
        outcome,
        differences,
        target_version,
        json,
    })
}

/// Returns the error for a change whose outcome is unknown, with the command that resolves it.
fn outcome_unknown_error(
    context: &Context,
    change: &Change,
    base: ObjectVersion,
    reason: &str,
) -> Error {
    let deletion_flag = match change.intent {
        Intent::Delete => " --deletion",
        _ => "",
    };
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "change: the outcome for {:?} is not known: {reason}; to resolve it run: cardamomloom --store {} get {} --operation {} --base {base}{deletion_flag}",
            change.key, context.store_url, change.key, change.operation
        ),
    )
}

/// Reads an object together with the version of the store. Uses a list request, because the answer
/// to a get request has no store version.
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
        Ok(WriteOutcome::Conflict(current)) => WriteAnswer::Conflict(current),
        Err(error) if error.kind == ErrorKind::OutcomeUnknown => WriteAnswer::Lost(error),
        Err(error) => WriteAnswer::Refused(error),
    }
}

/// Reads the services and failure domains of the catalogue, which the checks of a change need, and
/// the numbers of open flows when the change is to a service.
async fn read_change_context(context: &Context, key: &str) -> Result<ChangeContext> {
    let mut change_context = ChangeContext {
        services: list_valid(context, SERVICES_PREFIX).await?,
        domains: list_valid(context, DOMAINS_PREFIX).await?,
        ..ChangeContext::default()
    };
    if key.starts_with(SERVICES_PREFIX) {
        change_context.max_open_flows = processes::max_open_flows(context).await;
    }
    Ok(change_context)
}

/// Reads the objects with a prefix and skips those that are invalid.
async fn list_valid<T: DeserializeOwned + Validate>(
    context: &Context,
    prefix: &str,
) -> Result<Vec<T>> {
    let list = context.store.list(prefix).await?;
    let objects = list.objects.iter();
    Ok(objects
        .filter_map(|object| object::decode(&object.key, object.value.as_ref()?).ok())
        .collect())
}
