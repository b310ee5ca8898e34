//! Which processes call the store, and how often.
//!
//! Load pattern: hundreds of processes start at once, or lose the store at once, and each call to the
//! store is limited and priced. Two balancers follow the store for all others. A process that starts
//! reads the state once, from a replica of the store that may lag, and learns the rest from these
//! two. When they fail, the others take over one after the other, so that the first success stops the
//! rest; while the store is down for all, the calls of all processes together are bounded.

use {
    cardamomloom_core::{Span, Time, hash::splitmix64},
    std::net::Ipv4Addr,
};

/// How a process reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// The process does not call the store.
    None,
    /// The process reads the state once; it may be a few seconds old.
    Bootstrap,
    /// The process reads the latest state and all changes.
    Follow {
        /// Longest time between two calls while calls fail.
        max_backoff: Span,
    },
}

impl StoreAccess {
    /// Returns the name of the access in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Bootstrap => "bootstrap",
            Self::Follow { .. } => "follow",
        }
    }
}

/// Delays of the access to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreAccessOptions {
    /// Number of balancers that follow the store for all others. There are two, so that one may
    /// fail.
    pub readers: usize,
    /// Time after its start before which a balancer does not follow the store: it learns of other
    /// balancers first.
    pub election_delay: Span,
    /// Mean time between two balancers that take over from failed readers.
    pub takeover_spacing: Span,
    /// Longest time between two failing calls of a reader. A change must be in effect 3 s after the
    /// store is available again.
    pub reader_backoff: Span,
    /// Mean time between two failing calls of all balancers that are not among the first readers.
    pub takeover_call_spacing: Span,
    /// Time after the announcement of a newer catalogue after which a process that has not got it from
    /// another one reads the store itself.
    pub catch_up_after: Span,
}

impl Default for StoreAccessOptions {
    fn default() -> Self {
        Self {
            readers: 2,
            election_delay: Span::from_millis(500),
            takeover_spacing: Span::from_millis(50),
            reader_backoff: Span::from_millis(1_200),
            takeover_call_spacing: Span::from_millis(50),
            catch_up_after: Span::from_millis(1_500),
        }
    }
}

impl StoreAccessOptions {
    /// Returns the longest time between two failing calls of a process that is not among the first
    /// readers, in a fleet with this number of balancers.
    #[must_use]
    pub fn takeover_backoff(&self, balancers: usize) -> Span {
        Span(self.takeover_call_spacing.0 * balancers as u64).max(self.reader_backoff)
    }

    /// Returns the access of the process at `own_address`, which has `access` otherwise and has lacked an
    /// announced catalogue for `behind_for`. Processes of a fleet that is behind start to read the store
    /// one after the other.
    #[must_use]
    pub fn catch_up(
        &self,
        access: StoreAccess,
        own_address: Ipv4Addr,
        balancers: usize,
        behind_for: Option<Span>,
    ) -> StoreAccess {
        let spread = Span(self.takeover_spacing.0 * balancers as u64);
        let delay = Span(self.catch_up_after.0 + stagger(own_address, spread).0);
        let is_due = behind_for.is_some_and(|behind_for| behind_for >= delay);
        if !is_due || matches!(access, StoreAccess::Follow { .. }) {
            return access;
        }
        StoreAccess::Follow {
            max_backoff: self.takeover_backoff(balancers),
        }
    }
}

/// What a balancer knows about the other balancers when it chooses its access to the store.
#[derive(Clone, Copy, Debug)]
pub struct ReaderCensus {
    /// Known balancers.
    pub balancers: usize,
    /// Known balancers with a lower address, running or not.
    pub preceding_balancers: usize,
    /// Live balancers with a lower address that read the store and are not about to stop.
    pub preceding_readers: usize,
    /// Whether this balancer has the catalogue and the status of the failure domains.
    pub is_initialized: bool,
}

/// Election of the balancers that follow the store: those with the lowest addresses that can.
#[derive(Debug)]
pub struct ReaderElection {
    options: StoreAccessOptions,
    own_address: Ipv4Addr,
    started: Time,
    /// Time since which fewer balancers than needed precede this one.
    lacking_since: Option<Time>,
}

impl ReaderElection {
    /// Creates the state of the balancer at `own_address`, which started at `started`.
    #[must_use]
    pub const fn new(options: StoreAccessOptions, own_address: Ipv4Addr, started: Time) -> Self {
        Self {
            options,
            own_address,
            started,
            lacking_since: None,
        }
    }

    /// Chooses the access to the store.
    pub fn decide(&mut self, now: Time, census: ReaderCensus) -> StoreAccess {
        let unelected = if census.is_initialized {
            StoreAccess::None
        } else {
            StoreAccess::Bootstrap
        };
        if census.preceding_readers >= self.options.readers {
            self.lacking_since = None;
            return unelected;
        }
        let lacking_since = *self.lacking_since.get_or_insert(now);
        let is_first = census.preceding_balancers < self.options.readers;
        let takeover_span = if is_first {
            Span::ZERO
        } else {
            Span(self.options.takeover_spacing.0 * census.balancers as u64)
        };
        let election_end = self.started + self.options.election_delay;
        let takeover_delay = stagger(self.own_address, takeover_span);
        if now < lacking_since.max(election_end) + takeover_delay {
            return unelected;
        }
        StoreAccess::Follow {
            max_backoff: if is_first {
                self.options.reader_backoff
            } else {
                self.options.takeover_backoff(census.balancers)
            },
        }
    }
}

/// Returns a delay below `span` that differs between processes and is the same for each call.
#[must_use]
pub fn stagger(address: Ipv4Addr, span: Span) -> Span {
    let fraction = splitmix64(u64::from(u32::from(address))) >> 48;
    Span((span.0 >> 16) * fraction + (((span.0 & 0xffff) * fraction) >> 16))
}
