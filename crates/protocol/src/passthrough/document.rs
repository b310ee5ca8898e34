//! Catalogue, failure domains and reports of backend servers as the decisions need them.

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
    /// Version that the operator gives to a catalogue; later ones are higher.
    CatalogueVersion
);
decimal_version!(
    /// Revision counter of the store; later states have higher ones.
    StoreRevision
);

/// The whole catalogue of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueDocument {
    /// Version of the catalogue.
    pub version: CatalogueVersion,
    /// Addresses that callers open flows to.
    pub routes: Vec<RouteEntry>,
    /// Services that backend servers belong to.
    pub services: Vec<ServiceEntry>,
    /// Time after which an idle flow may be forgotten.
    pub idle_timeout_ms: u64,
}

/// One address of the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Arc<str>,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Services that take new flows.
    pub targets: Vec<RouteTarget>,
    /// Whether a request of this route may run more than once.
    pub is_idempotent: bool,
    /// Order under pressure; 0 goes first.
    pub priority: u8,
}

/// Share of a service in the new flows of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Relative share.
    pub weight: u32,
}

/// Limits of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Flows that one backend server holds.
    pub max_connections: u32,
    /// New flows a second that a cold backend server bears; 0 when no limit is stated.
    pub cold_flows_per_s: f64,
    /// Time for which a backend server is cold after its start.
    pub cold_for_ms: u64,
}

/// Failure domains that are out of service at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Revision of the store that this was read at.
    pub revision: StoreRevision,
    /// Failure domains that are out.
    pub domains_out: BTreeSet<DomainName>,
}

/// Entry of a balancer in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Address of the balancer.
    pub address: Ipv4Addr,
    /// Revision of the entry.
    pub revision: StoreRevision,
}

/// What a backend server says of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostReportState {
    /// Takes new flows.
    Ready,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// Ends now.
    Gone,
}

/// A sign of life of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// Name that the backend server gives itself.
    pub instance: Arc<str>,
    /// Start of the backend server, in Unix milliseconds by its own clock. `None` when it does not
    /// say.
    pub started_unix_ms: Option<u64>,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address at which it takes packets.
    pub address: SocketAddrV4,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Its state.
    pub state: HostReportState,
    /// Remaining time for which it is cold.
    pub cold_left_ms: u64,
    /// Number of the report within this life.
    pub sequence: u64,
}
