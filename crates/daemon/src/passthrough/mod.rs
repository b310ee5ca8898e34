//! Runs a balancer or an agent with pass-through delivery in one thread: sockets and store calls
//! are driven by one runtime, and all decisions are taken by one `stakker` actor.

mod agent;
mod balancer;
mod decisions;
mod endpoints;
mod node;
mod registry;
mod sockets;
mod store_reader;

use {
    crate::settings::{PassThroughRole, PassThroughSettings},
    cardamomloom_core::error::{Error, io},
    log::info,
    std::path::Path,
};

/// Result of running a process.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs a process until it is asked to stop. The settings are read again from `path` when they
/// change.
///
/// # Errors
///
/// Fails with kind `io` when a socket cannot be set up.
pub fn run(path: &Path, settings: &PassThroughSettings) -> Result<()> {
    info!(event = "starting", node = &*settings.node, version = env!("CARGO_PKG_VERSION"); "process starts");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| io(format!("runtime: {error}")))?;
    let outcome = runtime.block_on(async {
        let (shell, inbox) = node::Shell::start(path, settings).await?;
        match &settings.role {
            PassThroughRole::Balancer { linger_ms } => {
                balancer::run(settings, *linger_ms, shell, inbox).await
            }
            PassThroughRole::Agent(agent) => agent::run(settings, agent, shell, inbox).await,
        }
    });
    // Calls to the store that still wait are given up.
    runtime.shutdown_background();
    info!(event = "stopped"; "process stopped");
    outcome
}
