//! Dissemination of host entries, liveness records and store objects to every process.
//!
//! Changes spread by gossip. Anti-entropy compares digests and repairs what gossip missed. A
//! token bucket limits the bandwidth of both.

pub mod budget;
pub mod exchange;
pub mod index;
pub mod objects;
pub mod rendezvous;
pub mod replica;
