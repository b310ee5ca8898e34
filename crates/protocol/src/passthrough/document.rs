//! Catalogue, failure domains, balancer registrations and reports of backend servers, independent
//! of their formats in the store and on the wire.

use {
    cardamomloom_core::{
        DomainName, ServiceName,
        error::{Error, invalid_argument},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt,
        net::{Ipv4Addr, SocketAddrV4},
        str::FromStr,
        sync::Arc,
    },
};

/// Result of parsing a version.
pub type Result<T> = std::result::Result<T, Error>;

macro_rules! decimal_version {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).map_err(|_| {
                    invalid_argument(format!(
                        concat!("passthrough: {:?} is not a ", stringify!($name), ": expected a decimal number"),
                        text
                    ))
                })
            }
        }
    };
}

decimal_version!(
    /// Version that operators give to a catalogue; a newer catalogue has a higher one.
    CatalogueVersion
);
decimal_version!(
    /// Revision counter of the store; within an era, a later state has a higher revision.
    StoreRevision
);
decimal_version!(
    /// Number of a history of the store. It rises each time the store is restored from a copy, which
    /// may give out revisions of the previous era again.
    StoreEra
);

/// Point in the history of the store. A position of a later era is later, whatever its revision, and
/// one of an unknown era is earlier than all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Era, or `None` if the store has not told it or the answer may be from an earlier one.
    pub era: Option<StoreEra>,
    /// Revision within the era.
    pub revision: StoreRevision,
}

/// One version of the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueDocument {
    /// Version of the catalogue.
    pub version: CatalogueVersion,
    /// Routes: addresses that callers open flows to.
    pub routes: Vec<RouteEntry>,
    /// Limits of the services that backend servers belong to.
    pub services: Vec<ServiceEntry>,
    /// Time after which the state of an idle flow may be discarded; 0 if no time is configured.
    pub idle_timeout_ms: u64,
}

/// A route of the catalogue: an address and the services that receive its new flows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Arc<str>,
    /// Address and port that callers connect to.
    pub address: SocketAddrV4,
    /// Services that receive new flows of the route.
    pub targets: Vec<RouteTarget>,
    /// Whether a request of this route may be executed more than once.
    pub is_idempotent: bool,
    /// Order in which routes are served under overload; 0 is served first.
    pub priority: u8,
    /// Time from the first SYN, or from a request on an open flow, in which a response has its full
    /// value to the caller; 0 if it is not configured.
    #[serde(default)]
    pub response_goal_ms: u64,
    /// Time, counted in the same way, after which the caller has given up; 0 if it is not configured.
    #[serde(default)]
    pub timeout_ms: u64,
}

/// A service with its share of the new flows of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Share, relative to the weights of the other targets.
    pub weight: u32,
}

/// Limits of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of flows per backend server.
    pub max_connections: u32,
    /// New flows per second that a cold backend server can serve; 0 if no limit is configured.
    pub cold_flows_per_s: f64,
    /// Time after its start for which a backend server is cold.
    pub cold_for_ms: u64,
}

/// Failure domains that are out of service as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Era of the store that was read, or `None` if it is unknown.
    pub era: Option<StoreEra>,
    /// Revision of the store that was read.
    pub revision: StoreRevision,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainName>,
}

impl DomainStatus {
    /// Returns the position in the history of the store that was read.
    #[must_use]
    pub const fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// Registration of a balancer in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Address of the balancer.
    pub address: Ipv4Addr,
    /// Revision of the registration's entry in the store.
    pub revision: StoreRevision,
}

/// State that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostReportState {
    /// The backend server accepts new flows.
    Ready,
    /// The backend server keeps its flows and accepts no new ones.
    Draining,
    /// The backend server is shutting down now.
    Gone,
}

/// Periodic report of a backend server to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// Name that the backend server chose for itself.
    pub instance: Arc<str>,
    /// Start time of the backend server by its own clock, in milliseconds since the Unix epoch.
    /// `None` if it does not report one.
    pub started_unix_ms: Option<u64>,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address that receives packets for the backend server.
    pub address: SocketAddrV4,
    /// Requests that the backend server processes concurrently.
    pub slots: u32,
    /// State of the backend server.
    pub state: HostReportState,
    /// Remaining time for which the backend server is cold.
    pub cold_left_ms: u64,
    /// Sequence number of the report within this run.
    pub sequence: u64,
}
