//! The whole system as real processes on loopback, for the demonstration and end-to-end tests.

mod customers;
mod installation;

pub use {
    customers::{Customer, ServicePlan},
    installation::{Installation, MemberProcess},
};

use {
    crate::caller::CallerSummary,
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

const FLOWS_PER_SERVICE: usize = 120;
const REQUESTS_PER_FLOW: u32 = 12;
const INTERVAL_MS: u64 = 700;
const OPEN_OVER_MS: u64 = 4_000;
const CALLER_TIMEOUT: Duration = Duration::from_secs(50);

/// Runs the demonstration: flows are open while a balancer restarts and a host drains.
///
/// # Errors
///
/// Fails when a process cannot be started or does not end.
pub fn run(customer: Customer, folder: &Path) -> Result<Outcome> {
    let mut installation = Installation::start(customer, folder)?;
    let mut callers = Vec::new();
    for index in 0..installation.services().len() {
        callers.push(installation.start_callers(
            index,
            FLOWS_PER_SERVICE,
            REQUESTS_PER_FLOW,
            INTERVAL_MS,
            OPEN_OVER_MS,
        )?);
    }
    thread::sleep(Duration::from_millis(OPEN_OVER_MS / 2));
    installation.restart_balancer(0)?;
    installation.agent(0, 0)?.signal(Signal::SIGTERM)?;

    let mut outcome = Outcome::default();
    for mut caller in callers {
        caller.wait(CALLER_TIMEOUT)?;
        let line = caller
            .printed()
            .pop()
            .ok_or_else(|| Error::other("callers printed no summary"))?;
        let summary: CallerSummary = serde_json::from_str(&line)?;
        add(&mut outcome.callers, &summary);
    }
    outcome.duplicated = installation.duplicated()?;
    Ok(outcome)
}

fn add(total: &mut CallerSummary, summary: &CallerSummary) {
    total.flows += summary.flows;
    total.requests += summary.requests;
    total.ok += summary.ok;
    total.broken += summary.broken;
    total.refused += summary.refused;
    total.misdelivered += summary.misdelivered;
}
