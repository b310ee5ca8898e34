//! Settings of a process with pass-through delivery.

use {
    super::{LoadControlSettings, LogLevel, Result, key_from_hex},
    cardamomloom_core::{DomainName, ServiceName, error::invalid_argument},
    cardamomloom_protocol::forward::DatagramKey,
    serde::Deserialize,
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        sync::Arc,
    },
};

/// Settings of a process that delivers packets to backend servers unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassThroughSettings {
    /// Always `pass_through`. Settings for termination have no such field.
    pub delivery: Delivery,
    /// Name of the process in log lines.
    pub node: Arc<str>,
    /// Failure domain of the process.
    pub domain: DomainName,
    /// Address of the packet socket. All processes and all callers use its port number.
    pub data_address: SocketAddrV4,
    /// Address of the endpoint for the readiness probe.
    pub readiness_address: SocketAddr,
    /// Port of the control socket, the same on all processes.
    pub control_port: u16,
    /// Port of the endpoints for snapshots, status and metrics, the same on all processes.
    pub http_port: u16,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of processes that may be balancers.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Key that authenticates the datagrams between processes: 32 hexadecimal digits.
    pub datagram_key: Arc<str>,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Load control of new flows.
    #[serde(default)]
    pub load_control: LoadControlSettings,
    /// Role of the process, with its settings.
    pub role: PassThroughRole,
}

/// Way in which packets are delivered to backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Packets reach the backend server unchanged, and the agent terminates no connections.
    PassThrough,
}

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PassThroughRole {
    /// Receives packets of callers from the routers and forwards them to agents.
    Balancer {
        /// Time for which a stopping balancer still forwards, so that the routers can send packets
        /// to other balancers meanwhile.
        linger_ms: u64,
    },
    /// Runs beside a backend server and delivers packets to it.
    Agent(PassThroughAgentSettings),
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassThroughAgentSettings {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address at which the backend server receives packets.
    pub server_address: SocketAddrV4,
    /// Address at which the agent receives the packets that the backend server sends.
    pub from_server_address: SocketAddrV4,
    /// Address of the endpoint to which the backend server sends its reports.
    pub report_address: SocketAddr,
}

const MAX_LINGER_MS: u64 = 60_000;
const MAX_SEEDS: usize = 64;

impl PassThroughSettings {
    /// Returns the IP address of the process, by which other processes identify it.
    #[must_use]
    pub const fn address(&self) -> Ipv4Addr {
        *self.data_address.ip()
    }

    /// Returns the addresses of processes that may be balancers.
    #[must_use]
    pub fn seed_addresses(&self) -> Vec<Ipv4Addr> {
        self.seeds.iter().map(|seed| *seed.ip()).collect()
    }

    /// Returns the key of the datagrams between processes.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the field does not have 32 hexadecimal digits.
    pub fn key(&self) -> Result<DatagramKey> {
        key_from_hex(&self.datagram_key)
    }

    /// Validates the constraints that the field types do not express.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument`. The message names the field, its value and the allowed
    /// range.
    pub fn validate(&self) -> Result<()> {
        self.key()?;
        if self.control_port == self.http_port || self.control_port == 0 || self.http_port == 0 {
            return Err(invalid_argument(format!(
                "settings: field \"http_port\" is {} and \"control_port\" is {}; allowed are two different ports from 1 to 65535",
                self.http_port, self.control_port
            )));
        }
        if self.seeds.len() > MAX_SEEDS {
            return Err(invalid_argument(format!(
                "settings: field \"seeds\" has {} entries; allowed are 0 to {MAX_SEEDS}",
                self.seeds.len()
            )));
        }
        self.load_control.validate()?;
        match &self.role {
            PassThroughRole::Balancer { linger_ms } if *linger_ms > MAX_LINGER_MS => {
                Err(invalid_argument(format!(
                    "settings: field \"role.balancer.linger_ms\" is {linger_ms}; allowed is 0 to {MAX_LINGER_MS}"
                )))
            }
            _ => Ok(()),
        }
    }
}
