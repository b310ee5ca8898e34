//! Flow ownership and handover under overlapping changes.

mod sequences;
mod world;
