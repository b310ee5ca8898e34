//! Deterministic simulation of pass-through delivery in virtual time: modelled backend servers and
//! callers, without sockets, around the state machines of real balancers and agents.

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
    simulation::{Load, RequestRecord, Simulation, SimulationOptions},
};
