//! Content of the messages by which processes exchange what they know.

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

/// Result of converting an object.
pub type Result<T> = std::result::Result<T, Error>;

/// What can be suspected, probed and declared lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A host with its agent.
    Host(HostId),
    /// A balancer.
    Node(NodeId),
    /// A failure domain as a whole.
    Domain(DomainName),
}

/// Whether a balancer or a whole failure domain is lost.
///
/// Marks of one subject are ordered by (`counter`, `is_down`). The subject, or for a failure
/// domain any balancer in it, refutes a mark with a higher counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// The balancer or failure domain.
    pub subject: Subject,
    /// Number of the claim.
    pub counter: u32,
    /// Whether the subject is lost.
    pub is_down: bool,
}

/// Kinds of items that processes compare by digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// Marks of lost balancers and failure domains.
    LivenessRecord,
    /// Objects of the store.
    Object,
    /// Host entries.
    Host,
}

impl ItemKind {
    /// All kinds, in the order of the digests of a message.
    pub const ALL: [Self; 3] = [Self::LivenessRecord, Self::Object, Self::Host];
}

/// Identity and rank of one item; a higher rank replaces a lower one.
pub type ItemRank = (u64, u64);

/// Changes and digests that one balancer tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Whether the receiver is asked to answer with its own digests.
    pub wants_answer: bool,
    /// Digest of all items of each kind, in the order of [`ItemKind::ALL`].
    pub digests: [u32; 3],
    /// Changed marks.
    #[serde(rename = "marks")]
    pub liveness_records: Vec<LivenessRecord>,
    /// Identity and version of changed objects; a receiver that lacks one asks for it.
    pub objects: Vec<ItemRank>,
    /// Changed host entries.
    pub hosts: Vec<HostEntry>,
}

/// An object of the store in a control datagram, with its value as JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObject {
    /// Key of the object.
    pub key: Arc<str>,
    /// Version of the write.
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
            .map_err(|error| malformed(format!("control: object {:?}: {error}", wire.key)))?;
        Ok(Self {
            key: wire.key.clone(),
            version: wire.version,
            value,
        })
    }
}

/// Sign of life of an agent, with digests of what it knows.
///
/// Signs of life are most of the control traffic of a balancer. Host and incarnation are those of
/// the datagram's [`Origin`], or near them, so a datagram holds the differences, one byte each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: HostId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Digest of the hosts of its service.
    pub hosts_digest: u32,
    /// Digest of its service's object, all failure domains and their marks.
    pub config_digest: u32,
    /// Whether the agent asks for an answer although the digests may be equal.
    pub wants_answer: bool,
}

impl Heartbeat {
    /// Returns the heartbeat with host and incarnation as differences from an origin.
    #[must_use]
    pub fn relative_to(self, origin: &Origin) -> Self {
        let difference = self.incarnation.0.wrapping_sub(origin.incarnation.0);
        self.with_identity(origin, Incarnation(difference))
    }

    /// Returns the heartbeat that [`Heartbeat::relative_to`] encoded.
    #[must_use]
    pub fn absolute_from(self, origin: &Origin) -> Self {
        let incarnation = self.incarnation.0.wrapping_add(origin.incarnation.0);
        self.with_identity(origin, Incarnation(incarnation))
    }

    /// The exclusive or with the sender is its own inverse, so both directions use it.
    fn with_identity(self, origin: &Origin, incarnation: Incarnation) -> Self {
        let sender = u32::try_from(origin.sender & u64::from(u32::MAX)).unwrap_or_default();
        Self {
            host: HostId(self.host.0 ^ sender),
            incarnation,
            ..self
        }
    }
}
