//! What every command works with.

use {
    crate::arguments::Arguments,
    cardamomloom_core::{
        OperationId, Span,
        error::{Result, invalid_argument},
    },
    cardamomloom_transport::{
        http::InspectClient,
        store::{StoreClient, StoreOptions},
    },
    std::{
        env,
        hash::{BuildHasher, RandomState},
        net::SocketAddr,
        time::{Duration, SystemTime},
    },
};

/// Time for one call to an endpoint of a process.
const INSPECT_TIMEOUT_MS: u64 = 1_500;

/// Operation ids stay below 2^53, so that every JSON reader keeps them exactly.
const OPERATION_BITS: u32 = 53;

/// Clients and options of a command.
pub struct Context {
    /// Client of the store.
    pub store: StoreClient,
    /// Base URL of the store, for commands that a message names.
    pub store_url: String,
    /// Client of the endpoints of processes.
    pub inspect: InspectClient,
    /// Endpoints of balancers instead of the registered ones.
    pub nodes: Option<Vec<SocketAddr>>,
    /// Endpoints of agents.
    pub agents: Vec<SocketAddr>,
    /// Limit of the wait for a change to be in force, or `None` without a wait.
    pub wait: Option<Duration>,
    /// Time for which a lost answer is settled.
    pub settle: Span,
    /// Whether a dangerous change is confirmed.
    pub force: bool,
}

impl Context {
    /// Creates the context of a command.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the store is not named or an address is malformed.
    pub fn new(arguments: &Arguments) -> Result<Self> {
        let store_url = arguments
            .store
            .clone()
            .or_else(|| env::var("CARDAMOMLOOM_STORE").ok())
            .ok_or_else(|| {
                invalid_argument(
                    "arguments: field \"--store\" is not set; allowed is a URL that starts with http://, here or in CARDAMOMLOOM_STORE",
                )
            })?;
        if !store_url.starts_with("http://") {
            return Err(invalid_argument(format!(
                "arguments: field \"--store\" is {store_url:?}; allowed is a URL that starts with http://"
            )));
        }
        let addresses = |field, list: &Option<String>| {
            list.as_deref()
                .map(|list| parse_addresses(field, list))
                .transpose()
        };
        Ok(Self {
            store: StoreClient::new(&store_url, StoreOptions::default())?,
            store_url,
            inspect: InspectClient::new(INSPECT_TIMEOUT_MS)?,
            nodes: addresses("--nodes", &arguments.nodes)?,
            agents: addresses("--agents", &arguments.agents)?.unwrap_or_default(),
            wait: arguments
                .wait
                .then(|| Duration::from_millis(arguments.wait_timeout_ms)),
            settle: Span::from_millis(arguments.settle_timeout_ms),
            force: arguments.force,
        })
    }
}

/// Parses an address with port.
///
/// # Errors
///
/// Fails with kind `invalid_argument`; the message names the field and the value.
pub fn parse_address(field: &str, text: &str) -> Result<SocketAddr> {
    text.trim().parse().map_err(|_| {
        invalid_argument(format!(
            "arguments: field {field:?} is {text:?}; allowed is an address with port such as 203.0.113.1:80"
        ))
    })
}

fn parse_addresses(field: &str, list: &str) -> Result<Vec<SocketAddr>> {
    list.split(',')
        .map(|text| parse_address(field, text))
        .collect()
}

/// Returns an operation id that no other command uses.
pub fn new_operation() -> OperationId {
    // The hasher is seeded by the operating system for each process.
    let hash = RandomState::new().hash_one((SystemTime::now(), std::process::id()));
    OperationId((hash >> (u64::BITS - OPERATION_BITS)).max(1))
}
