//! Behaviour of a backend server: warm-up, overload, refused connects, load shedding and reports.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Behaviour that a test sets over HTTP.
///
/// The default has unlimited capacity, injects no fault and reports the actual load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Connections that the server can serve when cold.
    pub cold_connections: u32,
    /// Connections that the server can serve when warm.
    pub full_connections: u32,
    /// Time from the first connection until the server is warm; its capacity grows linearly.
    pub warm_ms: u64,
    /// Time for which the server refuses connects after an overload.
    pub outage_ms: u64,
    /// Time that the server waits before it accepts a connection.
    pub accept_delay_ms: u64,
    /// Time that the server waits before it runs a request; the request does not run when its
    /// connection ends during the wait.
    pub request_delay_ms: u64,
    /// Whether the server refuses connects.
    pub refuse: bool,
    /// Whether the server sheds requests: it answers 503 and does not run them.
    pub shed: bool,
    /// Load that the server reports.
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

/// Which load report `/load` returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadAnswer {
    /// The current load.
    #[default]
    Truth,
    /// A cached load, refreshed when it is older than `lag_ms`.
    Lagging {
        /// Age at which the cached load is refreshed.
        lag_ms: u64,
    },
    /// This report, whatever the current load is.
    False(LoadReport),
}

/// Body of the response to `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Open connections as a share of the current capacity, in parts per million.
    pub load_ppm: u32,
    /// Whether the server sheds requests and asks for less load.
    pub shedding: bool,
}

/// Connections, warm-up and counters of a backend server.
#[derive(Debug, Default)]
pub struct ServerState {
    /// Behaviour that the test set last.
    pub behaviour: Behaviour,
    /// Time of the first connection since the server was cold; `None` while there is none.
    warming_since: Option<Instant>,
    /// End of the outage after the last overload.
    outage_until: Option<Instant>,
    open_connections: u32,
    counts: ServerCounts,
    /// Report of [`LoadAnswer::Lagging`] and the time at which it was taken.
    cached_load: Option<(Instant, LoadReport)>,
}

/// Counters of a backend server, which a test reads with `GET /counts`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCounts {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Times that the open connections exceeded the capacity.
    pub overloads: u64,
    /// Requests that were shed: answered with 503 and not run.
    pub shed: u64,
    /// Times that `/load` was read.
    #[serde(default)]
    pub load_reads: u64,
}

impl ServerState {
    /// Makes the server cold; the next accepted connection starts its warm-up.
    pub const fn restart_warmup(&mut self) {
        self.warming_since = None;
    }

    /// Returns a copy of the counters.
    pub const fn counts(&self) -> ServerCounts {
        self.counts
    }

    /// Counts a request that the server answered with 503 and did not run.
    pub const fn count_shed_request(&mut self) {
        self.counts.shed += 1;
    }

    /// Returns whether the server refuses connects, by its behaviour or during an outage.
    pub fn is_refusing(&self, now: Instant) -> bool {
        self.behaviour.refuse || self.outage_until.is_some_and(|until| now < until)
    }

    /// Returns the number of connections that the server can serve now.
    fn capacity(&self, now: Instant) -> u32 {
        let Behaviour {
            cold_connections: cold,
            full_connections: full,
            ..
        } = self.behaviour;
        let Some(warming_since) = self.warming_since else {
            return cold;
        };
        let warming_ms = u64::try_from((now - warming_since).as_millis()).unwrap_or(u64::MAX);
        let warm_ms = self.behaviour.warm_ms.max(1);
        let gained = u64::from(full.saturating_sub(cold)) * warming_ms.min(warm_ms) / warm_ms;
        cold.saturating_add(u32::try_from(gained).unwrap_or(u32::MAX))
    }

    /// Counts an accepted connection and returns whether the server can serve it.
    ///
    /// A connection above the capacity makes the server fail: it is cold again and refuses connects
    /// for `outage_ms`.
    pub fn on_accepted(&mut self, now: Instant) -> bool {
        self.warming_since.get_or_insert(now);
        self.open_connections += 1;
        self.counts.accepted += 1;
        if self.open_connections <= self.capacity(now) {
            return true;
        }
        self.counts.overloads += 1;
        self.outage_until = Some(now + Duration::from_millis(self.behaviour.outage_ms));
        self.restart_warmup();
        false
    }

    /// Counts the end of a connection.
    pub const fn on_closed(&mut self) {
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// Returns the load that the server reports, and counts the read.
    pub fn load(&mut self, now: Instant) -> LoadReport {
        self.counts.load_reads += 1;
        let open_connections = u64::from(self.open_connections);
        let load_ppm = open_connections * 1_000_000 / u64::from(self.capacity(now)).max(1);
        let current = LoadReport {
            load_ppm: u32::try_from(load_ppm).unwrap_or(u32::MAX),
            shedding: self.behaviour.shed,
        };
        match self.behaviour.load {
            LoadAnswer::Truth => current,
            LoadAnswer::False(report) => report,
            LoadAnswer::Lagging { lag_ms } => match self.cached_load {
                Some((read_at, report)) if now - read_at < Duration::from_millis(lag_ms) => report,
                _ => {
                    self.cached_load = Some((now, current));
                    current
                }
            },
        }
    }
}
