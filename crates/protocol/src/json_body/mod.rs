//! JSON bodies that hold items of several writers.
//!
//! An item that cannot be decoded must cost only itself. A body is therefore decoded into a type whose
//! items are [`RawValue`]s, which accept any syntactically valid JSON at any depth and with any
//! numbers, and each item is decoded by itself afterwards.

pub use serde_json::value::RawValue;
use {
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::Error,
};

/// Result of decoding a body or an item.
pub type Result<T> = std::result::Result<T, Error>;

/// Decodes a body. Bytes that are not UTF-8 are replaced, so that a text with such bytes does not make
/// the whole body invalid.
///
/// # Errors
///
/// Fails when the body is not JSON, or does not have the structure of `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_str(&String::from_utf8_lossy(body))
}

/// Decodes an item of a body.
///
/// # Errors
///
/// Fails when the item does not have the structure of `T`, has a number out of range, or is nested too
/// deeply.
pub fn decode_item<'a, T: Deserialize<'a>>(item: &'a RawValue) -> Result<T> {
    serde_json::from_str(item.get())
}
