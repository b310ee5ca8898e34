//! Adaptive connection limit of a backend server, raised in a slow start.
//!
//! The limit starts at the slow-start connections and rises in steps. A step needs time,
//! connections that survived, and a load near the current limit, so the limit of an idle server
//! does not rise. The limit is reset to slow start on a refused connect, on connection resets, or
//! on a jump of the accept latency.

use {
    super::Limits,
    cardamomloom_core::{Span, Time},
    std::collections::VecDeque,
};

/// Times and thresholds of the adaptive limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdaptiveLimitOptions {
    /// Time after which an accepted connection counts as a success, unless the limit is reset in
    /// between.
    pub probation_span: Span,
    /// Sliding window in which connection resets are counted.
    pub reset_window: Span,
    /// Smallest number of resets within the window that resets the limit.
    pub reset_threshold: u32,
    /// Part of the open connections whose reset within the window resets the limit, where it is
    /// more than `reset_threshold`; fewer resets occur in normal service. 100 stands for 1/100.
    pub reset_divisor: u32,
    /// Smallest accept latency that can count as late, above the noise of a busy machine.
    pub latency_floor: Span,
    /// Factor over the average accept latency from which an accept counts as late.
    pub latency_factor: u64,
    /// Number of consecutive late accepts that resets the limit.
    pub late_accepts: u32,
    /// Time without new connections after a reset of the limit. It doubles with each further reset
    /// until the limit rises again.
    pub min_pause: Span,
    /// Longest time without new connections after a reset of the limit.
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

/// Kind of a reset of the limit, which decides whether open connections still count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReset {
    /// The server was in slow start, or the limit was reset a short time ago. Open connections
    /// belong to the same slow start and still count towards the limit.
    Repeated,
    /// The server was warm. Open connections were admitted before the failure and no longer count
    /// towards the limit.
    FromWarm,
}

/// Adaptive connection limit of one backend server.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    /// Current limit, between 1 and `full`.
    current: u32,
    /// Limit at which a slow start begins.
    start: u32,
    /// Limit of a warm server.
    full: u32,
    /// Shortest time between two steps.
    step_interval: Span,
    /// Time of the last step, or of the first connection of a cold server.
    last_step: Option<Time>,
    /// Accepted connections on probation, in bins by time of acceptance.
    probation: VecDeque<(Time, u32)>,
    /// Connections that survived probation since the last step.
    survived: u32,
    /// Largest number of open connections since the last step.
    peak: u32,
    paused_until: Time,
    /// Length of the pause after the next reset of the limit.
    next_pause: Span,
    average_latency: Option<Span>,
    /// Number of late accepts since the last one that was not late.
    consecutive_late_accepts: u32,
    /// Times of the connection resets within the window.
    connection_resets: VecDeque<Time>,
    /// Number of resets of the limit.
    reset_count: u64,
    options: AdaptiveLimitOptions,
}

/// Interval of acceptance times that share one bin of connections on probation.
const PROBATION_BIN_WIDTH: Span = Span::from_millis(20);

/// Part of the limit by which a step raises it: a quarter.
const STEP_DIVISOR: u32 = 4;

impl AdaptiveLimit {
    /// Creates the limit of a cold server.
    pub fn new(limits: &Limits, options: AdaptiveLimitOptions) -> Self {
        let mut limit = Self {
            current: 0,
            start: 1,
            full: 1,
            step_interval: Span::ZERO,
            last_step: None,
            probation: VecDeque::new(),
            survived: 0,
            peak: 0,
            paused_until: Time::ZERO,
            next_pause: options.min_pause,
            average_latency: None,
            consecutive_late_accepts: 0,
            connection_resets: VecDeque::new(),
            reset_count: 0,
            options,
        };
        limit.set_limits(limits);
        limit.current = limit.start;
        limit
    }

    /// Applies the limits of the catalogue; a current limit above the full one is cut to it.
    pub fn set_limits(&mut self, limits: &Limits) {
        self.full = limits.connections().max(1);
        self.start = limits.slow_start_connections.clamp(1, self.full);
        self.step_interval =
            Span(limits.slow_start_span.0 / u64::from(step_count(self.start, self.full)));
        self.current = self.current.min(self.full);
    }

    /// Returns the current limit, in connections.
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether the current limit is below the full one.
    pub const fn is_below_full(&self) -> bool {
        self.current < self.full
    }

    /// Returns how often the limit was reset because of failures.
    pub const fn reset_count(&self) -> u64 {
        self.reset_count
    }

    /// Returns whether no new connection is admitted because the limit was reset a short time ago.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Processes an accepted connection while `open` connections are open.
    pub fn on_accepted(&mut self, now: Time, latency: Span, open: u32) -> Option<LimitReset> {
        if self.is_late(latency) {
            self.consecutive_late_accepts += 1;
            if self.consecutive_late_accepts >= self.options.late_accepts {
                return Some(self.reset(now));
            }
            return None;
        }
        self.consecutive_late_accepts = 0;
        self.last_step.get_or_insert(now);
        // Exponential average with a weight of 1/8, as for the round-trip time in RFC 6298.
        let average = self
            .average_latency
            .map_or(latency.0, |old| old.0 - old.0 / 8 + latency.0 / 8);
        self.average_latency = Some(Span(average));
        self.peak = self.peak.max(open);
        match self.probation.back_mut() {
            Some((time, count)) if now.since(*time) < PROBATION_BIN_WIDTH => *count += 1,
            _ => self.probation.push_back((now, 1)),
        }
        None
    }

    fn is_late(&self, latency: Span) -> bool {
        self.average_latency.is_some_and(|average| {
            latency > self.options.latency_floor
                && latency.0 > average.0.saturating_mul(self.options.latency_factor)
        })
    }

    /// Processes a connection reset by the server while `open` connections are open.
    pub fn on_connection_reset(&mut self, now: Time, open: u32) -> Option<LimitReset> {
        let window = self.options.reset_window;
        self.connection_resets.push_back(now);
        while self
            .connection_resets
            .front()
            .is_some_and(|time| now.since(*time) > window)
        {
            self.connection_resets.pop_front();
        }
        let proportional = open / self.options.reset_divisor.max(1);
        let threshold = proportional.max(self.options.reset_threshold) as usize;
        (self.connection_resets.len() >= threshold).then(|| self.reset(now))
    }

    /// Resets the limit to slow start after a failure and pauses new connections.
    ///
    /// During the pause this has no effect, because one failure is observed through many
    /// connections and counts once.
    pub fn reset(&mut self, now: Time) -> LimitReset {
        if self.is_paused(now) {
            return LimitReset::Repeated;
        }
        self.reset_count += 1;
        let was_warm = self.current > self.start.saturating_mul(2);
        // A server that fails even in slow start gets half of its limit next time.
        self.current = if was_warm {
            self.start
        } else {
            (self.current / 2).clamp(1, self.start)
        };
        self.paused_until = now + self.next_pause;
        self.next_pause = Span(self.next_pause.0 * 2).min(self.options.max_pause);
        self.clear_observations();
        if was_warm {
            LimitReset::FromWarm
        } else {
            LimitReset::Repeated
        }
    }

    /// Restarts the slow start of a server that has not failed; connections are admitted at once.
    pub fn restart(&mut self, now: Time) {
        self.current = self.start;
        self.paused_until = now;
        self.next_pause = self.options.min_pause;
        self.average_latency = None;
        self.clear_observations();
    }

    fn clear_observations(&mut self) {
        self.last_step = None;
        self.probation.clear();
        self.connection_resets.clear();
        (self.survived, self.peak, self.consecutive_late_accepts) = (0, 0, 0);
    }

    /// Raises the limit by one step when the conditions for a step hold.
    pub fn raise(&mut self, now: Time) {
        while let Some((time, count)) = self.probation.front().copied()
            && now.since(time) >= self.options.probation_span
        {
            self.survived += count;
            self.probation.pop_front();
        }
        // An eighth of the limit as new connections and half of it in use: a server that is
        // offered enough load can always reach the next step.
        let has_evidence =
            self.survived >= (self.current / 8).max(1) && self.peak >= self.current / 2;
        let is_interval_over = self
            .last_step
            .is_some_and(|last| now.since(last) >= self.step_interval);
        if !has_evidence || !is_interval_over || !self.is_below_full() {
            return;
        }
        let step = (self.current / STEP_DIVISOR).max(1);
        self.current = self.current.saturating_add(step).min(self.full);
        self.next_pause = self.options.min_pause;
        self.last_step = Some(now);
        (self.survived, self.peak) = (0, 0);
    }
}

/// Returns the number of steps from the slow start to the full limit, at least 1.
fn step_count(start: u32, full: u32) -> u32 {
    let (mut current, mut steps) = (start, 0);
    while current < full {
        current = current.saturating_add((current / STEP_DIVISOR).max(1));
        steps += 1;
    }
    steps.max(1)
}
