//! The backend server beside an agent, as its reports and packets show it.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{HostReport, HostReportState, RunId},
    std::{
        collections::VecDeque,
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// What a report changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The backend server lives on.
    Known,
    /// The backend server changed its state.
    Changed,
    /// A new backend server or a new life of the one before.
    NewLife,
    /// The report is older than one that was taken.
    Outdated,
}

#[derive(Clone, Debug)]
pub(super) struct Host {
    pub life: RunId,
    pub state: HostReportState,
    pub slots: u32,
    pub cold_until: Time,
    pub reported: Time,
    instance: Arc<str>,
    started_unix_ms: Option<u64>,
    sequence: u64,
    /// Lives before this one, latest first.
    earlier: VecDeque<RunId>,
}

/// Earlier lives that are told from new ones: a report that a partition held back belongs to one of
/// the latest.
const EARLIER_LIVES: usize = 8;

impl Host {
    pub fn new(now: Time, report: &HostReport) -> Self {
        Self {
            life: life_of(report),
            state: report.state,
            slots: report.slots,
            cold_until: now + Span::from_millis(report.cold_left_ms),
            reported: now,
            instance: report.instance.clone(),
            started_unix_ms: report.started_unix_ms,
            sequence: report.sequence,
            earlier: VecDeque::new(),
        }
    }

    pub fn is_instance(&self, instance: &str) -> bool {
        &*self.instance == instance
    }

    /// Takes over a report. A life that started before the present one by its own clock is a new
    /// one only when the present one has been silent for `report_timeout`, because clocks step back
    /// and reports may be late.
    pub fn on_report(
        &mut self,
        now: Time,
        report: &HostReport,
        report_timeout: Span,
    ) -> ReportOutcome {
        let life = life_of(report);
        if life != self.life {
            let is_silent = now.since(self.reported) > report_timeout;
            let started_before = report.started_unix_ms < self.started_unix_ms;
            if self.earlier.contains(&life) || (started_before && !is_silent) {
                return ReportOutcome::Outdated;
            }
            let mut earlier = std::mem::take(&mut self.earlier);
            earlier.push_front(self.life);
            earlier.truncate(EARLIER_LIVES);
            *self = Self::new(now, report);
            self.earlier = earlier;
            return ReportOutcome::NewLife;
        }
        if report.sequence < self.sequence {
            return ReportOutcome::Outdated;
        }
        self.sequence = report.sequence;
        self.reported = now;
        self.slots = report.slots;
        self.cold_until = now + Span::from_millis(report.cold_left_ms);
        // Within one life a backend server that drains does not become ready again.
        if self.state != HostReportState::Ready || report.state == self.state {
            return ReportOutcome::Known;
        }
        self.state = report.state;
        ReportOutcome::Changed
    }
}

fn life_of(report: &HostReport) -> RunId {
    let mut hasher = DefaultHasher::new();
    (&report.instance, report.started_unix_ms).hash(&mut hasher);
    RunId(hasher.finish() | 1)
}

/// Limits the new flows of a cold backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdBucket {
    tokens: f64,
    filled: Time,
}

impl ColdBucket {
    /// Flows that may arrive at once. The bound on a second of a cold backend server is 1.5 times
    /// its rate and 5 flows more.
    const CAPACITY: f64 = 4.0;

    /// Tells whether a token is there; the bucket starts empty.
    pub fn has_token(&self, now: Time, flows_per_s: f64) -> bool {
        self.filled_until(now, flows_per_s) >= 1.0
    }

    /// Takes a token, which must be there.
    pub fn take(&mut self, now: Time, flows_per_s: f64) {
        self.tokens = self.filled_until(now, flows_per_s) - 1.0;
        self.filled = now;
    }

    fn filled_until(&self, now: Time, flows_per_s: f64) -> f64 {
        let elapsed_s = now.since(self.filled).to_duration().as_secs_f64();
        (self.tokens + elapsed_s * flows_per_s).min(Self::CAPACITY)
    }

    /// Empties the bucket for a new life of the backend server.
    pub const fn empty(now: Time) -> Self {
        Self {
            tokens: 0.0,
            filled: now,
        }
    }
}
