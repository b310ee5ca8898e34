//! Field-by-field comparison of object values, and the error messages that report a conflict.

use {
    cardamomloom_core::{
        ObjectVersion,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::{
        object::history::{operation_of, without_write_record},
        store_api::Object,
    },
    serde::Serialize,
    serde_json::{Map, Value},
    std::{collections::BTreeSet, fmt, sync::Arc},
};

/// One top-level field that differs between two versions of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Name of the field.
    pub field: Arc<str>,
    /// Old value, or `None` when the field was not set.
    pub from: Option<Value>,
    /// New value, or `None` when the field is removed.
    pub to: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} -> {}",
            self.field,
            display_value(self.from.as_ref()),
            display_value(self.to.as_ref())
        )
    }
}

fn display_value(value: Option<&Value>) -> String {
    value.map_or_else(|| "(not set)".to_owned(), Value::to_string)
}

/// Returns the fields that differ, in name order. The write record, which every write sets,
/// is left out.
#[must_use]
pub fn differences(from: Option<&Value>, to: Option<&Value>) -> Vec<Difference> {
    let (from, to) = (fields_of(from), fields_of(to));
    let names: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    names
        .into_iter()
        .filter(|name| from.get(*name) != to.get(*name))
        .map(|name| Difference {
            field: Arc::from(name.as_str()),
            from: from.get(name).cloned(),
            to: to.get(name).cloned(),
        })
        .collect()
}

fn fields_of(value: Option<&Value>) -> Map<String, Value> {
    match value.map(without_write_record) {
        Some(Value::Object(fields)) => fields,
        _ => Map::new(),
    }
}

/// Returns the error for a change that lost a race against another writer.
///
/// The message names each field that the other writer changed since `base` with its current value.
/// Where this change sets the field to something else again, it also gives the value from
/// `proposed`.
#[must_use]
pub fn conflict(
    key: &str,
    base: Option<&Value>,
    proposed: Option<&Value>,
    current: Option<&Object>,
) -> Error {
    let Some(current) = current.filter(|object| object.value.is_some()) else {
        return Error::new(
            ErrorKind::Conflict,
            format!("change: object {key:?} was deleted by another writer; nothing was written"),
        );
    };
    let concurrent_changes = differences(base, current.value.as_ref());
    let proposed_fields = fields_of(proposed);
    let mut parts: Vec<String> = concurrent_changes
        .iter()
        .map(|difference| describe(difference, proposed.is_some(), &proposed_fields))
        .collect();
    if parts.is_empty() {
        parts.push("no field differs from the version that was read".to_owned());
    }
    let operation = current.value.as_ref().map(operation_of).unwrap_or_default();
    Error::new(
        ErrorKind::Conflict,
        format!(
            "change: object {key:?} has version {}, written by operation {operation}: {}; nothing was written",
            current.version,
            parts.join(", ")
        ),
    )
}

/// Describes one concurrently changed field. A deletion proposes no fields, so nothing is compared
/// unless `has_proposed` is set.
fn describe(difference: &Difference, has_proposed: bool, proposed: &Map<String, Value>) -> String {
    let field = &difference.field;
    let current_value = display_value(difference.to.as_ref());
    let proposed_value = proposed.get(field.as_ref());
    if has_proposed
        && proposed_value != difference.to.as_ref()
        && proposed_value != difference.from.as_ref()
    {
        return format!(
            "field {field:?} is {current_value} (this change: {})",
            display_value(proposed_value)
        );
    }
    format!("field {field:?} is {current_value}")
}

/// Returns the error for a change that was made on a version other than the current one.
///
/// The base value is not available, so the message lists the fields in which the current object
/// differs from the proposed value.
#[must_use]
pub fn version_mismatch(
    key: &str,
    expected: ObjectVersion,
    proposed: Option<&Value>,
    current: Option<&Object>,
) -> Error {
    let mut error = conflict(key, proposed, proposed, current);
    error.message = Arc::from(format!(
        "{} (this change was made on version {expected})",
        error.message
    ));
    error
}
