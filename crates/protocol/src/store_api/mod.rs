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
    /// Version of the write.
    pub version: ObjectVersion,
    /// Value, or `None` after a deletion.
    pub value: Option<serde_json::Value>,
}

/// Answer to a list or watch request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Version of the store at the time of the answer; a watch continues after it.
    pub version: ObjectVersion,
    /// Objects in key order (list) or changed objects in version order (watch).
    pub objects: Vec<Object>,
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Message for people.
    pub error: Arc<str>,
    /// Present object, when the request conflicted with it.
    #[serde(default)]
    pub present: Option<Object>,
}
