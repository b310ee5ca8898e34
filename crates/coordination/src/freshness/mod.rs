//! Whether a process may forward with the configuration it has.
//!
//! A process that was paused, or has heard from nobody for a few seconds, may have missed that a
//! failure domain was taken out. It confirms its object versions before it forwards again. A
//! process that gets no confirmation serves its last known configuration and reports it.

use {
    cardamomloom_core::{Span, Time},
    serde::Serialize,
    std::fmt,
};

/// Times of freshness. Their sum keeps a paused process below the bound of 3 s from the acceptance
/// of a change to its effect (design page, promise P4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessOptions {
    /// Time between two steps from which the process counts as paused. Also the time for which
    /// packet loops may forward after a step.
    pub pause_span: Span,
    /// Silence of all others after which a process asks whether its versions are current.
    pub ask_span: Span,
    /// Silence of all others after which a process no longer forwards unconfirmed.
    pub silence_span: Span,
    /// Time between the first two questions; it doubles while no answer arrives, so that the end
    /// of an outage does not bring all questions at once.
    pub retry_span: Span,
    /// Longest time between two questions.
    pub max_retry_span: Span,
    /// Time without confirmation after which the last known configuration is served. Peers that
    /// are heard meanwhile pass on what they know.
    pub isolation_span: Span,
}

impl Default for FreshnessOptions {
    fn default() -> Self {
        Self {
            pause_span: Span::from_millis(1_000),
            ask_span: Span::from_millis(1_500),
            silence_span: Span::from_millis(3_000),
            retry_span: Span::from_millis(250),
            max_retry_span: Span::from_secs(30),
            isolation_span: Span::from_millis(2_000),
        }
    }
}

/// Freshness state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FreshnessState {
    /// The configuration was current a short time ago.
    Fresh,
    /// The configuration may be old; nothing is forwarded.
    Confirming,
    /// Nobody confirms; the last known configuration is served.
    Isolated,
}

impl fmt::Display for FreshnessState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fresh => "fresh",
            Self::Confirming => "confirming",
            Self::Isolated => "isolated",
        })
    }
}

/// A question to the store or to peers: which versions are current?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionQuery {
    /// Time of the question, to be returned with the answer.
    pub sent_at: Time,
}

/// Freshness of one process.
#[derive(Clone, Debug)]
pub struct Freshness {
    standing: FreshnessState,
    last_step: Time,
    last_heard: Time,
    /// Start of the last doubt; only answers to later questions settle it.
    doubted: Time,
    next_question: Time,
    retry: Span,
    options: FreshnessOptions,
}

impl Freshness {
    /// Creates the freshness of a process that has no configuration yet.
    #[must_use]
    pub const fn new(now: Time, options: FreshnessOptions) -> Self {
        Self {
            standing: FreshnessState::Confirming,
            last_step: now,
            last_heard: now,
            doubted: now,
            next_question: now,
            retry: options.retry_span,
            options,
        }
    }

    /// Returns the standing.
    #[must_use]
    pub const fn state(&self) -> FreshnessState {
        self.standing
    }

    /// Notes that the process runs; returns a question when one is due.
    ///
    /// To be called several times within `pause_span`, and before any other event of a wake-up is
    /// processed, so that a pause is seen before the process acts on anything.
    pub fn on_tick(&mut self, now: Time) -> Option<VersionQuery> {
        let was_paused = now.since(self.last_step) >= self.options.pause_span;
        self.last_step = now;
        let silence = now.since(self.last_heard);
        match self.standing {
            _ if was_paused => self.doubt(now),
            FreshnessState::Fresh if silence >= self.options.silence_span => self.doubt(now),
            FreshnessState::Confirming
                if now.since(self.doubted) >= self.options.isolation_span =>
            {
                self.standing = FreshnessState::Isolated;
            }
            _ => {}
        }
        let wants_answer =
            self.standing != FreshnessState::Fresh || silence >= self.options.ask_span;
        if !wants_answer || now < self.next_question {
            return None;
        }
        self.next_question = now + self.retry;
        self.retry = Span(self.retry.0 * 2).min(self.options.max_retry_span);
        Some(VersionQuery { sent_at: now })
    }

    fn doubt(&mut self, now: Time) {
        self.standing = FreshnessState::Confirming;
        self.doubted = now;
        self.next_question = now;
        self.retry = self.options.retry_span;
    }

    /// Notes that another process or the store was heard.
    pub fn on_contact(&mut self, now: Time) {
        let was_silent = now.since(self.last_heard) >= self.options.silence_span;
        self.last_heard = now;
        // A process that was alone may have missed changes. Later messages raise no new doubt, or
        // a process would serve nothing while peers are heard and the store is down.
        if was_silent && self.standing == FreshnessState::Isolated {
            self.doubt(now);
        }
    }

    /// Notes that all objects that were current at `asked` are in force now.
    pub fn on_confirmed(&mut self, now: Time, asked: Time) {
        let was_paused = now.since(self.last_step) >= self.options.pause_span;
        if asked < self.doubted || was_paused {
            return;
        }
        self.standing = FreshnessState::Fresh;
        self.last_heard = now;
        self.next_question = now;
        self.retry = self.options.retry_span;
    }

    /// Returns the time until which packet loops may forward; `None` when they may not.
    #[must_use]
    pub fn forward_until(&self) -> Option<Time> {
        match self.standing {
            FreshnessState::Confirming => None,
            FreshnessState::Fresh | FreshnessState::Isolated => {
                Some(self.last_step + self.options.pause_span)
            }
        }
    }
}
