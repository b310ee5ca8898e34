//! Freshness of the configuration: whether a process may forward with the configuration it has.
//!
//! A process that was paused, or has had no contact with any other process for a few seconds, may
//! have missed that a failure domain was taken out. It confirms its object versions before it
//! forwards again. A process that gets no confirmation serves its last known configuration and
//! reports that it is isolated.

use {
    cardamomloom_core::{Span, Time},
    serde::Serialize,
    std::fmt,
};

/// Timeouts of the freshness check.
///
/// Their sum keeps a paused process below the bound of 3 s from the acceptance of a change to its
/// effect (design page, promise P4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessOptions {
    /// Time between two ticks from which the process counts as paused. Also the time for which
    /// packet loops may forward after a tick.
    pub pause_threshold: Span,
    /// Time since the last contact from which a process queries whether its versions are current.
    pub query_threshold: Span,
    /// Time since the last contact from which a process no longer forwards unconfirmed.
    pub contact_timeout: Span,
    /// Time between the first two queries. It doubles while no answer arrives, so that the end of
    /// an outage does not bring the queries of all processes at once.
    pub min_query_interval: Span,
    /// Longest time between two queries.
    pub max_query_interval: Span,
    /// Time without confirmation after which the last known configuration is served. Peers that
    /// are in contact meanwhile send the changes that they know of.
    pub isolation_timeout: Span,
}

impl Default for FreshnessOptions {
    fn default() -> Self {
        Self {
            pause_threshold: Span::from_millis(1_000),
            query_threshold: Span::from_millis(1_500),
            contact_timeout: Span::from_millis(3_000),
            min_query_interval: Span::from_millis(250),
            max_query_interval: Span::from_secs(30),
            isolation_timeout: Span::from_millis(2_000),
        }
    }
}

/// Freshness state of the configuration of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FreshnessState {
    /// The configuration was confirmed, or another process was in contact, a short time ago.
    Fresh,
    /// The configuration may be outdated; nothing is forwarded until it is confirmed.
    Confirming,
    /// No store or peer confirms the configuration; the last known one is served.
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

/// Query to the store or to peers for the current object versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionQuery {
    /// Time of the query, to be passed to [`Freshness::on_confirmed`] with the answer.
    pub sent_at: Time,
}

/// Tracks the freshness of the configuration of one process.
#[derive(Clone, Debug)]
pub struct Freshness {
    state: FreshnessState,
    last_tick: Time,
    last_contact: Time,
    /// Time at which the configuration last became unconfirmed. Only an answer to a later query
    /// confirms it.
    unconfirmed_since: Time,
    next_query: Time,
    query_interval: Span,
    options: FreshnessOptions,
}

impl Freshness {
    /// Creates the freshness of a process that has no configuration yet; it starts unconfirmed.
    #[must_use]
    pub const fn new(now: Time, options: FreshnessOptions) -> Self {
        Self {
            state: FreshnessState::Confirming,
            last_tick: now,
            last_contact: now,
            unconfirmed_since: now,
            next_query: now,
            query_interval: options.min_query_interval,
            options,
        }
    }

    /// Returns the freshness state.
    #[must_use]
    pub const fn state(&self) -> FreshnessState {
        self.state
    }

    /// Records that the process runs, updates the state, and returns a query when one is due.
    ///
    /// The caller calls this several times within `pause_threshold`, and before it processes any
    /// other event of a wake-up. A pause is then detected before the process acts on anything.
    pub fn on_tick(&mut self, now: Time) -> Option<VersionQuery> {
        let was_paused = now.since(self.last_tick) >= self.options.pause_threshold;
        self.last_tick = now;
        let since_contact = now.since(self.last_contact);
        match self.state {
            _ if was_paused => self.start_confirming(now),
            FreshnessState::Fresh if since_contact >= self.options.contact_timeout => {
                self.start_confirming(now);
            }
            FreshnessState::Confirming
                if now.since(self.unconfirmed_since) >= self.options.isolation_timeout =>
            {
                self.state = FreshnessState::Isolated;
            }
            _ => {}
        }
        let needs_confirmation =
            self.state != FreshnessState::Fresh || since_contact >= self.options.query_threshold;
        if !needs_confirmation || now < self.next_query {
            return None;
        }
        self.next_query = now + self.query_interval;
        self.query_interval = Span(self.query_interval.0 * 2).min(self.options.max_query_interval);
        Some(VersionQuery { sent_at: now })
    }

    /// Stops forwarding until the versions are confirmed, and makes a query due at once.
    fn start_confirming(&mut self, now: Time) {
        self.state = FreshnessState::Confirming;
        self.unconfirmed_since = now;
        self.next_query = now;
        self.query_interval = self.options.min_query_interval;
    }

    /// Records a message from another process or from the store.
    pub fn on_contact(&mut self, now: Time) {
        let had_timed_out = now.since(self.last_contact) >= self.options.contact_timeout;
        self.last_contact = now;
        // An isolated process may have missed changes, so its first contact starts a confirmation.
        // Later messages do not, or a process would forward nothing while it has contact with
        // peers and the store is down.
        if had_timed_out && self.state == FreshnessState::Isolated {
            self.start_confirming(now);
        }
    }

    /// Records that all objects that were current at `sent_at` are in force now.
    ///
    /// The confirmation is ignored when the query was sent before the configuration last became
    /// unconfirmed, or when the process was paused since its last tick.
    pub fn on_confirmed(&mut self, now: Time, sent_at: Time) {
        let was_paused = now.since(self.last_tick) >= self.options.pause_threshold;
        if sent_at < self.unconfirmed_since || was_paused {
            return;
        }
        self.state = FreshnessState::Fresh;
        self.last_contact = now;
        self.next_query = now;
        self.query_interval = self.options.min_query_interval;
    }

    /// Returns the time until which packet loops may forward, or `None` while they may not.
    #[must_use]
    pub fn forward_until(&self) -> Option<Time> {
        match self.state {
            FreshnessState::Confirming => None,
            FreshnessState::Fresh | FreshnessState::Isolated => {
                Some(self.last_tick + self.options.pause_threshold)
            }
        }
    }
}
