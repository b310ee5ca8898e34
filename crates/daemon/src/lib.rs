//! The daemon `cardamomloomd`. Its settings select the role, balancer or agent, and whether agents
//! terminate flows or pass packets through.

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
