//! Simulated versions of the systems that cardamomloom works with: platform store, packet fabric,
//! backend servers and callers.
//!
//! Demonstrations, tests and benchmarks use them; the daemon does not depend on this crate.

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
