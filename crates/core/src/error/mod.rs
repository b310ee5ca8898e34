//! Error type of all crates, with a closed list of error kinds.

use std::{fmt, sync::Arc};

/// Result with the error type of all crates.
pub type Result<T> = std::result::Result<T, Error>;

/// Kind of an error; determines exit code, status codes and operator action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// A setting, flag or object field has an invalid value.
    InvalidArgument,
    /// The named object does not exist.
    NotFound,
    /// Another writer has changed the object in the meantime.
    Conflict,
    /// The change is dangerous and was not forced.
    ForceRequired,
    /// The platform's store did not respond, or responded with a server error.
    StoreUnavailable,
    /// It is unknown whether a write to the store took effect.
    OutcomeUnknown,
    /// The change was accepted, but is not yet in force on all processes.
    NotYetInForce,
    /// The identity, role or authentication tag of a peer is wrong.
    Unauthorized,
    /// A message or packet could not be decoded.
    Malformed,
    /// A limit is exceeded, such as the length of a queue or the size of a message.
    LimitExceeded,
    /// No candidate accepted the flow; the request was not executed.
    NotRun,
    /// A socket operation or another operating system call failed.
    Io,
    /// A deadline expired.
    Timeout,
    /// The process is shutting down.
    ShuttingDown,
}

/// Codes of an error kind and the action that an operator takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorEntry {
    /// Stable name in logs and JSON output.
    pub name: &'static str,
    /// Exit code of the command line tool, and of a daemon that cannot start.
    pub exit_code: u8,
    /// Status code of the HTTP endpoints for operators.
    pub http_status: u16,
    /// Status code of gRPC calls between processes.
    pub grpc_code: u8,
    /// Whether the same call can succeed later without any change.
    pub is_retryable: bool,
    /// Action for the operator.
    pub action: &'static str,
}

impl ErrorKind {
    /// All kinds, in the order of the operators' page.
    pub const ALL: [Self; 14] = [
        Self::InvalidArgument,
        Self::NotFound,
        Self::Conflict,
        Self::ForceRequired,
        Self::StoreUnavailable,
        Self::OutcomeUnknown,
        Self::NotYetInForce,
        Self::Unauthorized,
        Self::Malformed,
        Self::LimitExceeded,
        Self::NotRun,
        Self::Io,
        Self::Timeout,
        Self::ShuttingDown,
    ];

    /// Returns codes and operator action of this kind.
    #[must_use]
    #[rustfmt::skip]
    pub const fn entry(self) -> ErrorEntry {
        match self {
            Self::InvalidArgument => ErrorEntry::new("invalid_argument", 2, 400, 3, false, "Correct the field that the message names."),
            Self::NotFound => ErrorEntry::new("not_found", 3, 404, 5, false, "Check the name with `cardamomloom list`."),
            Self::Conflict => ErrorEntry::new("conflict", 4, 409, 10, false, "Read the object again and repeat the change on the present version."),
            Self::ForceRequired => ErrorEntry::new("force_required", 5, 412, 9, false, "Read the reason; repeat with --force if the effect is wanted."),
            Self::StoreUnavailable => ErrorEntry::new("store_unavailable", 6, 503, 14, true, "Wait for the store; traffic continues on the last configuration."),
            Self::OutcomeUnknown => ErrorEntry::new("outcome_unknown", 7, 504, 2, false, "Run the command that the message names to settle the outcome."),
            Self::NotYetInForce => ErrorEntry::new("not_yet_in_force", 8, 202, 14, true, "Check `cardamomloom status` for the processes that lag."),
            Self::Unauthorized => ErrorEntry::new("unauthorized", 9, 403, 16, false, "Check keys and certificates of the named peer."),
            Self::Malformed => ErrorEntry::new("malformed", 10, 400, 3, false, "Check the version of the sender."),
            Self::LimitExceeded => ErrorEntry::new("limit_exceeded", 11, 429, 8, true, "Reduce the load or raise the limit that the message names."),
            Self::NotRun => ErrorEntry::new("not_run", 12, 503, 14, true, "Nothing was run; the caller can repeat the request."),
            Self::Io => ErrorEntry::new("io", 13, 500, 14, true, "Check the address and the operating system error."),
            Self::Timeout => ErrorEntry::new("timeout", 14, 504, 4, true, "Repeat; check the peer that the message names."),
            Self::ShuttingDown => ErrorEntry::new("shutting_down", 15, 503, 14, true, "Use another instance."),
        }
    }
}

impl ErrorEntry {
    const fn new(
        name: &'static str,
        exit_code: u8,
        http_status: u16,
        grpc_code: u8,
        is_retryable: bool,
        action: &'static str,
    ) -> Self {
        Self {
            name,
            exit_code,
            http_status,
            grpc_code,
            is_retryable,
            action,
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.entry().name)
    }
}

/// An error: its kind, and a message that starts with the name of the component.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable message of the form `component: what happened`.
    pub message: Arc<str>,
}

impl Error {
    /// Creates an error of a kind.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }
}

/// Creates an error for an invalid value.
#[must_use]
pub fn invalid_argument(message: impl Into<Arc<str>>) -> Error {
    Error::new(ErrorKind::InvalidArgument, message)
}

/// Creates an error for bytes that cannot be decoded.
#[must_use]
pub fn malformed(message: impl Into<Arc<str>>) -> Error {
    Error::new(ErrorKind::Malformed, message)
}

/// Creates an error for a failed operating system call.
#[must_use]
pub fn io(message: impl Into<Arc<str>>) -> Error {
    Error::new(ErrorKind::Io, message)
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.kind)
    }
}

impl std::error::Error for Error {}
