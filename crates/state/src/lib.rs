//! State that placement and membership decisions read: host entries, the catalogue in force,
//! candidate tables and connection counts of the service-level burn.

pub mod burn;
pub mod candidates;
pub mod catalogue;
pub mod hosts;
pub mod routing;
