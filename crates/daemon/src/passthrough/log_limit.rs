//! Rate limits for the log lines about forwarding decisions.

use {
    cardamomloom_core::{Span, Time},
    log::info,
};

/// Lines per second for decisions that affect a caller: drops, refusals, resets, owner lookups.
const CALLER_VISIBLE_LINES_PER_S: u64 = 20;

/// Lines per second for samples of normal forwarding.
const SAMPLE_LINES_PER_S: u64 = 1;

/// Burst size in lines.
const BURST_LINES: u64 = 5;

/// Rate limiter for log lines (generic cell rate algorithm) that counts suppressed lines.
#[derive(Debug)]
pub struct LogRateLimiter {
    emission_interval: Span,
    /// Theoretical arrival time: a line conforms while this time is in the past.
    next_arrival: Time,
    suppressed: u64,
    /// Whether the number of suppressed lines is logged. For samples, only the metric counts them.
    logs_suppressed: bool,
}

impl LogRateLimiter {
    /// Creates the limiter for decisions that affect a caller.
    pub const fn caller_visible() -> Self {
        Self::new(CALLER_VISIBLE_LINES_PER_S, true)
    }

    /// Creates the limiter for samples of normal forwarding.
    pub const fn samples() -> Self {
        Self::new(SAMPLE_LINES_PER_S, false)
    }

    const fn new(lines_per_s: u64, logs_suppressed: bool) -> Self {
        Self {
            emission_interval: Span::from_micros(1_000_000 / lines_per_s),
            next_arrival: Time::ZERO,
            suppressed: 0,
            logs_suppressed,
        }
    }

    /// Returns whether a line may be logged, and accounts for it.
    ///
    /// The first permitted line after suppressed ones adds their number to the metric, and logs it
    /// where the limiter is set to do so.
    pub fn try_acquire(&mut self, now: Time) -> bool {
        let earliest = now - Span(self.emission_interval.0 * BURST_LINES);
        let next_arrival = self.next_arrival.max(earliest);
        if next_arrival >= now {
            self.suppressed += 1;
            return false;
        }
        self.next_arrival = next_arrival + self.emission_interval;
        if self.suppressed > 0 {
            let suppressed = std::mem::take(&mut self.suppressed);
            metrics::counter!("cardamomloom_log_lines_suppressed_total").increment(suppressed);
            if self.logs_suppressed {
                info!(
                    event = "lines_suppressed", suppressed;
                    "log lines about forwarding decisions suppressed by the rate limit"
                );
            }
        }
        true
    }
}
