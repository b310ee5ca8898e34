//! Stand-ins for the systems around cardamomloom: platform store, fabric, backend server, caller.
//!
//! They serve demonstrations, tests and measurements; the daemon never links this crate.

pub mod backend;
pub mod caller;
pub mod control_plane;
pub mod demo;
pub mod fabric;
pub mod fleet;
mod locks;
pub mod model;
pub mod passthrough;
pub mod processes;
pub mod store;
