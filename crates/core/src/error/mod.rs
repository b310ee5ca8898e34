//! The closed list of error kinds and the answer that belongs to each.

use std::{fmt, sync::Arc};

/// Result with the shared error type.
pub type Result<T> = std::result::Result<T, Error>;

/// Every kind of error that a cardamomloom process reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// A setting, flag or object field has a value that is not allowed.
    InvalidArgument,
    /// The named object does not exist.
    NotFound,
    /// Another writer changed the object first.
    Conflict,
    /// The change is dangerous and was not confirmed.
    ForceRequired,
    /// The platform's store did not answer or answered with a server error.
    StoreUnavailable,
    /// The store did not say whether a write took effect.
    OutcomeUnknown,
    /// The change is accepted but not yet in force everywhere.
    NotYetInForce,
    /// A peer's identity, role or authentication tag is wrong.
    Unauthorized,
    /// A message or packet could not be decoded.
    Malformed,
    /// A queue, message size or connection limit is reached.
    LimitExceeded,
    /// No candidate accepted the flow; nothing was run.
    NotRun,
    /// A socket or operating system call failed.
    Io,
    /// A deadline passed.
    Timeout,
    /// The process is stopping.
    ShuttingDown,
}

/// What a process answers for an error kind, and what an operator does about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorEntry {
    /// Stable name in logs and JSON output.
    pub name: &'static str,
    /// Exit code of the command line and of a daemon that cannot start.
    pub exit_code: u8,
    /// HTTP status code of the operator endpoints.
    pub http_status: u16,
    /// gRPC status code between processes.
    pub grpc_code: u8,
    /// Whether the same call can succeed later without a change.
    pub is_retryable: bool,
    /// What the operator does.
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

    /// Returns the answer for this kind.
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

/// An error with its kind and a message that starts with the component.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Which entry of the closed list this is.
    pub kind: ErrorKind,
    /// Message for people, `component: what happened`.
    pub message: Arc<str>,
}

impl Error {
    /// Creates an error.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }
}

/// Creates an error for a value that is not allowed.
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
