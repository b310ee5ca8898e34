//! Settings of the daemon: a JSON file with comments that is validated completely before the
//! process starts anything.

mod load_control;
mod pass_through;

pub use {
    load_control::LoadControlSettings,
    pass_through::{Delivery, PassThroughAgentSettings, PassThroughRole, PassThroughSettings},
};

use {
    cardamomloom_core::{
        DomainName, HostId, ServiceName, Weight,
        error::{Error, invalid_argument, io},
    },
    cardamomloom_protocol::forward::DatagramKey,
    jsonc_parser::{ParseOptions, parse_to_serde_value},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path, sync::Arc},
};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Settings of a process whose agents terminate the TCP connections of callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Failure domain of the process.
    pub domain: DomainName,
    /// Address of the packet socket. With port 0 the system chooses a port.
    pub data_address: SocketAddr,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Address of the operator endpoints.
    pub http_address: SocketAddr,
    /// Base URL of the platform's object API.
    pub store_url: Arc<str>,
    /// Control addresses of balancers, for a start while the store is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates the datagrams between processes: 32 hexadecimal digits.
    pub datagram_key: Arc<str>,
    /// Files for TLS between processes. Without them, connections are not encrypted.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Role of the process, with its settings.
    pub role: Role,
}

/// Paths of files in PEM format, which are read again every few seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificates of the authorities that peers are verified against.
    pub authorities: Arc<Path>,
    /// Certificate chain of the process.
    pub certificate: Arc<Path>,
    /// Private key of the process.
    pub key: Arc<Path>,
}

/// Role of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Role {
    /// Receives packets of callers from the fabric and forwards them to agents.
    Balancer(BalancerSettings),
    /// Runs beside a backend server and terminates the flows of callers.
    Agent(AgentSettings),
}

/// Settings of a balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Time for which a stopping balancer still forwards, so that the fabric can route packets to
    /// other balancers meanwhile.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
    /// URL of the load endpoint of the backend server, if it has one.
    #[serde(default)]
    pub load_url: Option<Arc<str>>,
    /// Address to which encapsulated packets for callers are sent.
    pub return_address: SocketAddr,
    /// Share in the placement of new flows, in parts per 1,000 of a standard host.
    #[serde(default = "default_weight")]
    pub weight: Weight,
    /// Host id. When absent, it is derived from the control address.
    #[serde(default)]
    pub host_id: Option<HostId>,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that require action by an operator.
    Error,
    /// Failures that the process handles itself.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Individual decisions and failures without consequence.
    Debug,
}

const DATAGRAM_KEY_DIGITS: usize = 32;
const MAX_LINGER_MS: u64 = 60_000;
const MAX_WEIGHT: u32 = 100_000;
const MAX_SEEDS: usize = 16;

const fn default_linger_ms() -> u64 {
    1_000
}

const fn default_weight() -> Weight {
    Weight::STANDARD
}

/// Settings of a process, by the way in which packets are delivered to backend servers.
#[derive(Clone, Debug)]
pub enum AnySettings {
    /// Agents terminate the TCP connections of callers.
    Termination(Settings),
    /// Packets reach backend servers unchanged, which terminate the TCP connections themselves.
    PassThrough(PassThroughSettings),
}

impl AnySettings {
    /// Returns the settings for pass-through delivery.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the settings are for termination.
    pub fn into_pass_through(self) -> Result<PassThroughSettings> {
        match self {
            Self::PassThrough(settings) => Ok(settings),
            Self::Termination(_) => Err(invalid_argument(
                "settings: field \"delivery\" is missing; allowed is \"pass_through\"",
            )),
        }
    }

    /// Returns the least severe level that is logged.
    #[must_use]
    pub const fn log_level(&self) -> LogLevel {
        match self {
            Self::Termination(settings) => settings.log_level,
            Self::PassThrough(settings) => settings.log_level,
        }
    }
}

/// Reads, parses and validates a settings file.
///
/// # Errors
///
/// Fails with kind `io` when the file cannot be read, and with `invalid_argument` when a field
/// is missing, unknown or out of range.
pub fn load(path: &Path) -> Result<AnySettings> {
    let text = fs::read_to_string(path)
        .map_err(|error| io(format!("settings: cannot read {}: {error}", path.display())))?;
    parse_any(&text)
}

/// Parses and validates settings of either kind. Settings with a field `delivery` are for
/// pass-through delivery.
///
/// # Errors
///
/// Fails with the same errors as [`parse`].
pub fn parse_any(text: &str) -> Result<AnySettings> {
    let value = parse_json(text)?;
    if value.get("delivery").is_none() {
        return from_value(value).and_then(|settings: Settings| {
            settings.validate()?;
            Ok(AnySettings::Termination(settings))
        });
    }
    let settings: PassThroughSettings = from_value(value)?;
    settings.validate()?;
    Ok(AnySettings::PassThrough(settings))
}

/// Parses and validates settings for termination.
///
/// # Errors
///
/// Fails with kind `invalid_argument`. The message names the field, its value and the allowed
/// range.
pub fn parse(text: &str) -> Result<Settings> {
    let settings: Settings = from_value(parse_json(text)?)?;
    settings.validate()?;
    Ok(settings)
}

fn parse_json(text: &str) -> Result<serde_json::Value> {
    parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| invalid_argument(format!("settings: {error}")))
}

fn from_value<T: for<'de> Deserialize<'de>>(value: serde_json::Value) -> Result<T> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        invalid_argument(format!(
            "settings: field \"{}\": {}",
            error.path(),
            error.inner()
        ))
    })
}

fn key_from_hex(digits: &str) -> Result<DatagramKey> {
    if digits.len() != DATAGRAM_KEY_DIGITS || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(invalid_argument(format!(
            "settings: field \"datagram_key\" has {} characters; allowed are {DATAGRAM_KEY_DIGITS} hexadecimal digits",
            digits.len()
        )));
    }
    let key = u128::from_str_radix(digits, 16).unwrap_or_default();
    Ok(DatagramKey(key.to_be_bytes()))
}

impl Settings {
    /// Returns the key of the datagrams between processes.
    #[must_use]
    pub fn datagram_key(&self) -> DatagramKey {
        key_from_hex(&self.datagram_key).unwrap_or(DatagramKey([0; 16]))
    }

    fn validate(&self) -> Result<()> {
        key_from_hex(&self.datagram_key)?;
        if !self.store_url.starts_with("http://") {
            return Err(invalid_argument(format!(
                "settings: field \"store_url\" is {:?}; allowed is a URL that starts with http://",
                self.store_url
            )));
        }
        if self.seeds.len() > MAX_SEEDS {
            return Err(invalid_argument(format!(
                "settings: field \"seeds\" has {} entries; allowed are 0 to {MAX_SEEDS}",
                self.seeds.len()
            )));
        }
        match &self.role {
            Role::Balancer(balancer) if balancer.linger_ms > MAX_LINGER_MS => {
                Err(invalid_argument(format!(
                    "settings: field \"role.balancer.linger_ms\" is {}; allowed is 0 to {MAX_LINGER_MS}",
                    balancer.linger_ms
                )))
            }
            Role::Agent(agent) if !(1..=MAX_WEIGHT).contains(&agent.weight.0) => {
                Err(invalid_argument(format!(
                    "settings: field \"role.agent.weight\" is {}; allowed is 1 to {MAX_WEIGHT}",
                    agent.weight
                )))
            }
            _ => Ok(()),
        }
    }
}
