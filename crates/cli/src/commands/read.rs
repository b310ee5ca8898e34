//! `get` and `list`.

use {
    crate::{
        arguments::{GetOptions, ListOptions},
        context::Context,
        driver,
        output::{Output, cell, table},
    },
    cardamomloom_coordination::changes::{ReadAnswer, WriteStatus, deletion_status, write_status},
    cardamomloom_core::{
        ObjectVersion, OperationId,
        error::{Error, ErrorKind, Result, invalid_argument},
    },
    cardamomloom_protocol::object::{
        DOMAINS_PREFIX, NODES_PREFIX, SERVICES_PREFIX, history::without_record,
    },
    serde_json::{Value, json},
};

/// Prints an object, or settles the outcome of a write.
pub async fn get(context: &Context, options: &GetOptions) -> Result<Output> {
    check_key(&options.key)?;
    if options.operation.is_some() != options.base.is_some() {
        return Err(invalid_argument(
            "arguments: fields \"--operation\" and \"--base\" belong together; allowed is both or neither",
        ));
    }
    let seen = driver::read(context, &options.key).await?;
    if let (Some(operation), Some(base)) = (options.operation, options.base) {
        return settle(options, &seen, operation, base);
    }
    let Some(object) = seen.object else {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("get: object {:?} does not exist", options.key),
        ));
    };
    let value = without_record(object.value.as_ref().unwrap_or(&Value::Null));
    let mut rows = vec![vec!["(version)".to_owned(), object.version.to_string()]];
    for (field, value) in value.as_object().into_iter().flatten() {
        rows.push(vec![field.clone(), cell(value)]);
    }
    Ok(Output {
        text: table(&["FIELD", "VALUE"], &rows),
        json: json!({"key": object.key, "version": object.version, "value": value}),
    })
}

/// Tells whether a write whose answer was lost took effect.
fn settle(
    options: &GetOptions,
    seen: &ReadAnswer,
    operation: OperationId,
    base: ObjectVersion,
) -> Result<Output> {
    let key = &options.key;
    let verdict = if options.deletion {
        deletion_status(seen, base)
    } else {
        write_status(seen, base, operation)
    };
    let unknown = |reason: &str| {
        Err(Error::new(
            ErrorKind::OutcomeUnknown,
            format!("get: operation {operation} on {key:?}: unknown: {reason}"),
        ))
    };
    match verdict {
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
        WriteStatus::Pending if seen.store_version < base => unknown(&format!(
            "the store answered with a state from before version {base}; run this command again"
        )),
        WriteStatus::Pending if base == ObjectVersion(0) => unknown(
            "the object does not exist, and the store may still accept the write; run this command again, or create the object, which rules the write out while the object exists",
        ),
        WriteStatus::Pending => unknown(&format!(
            "version {base} is still present, and the store may still accept the write; run this command again, or change the object, which rules the write out"
        )),
        WriteStatus::Unknown => unknown(
            "the object was deleted or written too often since; the write is not visible now, and no command can tell whether it was",
        ),
    }
}

/// Prints the objects with a prefix.
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
                summary(&object.key, value),
            ]
        })
        .collect();
    let objects: Vec<Value> = list
        .objects
        .iter()
        .map(|object| {
            let value = object.value.as_ref().map(without_record);
            json!({"key": object.key, "version": object.version, "value": value})
        })
        .collect();
    Ok(Output {
        text: table(&["KEY", "VERSION", "SUMMARY"], &rows),
        json: json!({"version": list.version, "objects": objects}),
    })
}

fn summary(key: &str, value: &Value) -> String {
    let fields: &[&str] = if key.starts_with(SERVICES_PREFIX) {
        &["id", "class", "addresses", "port"]
    } else if key.starts_with(DOMAINS_PREFIX) {
        &["region", "state", "reason"]
    } else if key.starts_with(NODES_PREFIX) {
        &["domain", "http_address"]
    } else {
        &[]
    };
    let shown: Vec<String> = fields
        .iter()
        .filter(|field| !value[**field].is_null() && value[**field] != "")
        .map(|field| format!("{field}={}", cell(&value[*field])))
        .collect();
    shown.join(" ")
}

/// Checks that a key can be part of a URL and names one object.
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
