//! Coordination logic of balancers and agents, as state machines without sockets, clocks or
//! threads.
//!
//! Callers pass in the current time and the received messages, and perform the resulting I/O.

pub mod admission;
pub mod agent;
pub mod balancer;
pub mod changes;
pub mod dissemination;
pub mod freshness;
pub mod handover;
pub mod membership;
pub mod ownership;
pub mod passthrough;
pub mod termination;
