//! Clients and options that all commands share.

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

/// Timeout of one call to an HTTP endpoint of a balancer or an agent, in milliseconds.
const INSPECT_TIMEOUT_MS: u64 = 1_500;

/// Number of bits of an operation id. JSON readers that parse numbers as 64-bit floats represent
/// integers exactly only up to 2^53.
const OPERATION_ID_BITS: u32 = 53;

/// Clients of the store and of the endpoints, and the options that apply to every command.
pub struct Context {
    /// Client of the store.
    pub store: StoreClient,
    /// Base URL of the store, for the commands that an error message suggests.
    pub store_url: String,
    /// Client of the HTTP endpoints of balancers and agents.
    pub inspect: InspectClient,
    /// Endpoints of balancers that replace the registered ones, if given.
    pub nodes: Option<Vec<SocketAddr>>,
    /// Endpoints of agents that are queried for open flows and burn.
    pub agents: Vec<SocketAddr>,
    /// Longest time to wait until a change is in force at every balancer, or `None` if the command
    /// does not wait.
    pub wait_timeout: Option<Duration>,
    /// Longest time that is spent on resolving the outcome of a write whose answer was lost.
    pub resolve_timeout: Span,
    /// Whether the operator confirms a change that is refused without `--force`.
    pub force: bool,
}

impl Context {
    /// Creates the clients and checks the options.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the URL of the store is missing or does not start
    /// with `http://`, or when an address in `--nodes` or `--agents` is malformed.
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
        let parse_list = |field, list: &Option<String>| {
            list.as_deref()
                .map(|list| parse_addresses(field, list))
                .transpose()
        };
        Ok(Self {
            store: StoreClient::new(&store_url, StoreOptions::default())?,
            store_url,
            inspect: InspectClient::new(INSPECT_TIMEOUT_MS)?,
            nodes: parse_list("--nodes", &arguments.nodes)?,
            agents: parse_list("--agents", &arguments.agents)?.unwrap_or_default(),
            wait_timeout: arguments
                .wait
                .then(|| Duration::from_millis(arguments.wait_timeout_ms)),
            resolve_timeout: Span::from_millis(arguments.settle_timeout_ms),
            force: arguments.force,
        })
    }
}

/// Parses an IP address with a port. `field` is the argument or option that the text comes from.
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

/// Returns a random operation id other than 0, which stands for no operation. The id identifies the
/// write of one change, so no two commands may use the same one.
pub fn new_operation_id() -> OperationId {
    // `RandomState` is seeded by the operating system in each process, so the id differs even when
    // the time and the process id are the same on two machines.
    let hash = RandomState::new().hash_one((SystemTime::now(), std::process::id()));
    OperationId((hash >> (u64::BITS - OPERATION_ID_BITS)).max(1))
}
