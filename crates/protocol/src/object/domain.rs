//! Failure domains and whether operators have taken them out of service.

use {
    super::{Result, Validate, check_range},
    cardamomloom_core::{DomainName, OperationId, RegionName},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Whether a failure domain receives traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// The failure domain receives traffic.
    In,
    /// Operators have taken the failure domain out of service; its flows are abandoned.
    Out,
}

/// Configuration of a failure domain, written by operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name; equals the last segment of the object's key.
    pub name: DomainName,
    /// Region that contains the failure domain.
    pub region: RegionName,
    /// Whether the failure domain receives traffic.
    pub state: DomainState,
    /// Why operators took the failure domain out of service.
    #[serde(default = "no_reason")]
    pub reason: Arc<str>,
    /// Operator command that wrote the object.
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
