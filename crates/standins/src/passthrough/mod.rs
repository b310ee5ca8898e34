//! Backend servers and callers for pass-through delivery, without sockets, and a world in virtual
//! time that connects them to real balancers and agents.

mod caller;
mod format;
mod host;
mod names;
mod oracle;
mod world;

pub use {
    caller::{Caller, CallerOptions, CallerOutcome},
    format::PlainPackets,
    host::{HostModel, HostOptions, Taken},
    names::{domain_name, route, service_name},
    oracle::{Oracle, Tally, Violation},
    world::{Load, World, WorldOptions},
};
