//! Admission by a fixed connection limit, the baseline for tests and experiments.

use {
    super::{
        Admission, AdmissionRequest, ConnectOutcome, ConnectionGuard, Rejection, Result,
        slots::SlotAllocator,
    },
    cardamomloom_core::Time,
    std::rc::Rc,
};

/// Admits connections up to a fixed limit, whatever the backend server does.
#[derive(Debug)]
pub struct FixedLimit {
    slots: Rc<SlotAllocator>,
    limit: u32,
    accepting: bool,
}

impl FixedLimit {
    /// Creates an admission with a connection limit; it accepts new flows from the start.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            slots: Rc::default(),
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
    fn admit(&mut self, _now: Time, _request: AdmissionRequest) -> Result<ConnectionGuard> {
        if !self.accepting {
            return Err(Rejection::NotAccepting);
        }
        self.slots.acquire(1, self.limit).ok_or(Rejection::Full)
    }

    fn observe_connect(&mut self, _now: Time, _outcome: ConnectOutcome) {}

    fn set_accepting(&mut self, accepting: bool) {
        self.accepting = accepting;
    }

    fn open_connections(&self) -> u32 {
        self.slots.total()
    }
}
