//! Backend server in virtual time: bears few connections when cold and fails beyond them.

use {
    cardamomloom_coordination::ownership::FlowId,
    cardamomloom_core::{Span, Time},
    std::collections::{BTreeMap, VecDeque},
};

/// What a modelled backend server can bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCapacity {
    /// Connections that it bears when cold.
    pub cold_connections: u32,
    /// Connections that it bears when warm.
    pub full_connections: u32,
    /// Time of service from cold to warm; what it bears grows by equal factors in equal times.
    pub warm_span: Span,
    /// Time after a failure during which it refuses connects.
    pub outage_span: Span,
}

impl Default for ServerCapacity {
    fn default() -> Self {
        Self {
            cold_connections: 80,
            full_connections: 8_000,
            warm_span: Span::from_secs(10),
            outage_span: Span::from_secs(1),
        }
    }
}

/// Accept latency of a server that has room.
const ACCEPT: Span = Span::from_millis(2);

/// Accept latency of a server that lost its caches and has more than half of what it bears.
const LATE_ACCEPT: Span = Span::from_millis(150);

/// A modelled backend server.
#[derive(Debug)]
pub struct ModelServer {
    capacity: ServerCapacity,
    /// Start of warming up; `None` until the first connection.
    serving_since: Option<Time>,
    connecting: VecDeque<(Time, FlowId)>,
    /// Open connections; those from before the server became cold do not count against it.
    open: BTreeMap<FlowId, bool>,
    counted: u32,
    refuses_until: Time,
    lost_caches: bool,
    overloads: u32,
    excess: u32,
    accepted: u64,
}

/// Events of a server for its agent.
#[derive(Clone, Debug, Default)]
pub struct ServerEvents {
    /// Connections that were accepted.
    pub accepted: Vec<FlowId>,
    /// Connects that were refused.
    pub refused: Vec<FlowId>,
    /// Established connections that were reset.
    pub reset: Vec<FlowId>,
}

impl ModelServer {
    /// Creates a cold server.
    #[must_use]
    pub fn new(capacity: ServerCapacity) -> Self {
        Self {
            capacity,
            serving_since: None,
            connecting: VecDeque::new(),
            open: BTreeMap::new(),
            counted: 0,
            refuses_until: Time::ZERO,
            lost_caches: false,
            overloads: 0,
            excess: 0,
            accepted: 0,
        }
    }

    /// Returns how often the server was given more than it bears.
    #[must_use]
    pub const fn overloads(&self) -> u32 {
        self.overloads
    }

    /// Returns the most connections above what the server bore.
    #[must_use]
    pub const fn max_excess_connections(&self) -> u32 {
        self.excess
    }

    /// Returns the open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.len()
    }

    /// Makes the server cold without announcement. With `keep`, established connections stay and
    /// only the accept latency shows it; otherwise they are lost and returned.
    pub fn become_cold(&mut self, keep: bool) -> Vec<FlowId> {
        self.serving_since = None;
        self.counted = 0;
        if keep {
            self.lost_caches = true;
            self.open.values_mut().for_each(|counted| *counted = false);
            return Vec::new();
        }
        std::mem::take(&mut self.open).into_keys().collect()
    }

    /// Makes a server without connections cold, as after a time without load.
    pub const fn reset_warmup(&mut self) {
        self.serving_since = None;
    }

    /// Returns how many connections the server has accepted since its start.
    #[must_use]
    pub const fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Tells whether a connection is open.
    #[must_use]
    pub fn has_connection(&self, flow: FlowId) -> bool {
        self.open.contains_key(&flow)
    }

    fn bears(&self, now: Time) -> u32 {
        let capacity = &self.capacity;
        let served = self
            .serving_since
            .map_or(Span::ZERO, |since| now.since(since));
        let progress = served.0 as f64 / capacity.warm_span.0.max(1) as f64;
        let cold = f64::from(capacity.cold_connections);
        let full = f64::from(capacity.full_connections);
        let bears = cold * (full / cold).powf(progress.min(1.0));
        // Rounded down by search, because a float does not convert to an integer without a cast.
        let (mut low, mut high) = (capacity.cold_connections, capacity.full_connections);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if f64::from(middle) <= bears {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    /// Starts to accept a connection.
    pub fn connect(&mut self, now: Time, flow: FlowId) {
        let is_late = self.lost_caches && self.counted * 2 > self.bears(now);
        let due = now + if is_late { LATE_ACCEPT } else { ACCEPT };
        self.connecting.push_back((due, flow));
    }

    /// Closes a connection.
    pub fn close(&mut self, flow: FlowId) {
        if self.open.remove(&flow) == Some(true) {
            self.counted -= 1;
        }
        self.connecting
            .retain(|(_, connecting)| *connecting != flow);
    }

    /// Returns what happened up to `now`.
    pub fn step(&mut self, now: Time) -> ServerEvents {
        let mut events = ServerEvents::default();
        let mut waiting = VecDeque::new();
        while let Some((due, flow)) = self.connecting.pop_front() {
            if now < self.refuses_until {
                events.refused.push(flow);
            } else if due > now {
                waiting.push_back((due, flow));
            } else {
                self.accept(now, flow, &mut events);
            }
        }
        self.connecting = waiting;
        events
    }

    fn accept(&mut self, now: Time, flow: FlowId, events: &mut ServerEvents) {
        self.serving_since.get_or_insert(now);
        self.open.insert(flow, true);
        self.counted += 1;
        self.accepted += 1;
        events.accepted.push(flow);
        let bears = self.bears(now);
        if self.counted > bears {
            self.excess = self.excess.max(self.counted - bears);
            self.overloads += 1;
            let lost = self.become_cold(false);
            self.refuses_until = now + self.capacity.outage_span;
            events.accepted.retain(|accepted| !lost.contains(accepted));
            events.reset.extend(lost);
        }
    }
}
