//! Flow ownership and handover under overlapping changes.

mod scenarios;
mod sequences;
