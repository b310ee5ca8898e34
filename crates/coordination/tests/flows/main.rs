//! Tests of flow ownership and handover under overlapping changes.

mod messages;
mod scenarios;
mod sequences;
