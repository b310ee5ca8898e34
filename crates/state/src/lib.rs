//! State that decisions read: host entries, the catalogue in force and candidate tables.

pub mod burn;
pub mod candidates;
pub mod catalogue;
pub mod hosts;
pub mod routing;
