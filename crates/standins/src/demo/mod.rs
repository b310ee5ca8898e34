//! The whole system as real processes on loopback, for the demonstration and end-to-end tests.

mod customers;
mod installation;
mod servers;

pub use {
    customers::{Customer, ServicePlan},
    installation::{Installation, Load, MemberProcess},
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

/// Result of running the demonstration.
pub type Result<T> = IoResult<T>;

/// Outcome of a demonstration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// What callers saw.
    pub callers: CallerSummary,
    /// Requests that ran more than once.
    pub duplicated: u64,
}

impl Outcome {
    /// Tells whether every request was answered and nothing was broken.
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

const CALLER_TIMEOUT: Duration = Duration::from_secs(80);

/// Runs the demonstration: flows are open while a balancer restarts and a host drains.
///
/// # Errors
///
/// Fails when a process cannot be started or does not end.
pub fn run(customer: Customer, folder: &Path) -> Result<Outcome> {
    run_with(customer, folder, &Load::default(), |installation| {
        installation.restart_balancer(0)?;
        installation.agent(0, 0)?.signal(Signal::SIGTERM)
    })
}

/// Runs callers of every service and calls `disturb` when half of the flows are open.
///
/// # Errors
///
/// Fails when a process cannot be started or does not end, or when `disturb` fails.
pub fn run_with(
    customer: Customer,
    folder: &Path,
    load: &Load,
    disturb: impl FnOnce(&mut Installation) -> Result<()>,
) -> Result<Outcome> {
    let mut installation = Installation::start(customer, folder)?;
    let mut callers = Vec::new();
    for service in 0..installation.services().len() {
        callers.push(installation.start_callers(service, load)?);
    }
    // The disturbance comes in the middle of the opening, so that flows of every age see it.
    thread::sleep(Duration::from_millis(load.open_over_ms / 2));
    disturb(&mut installation)?;

    let callers = collect(callers)?;
    let duplicated = installation.duplicated()?;
    Ok(Outcome {
        callers,
        duplicated,
    })
}

/// Waits for caller processes and adds up what they saw.
///
/// # Errors
///
/// Fails when a process does not end or prints no summary.
pub fn collect(callers: impl IntoIterator<Item = Process>) -> Result<CallerSummary> {
    let mut total = CallerSummary::default();
    for mut caller in callers {
        caller.wait(CALLER_TIMEOUT)?;
        let line = caller
            .printed()
            .pop()
            .ok_or_else(|| Error::other("callers printed no summary"))?;
        add(&mut total, &serde_json::from_str(&line)?);
    }
    Ok(total)
}

fn add(total: &mut CallerSummary, summary: &CallerSummary) {
    total.flows += summary.flows;
    total.requests += summary.requests;
    total.ok += summary.ok;
    total.broken += summary.broken;
    total.refused += summary.refused;
    total.misdelivered += summary.misdelivered;
}
