//! JSON bodies of the platform's object API.

use {
    cardamomloom_core::ObjectVersion,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Largest object value in bytes that the store accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// One object with its version; a deleted object has no value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key, such as `services/bookings`.
    pub key: Arc<str>,
    /// Version that the last write of the object received.
    pub version: ObjectVersion,
    /// Value, or `None` after a deletion.
    pub value: Option<serde_json::Value>,
}

/// Response to a list or watch request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Version of the store at the time of the response; a watch resumes after it.
    pub version: ObjectVersion,
    /// Objects in key order (list) or changed objects in version order (watch).
    pub objects: Vec<Object>,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Human-readable message.
    pub error: Arc<str>,
    /// Current object, if the request conflicted with it.
    #[serde(default)]
    pub present: Option<Object>,
}
