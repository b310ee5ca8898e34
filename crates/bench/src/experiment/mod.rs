//! Interface of the experiments and the list of all of them.

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
mod placement;
mod spread;
mod status;
mod store;
mod table;

use {crate::report::Report, cardamomloom_core::error::Error, std::path::PathBuf};

/// Result of an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// Options of a run, the same for every experiment.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether to run small sizes and few rounds only.
    pub quick: bool,
    /// Folder for plots; no plot is written without one.
    pub plots: Option<PathBuf>,
}

/// Measurement that can be run by its name.
pub trait Experiment {
    /// Returns the name by which the command line selects the experiment.
    fn name(&self) -> &'static str;

    /// Returns a description of what is measured, in one line.
    fn summary(&self) -> &'static str;

    /// Runs the experiment and returns its results.
    ///
    /// # Errors
    ///
    /// Fails when a socket, thread or file cannot be used, or when the system under test rejects an
    /// input of the experiment.
    fn run(&self, options: &RunOptions) -> Result<Report>;
}

/// Returns all experiments in the order in which they are listed.
#[must_use]
pub fn registry() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(agent::AgentFlows),
        Box::new(announce::Announce),
        Box::new(disseminate::Disseminate),
        Box::new(forward::Forward),
        Box::new(churn::Churn),
        Box::new(lookup::Lookup),
        Box::new(spread::Spread),
        Box::new(status::Status),
        Box::new(store::Store),
        Box::new(table::Table),
        Box::new(domain::Domain),
        Box::new(balance::Balance),
        Box::new(placement::Placement),
    ]
}
