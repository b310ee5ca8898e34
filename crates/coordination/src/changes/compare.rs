//! Field-by-field comparison of objects.

use {
    cardamomloom_core::{
        ObjectVersion,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::{
        object::history::{operation_of, without_record},
        store_api::Object,
    },
    serde::Serialize,
    serde_json::{Map, Value},
    std::{collections::BTreeSet, fmt, sync::Arc},
};

/// One field that differs between two versions of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Name of the field.
    pub field: Arc<str>,
    /// Value before, or `None` when the field was not set.
    pub from: Option<Value>,
    /// Value after, or `None` when the field is removed.
    pub to: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} -> {}",
            self.field,
            shown(self.from.as_ref()),
            shown(self.to.as_ref())
        )
    }
}

fn shown(value: Option<&Value>) -> String {
    value.map_or_else(|| "(not set)".to_owned(), Value::to_string)
}

/// Returns the fields that differ, in name order, without those that every write sets.
#[must_use]
pub fn differences(from: Option<&Value>, to: Option<&Value>) -> Vec<Difference> {
    let (from, to) = (fields(from), fields(to));
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

fn fields(value: Option<&Value>) -> Map<String, Value> {
    match value.map(without_record) {
        Some(Value::Object(fields)) => fields,
        _ => Map::new(),
    }
}

/// Describes a lost race: each field that the other writer changed since `base`, with its value
/// and, where it differs, the value of this change.
#[must_use]
pub fn conflict(
    key: &str,
    base: Option<&Value>,
    own: Option<&Value>,
    present: Option<&Object>,
) -> Error {
    let Some(present) = present.filter(|object| object.value.is_some()) else {
        return Error::new(
            ErrorKind::Conflict,
            format!("change: object {key:?} was deleted by another writer; nothing was written"),
        );
    };
    let other = differences(base, present.value.as_ref());
    let own_fields = fields(own);
    let mut parts: Vec<String> = other
        .iter()
        .map(|difference| describe(difference, own.is_some(), &own_fields))
        .collect();
    if parts.is_empty() {
        parts.push("no field differs from the version that was read".to_owned());
    }
    let operation = present.value.as_ref().map(operation_of).unwrap_or_default();
    Error::new(
        ErrorKind::Conflict,
        format!(
            "change: object {key:?} has version {} by operation {operation}: {}; nothing was written",
            present.version,
            parts.join(", ")
        ),
    )
}

fn describe(difference: &Difference, has_own: bool, own: &Map<String, Value>) -> String {
    let field = &difference.field;
    let theirs = shown(difference.to.as_ref());
    let mine = own.get(field.as_ref());
    if has_own && mine != difference.to.as_ref() && mine != difference.from.as_ref() {
        return format!("field {field:?} is {theirs} (this change: {})", shown(mine));
    }
    format!("field {field:?} is {theirs}")
}

/// Describes a change that named a version which is not the present one.
#[must_use]
pub fn other_base(
    key: &str,
    named: ObjectVersion,
    own: Option<&Value>,
    present: Option<&Object>,
) -> Error {
    let mut error = conflict(key, own, own, present);
    error.message = Arc::from(format!(
        "{} (this change was made on version {named})",
        error.message
    ));
    error
}
