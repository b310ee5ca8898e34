//! End-to-end tests of `cardamomloom`, run as a process against simulated endpoints.

mod changes;
mod common;
mod explain_placement;
mod views;
