//! Admission of new flows at the agent, the only place where limits are enforced.

use {
    cardamomloom_core::Time,
    std::{cell::Cell, fmt, rc::Rc},
};

/// Why a new flow was not admitted here; another candidate may admit it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The connection limit is reached.
    Full,
    /// The host is draining or not ready.
    NotAccepting,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full => "full",
            Self::NotAccepting => "not_accepting",
        })
    }
}

/// Result of an admission request.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Decides which new flows the local backend server takes.
pub trait Admission {
    /// Admits one connection, or names the reason against it.
    ///
    /// # Errors
    ///
    /// Returns the reason when the connection is not admitted.
    fn admit(&mut self, now: Time) -> Result<ConnectionGuard>;

    /// Learns how an attempt to connect to the backend server ended.
    fn observe_connect(&mut self, now: Time, outcome: ConnectOutcome);

    /// Sets whether new flows are accepted; a draining host accepts none.
    fn set_accepting(&mut self, accepting: bool);

    /// Returns the connections that hold a guard.
    fn open_connections(&self) -> u32;
}

/// How an attempt to connect to the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The backend server accepted.
    Accepted,
    /// The backend server refused or the attempt failed.
    Refused,
}

/// Holds one admitted connection and releases it when dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    open: Rc<Cell<u32>>,
}

impl ConnectionGuard {
    /// Counts one more connection in `open`.
    #[must_use]
    pub fn acquire(open: &Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Self { open: open.clone() }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

/// Admission by a fixed connection limit.
#[derive(Debug)]
pub struct FixedLimit {
    open: Rc<Cell<u32>>,
    limit: u32,
    accepting: bool,
}

impl FixedLimit {
    /// Creates an admission with a limit; it accepts until told otherwise.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            open: Rc::default(),
            limit,
            accepting: true,
        }
    }

    /// Sets the connection limit; open connections above it are kept.
    pub const fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }
}

impl Admission for FixedLimit {
    fn admit(&mut self, _now: Time) -> Result<ConnectionGuard> {
        if !self.accepting {
            return Err(Rejection::NotAccepting);
        }
        if self.open.get() >= self.limit {
            return Err(Rejection::Full);
        }
        Ok(ConnectionGuard::acquire(&self.open))
    }

    fn observe_connect(&mut self, _now: Time, _outcome: ConnectOutcome) {}

    fn set_accepting(&mut self, accepting: bool) {
        self.accepting = accepting;
    }

    fn open_connections(&self) -> u32 {
        self.open.get()
    }
}
