//! Backend servers and callers for pass-through delivery, without sockets, and a world in virtual
//! time that connects them to real balancers and agents.

mod caller;
mod format;
mod host;
mod oracle;
mod world;

pub use {
    caller::{Caller, CallerOptions, CallerOutcome},
    format::PlainPackets,
    host::{HostModel, HostOptions, Taken},
    oracle::{Oracle, Tally, Violation},
    world::{Load, World, WorldOptions},
};
