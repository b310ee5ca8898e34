//! What an experiment is, and the registry of all experiments.

mod agent;
mod announce;
mod balance;
mod churn;
mod disseminate;
mod domain;
mod fixture;
mod fleets;
mod forward;
mod lookup;
mod memory;
mod status;
mod store;
mod table;

use {crate::report::Report, cardamomloom_core::error::Error, std::path::PathBuf};

/// Result of an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// Options that every experiment takes.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether small sizes are enough.
    pub quick: bool,
    /// Folder for plots, if any are wanted.
    pub plots: Option<PathBuf>,
}

/// One experiment.
pub trait Experiment {
    /// Returns the name on the command line.
    fn name(&self) -> &'static str;

    /// Returns one line that says what is measured.
    fn summary(&self) -> &'static str;

    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Fails when a socket, process or file cannot be used.
    fn run(&self, options: &RunOptions) -> Result<Report>;
}

/// Returns all experiments.
#[must_use]
pub fn registry() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(agent::AgentFlows),
        Box::new(announce::Announce),
        Box::new(disseminate::Disseminate),
        Box::new(forward::Forward),
        Box::new(churn::Churn),
        Box::new(lookup::Lookup),
        Box::new(status::Status),
        Box::new(store::Store),
        Box::new(table::Table),
        Box::new(domain::Domain),
        Box::new(balance::Balance),
    ]
}
