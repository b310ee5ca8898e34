//! Order of classes under pressure, and the budget of retries.

use {
    super::ServerReport,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::object::ServiceClass,
};

/// Age at which a report of the backend server no longer counts.
const REPORT_LIFE: Span = Span::from_secs(3);

/// Reported load from which a backend server counts as under pressure.
const HIGH_LOAD_PPM: u32 = 900_000;

/// What the backend server last said about itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reported {
    last: Option<(Time, ServerReport)>,
}

impl Reported {
    /// Takes up a report.
    pub const fn set(&mut self, now: Time, report: ServerReport) {
        self.last = Some((now, report));
    }

    /// Tells whether the backend server asks for less load.
    pub fn asks_for_less(&self, now: Time) -> bool {
        self.last.is_some_and(|(time, report)| {
            now.since(time) < REPORT_LIFE && (report.shedding || report.load_ppm >= HIGH_LOAD_PPM)
        })
    }
}

/// Returns the part of a limit, in percent, that a class may fill under pressure.
pub const fn share_percent(class: ServiceClass) -> u32 {
    match class {
        ServiceClass::Bulk => 75,
        ServiceClass::Standard => 90,
        ServiceClass::Critical => 100,
    }
}

/// Retries of flows whose connect failed, so that a failing server does not multiply the load of
/// the others.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    class: ServiceClass,
    /// Retries left, in hundredths.
    left: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new(class: ServiceClass) -> Self {
        Self {
            class,
            left: most(class),
        }
    }

    /// Changes the class; the budget is cut to the new most.
    pub fn set_class(&mut self, class: ServiceClass) {
        self.class = class;
        self.left = self.left.min(most(class));
    }

    /// Earns a part of a retry for one admitted connection.
    pub fn earn(&mut self) {
        let earned = match self.class {
            ServiceClass::Bulk => 10,
            ServiceClass::Standard => 20,
            ServiceClass::Critical => 100,
        };
        self.left = (self.left + earned).min(most(self.class));
    }

    /// Spends one retry; false when none is left.
    pub const fn spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(100) else {
            return false;
        };
        self.left = left;
        true
    }
}

/// Returns the most retries of a class, in hundredths.
const fn most(class: ServiceClass) -> u32 {
    match class {
        ServiceClass::Bulk => 1_000,
        ServiceClass::Standard => 5_000,
        ServiceClass::Critical => 50_000,
    }
}
