//! Faults of the store.

use serde::{Deserialize, Serialize};

/// Faults that apply to every call until they are set again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is answered with status 503.
    pub down: bool,
    /// Delay of every call.
    pub delay_ms: u64,
    /// Whether answers to writes are lost.
    pub lost_answers: LostAnswers,
}

/// Whether answers to writes are lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswers {
    /// Answers arrive.
    #[default]
    None,
    /// The write does not take effect and the answer is lost.
    BeforeWrite,
    /// The write takes effect and the answer is lost.
    AfterWrite,
}
