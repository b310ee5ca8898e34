//! How a backend server behaves: cold start, failures, shedding and what it says of its load.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Behaviour that a test sets over HTTP. The default bears everything and tells the truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Connections that the server bears when cold.
    pub cold_connections: u32,
    /// Connections that the server bears when warm.
    pub full_connections: u32,
    /// Time of service from cold to warm; what it bears grows linearly.
    pub warm_ms: u64,
    /// Time for which the server refuses connects after it was given more than it bears.
    pub outage_ms: u64,
    /// Time before each accept.
    pub accept_delay_ms: u64,
    /// Time before each request runs; a request whose connection ends meanwhile does not run.
    pub request_delay_ms: u64,
    /// Whether connects are refused.
    pub refuse: bool,
    /// Whether requests are refused as "not run".
    pub shed: bool,
    /// What the server says of its load.
    pub load: LoadAnswer,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            cold_connections: u32::MAX,
            full_connections: u32::MAX,
            warm_ms: 0,
            outage_ms: 1_000,
            accept_delay_ms: 0,
            request_delay_ms: 0,
            refuse: false,
            shed: false,
            load: LoadAnswer::Truth,
        }
    }
}

/// What `/load` answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadAnswer {
    /// The present load.
    #[default]
    Truth,
    /// The load at most as often as this.
    Lagging {
        /// Time between two looks at the load.
        lag_ms: u64,
    },
    /// A load that is not true.
    False(LoadReport),
}

/// Answer of `/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Share of the connections that the server bears, in parts per million.
    pub load_ppm: u32,
    /// Whether the server asks for less load.
    pub shedding: bool,
}

/// State of the server that changes with its load.
#[derive(Debug, Default)]
pub struct ServerState {
    /// Behaviour in force.
    pub behaviour: Behaviour,
    /// Start of warming up; `None` until the first connection.
    serving_since: Option<Instant>,
    refuses_until: Option<Instant>,
    open: u32,
    counts: ServerCounts,
    seen_load: Option<(Instant, LoadReport)>,
}

/// Counts of a server for tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCounts {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Times that the server was given more than it bears.
    pub overloads: u64,
    /// Requests that were refused as "not run".
    pub shed: u64,
    /// Times that the load was read.
    #[serde(default)]
    pub load_reads: u64,
}

impl ServerState {
    /// Makes the server cold.
    pub const fn become_cold(&mut self) {
        self.serving_since = None;
    }

    /// Returns the counts.
    pub const fn counts(&self) -> ServerCounts {
        self.counts
    }

    /// Counts a request that was refused as "not run".
    pub const fn on_shed(&mut self) {
        self.counts.shed += 1;
    }

    /// Tells whether connects are refused.
    pub fn refuses(&self, now: Instant) -> bool {
        self.behaviour.refuse || self.refuses_until.is_some_and(|until| now < until)
    }

    fn bears(&self, now: Instant) -> u32 {
        let Behaviour {
            cold_connections: cold,
            full_connections: full,
            ..
        } = self.behaviour;
        let Some(since) = self.serving_since else {
            return cold;
        };
        let served_ms = u64::try_from((now - since).as_millis()).unwrap_or(u64::MAX);
        let warm_ms = self.behaviour.warm_ms.max(1);
        let earned = u64::from(full.saturating_sub(cold)) * served_ms.min(warm_ms) / warm_ms;
        cold.saturating_add(u32::try_from(earned).unwrap_or(u32::MAX))
    }

    /// Enters a connection; false when it was one too many and the server fails.
    pub fn on_accepted(&mut self, now: Instant) -> bool {
        self.serving_since.get_or_insert(now);
        self.open += 1;
        self.counts.accepted += 1;
        if self.open <= self.bears(now) {
            return true;
        }
        self.counts.overloads += 1;
        self.refuses_until = Some(now + Duration::from_millis(self.behaviour.outage_ms));
        self.become_cold();
        false
    }

    /// Removes a connection.
    pub const fn on_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns what the server says of its load.
    pub fn load(&mut self, now: Instant) -> LoadReport {
        self.counts.load_reads += 1;
        let open = u64::from(self.open);
        let ppm = open * 1_000_000 / u64::from(self.bears(now)).max(1);
        let truth = LoadReport {
            load_ppm: u32::try_from(ppm).unwrap_or(u32::MAX),
            shedding: self.behaviour.shed,
        };
        match self.behaviour.load {
            LoadAnswer::Truth => truth,
            LoadAnswer::False(report) => report,
            LoadAnswer::Lagging { lag_ms } => match self.seen_load {
                Some((seen, report)) if now - seen < Duration::from_millis(lag_ms) => report,
                _ => {
                    self.seen_load = Some((now, truth));
                    truth
                }
            },
        }
    }
}
