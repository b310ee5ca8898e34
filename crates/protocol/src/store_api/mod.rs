//! JSON bodies of the platform's object API.

use {
    crate::json_body::{self, RawValue},
    cardamomloom_core::{
        ObjectVersion,
        error::{Error, malformed},
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::sync::Arc,
};

/// Result of decoding a response.
pub type Result<T> = std::result::Result<T, Error>;

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
    pub value: Option<Value>,
}

/// Response to a list or watch request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Version of the store at the time of the response; a watch resumes after it.
    pub version: ObjectVersion,
    /// Objects in key order (list) or changed objects in version order (watch).
    pub objects: Vec<Object>,
}

#[derive(Deserialize)]
struct WireObjectList {
    version: ObjectVersion,
    objects: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct WireObject {
    key: Arc<str>,
    version: ObjectVersion,
    value: Option<Box<RawValue>>,
}

/// Value of an object whose stored value cannot be decoded. No kind of object accepts it, so that the
/// object is rejected by its name, and not taken for deleted because a list lacks it.
const UNDECODABLE_VALUE: &str = "undecodable";

impl ObjectList {
    /// Decodes a response, in which an object that cannot be decoded costs only itself. Returns an error
    /// for each such object. One whose key and version can be decoded stays in the list, with a value
    /// that no kind of object accepts; the others are left out.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the response as a whole is not a list.
    pub fn decode(body: &[u8]) -> Result<(Self, Vec<Error>)> {
        let wire: WireObjectList = json_body::decode(body)
            .map_err(|error| malformed(format!("store: cannot decode the response: {error}")))?;
        let mut errors = Vec::new();
        let mut objects = Vec::new();
        for item in &wire.objects {
            match json_body::decode_item::<WireObject>(item) {
                Ok(object) => objects.push(object.into_object(&mut errors)),
                Err(error) => errors.push(malformed(format!("store: unknown object: {error}"))),
            }
        }
        let version = wire.version;
        Ok((Self { version, objects }, errors))
    }
}

impl WireObject {
    fn into_object(self, errors: &mut Vec<Error>) -> Object {
        let value = self.value.map(|value| {
            json_body::decode_item(&value).unwrap_or_else(|error| {
                errors.push(malformed(format!("store: object {:?}: {error}", self.key)));
                Value::from(UNDECODABLE_VALUE)
            })
        });
        Object {
            key: self.key,
            version: self.version,
            value,
        }
    }
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
