//! Points and lengths of time. Decisions receive the current time as an argument and never read a
//! clock, so that tests control it.

use {
    crate::error::{Error, ErrorKind},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::{Add, Sub},
        str::FromStr,
        time::Duration,
    },
};

/// Result of parsing a span.
pub type Result<T> = std::result::Result<T, Error>;

/// A point in time, in microseconds since the start of the process or of a test.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Time {
    /// Start of the process or test.
    pub const ZERO: Self = Self(0);

    /// Returns the time a number of milliseconds after [`Time::ZERO`], limited to the latest time.
    #[must_use]
    pub const fn from_millis(time_ms: u64) -> Self {
        Self(time_ms.saturating_mul(1_000))
    }

    /// Returns the time in milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span since `earlier`, or zero if `earlier` lies in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// Span of length zero.
    pub const ZERO: Self = Self(0);

    /// Returns a span of a number of microseconds.
    #[must_use]
    pub const fn from_micros(span_us: u64) -> Self {
        Self(span_us)
    }

    /// Returns a span of a number of milliseconds, limited to the longest span.
    #[must_use]
    pub const fn from_millis(span_ms: u64) -> Self {
        Self(span_ms.saturating_mul(1_000))
    }

    /// Returns a span of a number of seconds, limited to the longest span.
    #[must_use]
    pub const fn from_secs(span_s: u64) -> Self {
        Self(span_s.saturating_mul(1_000_000))
    }

    /// Returns the span in milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span as a standard library duration.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us % 1_000_000 == 0 => write!(f, "{}s", us / 1_000_000),
            us if us % 1_000 == 0 => write!(f, "{}ms", us / 1_000),
            us => write!(f, "{us}us"),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (digits, factor) = if let Some(rest) = text.strip_suffix("us") {
            (rest, 1)
        } else if let Some(rest) = text.strip_suffix("ms") {
            (rest, 1_000)
        } else if let Some(rest) = text.strip_suffix('s') {
            (rest, 1_000_000)
        } else {
            ("", 1)
        };
        digits
            .parse::<u64>()
            .ok()
            .and_then(|n| n.checked_mul(factor))
            .map(Self)
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::InvalidArgument,
                    format!("time: {text:?} is not a span: expected a number with us, ms or s"),
                )
            })
    }
}
