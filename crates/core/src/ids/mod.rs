//! Identifiers and names of hosts, balancers, services, failure domains and operations, and
//! versions of objects and tables.

use {
    crate::error::{Error, ErrorKind},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, Error>;

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let digits = text.strip_prefix($prefix).unwrap_or(text);
                <$inner>::from_str_radix(digits, 16).map(Self).map_err(|_| {
                    Error::new(
                        ErrorKind::InvalidArgument,
                        format!(
                            concat!("ids: {:?} is not a ", stringify!($name), ": expected hexadecimal digits"),
                            text
                        ),
                    )
                })
            }
        }
    };
}

numeric_id!(
    /// Identifies a service; assigned in the catalogue and carried in forward headers.
    ServiceId, u32, "s-"
);
numeric_id!(
    /// Identifies a host: a backend server with its agent.
    HostId, u32, "h-"
);
numeric_id!(
    /// Identifies a balancer.
    NodeId, u64, "n-"
);
numeric_id!(
    /// Orders the runs of one host or balancer; each restart uses a higher value.
    Incarnation, u64, "i-"
);
numeric_id!(
    /// Digest of the inputs of a candidate table; equal digests mean equal tables.
    TableVersion, u64, "t-"
);
numeric_id!(
    /// Index of a bucket within the candidate table of a service.
    BucketId, u32, "b-"
);
numeric_id!(
    /// Identifies the write of an operator command. If the response to the write is lost, it shows
    /// whether the write took effect.
    OperationId, u64, "op-"
);

/// Version that the platform's store assigned to an object; a later write has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ObjectVersion {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| {
            Error::new(
                ErrorKind::InvalidArgument,
                format!("ids: {text:?} is not an object version: expected a decimal number"),
            )
        })
    }
}

/// Maximum length of a name in bytes, which is that of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                check_name(stringify!($name), text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Name of a service in the catalogue.
    ServiceName
);
name_type!(
    /// Name of a region, a group of failure domains.
    RegionName
);

/// Checks that a name consists of lower-case letters, digits and hyphens and does not start with a
/// hyphen. `type_name` appears in the error message.
fn check_name(type_name: &str, text: &str) -> Result<()> {
    let is_valid = !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.starts_with('-')
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if is_valid {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::InvalidArgument,
        format!(
            "ids: {text:?} is not a {type_name}: expected 1 to {MAX_NAME_BYTES} lower-case letters, digits or hyphens"
        ),
    ))
}
