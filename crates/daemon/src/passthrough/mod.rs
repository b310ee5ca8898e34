//! Balancer and agent with pass-through delivery.
//!
//! The process has one thread. A `tokio` runtime drives sockets and calls to the store, and a
//! single `stakker` actor makes all decisions.

mod agent;
mod balancer;
mod endpoints;
mod log_limit;
pub mod node;
pub mod peer_client;
mod registry;
mod rejections;
mod server_check;
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

/// Runs a process until it has stopped on request.
///
/// `path` is the settings file, which is read again on SIGHUP and every few seconds.
///
/// # Errors
///
/// Fails with kind `io` when the runtime, a socket or a signal handler cannot be set up.
pub fn run(path: &Path, settings: &PassThroughSettings) -> Result<()> {
    info!(
        event = "starting", node = &*settings.node, version = env!("CARGO_PKG_VERSION");
        "process starting"
    );
    let executor = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| io(format!("runtime: cannot start tokio: {error}")))?;
    let outcome = executor.block_on(async {
        let (runtime, inbox) = node::NodeRuntime::start(path, settings).await?;
        match &settings.role {
            PassThroughRole::Balancer { linger_ms } => {
                balancer::run(settings, *linger_ms, runtime, inbox).await
            }
            PassThroughRole::Agent(agent) => agent::run(settings, agent, runtime, inbox).await,
        }
    });
    // Does not wait for pending calls to the store.
    executor.shutdown_background();
    info!(event = "stopped"; "process stopped");
    outcome
}
