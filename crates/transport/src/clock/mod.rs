//! The one place where a process reads the monotonic clock.

use {cardamomloom_core::Time, std::time::Instant};

/// Monotonic clock that starts at zero when the process starts.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed().into()
    }

    /// Returns the standard library instant of a time.
    #[must_use]
    pub fn to_instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO).to_duration()
    }
}
