//! Write history of an object, stored in the object's value.
//!
//! Each write adds the version and the operation that it replaces. When the response to a write is
//! lost, the history shows whether the write took effect, even if others have written the object
//! since.

use {
    cardamomloom_core::{ObjectVersion, OperationId},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Field that holds the operation that wrote the object.
pub const OPERATION_FIELD: &str = "operation_id";

/// Field that holds the write history. It belongs to no specification; [`super::decode`] ignores
/// it.
pub const SUPERSEDED_FIELD: &str = "superseded_operations";

/// Maximum number of entries in a write history; each adds about 60 bytes to the object.
pub const MAX_SUPERSEDED: usize = 32;

/// A version of an object that a later write replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupersededVersion {
    /// Version that was replaced; 0 if the write created the object.
    pub version: ObjectVersion,
    /// Operation that wrote this version.
    pub operation_id: OperationId,
}

/// Returns the operation that wrote an object, or 0 if the value names none.
#[must_use]
pub fn operation_of(value: &Value) -> OperationId {
    OperationId(value[OPERATION_FIELD].as_u64().unwrap_or_default())
}

/// Returns the write history of an object, newest entry first; empty if missing or malformed.
#[must_use]
pub fn superseded_of(value: &Value) -> Vec<SupersededVersion> {
    Vec::deserialize(&value[SUPERSEDED_FIELD]).unwrap_or_default()
}

/// Returns `value` as written by `operation`: with the operation, and with the write history of the
/// replaced version, `base`, extended by that version.
#[must_use]
pub fn with_write_record(
    mut value: Value,
    operation: OperationId,
    base: Option<(ObjectVersion, &Value)>,
) -> Value {
    let (version, mut history) = base.map_or((ObjectVersion(0), Vec::new()), |(version, value)| {
        (version, superseded_of(value))
    });
    let replaced = SupersededVersion {
        version,
        operation_id: base.map_or(OperationId(0), |(_, value)| operation_of(value)),
    };
    history.insert(0, replaced);
    history.truncate(MAX_SUPERSEDED);
    if let Value::Object(fields) = &mut value {
        fields.insert(OPERATION_FIELD.to_owned(), Value::from(operation.0));
        let history = history.iter().map(|entry| {
            serde_json::json!({"version": entry.version, "operation_id": entry.operation_id})
        });
        fields.insert(SUPERSEDED_FIELD.to_owned(), history.collect());
    }
    value
}

/// Returns `value` without its operation and write history, which each write sets anew.
#[must_use]
pub fn without_write_record(value: &Value) -> Value {
    let mut value = value.clone();
    if let Value::Object(fields) = &mut value {
        fields.remove(OPERATION_FIELD);
        fields.remove(SUPERSEDED_FIELD);
    }
    value
}
