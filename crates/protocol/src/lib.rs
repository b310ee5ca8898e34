//! Wire formats and object schemas; this crate does no I/O and makes no decisions.

pub mod bytes;
pub mod control;
pub mod forward;
pub mod gue;
pub mod json_body;
pub mod object;
pub mod packet;
pub mod passthrough;
mod sealed;
pub mod store_api;
pub mod sync;
