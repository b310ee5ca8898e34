//! Trust in the backend server: how many connections it has shown that it can bear.
//!
//! Trust starts at the slow start connections and rises in steps. A step needs time, connections
//! that survived, and a load near the present trust; an idle server earns nothing. Trust falls to
//! cold on a refused connect, on resets, or on a jump of the accept latency.

use {
    super::Limits,
    cardamomloom_core::{Span, Time},
    std::collections::VecDeque,
};

/// Times and thresholds of trust.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdaptiveLimitOptions {
    /// Time that an accepted connection must survive to count as a success.
    pub probation_span: Span,
    /// Window in which resets are counted.
    pub reset_window: Span,
    /// Least resets within the window that make the server cold.
    pub reset_threshold: u32,
    /// Part of the open connections whose reset within the window makes the server cold, when it
    /// is more; fewer resets occur in normal service. 100 stands for 1/100.
    pub reset_divisor: u32,
    /// Least accept latency that can count as a jump, above the noise of a busy machine.
    pub latency_floor: Span,
    /// Factor over the usual accept latency that counts as a jump.
    pub latency_factor: u64,
    /// Consecutive late accepts that make the server cold.
    pub late_accepts: u32,
    /// Time without new connections after a collapse; doubles while collapses repeat.
    pub min_pause: Span,
    /// Longest time without new connections after a collapse.
    pub max_pause: Span,
}

impl Default for AdaptiveLimitOptions {
    fn default() -> Self {
        Self {
            probation_span: Span::from_millis(200),
            reset_window: Span::from_secs(1),
            reset_threshold: 3,
            reset_divisor: 100,
            latency_floor: Span::from_millis(50),
            latency_factor: 8,
            late_accepts: 3,
            min_pause: Span::from_millis(200),
            max_pause: Span::from_secs(5),
        }
    }
}

/// What a collapse requires of the count of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Collapse {
    /// Open connections count on: they belong to the same slow start.
    Repeated,
    /// Open connections are the load from before and count no more.
    FromWarm,
}

/// Trust in one backend server.
#[derive(Clone, Debug)]
pub struct Trust {
    trusted: u32,
    start: u32,
    full: u32,
    step_span: Span,
    /// Time of the last step, or of the first connection of a cold server.
    last_step: Option<Time>,
    /// Accepted connections on probation, in bins by time of acceptance.
    probation: VecDeque<(Time, u32)>,
    /// Connections that survived probation since the last step.
    survived: u32,
    /// Most connections open since the last step.
    peak: u32,
    paused_until: Time,
    next_pause: Span,
    usual_latency: Option<Span>,
    late: u32,
    resets: VecDeque<Time>,
    collapses: u64,
    options: AdaptiveLimitOptions,
}

/// Width of a bin of connections on probation.
const BIN: Span = Span::from_millis(20);

/// A step raises trust by a quarter.
const STEP_DIVISOR: u32 = 4;

impl Trust {
    /// Creates the trust in a cold server.
    pub fn new(limits: &Limits, options: AdaptiveLimitOptions) -> Self {
        let mut trust = Self {
            trusted: 0,
            start: 1,
            full: 1,
            step_span: Span::ZERO,
            last_step: None,
            probation: VecDeque::new(),
            survived: 0,
            peak: 0,
            paused_until: Time::ZERO,
            next_pause: options.min_pause,
            usual_latency: None,
            late: 0,
            resets: VecDeque::new(),
            collapses: 0,
            options,
        };
        trust.set_limits(limits);
        trust.trusted = trust.start;
        trust
    }

    /// Takes up limits; trust above the full limit is cut.
    pub fn set_limits(&mut self, limits: &Limits) {
        self.full = limits.connections().max(1);
        self.start = limits.slow_start_connections.clamp(1, self.full);
        self.step_span = Span(limits.slow_start_span.0 / u64::from(steps(self.start, self.full)));
        self.trusted = self.trusted.min(self.full);
    }

    /// Returns the connections that the server is trusted with.
    pub const fn trusted(&self) -> u32 {
        self.trusted
    }

    /// Tells whether the server has earned less than its full limit.
    pub const fn is_partial(&self) -> bool {
        self.trusted < self.full
    }

    /// Returns how often trust has collapsed.
    pub const fn collapses(&self) -> u64 {
        self.collapses
    }

    /// Tells whether the server takes no new connection because it failed just now.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Learns of an accepted connection while `open` connections are open.
    pub fn on_accepted(&mut self, now: Time, latency: Span, open: u32) -> Option<Collapse> {
        if self.is_late(latency) {
            self.late += 1;
            if self.late >= self.options.late_accepts {
                return Some(self.collapse(now));
            }
            return None;
        }
        self.late = 0;
        self.last_step.get_or_insert(now);
        // Exponential average with a weight of 1/8, as for the round-trip time in RFC 6298.
        let usual = self
            .usual_latency
            .map_or(latency.0, |u| u.0 - u.0 / 8 + latency.0 / 8);
        self.usual_latency = Some(Span(usual));
        self.peak = self.peak.max(open);
        match self.probation.back_mut() {
            Some((time, count)) if now.since(*time) < BIN => *count += 1,
            _ => self.probation.push_back((now, 1)),
        }
        None
    }

    fn is_late(&self, latency: Span) -> bool {
        self.usual_latency.is_some_and(|usual| {
            latency > self.options.latency_floor
                && latency.0 > usual.0.saturating_mul(self.options.latency_factor)
        })
    }

    /// Learns of a connection that the server reset while `open` connections are open.
    pub fn on_reset(&mut self, now: Time, open: u32) -> Option<Collapse> {
        let window = self.options.reset_window;
        self.resets.push_back(now);
        while self
            .resets
            .front()
            .is_some_and(|time| now.since(*time) > window)
        {
            self.resets.pop_front();
        }
        let part = open / self.options.reset_divisor.max(1);
        let reached = self.resets.len() >= part.max(self.options.reset_threshold) as usize;
        reached.then(|| self.collapse(now))
    }

    /// Treats the server as cold.
    pub fn collapse(&mut self, now: Time) -> Collapse {
        // One failure is seen through many connections; it counts once.
        if self.is_paused(now) {
            return Collapse::Repeated;
        }
        self.collapses += 1;
        let from_warm = self.trusted > self.start.saturating_mul(2);
        // A server that fails even at its slow start gets half of it next time.
        self.trusted = if from_warm {
            self.start
        } else {
            (self.trusted / 2).clamp(1, self.start)
        };
        self.paused_until = now + self.next_pause;
        self.next_pause = Span(self.next_pause.0 * 2).min(self.options.max_pause);
        self.reset_evidence();
        if from_warm {
            Collapse::FromWarm
        } else {
            Collapse::Repeated
        }
    }

    /// Treats the server as cold without a failure, so that it takes connections at once.
    pub fn restart(&mut self, now: Time) {
        self.trusted = self.start;
        self.paused_until = now;
        self.next_pause = self.options.min_pause;
        self.usual_latency = None;
        self.reset_evidence();
    }

    fn reset_evidence(&mut self) {
        self.last_step = None;
        self.probation.clear();
        self.resets.clear();
        (self.survived, self.peak, self.late) = (0, 0, 0);
    }

    /// Raises trust by one step when it was earned.
    pub fn advance(&mut self, now: Time) {
        while let Some((time, count)) = self.probation.front().copied()
            && now.since(time) >= self.options.probation_span
        {
            self.survived += count;
            self.probation.pop_front();
        }
        // With an eighth of the trust as new connections and half of it in use, a step is always
        // within reach of a server that is offered enough load.
        let earned = self.survived >= (self.trusted / 8).max(1) && self.peak >= self.trusted / 2;
        let is_time = self
            .last_step
            .is_some_and(|last| now.since(last) >= self.step_span);
        if !earned || !is_time || !self.is_partial() {
            return;
        }
        let step = (self.trusted / STEP_DIVISOR).max(1);
        self.trusted = self.trusted.saturating_add(step).min(self.full);
        self.next_pause = self.options.min_pause;
        self.last_step = Some(now);
        (self.survived, self.peak) = (0, 0);
    }
}

/// Returns the steps from the slow start to the full limit, at least 1.
fn steps(start: u32, full: u32) -> u32 {
    let (mut trusted, mut steps) = (start, 0);
    while trusted < full {
        trusted = trusted.saturating_add((trusted / STEP_DIVISOR).max(1));
        steps += 1;
    }
    steps.max(1)
}
