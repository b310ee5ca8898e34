//! Commands `apply`, `edit`, `delete` and `domain`, which change the catalogue.

use {
    crate::{
        arguments::{ApplyOptions, DeleteOptions, DomainCommand, EditOptions},
        commands::read::check_key,
        context::{Context, new_operation_id},
        driver::{self, FinishedChange},
        output::Output,
        processes,
    },
    cardamomloom_coordination::changes::{Change, Intent, Outcome, check_schema},
    cardamomloom_core::{
        DomainName, ObjectVersion,
        error::{Error, Result, invalid_argument, io},
    },
    cardamomloom_protocol::object::{
        DOMAINS_PREFIX,
        history::{OPERATION_FIELD, SUPERSEDED_FIELD, without_write_record},
    },
    jsonc_parser::{ParseOptions, parse_to_serde_value},
    serde::Deserialize,
    serde_json::{Map, Value, json},
    std::{
        fs,
        io::{Read, stdin},
        path::Path,
        sync::Arc,
    },
};

/// Object in a file that `apply` reads, in the form that `get --json` prints.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileObject {
    key: Arc<str>,
    /// Version that the object must have; the write fails when it has another one.
    #[serde(default)]
    version: Option<ObjectVersion>,
    value: Value,
}

/// Maximum number of objects in one file.
const MAX_FILE_OBJECTS: usize = 1_000;

/// Writes the objects of a file one after the other, and stops at the first error. Objects that were
/// written before the error stay written; the message lists their keys.
pub async fn apply(context: &Context, options: &ApplyOptions) -> Result<Output> {
    let objects = parse_file(&read_file(&options.file)?)?;
    // All objects are checked before the first one is written, so that an invalid object does not
    // leave a file written in part.
    for object in &objects {
        check_key(&object.key)?;
        check_schema(&object.key, &without_write_record(&object.value))?;
    }
    let mut finished_changes = Vec::new();
    for object in objects {
        let change = Change {
            key: object.key,
            intent: Intent::Replace(object.value),
            operation: new_operation_id(),
            expected_version: object.version,
            force: context.force,
            dry_run: options.dry_run,
        };
        match driver::run(context, change).await {
            Ok(finished) => finished_changes.push(finished),
            Err(error) => return Err(with_finished_keys(error, &finished_changes)),
        }
    }
    wait_and_format(context, finished_changes).await
}

/// Sets fields of an object.
pub async fn edit(context: &Context, options: &EditOptions) -> Result<Output> {
    check_key(&options.key)?;
    if options.set.is_empty() {
        return Err(invalid_argument(
            "arguments: field \"--set\" is not given; allowed is one or more FIELD=VALUE",
        ));
    }
    let mut fields = Map::new();
    for assignment in &options.set {
        let (name, value) = parse_assignment(assignment)?;
        fields.insert(name, value);
    }
    let change = Change {
        key: Arc::from(options.key.as_str()),
        intent: Intent::Set(fields),
        operation: new_operation_id(),
        expected_version: options.seen,
        force: context.force,
        dry_run: options.dry_run,
    };
    run_single_change(context, change).await
}

/// Deletes an object.
pub async fn delete(context: &Context, options: &DeleteOptions) -> Result<Output> {
    check_key(&options.key)?;
    let change = Change {
        key: Arc::from(options.key.as_str()),
        intent: Intent::Delete,
        operation: new_operation_id(),
        expected_version: options.seen,
        force: context.force,
        dry_run: false,
    };
    run_single_change(context, change).await
}

/// Takes a failure domain out of service, or brings it back.
pub async fn domain(context: &Context, command: Option<DomainCommand>) -> Result<Output> {
    let (name, state, reason) = match command {
        Some(DomainCommand::Out(options)) if options.reason.trim().is_empty() => {
            return Err(invalid_argument(format!(
                "arguments: field \"--reason\" is {:?}; allowed is a text of 1 to 512 bytes",
                options.reason
            )));
        }
        Some(DomainCommand::Out(options)) => (options.name, "out", options.reason),
        Some(DomainCommand::In(options)) => (options.name, "in", String::new()),
        None => {
            return Err(invalid_argument(
                "arguments: domain needs a command; allowed are out and in",
            ));
        }
    };
    let name: DomainName = name.parse()?;
    let mut fields = Map::new();
    fields.insert("state".to_owned(), Value::from(state));
    fields.insert("reason".to_owned(), Value::from(reason));
    let change = Change {
        key: Arc::from(format!("{DOMAINS_PREFIX}{name}")),
        intent: Intent::Set(fields),
        operation: new_operation_id(),
        expected_version: None,
        force: context.force,
        dry_run: false,
    };
    run_single_change(context, change).await
}

/// Runs one change and returns its output.
async fn run_single_change(context: &Context, change: Change) -> Result<Output> {
    let finished = driver::run(context, change).await?;
    wait_and_format(context, vec![finished]).await
}

/// Waits, if requested, until each change is in force, and returns the output of all changes. Dry
/// runs are not waited for.
async fn wait_and_format(
    context: &Context,
    finished_changes: Vec<FinishedChange>,
) -> Result<Output> {
    let mut text = String::new();
    let mut changes = Vec::new();
    for change in finished_changes {
        text.push_str(&format_change(&change));
        let mut change_json = change.json.clone();
        let is_dry_run = matches!(change.outcome, Outcome::DryRun(_));
        if let Some(timeout) = context.wait_timeout.filter(|_| !is_dry_run) {
            let count =
                processes::wait_in_force(context, &change.key, change.target_version, timeout)
                    .await?;
            text.push_str(&format_in_force(&change.key, count));
            change_json["in_force_at"] = json!(count);
        }
        changes.push(change_json);
    }
    Ok(Output {
        text,
        json: json!({ "changes": changes }),
    })
}

/// Formats the outcome of a change and the fields that it sets.
fn format_change(change: &FinishedChange) -> String {
    let key = &change.key;
    let mut text = match &change.outcome {
        Outcome::Done(Some(version)) => format!("{key}: done, version {version}\n"),
        Outcome::Done(None) => format!("{key}: done\n"),
        Outcome::Unchanged(version) => {
            format!("{key}: unchanged, version {version} already has these values\n")
        }
        Outcome::DryRun(_) => format!("{key}: would change, nothing was written\n"),
        Outcome::NotWritten(_) | Outcome::Unknown { .. } => String::new(),
    };
    for difference in &change.differences {
        text.push_str("  ");
        text.push_str(&difference.to_string());
        text.push('\n');
    }
    text
}

/// Adds the keys of the changes that finished before the error to its message.
fn with_finished_keys(mut error: Error, finished_changes: &[FinishedChange]) -> Error {
    if !finished_changes.is_empty() {
        let keys: Vec<&str> = finished_changes
            .iter()
            .map(|finished| finished.key.as_ref())
            .collect();
        error.message = Arc::from(format!(
            "{} (changes that finished before this error: {})",
            error.message,
            keys.join(", ")
        ));
    }
    error
}

/// Reads a file, or standard input if the path is `-`.
fn read_file(path: &Path) -> Result<String> {
    let read_error =
        |error: std::io::Error| io(format!("apply: cannot read {}: {error}", path.display()));
    if path == Path::new("-") {
        let mut text = String::new();
        stdin().read_to_string(&mut text).map_err(read_error)?;
        return Ok(text);
    }
    fs::read_to_string(path).map_err(read_error)
}

/// Parses JSON with comments that holds one object or an array of objects.
fn parse_file(text: &str) -> Result<Vec<FileObject>> {
    let value: Value = parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
        invalid_argument(format!("apply: the input is not valid JSON: {error}"))
    })?;
    let values = match value {
        Value::Array(values) => values,
        value => vec![value],
    };
    if values.is_empty() || values.len() > MAX_FILE_OBJECTS {
        return Err(invalid_argument(format!(
            "apply: the file has {} objects; allowed are 1 to {MAX_FILE_OBJECTS}",
            values.len()
        )));
    }
    values
        .into_iter()
        .map(|value| {
            FileObject::deserialize(value).map_err(|error| {
                invalid_argument(format!(
                    "apply: {error}; allowed is an object with \"key\", \"value\" and optionally \"version\""
                ))
            })
        })
        .collect()
}

/// Parses `FIELD=VALUE`. A value that is not JSON is taken as text.
fn parse_assignment(assignment: &str) -> Result<(String, Value)> {
    let Some((name, text)) = assignment.split_once('=') else {
        return Err(invalid_argument(format!(
            "arguments: field \"--set\" is {assignment:?}; allowed is FIELD=VALUE"
        )));
    };
    if name.is_empty() || [OPERATION_FIELD, SUPERSEDED_FIELD, "name"].contains(&name) {
        return Err(invalid_argument(format!(
            "arguments: field \"--set\" names {name:?}; allowed are the fields of the object without name, {OPERATION_FIELD} and {SUPERSEDED_FIELD}"
        )));
    }
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text));
    Ok((name.to_owned(), value))
}

/// Formats the confirmation that a change is in force at `count` balancers.
fn format_in_force(key: &str, count: usize) -> String {
    format!("{key}: in force at all {count} registered balancers\n")
}
