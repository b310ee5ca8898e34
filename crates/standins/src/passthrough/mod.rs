//! Backend servers and callers for pass-through delivery, without sockets, and a world in virtual
//! time that connects them to real balancers and agents.

mod caller;
mod format;
mod host;
mod names;
mod oracle;
mod simulation;

pub use {
    caller::{Caller, CallerOptions, CallerOutcome},
    format::TestPacketFormat,
    host::{HostModel, HostOptions, ServerEvent},
    names::{domain_name, route, service_name},
    oracle::{FlowCounters, Oracle, Violation},
    simulation::{Load, Simulation, SimulationOptions},
};
