//! Monotonic clock of a process, the source of its [`Time`] values.

use {cardamomloom_core::Time, std::time::Instant};

/// Monotonic clock that reads zero at the moment when it was started.
///
/// Copies share the starting moment, so that times from different threads compare.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts a clock at [`Time::ZERO`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed().into()
    }

    /// Converts a time of this clock to an [`Instant`].
    #[must_use]
    pub fn to_instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO).to_duration()
    }
}
