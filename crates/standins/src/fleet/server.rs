//! Model of a backend server that can serve few connections while cold and fails when overloaded.

use {
    cardamomloom_coordination::ownership::FlowId,
    cardamomloom_core::{Span, Time},
    std::collections::{BTreeMap, VecDeque},
};

/// Number of connections that a modelled backend server can serve, and its reaction to overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCapacity {
    /// Connections that it can serve when cold.
    pub cold_connections: u32,
    /// Connections that it can serve when warm.
    pub full_connections: u32,
    /// Time from its first connection until it is warm. Its capacity grows exponentially in between.
    pub warm_span: Span,
    /// Time after an overload during which it refuses connects.
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

/// Accept latency of a backend server below half of its capacity, or that has never lost its caches.
const ACCEPT_LATENCY: Span = Span::from_millis(2);

/// Accept latency of a backend server that has lost its caches and is above half of its capacity.
const SLOW_ACCEPT_LATENCY: Span = Span::from_millis(150);

/// State of a modelled backend server.
#[derive(Debug)]
pub struct ModelServer {
    capacity: ServerCapacity,
    /// Start of warming up; `None` until the first connection.
    serving_since: Option<Time>,
    /// Connects by the time at which they are accepted.
    connecting: VecDeque<(Time, FlowId)>,
    /// Open connections, and whether each counts towards the load. Those that were open when the
    /// backend server became cold do not.
    open: BTreeMap<FlowId, bool>,
    /// Number of open connections that count towards the load.
    counted: u32,
    refuses_until: Time,
    has_lost_caches: bool,
    overloads: u32,
    max_excess: u32,
    accepted: u64,
}

/// Events of a backend server that its agent observes.
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
    /// Creates a cold backend server without connections.
    #[must_use]
    pub fn new(capacity: ServerCapacity) -> Self {
        Self {
            capacity,
            serving_since: None,
            connecting: VecDeque::new(),
            open: BTreeMap::new(),
            counted: 0,
            refuses_until: Time::ZERO,
            has_lost_caches: false,
            overloads: 0,
            max_excess: 0,
            accepted: 0,
        }
    }

    /// Returns how often accepted connections exceeded the capacity.
    #[must_use]
    pub const fn overloads(&self) -> u32 {
        self.overloads
    }

    /// Returns the largest number of connections by which the capacity was exceeded.
    #[must_use]
    pub const fn max_excess_connections(&self) -> u32 {
        self.max_excess
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.len()
    }

    /// Makes the backend server cold without announcement.
    ///
    /// With `keeps_connections`, it loses only its caches: established connections stay open, and
    /// only the accept latency shows the state. Otherwise it loses all established connections, and
    /// returns them.
    pub fn become_cold(&mut self, keeps_connections: bool) -> Vec<FlowId> {
        self.serving_since = None;
        self.counted = 0;
        if keeps_connections {
            self.has_lost_caches = true;
            self.open.values_mut().for_each(|counted| *counted = false);
            return Vec::new();
        }
        std::mem::take(&mut self.open).into_keys().collect()
    }

    /// Makes a backend server without connections cold, as after a time without load.
    pub const fn reset_warmup(&mut self) {
        self.serving_since = None;
    }

    /// Returns the number of connections that the backend server has accepted since its creation.
    #[must_use]
    pub const fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Returns whether a connection is open.
    #[must_use]
    pub fn has_connection(&self, flow: FlowId) -> bool {
        self.open.contains_key(&flow)
    }

    /// Returns the number of connections that the backend server can serve now.
    fn current_capacity(&self, now: Time) -> u32 {
        let capacity = &self.capacity;
        let served = self
            .serving_since
            .map_or(Span::ZERO, |since| now.since(since));
        let progress = served.0 as f64 / capacity.warm_span.0.max(1) as f64;
        let cold = f64::from(capacity.cold_connections);
        let full = f64::from(capacity.full_connections);
        let exact = cold * (full / cold).powf(progress.min(1.0));
        // Rounds down by binary search, because only a cast converts a float to an integer.
        let (mut low, mut high) = (capacity.cold_connections, capacity.full_connections);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if f64::from(middle) <= exact {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    /// Starts to accept a connection, which [`Self::step`] completes after the accept latency.
    pub fn connect(&mut self, now: Time, flow: FlowId) {
        let is_slow = self.has_lost_caches && self.counted * 2 > self.current_capacity(now);
        let latency = if is_slow {
            SLOW_ACCEPT_LATENCY
        } else {
            ACCEPT_LATENCY
        };
        self.connecting.push_back((now + latency, flow));
    }

    /// Closes an open connection or aborts a pending connect.
    pub fn close(&mut self, flow: FlowId) {
        if self.open.remove(&flow) == Some(true) {
            self.counted -= 1;
        }
        self.connecting
            .retain(|(_, connecting)| *connecting != flow);
    }

    /// Completes or refuses the connects that are due at `now` and returns the resulting events.
    pub fn step(&mut self, now: Time) -> ServerEvents {
        let mut events = ServerEvents::default();
        let mut pending = VecDeque::new();
        while let Some((accepted_at, flow)) = self.connecting.pop_front() {
            if now < self.refuses_until {
                events.refused.push(flow);
            } else if accepted_at > now {
                pending.push_back((accepted_at, flow));
            } else {
                self.accept(now, flow, &mut events);
            }
        }
        self.connecting = pending;
        events
    }

    /// Accepts a connection. If this exceeds the capacity, the backend server fails: it loses all
    /// connections, becomes cold and refuses connects for `outage_span`.
    fn accept(&mut self, now: Time, flow: FlowId, events: &mut ServerEvents) {
        self.serving_since.get_or_insert(now);
        self.open.insert(flow, true);
        self.counted += 1;
        self.accepted += 1;
        events.accepted.push(flow);
        let current_capacity = self.current_capacity(now);
        if self.counted > current_capacity {
            self.max_excess = self.max_excess.max(self.counted - current_capacity);
            self.overloads += 1;
            let lost = self.become_cold(false);
            self.refuses_until = now + self.capacity.outage_span;
            events.accepted.retain(|accepted| !lost.contains(accepted));
            events.reset.extend(lost);
        }
    }
}
