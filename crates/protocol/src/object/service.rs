//! Catalogue entry of a service.

use {
    super::{Result, Validate, check_range},
    cardamomloom_core::{
        OperationId, PartsPerMillion, ServiceId, ServiceName, error::invalid_argument,
    },
    serde::{Deserialize, Serialize},
    std::{net::IpAddr, sync::Arc},
};

/// Order in which services give way under pressure; bulk is refused first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceClass {
    /// Refused first.
    Bulk,
    /// Refused after bulk.
    Standard,
    /// Refused last.
    Critical,
}

/// What operators state about a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name, equal to the last part of the object's key.
    pub name: ServiceName,
    /// Identifier in forward headers, unique within the catalogue.
    pub id: ServiceId,
    /// Team that answers for the service.
    pub owner: Arc<str>,
    /// Order under pressure.
    pub class: ServiceClass,
    /// Addresses that callers use.
    pub addresses: Vec<IpAddr>,
    /// TCP port that callers use.
    pub port: u16,
    /// Slots of a host: requests that its backend server runs at the same time.
    pub slots_per_host: u32,
    /// Connections that one slot can hold.
    pub connections_per_slot: u32,
    /// Connections that a cold host takes at once.
    #[serde(default = "default_slow_start_connections")]
    pub slow_start_connections: u32,
    /// Time from cold to the full limit when all connections succeed.
    #[serde(default = "default_slow_start_ms")]
    pub slow_start_ms: u64,
    /// Time after which a draining agent gives up its remaining flows.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Key of the hash from 5-tuple to bucket, 32 hexadecimal digits.
    pub hash_key: Arc<str>,
    /// Share of connections that must succeed.
    #[serde(default = "default_objective")]
    pub objective_success_ppm: PartsPerMillion,
    /// Command that wrote the object.
    #[serde(default)]
    pub operation_id: OperationId,
}

const MAX_ADDRESSES: usize = 64;
const MAX_OWNER_BYTES: usize = 128;
const HASH_KEY_DIGITS: usize = 32;
const HOUR_MS: u64 = 3_600_000;

const fn default_slow_start_connections() -> u32 {
    4
}

const fn default_slow_start_ms() -> u64 {
    10_000
}

const fn default_drain_timeout_ms() -> u64 {
    HOUR_MS
}

const fn default_objective() -> PartsPerMillion {
    PartsPerMillion(999_000)
}

impl ServiceSpec {
    /// Returns the hash key as bytes, or zeros when the field is not valid.
    #[must_use]
    pub fn hash_key_bytes(&self) -> [u8; 16] {
        u128::from_str_radix(&self.hash_key, 16)
            .unwrap_or_default()
            .to_be_bytes()
    }

    /// Returns the connections that a warm host can hold.
    #[must_use]
    pub const fn connections_per_host(&self) -> u32 {
        self.slots_per_host
            .saturating_mul(self.connections_per_slot)
    }
}

impl Validate for ServiceSpec {
    fn validate(&self) -> Result<()> {
        check_range("id", u64::from(self.id.0), 1, u64::from(u32::MAX))?;
        check_range(
            "owner (bytes)",
            self.owner.len() as u64,
            1,
            MAX_OWNER_BYTES as u64,
        )?;
        check_range(
            "addresses (count)",
            self.addresses.len() as u64,
            1,
            MAX_ADDRESSES as u64,
        )?;
        check_range("port", u64::from(self.port), 1, 65_535)?;
        check_range("slots_per_host", u64::from(self.slots_per_host), 1, 1_024)?;
        check_range(
            "connections_per_slot",
            u64::from(self.connections_per_slot),
            1,
            100_000,
        )?;
        check_range(
            "slow_start_connections",
            u64::from(self.slow_start_connections),
            1,
            u64::from(self.connections_per_host()),
        )?;
        check_range("slow_start_ms", self.slow_start_ms, 0, HOUR_MS)?;
        check_range("drain_timeout_ms", self.drain_timeout_ms, 0, 24 * HOUR_MS)?;
        check_range(
            "objective_success_ppm",
            u64::from(self.objective_success_ppm.0),
            1,
            1_000_000,
        )?;
        let is_hex = self.hash_key.bytes().all(|b| b.is_ascii_hexdigit());
        if self.hash_key.len() != HASH_KEY_DIGITS || !is_hex {
            return Err(invalid_argument(format!(
                "object: field \"hash_key\" has {} characters; allowed are {HASH_KEY_DIGITS} hexadecimal digits",
                self.hash_key.len()
            )));
        }
        if let Some(address) = self
            .addresses
            .iter()
            .find(|address| address.is_multicast() || address.is_unspecified())
        {
            return Err(invalid_argument(format!(
                "object: field \"addresses\" has {address}; allowed are unicast addresses"
            )));
        }
        Ok(())
    }
}
