//! Load shedding by service class during overload, and the retry budget.

use {
    super::ServerReport,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::object::ServiceClass,
};

/// Age from which a report of the backend server is ignored.
const REPORT_MAX_AGE: Span = Span::from_secs(3);

/// Reported load from which a backend server counts as overloaded.
const HIGH_LOAD_PPM: u32 = 900_000;

/// Latest report of the backend server about its own load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatestReport {
    report: Option<(Time, ServerReport)>,
}

impl LatestReport {
    /// Stores a report in place of the previous one.
    pub const fn set(&mut self, now: Time, report: ServerReport) {
        self.report = Some((now, report));
    }

    /// Returns whether the backend server reports overload: it sheds load, or its load is at least
    /// [`HIGH_LOAD_PPM`].
    pub fn is_overloaded(&self, now: Time) -> bool {
        self.report.is_some_and(|(time, report)| {
            now.since(time) < REPORT_MAX_AGE
                && (report.shedding || report.load_ppm >= HIGH_LOAD_PPM)
        })
    }
}

/// Returns the part of a limit, in percent, that a class may fill during overload. The rest is
/// reserved for higher classes.
pub const fn overload_share_percent(class: ServiceClass) -> u32 {
    match class {
        ServiceClass::Bulk => 75,
        ServiceClass::Standard => 90,
        ServiceClass::Critical => 100,
    }
}

/// Budget for retrying flows whose connect failed.
///
/// The budget keeps a failing backend server from multiplying the load of the others. Every
/// admitted connection deposits a part of a retry, and every retry withdraws a whole one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    class: ServiceClass,
    /// Remaining retries, in hundredths.
    remaining_hundredths: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new(class: ServiceClass) -> Self {
        Self {
            class,
            remaining_hundredths: max_hundredths(class),
        }
    }

    /// Changes the class; a budget above the maximum of the new class is cut to it.
    pub fn set_class(&mut self, class: ServiceClass) {
        self.class = class;
        self.remaining_hundredths = self.remaining_hundredths.min(max_hundredths(class));
    }

    /// Deposits the part of a retry that one admitted connection adds.
    pub fn deposit(&mut self) {
        let deposit_hundredths = match self.class {
            ServiceClass::Bulk => 10,
            ServiceClass::Standard => 20,
            ServiceClass::Critical => 100,
        };
        self.remaining_hundredths =
            (self.remaining_hundredths + deposit_hundredths).min(max_hundredths(self.class));
    }

    /// Withdraws one retry; returns `false` when none remains.
    pub const fn withdraw(&mut self) -> bool {
        let Some(remaining) = self.remaining_hundredths.checked_sub(100) else {
            return false;
        };
        self.remaining_hundredths = remaining;
        true
    }
}

/// Returns the largest budget of a class, in hundredths of a retry.
const fn max_hundredths(class: ServiceClass) -> u32 {
    match class {
        ServiceClass::Bulk => 1_000,
        ServiceClass::Standard => 5_000,
        ServiceClass::Critical => 50_000,
    }
}
