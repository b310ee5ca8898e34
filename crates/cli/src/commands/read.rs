//! Commands `get` and `list`, which read objects, and the resolution of writes whose answer was lost.

use {
    crate::{
        arguments::{GetOptions, ListOptions},
        context::Context,
        driver,
        output::{Output, format_cell, format_table},
    },
    cardamomloom_coordination::changes::{ReadAnswer, WriteStatus, deletion_status, write_status},
    cardamomloom_core::{
        ObjectVersion, OperationId,
        error::{Error, ErrorKind, Result, invalid_argument},
    },
    cardamomloom_protocol::object::{
        DOMAINS_PREFIX, NODES_PREFIX, SERVICES_PREFIX, history::without_write_record,
    },
    serde_json::{Value, json},
};

/// Prints an object, or resolves the outcome of a write when `--operation` and `--base` are given.
pub async fn get(context: &Context, options: &GetOptions) -> Result<Output> {
    check_key(&options.key)?;
    if options.operation.is_some() != options.base.is_some() {
        return Err(invalid_argument(
            "arguments: fields \"--operation\" and \"--base\" belong together; allowed is both or neither",
        ));
    }
    let read_answer = driver::read(context, &options.key).await?;
    if let (Some(operation), Some(base)) = (options.operation, options.base) {
        return resolve_write(options, &read_answer, operation, base);
    }
    let Some(object) = read_answer.object else {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("get: object {:?} does not exist", options.key),
        ));
    };
    let value = without_write_record(object.value.as_ref().unwrap_or(&Value::Null));
    let mut rows = vec![vec!["(version)".to_owned(), object.version.to_string()]];
    for (field, value) in value.as_object().into_iter().flatten() {
        rows.push(vec![field.clone(), format_cell(value)]);
    }
    Ok(Output {
        text: format_table(&["FIELD", "VALUE"], &rows),
        json: json!({"key": object.key, "version": object.version, "value": value}),
    })
}

/// Determines whether a write whose answer was lost took effect. Succeeds only if it did; the error
/// kinds distinguish a write that can no longer take effect from one whose outcome is unknown.
fn resolve_write(
    options: &GetOptions,
    read_answer: &ReadAnswer,
    operation: OperationId,
    base: ObjectVersion,
) -> Result<Output> {
    let key = &options.key;
    let status = if options.deletion {
        deletion_status(read_answer, base)
    } else {
        write_status(read_answer, base, operation)
    };
    let unknown = |reason: &str| {
        Err(Error::new(
            ErrorKind::OutcomeUnknown,
            format!("get: operation {operation} on {key:?}: unknown: {reason}"),
        ))
    };
    match status {
        WriteStatus::Applied(_) => Ok(Output {
            text: format!("operation {operation} on {key}: done"),
            json: json!({"key": key, "operation": operation.to_string(), "outcome": "done"}),
        }),
        WriteStatus::NotApplied => Err(Error::new(
            ErrorKind::Conflict,
            format!(
                "get: operation {operation} on {key:?}: not done, and it never will be: another write replaced version {base}"
            ),
        )),
        WriteStatus::Pending if read_answer.store_version < base => unknown(&format!(
            "the store answered with a state that is older than version {base}; run this command again"
        )),
        WriteStatus::Pending if base == ObjectVersion(0) => unknown(
            "the object does not exist, and the store may still accept the write; run this command again, or create the object, which rules the write out while the object exists",
        ),
        WriteStatus::Pending => unknown(&format!(
            "version {base} is still present, and the store may still accept the write; run this command again, or change the object, which rules the write out"
        )),
        WriteStatus::Unknown => unknown(
            "the object was deleted or written too often since then; its record of writes no longer shows whether this write took effect, and no command can determine it",
        ),
    }
}

/// Prints the objects whose keys have a prefix.
pub async fn list(context: &Context, options: &ListOptions) -> Result<Output> {
    let prefix = options.prefix.as_deref().unwrap_or_default();
    let list = context.store.list(prefix).await?;
    let rows: Vec<Vec<String>> = list
        .objects
        .iter()
        .map(|object| {
            let value = object.value.as_ref().unwrap_or(&Value::Null);
            vec![
                object.key.to_string(),
                object.version.to_string(),
                format_summary(&object.key, value),
            ]
        })
        .collect();
    let objects: Vec<Value> = list
        .objects
        .iter()
        .map(|object| {
            let value = object.value.as_ref().map(without_write_record);
            json!({"key": object.key, "version": object.version, "value": value})
        })
        .collect();
    Ok(Output {
        text: format_table(&["KEY", "VERSION", "SUMMARY"], &rows),
        json: json!({"version": list.version, "objects": objects}),
    })
}

/// Formats the fields of an object that `list` shows, which depend on the kind of the object. Fields
/// that are null or empty are left out.
fn format_summary(key: &str, value: &Value) -> String {
    let fields: &[&str] = if key.starts_with(SERVICES_PREFIX) {
        &["id", "class", "addresses", "port"]
    } else if key.starts_with(DOMAINS_PREFIX) {
        &["region", "state", "reason"]
    } else if key.starts_with(NODES_PREFIX) {
        &["domain", "http_address"]
    } else {
        &[]
    };
    let assignments: Vec<String> = fields
        .iter()
        .filter(|field| !value[**field].is_null() && value[**field] != "")
        .map(|field| format!("{field}={}", format_cell(&value[*field])))
        .collect();
    assignments.join(" ")
}

/// Checks that a key names one object and can be part of a URL without escaping.
///
/// # Errors
///
/// Fails with kind `invalid_argument` for any other key.
pub fn check_key(key: &str) -> Result<()> {
    let is_valid = key.split('/').count() == 2
        && key.split('/').all(|part| {
            !part.is_empty()
                && part
                    .bytes()
                    .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
        });
    if is_valid {
        return Ok(());
    }
    Err(invalid_argument(format!(
        "arguments: field \"key\" is {key:?}; allowed is a kind, a slash and a name of lower-case letters, digits and hyphens, such as services/bookings"
    )))
}
