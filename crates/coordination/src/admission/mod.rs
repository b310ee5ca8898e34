//! Admission of new flows at the agent, the only place where connection limits are enforced.

mod adaptive_limit;
mod fixed;
mod load;
mod overload;
mod policy;
mod slots;

pub use {
    adaptive_limit::AdaptiveLimitOptions,
    fixed::FixedLimit,
    load::{LoadExchange, LoadExchangeOptions, MeanLoad},
    policy::AdmissionPolicy,
    slots::ConnectionGuard,
};

use {
    cardamomloom_core::{Span, Time, Weight},
    cardamomloom_protocol::object::{ServiceClass, ServiceSpec},
    serde::Serialize,
    std::fmt,
};

/// Reason for which this host did not admit a new flow; another candidate may admit it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The connection limit of the catalogue is reached.
    Full,
    /// The host is draining or not ready.
    NotAccepting,
    /// The adaptive limit is reached during slow start, or admission is paused after a failure of
    /// the backend server.
    Cold,
    /// Too many connects to the backend server are pending.
    Connecting,
    /// The host is above the mean load of the service.
    AboveMean,
    /// The backend server is overloaded and the share of the service's class is used up.
    Overloaded,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full => "full",
            Self::NotAccepting => "not_accepting",
            Self::Cold => "cold",
            Self::Connecting => "connecting",
            Self::AboveMean => "above_mean",
            Self::Overloaded => "pressure",
        })
    }
}

/// Result of an admission request.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Request to admit one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Whether the flow can still be forwarded to a candidate that it has not visited.
    pub has_alternative: bool,
}

/// Limits of one host, from the catalogue entry of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of slots of the backend server.
    pub slots: u32,
    /// Connections that one slot can hold.
    pub connections_per_slot: u32,
    /// Adaptive limit of a cold backend server, at which slow start begins.
    pub slow_start_connections: u32,
    /// Shortest time in which slow start reaches the full limit.
    pub slow_start_span: Span,
    /// Class of the service; it decides how early new flows are rejected during overload.
    pub class: ServiceClass,
    /// Weight of the host in placement, relative to the other hosts of the service.
    pub weight: Weight,
}

impl Limits {
    /// Returns the limits of a host of the service with this weight.
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

    /// Returns the full limit: the connections that a warm backend server can hold.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.slots.saturating_mul(self.connections_per_slot)
    }
}

/// Outcome of an attempt to connect to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The backend server accepted the connection.
    Accepted {
        /// Time from the SYN of the flow to the acceptance.
        latency: Span,
    },
    /// The backend server refused the connection, or the attempt failed or timed out.
    Failed,
}

/// Report of the backend server about its own load. It may be late or false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Share of its capacity in use, in parts per million.
    pub load_ppm: u32,
    /// Whether the backend server sheds load and asks for less.
    pub shedding: bool,
}

/// State of an admission, shown to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AdmissionStatus {
    /// Number of connections that hold a guard.
    pub open_connections: u32,
    /// Current adaptive limit, in connections.
    #[serde(rename = "trusted_connections")]
    pub adaptive_limit: u32,
    /// Number of times that a failure reset the adaptive limit to slow start, since the agent
    /// started.
    #[serde(rename = "collapses")]
    pub limit_resets: u64,
}

/// Admission control for the backend server of an agent.
pub trait Admission {
    /// Admits one connection. It counts as open until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the reason when the connection is not admitted.
    fn admit(&mut self, now: Time, request: AdmissionRequest) -> Result<ConnectionGuard>;

    /// Records the outcome of an attempt to connect to the backend server.
    fn observe_connect(&mut self, now: Time, outcome: ConnectOutcome);

    /// Records that the backend server reset an established connection.
    fn observe_reset(&mut self, _now: Time) {}

    /// Records a load report of the backend server.
    fn observe_report(&mut self, _now: Time, _report: ServerReport) {}

    /// Records the mean load of the service.
    fn observe_mean(&mut self, _now: Time, _mean: MeanLoad) {}

    /// Restarts the slow start although no failure was observed. Used when the failure domain of
    /// the backend server returns.
    fn restart_slow_start(&mut self, _now: Time) {}

    /// Withdraws one retry for a flow whose connect failed; returns `false` when the retry budget
    /// of the class is empty.
    fn withdraw_retry(&mut self, _now: Time) -> bool {
        true
    }

    /// Applies the limits of the catalogue; open connections above them are kept.
    fn set_limits(&mut self, _limits: Limits) {}

    /// Sets whether new flows are accepted; a draining host accepts none.
    fn set_accepting(&mut self, accepting: bool);

    /// Returns the number of connections that hold a guard.
    fn open_connections(&self) -> u32;

    /// Returns the state that is shown to operators.
    fn status(&self) -> AdmissionStatus {
        AdmissionStatus {
            open_connections: self.open_connections(),
            ..AdmissionStatus::default()
        }
    }
}
