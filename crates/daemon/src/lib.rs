//! The daemon `cardamomloomd`: balancer or agent, by its settings.

pub mod agent;
pub mod balancer;
pub mod burn;
pub mod control;
pub mod freshness;
pub mod inspect;
pub mod logging;
pub mod passthrough;
pub mod runtime;
pub mod settings;
