//! Counts of the outcomes of owner lookups, and the limit of the log lines about them.

use cardamomloom_core::{Span, Time};

/// Lines about outcomes in [`LINE_SPAN`]; further outcomes are only counted.
const MAX_LINES: u64 = 20;
const LINE_SPAN: Span = Span::from_secs(1);

/// How an owner lookup ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupOutcome {
    /// The owner of the flow announced itself.
    OwnerFound,
    /// No host of any service that may own the flow holds it; the flow was reset.
    Lost,
    /// No host of the service holds the flow, and other services may; the balancer was informed.
    ServiceLost,
    /// An agent knows agents that were not asked.
    ListsDiffer,
    /// This process does not know the agents that were listed before it started, and a backend server
    /// is older than that.
    OldServer,
    /// This process does not know the agents that were listed before it started, and it is not known
    /// that all processes have started a short time ago.
    OlderProcess,
    /// An agent has not answered. Silence is no proof.
    AgentSilent,
    /// A service that may own the flow has not stated that none of its hosts holds it.
    ServiceSilent,
    /// The lookup was not tracked, because too many were in progress.
    Limited,
}

impl LookupOutcome {
    const ALL: [Self; 9] = [
        Self::OwnerFound,
        Self::Lost,
        Self::ServiceLost,
        Self::ListsDiffer,
        Self::OldServer,
        Self::OlderProcess,
        Self::AgentSilent,
        Self::ServiceSilent,
        Self::Limited,
    ];

    /// Returns the label of the outcome in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::OwnerFound => "owner_found",
            Self::Lost => "lost",
            Self::ServiceLost => "service_lost",
            Self::ListsDiffer => "undecided_lists_differ",
            Self::OldServer => "undecided_old_server",
            Self::OlderProcess => "undecided_older_process",
            Self::AgentSilent => "undecided_agent_silent",
            Self::ServiceSilent => "undecided_service_silent",
            Self::Limited => "undecided_limited",
        }
    }
}

/// Number of lookups by outcome.
#[derive(Debug, Default)]
pub struct LookupOutcomes {
    counts: [u64; LookupOutcome::ALL.len()],
    lines_since: Time,
    lines: u64,
}

impl LookupOutcomes {
    /// Counts an outcome. Returns whether a line about it may be logged.
    pub(super) const fn record(&mut self, now: Time, outcome: LookupOutcome) -> bool {
        self.counts[outcome as usize] += 1;
        if now.since(self.lines_since).0 >= LINE_SPAN.0 {
            self.lines_since = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES
    }

    /// Returns the label and the number of lookups of each outcome.
    pub fn totals(&self) -> impl Iterator<Item = (&'static str, u64)> {
        LookupOutcome::ALL
            .into_iter()
            .map(|outcome| (outcome.label(), self.counts[outcome as usize]))
    }

    /// Returns the number of lookups with an outcome.
    #[must_use]
    pub const fn count(&self, outcome: LookupOutcome) -> u64 {
        self.counts[outcome as usize]
    }
}
