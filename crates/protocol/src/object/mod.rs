//! Schema of the objects that cardamomloom keeps in the platform's store.

mod domain;
pub mod history;
mod node;
mod service;

pub use {
    domain::{DomainSpec, DomainState},
    node::{NodeRole, NodeSpec},
    service::{ServiceClass, ServiceSpec},
};

use {
    cardamomloom_core::error::{Error, invalid_argument},
    serde::de::DeserializeOwned,
    std::borrow::Cow,
};

/// Result of checking an object.
pub type Result<T> = std::result::Result<T, Error>;

/// Prefix of the keys of services.
pub const SERVICES_PREFIX: &str = "services/";
/// Prefix of the keys of failure domains.
pub const DOMAINS_PREFIX: &str = "domains/";
/// Prefix of the keys of balancers.
pub const NODES_PREFIX: &str = "nodes/";

/// An object whose fields can be checked against their allowed ranges.
pub trait Validate {
    /// Checks every field.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument`; the message names field, value and allowed range.
    fn validate(&self) -> Result<()>;
}

/// Decodes and checks an object value.
///
/// # Errors
///
/// Fails with kind `invalid_argument` when a field is missing, unknown or out of range.
pub fn decode<T: DeserializeOwned + Validate>(key: &str, value: &serde_json::Value) -> Result<T> {
    let mut value = Cow::Borrowed(value);
    if value.get(history::SUPERSEDED_FIELD).is_some()
        && let Some(fields) = value.to_mut().as_object_mut()
    {
        fields.remove(history::SUPERSEDED_FIELD);
    }
    let object: T = serde_path_to_error::deserialize(value.as_ref()).map_err(|error| {
        let reason = with_range(error.inner().to_string());
        invalid_argument(match error.path().to_string().as_str() {
            "." => format!("object {key:?}: {reason}"),
            field => format!("object {key:?}: field {field:?}: {reason}"),
        })
    })?;
    object.validate()?;
    Ok(object)
}

/// Replaces the names of integer types by their ranges.
fn with_range(reason: String) -> String {
    let ranges = [
        ("expected u16", u64::from(u16::MAX)),
        ("expected u32", u64::from(u32::MAX)),
        ("expected u64", u64::MAX),
    ];
    ranges.iter().fold(reason, |reason, (name, max)| {
        reason.replace(name, &format!("allowed is a number from 0 to {max}"))
    })
}

/// Fails unless `value` lies within `min..=max`.
fn check_range(field: &str, value: u64, min: u64, max: u64) -> Result<()> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(invalid_argument(format!(
        "object: field {field:?} is {value}; allowed is {min} to {max}"
    )))
}
