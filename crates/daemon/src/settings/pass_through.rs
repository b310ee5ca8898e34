//! Settings of a process with pass-through delivery.

use {
    super::{LogLevel, Result, key_from_hex},
    cardamomloom_core::{DomainName, ServiceName, error::invalid_argument},
    cardamomloom_protocol::forward::DatagramKey,
    serde::Deserialize,
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        sync::Arc,
    },
};

/// Settings of one process whose backend servers keep the state of their flows.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassThroughSettings {
    /// Always `pass_through`; tells these settings from those for termination.
    pub delivery: Delivery,
    /// Name of the process in logs and in the store.
    pub node: Arc<str>,
    /// Failure domain of the process.
    pub domain: DomainName,
    /// Address of the packet socket. Its port is that of all processes and of all callers.
    pub data_address: SocketAddrV4,
    /// Address of the readiness probe.
    pub readiness_address: SocketAddr,
    /// Port of the control socket, the same at all processes.
    pub control_port: u16,
    /// Port of snapshots, status and metrics, the same at all processes.
    pub http_port: u16,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of processes that may be balancers.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Key of the datagrams between processes, 32 hexadecimal digits.
    pub datagram_key: Arc<str>,
    /// Lowest level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// What the process does.
    pub role: PassThroughRole,
}

/// Kind of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Packets reach the backend server unchanged.
    PassThrough,
}

/// What a process does.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PassThroughRole {
    /// Entry instance.
    Balancer {
        /// Time for which a stopping balancer still forwards, so that the routers can turn away.
        linger_ms: u64,
    },
    /// Process beside a backend server.
    Agent(PassThroughAgentSettings),
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassThroughAgentSettings {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address at which the backend server takes packets.
    pub server_address: SocketAddrV4,
    /// Address at which the agent takes the packets of the backend server.
    pub from_server_address: SocketAddrV4,
    /// Address at which the agent takes the reports of the backend server.
    pub report_address: SocketAddr,
}

const MAX_LINGER_MS: u64 = 60_000;
const MAX_SEEDS: usize = 64;

impl PassThroughSettings {
    /// Returns the address of the process.
    #[must_use]
    pub const fn address(&self) -> Ipv4Addr {
        *self.data_address.ip()
    }

    /// Returns the addresses of processes that may be balancers.
    #[must_use]
    pub fn seed_addresses(&self) -> Vec<Ipv4Addr> {
        self.seeds.iter().map(|seed| *seed.ip()).collect()
    }

    /// Returns the key of datagrams between processes.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when it does not have 32 hexadecimal digits.
    pub fn key(&self) -> Result<DatagramKey> {
        key_from_hex(&self.datagram_key)
    }

    /// Checks what the types do not say.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument`; the message names field, value and allowed range.
    pub fn check(&self) -> Result<()> {
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
