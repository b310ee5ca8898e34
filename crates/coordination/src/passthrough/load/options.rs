//! Configuration of the load control of new flows.

use {
    cardamomloom_core::error::{Error, invalid_argument},
    std::{fmt, str::FromStr},
};

/// Result of parsing a policy.
pub type Result<T> = std::result::Result<T, Error>;

/// How a host is chosen for a new flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// By the hash of the flow alone.
    #[default]
    Rendezvous,
    /// By the expected time until the first response.
    ExpectedWait,
}

impl fmt::Display for PlacementPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rendezvous => "rendezvous",
            Self::ExpectedWait => "expected_wait",
        })
    }
}

impl FromStr for PlacementPolicy {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "rendezvous" => Ok(Self::Rendezvous),
            "expected_wait" => Ok(Self::ExpectedWait),
            _ => Err(invalid_argument(format!(
                "load: placement {text:?} is unknown: expected \"rendezvous\" or \"expected_wait\""
            ))),
        }
    }
}

/// Load control of new flows. By default all of it is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadControlOptions {
    /// How balancers choose a host for a new flow.
    pub placement: PlacementPolicy,
    /// Whether new flows stay in the failure domain of their balancer while a host there answers
    /// them in time. It has an effect only with [`PlacementPolicy::ExpectedWait`].
    pub prefers_own_domain: bool,
    /// Whether agents order new flows by the latency goals of their routes, and refuse those that no
    /// host of the service can answer within the timeout of the route.
    pub rejects_late_flows: bool,
}

impl LoadControlOptions {
    /// Returns whether any decision depends on the loads of hosts, so that agents estimate them and
    /// processes exchange them.
    #[must_use]
    pub const fn uses_loads(&self) -> bool {
        matches!(self.placement, PlacementPolicy::ExpectedWait) || self.rejects_late_flows
    }
}
