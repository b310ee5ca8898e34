//! Failure domain and whether operators have taken it out.

use {
    super::{Result, Validate, check_range},
    cardamomloom_core::{DomainName, OperationId, RegionName},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Whether a failure domain takes traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// The failure domain takes traffic.
    In,
    /// Operators have taken the failure domain out; its flows are given up.
    Out,
}

/// What operators state about a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name, equal to the last part of the object's key.
    pub name: DomainName,
    /// Region that the failure domain lies in.
    pub region: RegionName,
    /// Whether it takes traffic.
    pub state: DomainState,
    /// Why it was taken out, for people.
    #[serde(default = "no_reason")]
    pub reason: Arc<str>,
    /// Command that wrote the object.
    #[serde(default)]
    pub operation_id: OperationId,
}

const MAX_REASON_BYTES: u64 = 512;

fn no_reason() -> Arc<str> {
    Arc::from("")
}

impl Validate for DomainSpec {
    fn validate(&self) -> Result<()> {
        check_range(
            "reason (bytes)",
            self.reason.len() as u64,
            0,
            MAX_REASON_BYTES,
        )
    }
}
