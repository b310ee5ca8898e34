//! Faults that a test injects into the store.

use serde::{Deserialize, Serialize};

/// Faults that apply to every call of the object API until they are set again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every call is answered with status 503.
    pub down: bool,
    /// Time that every call waits before the store processes it.
    pub delay_ms: u64,
    /// Whether the client gets status 504 instead of the result of a write.
    pub lost_answers: LostAnswers,
}

/// Whether the client gets status 504 instead of the result of a write, so that it does not know
/// whether the write took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswers {
    /// Results reach the client.
    #[default]
    None,
    /// The result is lost and the write does not take effect.
    BeforeWrite,
    /// The result is lost after the write took effect.
    AfterWrite,
}
