//! Admission by a fixed connection limit, the baseline of proofs and experiments.

use {
    super::{
        Admission, Attempt, ConnectOutcome, ConnectionGuard, Rejection, Result, ledger::Ledger,
    },
    cardamomloom_core::Time,
    std::rc::Rc,
};

/// Admission by a fixed connection limit.
#[derive(Debug)]
pub struct FixedLimit {
    ledger: Rc<Ledger>,
    limit: u32,
    accepting: bool,
}

impl FixedLimit {
    /// Creates an admission with a limit; it accepts until told otherwise.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            ledger: Rc::default(),
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
    fn admit(&mut self, _now: Time, _attempt: Attempt) -> Result<ConnectionGuard> {
        if !self.accepting {
            return Err(Rejection::NotAccepting);
        }
        self.ledger.acquire(1, self.limit).ok_or(Rejection::Full)
    }

    fn observe_connect(&mut self, _now: Time, _outcome: ConnectOutcome) {}

    fn set_accepting(&mut self, accepting: bool) {
        self.accepting = accepting;
    }

    fn open_connections(&self) -> u32 {
        self.ledger.total()
    }
}
