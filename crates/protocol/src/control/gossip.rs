//! Items that processes exchange by heartbeats, gossip and catch-up.

use {
    super::{HostEntry, Origin},
    crate::store_api::Object,
    cardamomloom_core::{
        DomainName, HostId, Incarnation, NodeId, ObjectVersion,
        error::{Error, malformed},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Result of decoding an object.
pub type Result<T> = std::result::Result<T, Error>;

/// A member or failure domain that can be suspected, probed and declared lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A host with its agent.
    Host(HostId),
    /// A balancer.
    Node(NodeId),
    /// A failure domain as a whole.
    Domain(DomainName),
}

/// Records whether a balancer or a whole failure domain is lost.
///
/// Records of one subject are ordered by (`counter`, `is_down`); the highest one counts. A balancer
/// that receives a record of its own loss, or of the loss of its failure domain, refutes it by a
/// record with a higher counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// The balancer or failure domain.
    pub subject: Subject,
    /// Number that a refutation increments, as an incarnation in SWIM.
    pub counter: u32,
    /// Whether the subject is lost.
    pub is_down: bool,
}

/// Kinds of items that processes compare by digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// Liveness records of balancers and failure domains.
    LivenessRecord,
    /// Objects of the store.
    Object,
    /// Host entries.
    Host,
}

impl ItemKind {
    /// All kinds, in the order of their digests in a message.
    pub const ALL: [Self; 3] = [Self::LivenessRecord, Self::Object, Self::Host];
}

/// Identity and rank of an item; an item replaces one of the same identity with a lower rank.
pub type ItemRank = (u64, u64);

/// Recent changes and digests that a balancer sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Whether the receiver should answer with its own digests.
    pub wants_answer: bool,
    /// Digest of all items of each kind, in the order of [`ItemKind::ALL`].
    pub digests: [u32; 3],
    /// Changed liveness records.
    #[serde(rename = "marks")]
    pub liveness_records: Vec<LivenessRecord>,
    /// Identity and version of changed objects; a receiver that lacks one requests it.
    pub objects: Vec<ItemRank>,
    /// Changed host entries.
    pub hosts: Vec<HostEntry>,
}

/// An object of the store in a control datagram, with its value as JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObject {
    /// Key of the object.
    pub key: Arc<str>,
    /// Version that the last write of the object received.
    pub version: ObjectVersion,
    /// Value, or `None` after a deletion.
    pub value: Option<Arc<str>>,
}

impl From<&Object> for WireObject {
    fn from(object: &Object) -> Self {
        Self {
            key: object.key.clone(),
            version: object.version,
            value: object
                .value
                .as_ref()
                .map(|value| Arc::from(value.to_string())),
        }
    }
}

impl TryFrom<&WireObject> for Object {
    type Error = Error;

    fn try_from(wire: &WireObject) -> Result<Self> {
        let value = wire
            .value
            .as_ref()
            .map(|text| serde_json::from_str(text))
            .transpose()
            .map_err(|error| {
                malformed(format!(
                    "control: value of object {:?} is not valid JSON: {error}",
                    wire.key
                ))
            })?;
        Ok(Self {
            key: wire.key.clone(),
            version: wire.version,
            value,
        })
    }
}

/// Heartbeat of an agent, with digests of its state.
///
/// Heartbeats make up most of the control traffic of a balancer. Host and incarnation equal those
/// of the datagram's [`Origin`] or are close to them, so the datagram holds only the differences,
/// one byte each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host of the agent.
    pub host: HostId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Digest of the host entries of the agent's service.
    pub hosts_digest: u32,
    /// Digest of the service's object, all failure domains and their liveness records.
    pub config_digest: u32,
    /// Whether the balancer should answer even if the digests are equal.
    pub wants_answer: bool,
}

impl Heartbeat {
    /// Returns the heartbeat with host and incarnation replaced by their differences from `origin`.
    #[must_use]
    pub fn relative_to(self, origin: &Origin) -> Self {
        let difference = self.incarnation.0.wrapping_sub(origin.incarnation.0);
        self.with_identity(origin, Incarnation(difference))
    }

    /// Returns the original of a heartbeat that [`Heartbeat::relative_to`] returned.
    #[must_use]
    pub fn absolute_from(self, origin: &Origin) -> Self {
        let incarnation = self.incarnation.0.wrapping_add(origin.incarnation.0);
        self.with_identity(origin, Incarnation(incarnation))
    }

    /// Sets the incarnation and combines the host with the sender of `origin` by exclusive or,
    /// which is its own inverse, so that both directions use it.
    fn with_identity(self, origin: &Origin, incarnation: Incarnation) -> Self {
        let sender = u32::try_from(origin.sender & u64::from(u32::MAX)).unwrap_or_default();
        Self {
            host: HostId(self.host.0 ^ sender),
            incarnation,
            ..self
        }
    }
}
