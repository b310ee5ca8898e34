//! State of the backend server beside an agent, as its reports show it.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{HostReport, HostReportState, RunId},
    std::{
        collections::VecDeque,
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Effect of a report on the known state of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report does not change the state.
    Known,
    /// The state changed.
    Changed,
    /// Another backend server, or a new run of the same one, reports at the address.
    NewLife,
    /// The report is older than one that was accepted, and is rejected.
    Outdated,
}

/// Latest known state of the backend server.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub run: RunId,
    pub state: HostReportState,
    pub slots: u32,
    pub cold_until: Time,
    pub last_report: Time,
    instance: Arc<str>,
    started_unix_ms: Option<u64>,
    sequence: u64,
    /// Runs before the current one, latest first.
    previous_runs: VecDeque<RunId>,
}

/// Number of previous runs that are distinguished from new ones. A report that was delayed by a
/// partition belongs to one of the latest runs.
const MAX_PREVIOUS_RUNS: usize = 8;

impl Host {
    pub fn new(now: Time, report: &HostReport) -> Self {
        Self {
            run: run_of(report),
            state: report.state,
            slots: report.slots,
            cold_until: cold_end(now, report),
            last_report: now,
            instance: report.instance.clone(),
            started_unix_ms: report.started_unix_ms,
            sequence: report.sequence,
            previous_runs: VecDeque::new(),
        }
    }

    pub fn is_instance(&self, instance: &str) -> bool {
        &*self.instance == instance
    }

    /// Applies a report. A run with an earlier start time than the current one, by its own clock,
    /// is accepted as a new run only when the current one has not reported for `report_timeout`:
    /// the clock may have been set back, but the report may also be late.
    pub fn on_report(
        &mut self,
        now: Time,
        report: &HostReport,
        report_timeout: Span,
    ) -> ReportOutcome {
        let run = run_of(report);
        if run != self.run {
            let is_report_missing = now.since(self.last_report) > report_timeout;
            let has_earlier_start = report.started_unix_ms < self.started_unix_ms;
            if self.previous_runs.contains(&run) || (has_earlier_start && !is_report_missing) {
                return ReportOutcome::Outdated;
            }
            let mut previous_runs = std::mem::take(&mut self.previous_runs);
            previous_runs.push_front(self.run);
            previous_runs.truncate(MAX_PREVIOUS_RUNS);
            *self = Self::new(now, report);
            self.previous_runs = previous_runs;
            return ReportOutcome::NewLife;
        }
        if report.sequence < self.sequence {
            return ReportOutcome::Outdated;
        }
        self.sequence = report.sequence;
        self.last_report = now;
        self.slots = report.slots;
        let remaining_margin = self.cold_until.min(now + COLD_END_MARGIN);
        self.cold_until = cold_end(now, report).max(remaining_margin);
        // Within one run, a backend server that drains does not become ready again.
        if self.state != HostReportState::Ready || report.state == self.state {
            return ReportOutcome::Known;
        }
        self.state = report.state;
        ReportOutcome::Changed
    }
}

/// Time for which a host counts as cold beyond the time that its report states, which is rounded down.
/// Without it, flows that wait for the end of the limit reach the host a moment too early, all at once.
const COLD_END_MARGIN: Span = Span::from_millis(10);

fn cold_end(now: Time, report: &HostReport) -> Time {
    match report.cold_left_ms {
        0 => now,
        left_ms => now + Span::from_millis(left_ms) + COLD_END_MARGIN,
    }
}

/// Returns the nonzero identifier of the run that a report belongs to.
fn run_of(report: &HostReport) -> RunId {
    let mut hasher = DefaultHasher::new();
    (&report.instance, report.started_unix_ms).hash(&mut hasher);
    RunId(hasher.finish() | 1)
}

/// Token bucket that limits the rate of new flows to a cold backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdStartBucket {
    tokens: f64,
    updated: Time,
}

impl ColdStartBucket {
    /// Flows that may arrive in a burst. A cold backend server may get at most 1.5 times its rate
    /// and 5 flows more in any second.
    const CAPACITY: f64 = 4.0;

    /// Returns whether a token is available.
    pub fn has_token(&self, now: Time, flows_per_s: f64) -> bool {
        self.tokens_at(now, flows_per_s) >= 1.0
    }

    /// Consumes a token, which must be available.
    pub fn consume(&mut self, now: Time, flows_per_s: f64) {
        self.tokens = self.tokens_at(now, flows_per_s) - 1.0;
        self.updated = now;
    }

    fn tokens_at(&self, now: Time, flows_per_s: f64) -> f64 {
        let elapsed_s = now.since(self.updated).to_duration().as_secs_f64();
        (self.tokens + elapsed_s * flows_per_s).min(Self::CAPACITY)
    }

    /// Creates a bucket without tokens, for a new run of the backend server.
    pub const fn empty(now: Time) -> Self {
        Self {
            tokens: 0.0,
            updated: now,
        }
    }
}

/// Sequence number up to which a report shows that its backend server started a few seconds ago.
const MAX_NEW_RUN_SEQUENCE: u64 = 4;

/// Returns whether a report shows that its backend server started a few seconds ago.
pub(super) const fn is_new_run(report: &HostReport) -> bool {
    report.sequence <= MAX_NEW_RUN_SEQUENCE
}
