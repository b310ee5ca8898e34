//! Outlier detection: the share of new flows that the backend server gets, by how well it answers.
//!
//! Load pattern: a backend server fails some or all of its requests while its reports and health
//! checks are good. A failure takes less time than a response, so its slots are free, and new flows
//! would keep arriving. Most of them go to other hosts instead; the remaining ones show when the
//! backend server has recovered.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::Segment,
};

/// First status code of server errors (RFC 9110, section 15.6).
const STATUS_SERVER_ERRORS: u16 = 500;

/// Status code with which a backend server sheds a request (RFC 9110, section 15.6.4).
const STATUS_UNAVAILABLE: u16 = 503;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered,
    /// The backend server returned an error, reset the flow, or did not answer before its caller
    /// gave up.
    Failed,
}

/// Thresholds of the outlier detection.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeOptions {
    /// Time after which an outcome has half its weight. It is long enough to detect a backend
    /// server that fails one request a second, and short enough that one that has recovered gets
    /// its full share within seconds.
    pub half_life: Span,
    /// Weight of recent failures that is attributed to chance.
    pub tolerated_failures: f64,
    /// Share of failures that is considered normal.
    pub tolerated_failure_share: f64,
    /// Reduction of the share of new flows per share of failures above the tolerated one. At 4, a
    /// backend server that fails a quarter of its requests gets a fifth of its new flows, little
    /// more than the least share.
    pub slope: f64,
    /// Least share of new flows, which detects that the backend server has recovered.
    pub min_admitted_share: f64,
}

impl Default for OutcomeOptions {
    fn default() -> Self {
        Self {
            half_life: Span::from_secs(3),
            tolerated_failures: 2.5,
            tolerated_failure_share: 0.05,
            slope: 4.0,
            min_admitted_share: 0.125,
        }
    }
}

/// Exponentially weighted outcomes of the requests to one backend server.
#[derive(Clone, Debug)]
pub struct OutcomeTracker {
    options: OutcomeOptions,
    answered: f64,
    failed: f64,
    updated: Time,
    /// Accumulated fraction of the next flow to admit.
    credit: f64,
    total_answered: u64,
    total_failed: u64,
}

impl OutcomeTracker {
    /// Creates a tracker without outcomes.
    #[must_use]
    pub const fn new(options: OutcomeOptions) -> Self {
        Self {
            options,
            answered: 0.0,
            failed: 0.0,
            updated: Time::ZERO,
            credit: 0.0,
            total_answered: 0,
            total_failed: 0,
        }
    }

    /// Discards the weighted outcomes when a new run of the backend server begins. The totals are
    /// kept.
    pub const fn reset(&mut self) {
        (self.answered, self.failed, self.credit) = (0.0, 0.0, 0.0);
    }

    /// Adds the outcome of a request.
    pub fn record(&mut self, now: Time, outcome: Outcome) {
        let decay = self.decay(now);
        self.answered *= decay;
        self.failed *= decay;
        self.updated = now;
        match outcome {
            Outcome::Answered => {
                self.answered += 1.0;
                self.total_answered += 1;
            }
            Outcome::Failed => {
                self.failed += 1.0;
                self.total_failed += 1;
            }
        }
    }

    /// Returns the share of new flows that the backend server gets, from 0 to 1.
    #[must_use]
    pub fn admitted_share(&self, now: Time) -> f64 {
        let options = &self.options;
        if self.failed * self.decay(now) <= options.tolerated_failures {
            return 1.0;
        }
        let failed_share = self.failed / (self.answered + self.failed);
        let excess_share = (failed_share - options.tolerated_failure_share).max(0.0);
        (1.0 - options.slope * excess_share).max(options.min_admitted_share)
    }

    /// Decides whether the next new flow is admitted. Over many flows, the admitted ones approach
    /// [`Self::admitted_share`].
    pub fn admit_next(&mut self, now: Time) -> bool {
        self.credit += self.admitted_share(now);
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns the numbers of answered and failed requests since the tracker was created.
    #[must_use]
    pub const fn totals(&self) -> (u64, u64) {
        (self.total_answered, self.total_failed)
    }

    /// Returns the factor by which the weight of the outcomes has decayed since the last update.
    fn decay(&self, now: Time) -> f64 {
        let age_s = now.since(self.updated).to_duration().as_secs_f64();
        let half_life_s = self.options.half_life.to_duration().as_secs_f64();
        (-age_s / half_life_s).exp2()
    }
}

/// Returns the outcome that a response segment shows. A request that an overloaded backend server
/// sheds has none, because it says nothing about the health of the backend server.
pub(super) const fn outcome_of(response: &Segment, is_overloaded: bool) -> Option<Outcome> {
    match response.response_status {
        Some(STATUS_UNAVAILABLE) if is_overloaded => None,
        Some(status) if status >= STATUS_SERVER_ERRORS => Some(Outcome::Failed),
        None if response.flags.is_rst => Some(Outcome::Failed),
        Some(_) | None => Some(Outcome::Answered),
    }
}
