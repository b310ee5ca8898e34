//! Load of hosts, as agents tell it to balancers and balancers to agents.

use {
    super::{AgentHeartbeat, PeerMessage},
    cardamomloom_core::Span,
    serde::{Deserialize, Serialize},
    std::{fmt, net::Ipv4Addr, num::ParseIntError, str::FromStr},
};

/// Maximum number of hosts in [`PeerLoads`], so that the message fits a datagram.
pub const MAX_PEER_LOADS: usize = 64;

/// Load of one host, as its agent estimates it from the packets that it relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Expected time that the request of a new flow waits for a slot;
    /// [`HostLoad::TAKES_NO_FLOWS`] if the host takes no new flows.
    pub wait_ms: u16,
    /// Mean time that the host works on a request; 0 if it is unknown.
    pub work_ms: u16,
    /// Requests that the host processes concurrently.
    pub slots: u16,
}

impl HostLoad {
    /// Value of `wait_ms` of a host that takes no new flows.
    pub const TAKES_NO_FLOWS: u16 = u16::MAX;
}

/// Heartbeat of an agent with the load of its host, for balancers that accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHeartbeat {
    /// The heartbeat.
    pub heartbeat: AgentHeartbeat,
    /// Load of the agent's host.
    pub load: HostLoad,
    /// Time between a request of the agent for hosts and the answer of the receiving balancer; 0 if
    /// it is unknown.
    pub round_trip_us: u32,
}

/// Load of one host of a service, as a balancer tells it to the agents of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Address of the agent of the host.
    pub agent: Ipv4Addr,
    /// As in [`HostLoad::wait_ms`].
    pub wait_ms: u16,
    /// As in [`HostLoad::work_ms`].
    pub work_ms: u16,
    /// Whether the host is in the failure domain of the receiver.
    pub is_same_domain: bool,
}

/// Loads of at most [`MAX_PEER_LOADS`] hosts of the receiver's service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoads {
    /// The loads.
    pub loads: Vec<PeerLoad>,
}

impl From<PeerLoads> for PeerMessage {
    fn from(loads: PeerLoads) -> Self {
        Self::PeerLoads(loads)
    }
}

/// Least expected wait among the hosts of a service, in the six bits that a relay header has for it.
///
/// Code 0 is an unknown wait. Code 1 stands for 4 ms or less, and each further code for a wait that is
/// longer by the factor 2^(1/5), up to 21 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceWait(u8);

/// Wait of code 1.
const FIRST_WAIT_MS: f64 = 4.0;
/// Number of codes in which the wait doubles.
const CODES_PER_DOUBLING: f64 = 5.0;

impl ServiceWait {
    /// The unknown wait.
    pub const UNKNOWN: Self = Self(0);
    /// Largest code.
    pub const MAX_CODE: u8 = 63;

    /// Returns the least code whose wait is not shorter than `wait`, or the largest code.
    #[must_use]
    pub fn from_wait(wait: Span) -> Self {
        let wait_ms = wait.to_duration().as_secs_f64() * 1_000.0;
        let steps = (wait_ms / FIRST_WAIT_MS).max(1.0).log2() * CODES_PER_DOUBLING;
        let code = (1..Self::MAX_CODE).find(|code| f64::from(code - 1) >= steps - 1e-9);
        Self(code.unwrap_or(Self::MAX_CODE))
    }

    /// Returns the wait that a code stands for. Larger codes than the largest one are unknown waits.
    #[must_use]
    pub const fn from_code(code: u8) -> Self {
        Self(if code > Self::MAX_CODE { 0 } else { code })
    }

    /// Returns the code.
    #[must_use]
    pub const fn code(self) -> u8 {
        self.0
    }

    /// Returns the wait, or `None` if it is unknown.
    #[must_use]
    pub fn wait(self) -> Option<Span> {
        let steps = f64::from(self.0.checked_sub(1)?);
        let wait_ms = FIRST_WAIT_MS * (steps / CODES_PER_DOUBLING).exp2();
        // The largest wait is 21.6 s.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(Span::from_millis(wait_ms.round() as u64))
    }
}

impl fmt::Display for ServiceWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ServiceWait {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::from_code)
    }
}
