//! Log lines for decisions on flows, with a bounded volume.

use {
    cardamomloom_core::{Span, Time},
    log::info,
};

/// Lines a second for decisions that a caller feels: drops, refusals, resets, searches.
const NOTABLE_LINES_PER_S: u64 = 20;

/// Lines a second for decisions of the usual path, as samples.
const SAMPLE_LINES_PER_S: u64 = 1;

/// Lines that may come at once, as a multiple of those of a second.
const BURST: u64 = 5;

/// Limits the lines of one kind and counts those left out.
#[derive(Debug)]
pub struct LineBudget {
    interval: Span,
    /// Time up to which the budget is used.
    used_until: Time,
    suppressed: u64,
    /// Whether the number of lines left out is logged. For samples only the counter tells it.
    reports_suppressed: bool,
}

impl LineBudget {
    /// Returns the budget of decisions that a caller feels.
    pub const fn notable() -> Self {
        Self::new(NOTABLE_LINES_PER_S, true)
    }

    /// Returns the budget of samples of the usual path.
    pub const fn samples() -> Self {
        Self::new(SAMPLE_LINES_PER_S, false)
    }

    const fn new(lines_per_s: u64, reports_suppressed: bool) -> Self {
        Self {
            interval: Span::from_micros(1_000_000 / lines_per_s),
            used_until: Time::ZERO,
            suppressed: 0,
            reports_suppressed,
        }
    }

    /// Takes one line; tells whether it may be written. The first line after others were left out
    /// is followed by their number.
    pub fn take(&mut self, now: Time) -> bool {
        let earliest = now - Span(self.interval.0 * BURST);
        let used_until = self.used_until.max(earliest);
        if used_until >= now {
            self.suppressed += 1;
            return false;
        }
        self.used_until = used_until + self.interval;
        if self.suppressed > 0 {
            let suppressed = std::mem::take(&mut self.suppressed);
            metrics::counter!("cardamomloom_log_lines_suppressed_total").increment(suppressed);
            if self.reports_suppressed {
                info!(event = "lines_suppressed", suppressed; "decisions were not logged");
            }
        }
        true
    }
}
