//! How changes reach every process: versions, digests, repair and the byte budget.

pub mod budget;
pub mod exchange;
pub mod index;
pub mod objects;
pub mod rendezvous;
pub mod replica;
