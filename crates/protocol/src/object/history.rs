//! Record of the writes that led to an object, kept in the object's value.
//!
//! Each accepted write adds the version and operation that it replaced. The record tells whether
//! a write whose answer was lost took effect, also after others have written the object since.

use {
    cardamomloom_core::{ObjectVersion, OperationId},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Field of the operation that wrote the object.
pub const OPERATION_FIELD: &str = "operation_id";

/// Field of the record; it is not part of a specification and [`super::decode`] leaves it out.
pub const SUPERSEDED_FIELD: &str = "superseded_operations";

/// Most entries of a record; one entry takes about 60 bytes of an object.
pub const MAX_SUPERSEDED: usize = 32;

/// One version that a later write replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Superseded {
    /// Version that was replaced; 0 when the write created the object.
    pub version: ObjectVersion,
    /// Operation that had written this version.
    pub operation_id: OperationId,
}

/// Returns the operation that wrote an object, or 0 when the value names none.
#[must_use]
pub fn operation_of(value: &Value) -> OperationId {
    OperationId(value[OPERATION_FIELD].as_u64().unwrap_or_default())
}

/// Returns the record of an object, newest entry first; empty when it is missing or malformed.
#[must_use]
pub fn superseded_of(value: &Value) -> Vec<Superseded> {
    Vec::deserialize(&value[SUPERSEDED_FIELD]).unwrap_or_default()
}

/// Returns `value` as the write of `operation` on top of a version of the object.
#[must_use]
pub fn with_write_record(
    mut value: Value,
    operation: OperationId,
    base: Option<(ObjectVersion, &Value)>,
) -> Value {
    let (version, mut older) = base.map_or((ObjectVersion(0), Vec::new()), |(version, value)| {
        (version, superseded_of(value))
    });
    let replaced = Superseded {
        version,
        operation_id: base.map_or(OperationId(0), |(_, value)| operation_of(value)),
    };
    older.insert(0, replaced);
    older.truncate(MAX_SUPERSEDED);
    if let Value::Object(fields) = &mut value {
        fields.insert(OPERATION_FIELD.to_owned(), Value::from(operation.0));
        let older = older.iter().map(|entry| {
            serde_json::json!({"version": entry.version, "operation_id": entry.operation_id})
        });
        fields.insert(SUPERSEDED_FIELD.to_owned(), older.collect());
    }
    value
}

/// Returns `value` without the fields that each write sets itself.
#[must_use]
pub fn without_record(value: &Value) -> Value {
    let mut value = value.clone();
    if let Value::Object(fields) = &mut value {
        fields.remove(OPERATION_FIELD);
        fields.remove(SUPERSEDED_FIELD);
    }
    value
}
