//! Runs the whole system as processes on loopback, for the demonstration and end-to-end tests.

mod customers;
mod installation;
mod load;
mod servers;

pub use {
    customers::{Customer, ServicePlan},
    installation::{DaemonProcess, Installation},
    load::Load,
};

use {
    crate::{caller::CallerSummary, processes::Process},
    nix::sys::signal::Signal,
    std::{
        io::{Error, Result as IoResult},
        path::Path,
        thread,
        time::Duration,
    },
};

/// Result of an operation on the processes of an installation.
pub type Result<T> = IoResult<T>;

/// Requests and flows of a run, as callers and backend servers counted them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Sum of the summaries of all callers.
    pub callers: CallerSummary,
    /// Requests that backend servers ran more than once.
    pub duplicated: u64,
}

impl Outcome {
    /// Returns whether every request was answered correctly and ran at most once, and no flow was
    /// refused or broken.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        let callers = &self.callers;
        callers.broken == 0
            && callers.misdelivered == 0
            && callers.refused == 0
            && callers.requests == callers.ok
            && self.duplicated == 0
    }
}

/// Longest wait for a caller process to exit.
const CALLER_TIMEOUT: Duration = Duration::from_secs(80);

/// Runs the demonstration: a balancer is replaced and a host drains while flows are open.
///
/// The settings of the daemons are written to `folder`.
///
/// # Errors
///
/// Fails when a process cannot be started or does not exit in time.
pub fn run(customer: Customer, folder: &Path) -> Result<Outcome> {
    run_with_faults(customer, folder, &Load::default(), |installation| {
        installation.replace_balancer(0)?;
        installation.agent(0, 0)?.signal(Signal::SIGTERM)
    })
}

/// Starts an installation and callers of every service, and calls `inject_faults` when half of the
/// flows are open.
///
/// # Errors
///
/// Fails when a process cannot be started or does not exit in time, or when `inject_faults` fails.
pub fn run_with_faults(
    customer: Customer,
    folder: &Path,
    load: &Load,
    inject_faults: impl FnOnce(&mut Installation) -> Result<()>,
) -> Result<Outcome> {
    let mut installation = Installation::start(customer, folder)?;
    let mut callers = Vec::new();
    for service in 0..installation.services().len() {
        callers.push(installation.start_callers(service, load)?);
    }
    // Faults are injected while flows are still being opened, so that they meet flows of every age.
    thread::sleep(Duration::from_millis(load.open_over_ms / 2));
    inject_faults(&mut installation)?;

    let callers = collect_summaries(callers)?;
    let duplicated = installation.duplicated_requests()?;
    Ok(Outcome {
        callers,
        duplicated,
    })
}

/// Waits for caller processes to exit and adds up their summaries.
///
/// # Errors
///
/// Fails when a process does not exit within 80 s or prints no summary.
pub fn collect_summaries(callers: impl IntoIterator<Item = Process>) -> Result<CallerSummary> {
    let mut total = CallerSummary::default();
    for mut caller in callers {
        caller.wait(CALLER_TIMEOUT)?;
        let line = caller
            .remaining_lines()
            .pop()
            .ok_or_else(|| Error::other("a caller process exited without a summary"))?;
        add_summary(&mut total, &serde_json::from_str(&line)?);
    }
    Ok(total)
}

fn add_summary(total: &mut CallerSummary, summary: &CallerSummary) {
    total.flows += summary.flows;
    total.requests += summary.requests;
    total.ok += summary.ok;
    total.broken += summary.broken;
    total.refused += summary.refused;
    total.misdelivered += summary.misdelivered;
}
