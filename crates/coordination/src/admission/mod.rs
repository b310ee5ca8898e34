//! Admission of new flows at the agent, the only place where limits are enforced.

mod fixed;
mod ledger;
mod load;
mod policy;
mod pressure;
mod trust;

pub use {
    fixed::FixedLimit,
    ledger::ConnectionGuard,
    load::{LoadExchange, LoadExchangeOptions, MeanLoad},
    policy::AdmissionPolicy,
    trust::AdaptiveLimitOptions,
};

use {
    cardamomloom_core::{Span, Time, Weight},
    cardamomloom_protocol::object::{ServiceClass, ServiceSpec},
    serde::Serialize,
    std::fmt,
};

/// Why a new flow was not admitted here; another candidate may admit it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The connection limit is reached.
    Full,
    /// The host is draining or not ready.
    NotAccepting,
    /// The backend server has not earned more connections yet, or is recovering from a failure.
    Cold,
    /// Too many connects to the backend server are under way.
    Connecting,
    /// The host carries more than its share of the service's load.
    AboveMean,
    /// The backend server is under pressure and the service's class gives way.
    Pressure,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full => "full",
            Self::NotAccepting => "not_accepting",
            Self::Cold => "cold",
            Self::Connecting => "connecting",
            Self::AboveMean => "above_mean",
            Self::Pressure => "pressure",
        })
    }
}

/// Result of an admission request.
pub type Result<T> = std::result::Result<T, Rejection>;

/// One request for admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempt {
    /// Whether another candidate, which has not refused the flow, can still be asked.
    pub has_other: bool,
}

/// Limits of one host, from the catalogue entry of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Slots of the backend server.
    pub slots: u32,
    /// Connections that one slot can hold.
    pub connections_per_slot: u32,
    /// Connections that a cold backend server takes.
    pub slow_start_connections: u32,
    /// Shortest time from cold to the full limit.
    pub slow_start_span: Span,
    /// Order under pressure.
    pub class: ServiceClass,
    /// Share of the host in placement.
    pub weight: Weight,
}

impl Limits {
    /// Returns the limits of a host with a weight.
    #[must_use]
    pub const fn of(spec: &ServiceSpec, weight: Weight) -> Self {
        Self {
            slots: spec.slots_per_host,
            connections_per_slot: spec.connections_per_slot,
            slow_start_connections: spec.slow_start_connections,
            slow_start_span: Span::from_millis(spec.slow_start_ms),
            class: spec.class,
            weight,
        }
    }

    /// Returns the connections that a warm backend server can hold.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.slots.saturating_mul(self.connections_per_slot)
    }
}

/// How an attempt to connect to the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The backend server accepted.
    Accepted {
        /// Time from the attempt to the acceptance.
        latency: Span,
    },
    /// The backend server refused, or the attempt failed or took too long.
    Refused,
}

/// What the backend server says about itself. It may be late or false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Share of its capacity in use, in parts per million.
    pub load_ppm: u32,
    /// Whether it asks for less load.
    pub shedding: bool,
}

/// State of an admission for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AdmissionStatus {
    /// Connections that hold a guard.
    pub open_connections: u32,
    /// Connections that the backend server is trusted with at present.
    #[serde(rename = "trusted_connections")]
    pub adaptive_limit: u32,
    /// Times that trust fell to cold since the start.
    #[serde(rename = "collapses")]
    pub limit_resets: u64,
}

/// Decides which new flows the local backend server takes.
pub trait Admission {
    /// Admits one connection, or names the reason against it.
    ///
    /// # Errors
    ///
    /// Returns the reason when the connection is not admitted.
    fn admit(&mut self, now: Time, attempt: Attempt) -> Result<ConnectionGuard>;

    /// Learns how an attempt to connect to the backend server ended.
    fn observe_connect(&mut self, now: Time, outcome: ConnectOutcome);

    /// Learns that the backend server reset an established connection.
    fn observe_reset(&mut self, _now: Time) {}

    /// Learns what the backend server says about itself.
    fn observe_report(&mut self, _now: Time, _report: ServerReport) {}

    /// Learns the mean load of the service.
    fn observe_mean(&mut self, _now: Time, _mean: MeanLoad) {}

    /// Treats the backend server as cold, used when its failure domain returns.
    fn restart_slow_start(&mut self, _now: Time) {}

    /// Spends one retry of a flow whose connect failed; false when the class has none left.
    fn withdraw_retry(&mut self, _now: Time) -> bool {
        true
    }

    /// Takes up limits from the catalogue; open connections above them are kept.
    fn set_limits(&mut self, _limits: Limits) {}

    /// Sets whether new flows are accepted; a draining host accepts none.
    fn set_accepting(&mut self, accepting: bool);

    /// Returns the connections that hold a guard.
    fn open_connections(&self) -> u32;

    /// Returns the state for operators.
    fn status(&self) -> AdmissionStatus {
        AdmissionStatus {
            open_connections: self.open_connections(),
            ..AdmissionStatus::default()
        }
    }
}
