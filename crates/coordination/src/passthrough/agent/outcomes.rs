//! How well the backend server answers, and what share of new flows it is given.
//!
//! Load pattern: a backend server fails a part of its requests, or all of them, while its reports
//! and health checks are good. A failure takes less time than an answer, so its slots are free and
//! new flows would keep coming. Most of them go to other hosts instead; the rest show when the
//! backend server has recovered.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::Segment,
};

/// First status code by which a backend server says that it failed (RFC 9110, section 15.6).
const STATUS_SERVER_ERRORS: u16 = 500;

/// Status code by which a backend server sheds a request (RFC 9110, section 15.6.4).
const STATUS_UNAVAILABLE: u16 = 503;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered,
    /// The backend server failed, broke off, or did not answer while its caller waited.
    Failed,
}

/// Thresholds of the share of new flows.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeOptions {
    /// Time after which an outcome counts half: long enough that a backend server that fails one
    /// request a second is noticed, and short enough that one that has recovered gets its full share
    /// within some seconds.
    pub half_life: Span,
    /// Recent failures that are taken for chance.
    pub tolerated_failures: f64,
    /// Share of failures that is taken for usual.
    pub tolerated_share: f64,
    /// Loss of new flows for each share of failures beyond that: at 4, a backend server that fails
    /// a quarter of its requests gets only the least share.
    pub slope: f64,
    /// Least share of new flows, which finds out whether the backend server has recovered.
    pub least_share: f64,
}

impl Default for OutcomeOptions {
    fn default() -> Self {
        Self {
            half_life: Span::from_secs(3),
            tolerated_failures: 2.5,
            tolerated_share: 0.05,
            slope: 4.0,
            least_share: 0.125,
        }
    }
}

/// Recent outcomes of one backend server.
#[derive(Clone, Debug)]
pub struct OutcomeTracker {
    options: OutcomeOptions,
    answered: f64,
    failed: f64,
    updated: Time,
    /// Part of a flow that was admitted and not yet used.
    credit: f64,
    total_answered: u64,
    total_failed: u64,
}

impl OutcomeTracker {
    /// Creates an empty record.
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

    /// Forgets the outcomes of an earlier life of the backend server.
    pub const fn restart(&mut self) {
        (self.answered, self.failed, self.credit) = (0.0, 0.0, 0.0);
    }

    /// Adds an outcome.
    pub fn record(&mut self, now: Time, outcome: Outcome) {
        let weight = self.weight(now);
        self.answered *= weight;
        self.failed *= weight;
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

    /// Returns the share of new flows that the backend server is given, from 0 to 1.
    #[must_use]
    pub fn admitted_share(&self, now: Time) -> f64 {
        let options = &self.options;
        if self.failed * self.weight(now) <= options.tolerated_failures {
            return 1.0;
        }
        let failed_share = self.failed / (self.answered + self.failed);
        let excess = (failed_share - options.tolerated_share).max(0.0);
        (1.0 - options.slope * excess).max(options.least_share)
    }

    /// Decides about one new flow.
    pub fn admits(&mut self, now: Time) -> bool {
        self.credit += self.admitted_share(now);
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns the numbers of answered and failed requests since the start.
    #[must_use]
    pub const fn totals(&self) -> (u64, u64) {
        (self.total_answered, self.total_failed)
    }

    /// Returns what is left of the weight of the recorded outcomes.
    fn weight(&self, now: Time) -> f64 {
        let age_s = now.since(self.updated).to_duration().as_secs_f64();
        let half_life_s = self.options.half_life.to_duration().as_secs_f64();
        (-age_s / half_life_s).exp2()
    }
}

/// Returns what an answer says about the backend server. Requests that an overloaded one sheds
/// say nothing about its health.
pub(super) const fn outcome_of(answer: &Segment, is_overloaded: bool) -> Option<Outcome> {
    match answer.response_status {
        Some(STATUS_UNAVAILABLE) if is_overloaded => None,
        Some(status) if status >= STATUS_SERVER_ERRORS => Some(Outcome::Failed),
        None if answer.flags.is_rst => Some(Outcome::Failed),
        Some(_) | None => Some(Outcome::Answered),
    }
}
