//! Settings of the load control of new flows.

use {
    super::Result,
    cardamomloom_coordination::passthrough::load::{LoadControlOptions, PlacementPolicy},
    cardamomloom_core::error::invalid_argument,
    serde::{
        Deserialize, Deserializer,
        de::{Error, Unexpected, Visitor},
    },
    std::fmt,
};

/// Settings of the load control of new flows. By default all of it is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadControlSettings {
    /// How balancers choose a host for a new flow.
    #[serde(deserialize_with = "deserialize_placement")]
    pub placement: PlacementPolicy,
    /// Whether new flows prefer the failure domain of their balancer. It needs placement
    /// `expected_wait`.
    pub prefers_own_domain: bool,
    /// Whether agents order new flows by the latency goals of their routes, and reject those that no
    /// host of the service can answer within the timeout of the route.
    pub rejects_late_flows: bool,
}

impl LoadControlSettings {
    /// Validates the constraints between the fields.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument`. The message names the field, its value and the allowed
    /// values.
    pub fn validate(&self) -> Result<()> {
        if self.prefers_own_domain && self.placement != PlacementPolicy::ExpectedWait {
            return Err(invalid_argument(format!(
                "settings: field \"load_control.prefers_own_domain\" is true with \"load_control.placement\" {:?}; allowed is true only with {:?}, otherwise false",
                self.placement.to_string(),
                PlacementPolicy::ExpectedWait.to_string()
            )));
        }
        Ok(())
    }

    /// Returns the options for the state machine of an agent or a balancer.
    #[must_use]
    pub const fn options(&self) -> LoadControlOptions {
        LoadControlOptions {
            placement: self.placement,
            prefers_own_domain: self.prefers_own_domain,
            rejects_late_flows: self.rejects_late_flows,
        }
    }
}

fn deserialize_placement<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<PlacementPolicy, D::Error> {
    deserializer.deserialize_str(PlacementVisitor)
}

/// Parses a placement policy. Its errors name the value and the allowed ones.
struct PlacementVisitor;

impl Visitor<'_> for PlacementVisitor {
    type Value = PlacementPolicy;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second] = [PlacementPolicy::Rendezvous, PlacementPolicy::ExpectedWait];
        write!(f, "\"{first}\" or \"{second}\"")
    }

    fn visit_str<E: Error>(self, text: &str) -> std::result::Result<Self::Value, E> {
        text.parse()
            .map_err(|_| E::invalid_value(Unexpected::Str(text), &self))
    }
}
