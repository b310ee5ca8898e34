//! End-to-end tests of `cardamomloom` as a real process.

mod changes;
mod common;
mod views;
