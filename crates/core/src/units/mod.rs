//! Sizes, rates, ratios and weights as distinct types.

use {
    crate::error::{Error, ErrorKind},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Result of parsing a unit.
pub type Result<T> = std::result::Result<T, Error>;

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let digits = text.strip_suffix($suffix).unwrap_or(text).trim_end();
                digits.parse().map(Self).map_err(|_| {
                    Error::new(
                        ErrorKind::InvalidArgument,
                        format!(
                            concat!("units: {:?} is not a ", stringify!($name), ": expected a number with optional suffix {:?}"),
                            text, $suffix
                        ),
                    )
                })
            }
        }
    };
}

unit!(
    /// A size in bytes.
    ByteCount, u64, "B"
);
unit!(
    /// A rate in bytes per second.
    ByteRate, u64, "B/s"
);
unit!(
    /// A number of connections.
    ConnectionCount, u32, ""
);
unit!(
    /// A ratio in parts per million.
    PartsPerMillion, u32, "ppm"
);
unit!(
    /// Relative share of a host in new flows, in thousandths of the share of a standard host.
    Weight, u32, ""
);

impl Weight {
    /// Weight of a standard host.
    pub const STANDARD: Self = Self(1_000);
}
