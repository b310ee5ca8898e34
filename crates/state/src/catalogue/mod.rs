//! The catalogue in force: the newest valid version of each object that this process has seen.

mod claims;

pub use claims::{ClaimConflict, Claims};

use {
    cardamomloom_core::{
        DomainName, ObjectVersion, ServiceId, ServiceName,
        error::{Error, invalid_argument},
    },
    cardamomloom_protocol::{
        object::{self, DOMAINS_PREFIX, DomainSpec, DomainState, SERVICES_PREFIX, ServiceSpec},
        store_api::Object,
    },
    serde::Serialize,
    std::{collections::BTreeMap, sync::Arc},
};

/// Result of applying an object.
pub type Result<T> = std::result::Result<T, Error>;

/// What applying an object did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The object replaced an older version or was new.
    Changed,
    /// The object is not newer than the one in force.
    Stale,
    /// The key is of another kind of object.
    OtherKind,
}

#[derive(Clone, Debug)]
struct Versioned<T> {
    /// Version in force; a later object is taken up only with a higher one.
    version: ObjectVersion,
    value: Option<Arc<T>>,
}

/// Services and failure domains with their versions; deletions are kept as versions without value.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    services: BTreeMap<ServiceName, Versioned<ServiceSpec>>,
    domains: BTreeMap<DomainName, Versioned<DomainSpec>>,
    rejected: BTreeMap<Arc<str>, RejectedObject>,
}

/// An object of the store that is not in force because it does not satisfy the schema.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RejectedObject {
    /// Key of the object.
    pub key: Arc<str>,
    /// Version of the object; the version in force is lower.
    pub version: ObjectVersion,
    /// Field, value and allowed range.
    pub reason: Arc<str>,
}

/// Most rejected objects that are kept for the report.
const MAX_REJECTED: usize = 256;

impl Catalogue {
    /// Takes up an object unless a version at least as new is in force.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the value does not satisfy the schema or its name
    /// differs from its key; the version in force stays. The same version fails only once.
    pub fn apply(&mut self, object: &Object) -> Result<Applied> {
        let known = self.rejected.get(&object.key);
        if known.is_some_and(|known| known.version == object.version) {
            return Ok(Applied::Stale);
        }
        let applied = self.take_up(object);
        match &applied {
            Ok(Applied::Changed) => {
                let known = self.rejected.get(&object.key);
                if known.is_some_and(|known| known.version < object.version) {
                    self.rejected.remove(&object.key);
                }
            }
            Ok(Applied::Stale | Applied::OtherKind) => {}
            Err(error) => self.reject(object, error),
        }
        applied
    }

    fn reject(&mut self, object: &Object, error: &Error) {
        let known = self.rejected.get(&object.key);
        let is_newest = known.is_none_or(|known| known.version < object.version);
        if is_newest && (known.is_some() || self.rejected.len() < MAX_REJECTED) {
            let rejected = RejectedObject {
                key: object.key.clone(),
                version: object.version,
                reason: error.message.clone(),
            };
            self.rejected.insert(object.key.clone(), rejected);
        }
    }

    /// Returns the objects that are not in force because they are invalid, in key order.
    pub fn rejected(&self) -> impl Iterator<Item = &RejectedObject> {
        self.rejected.values()
    }

    /// Returns which service has each id and address.
    #[must_use]
    pub fn claims(&self) -> Claims {
        Claims::of(
            self.services
                .values()
                .filter_map(|entry| Some((entry.version, entry.value.as_ref()?))),
        )
    }

    fn take_up(&mut self, object: &Object) -> Result<Applied> {
        if let Some(name) = object.key.strip_prefix(SERVICES_PREFIX) {
            let name: ServiceName = name.parse()?;
            return merge(&mut self.services, name, object, |spec: &ServiceSpec| {
                &spec.name
            });
        }
        if let Some(name) = object.key.strip_prefix(DOMAINS_PREFIX) {
            let name: DomainName = name.parse()?;
            return merge(&mut self.domains, name, object, |spec: &DomainSpec| {
                &spec.name
            });
        }
        Ok(Applied::OtherKind)
    }

    /// Returns the services in name order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services
            .values()
            .filter_map(|entry| entry.value.as_ref())
    }

    /// Returns the failure domains in name order.
    pub fn domains(&self) -> impl Iterator<Item = &Arc<DomainSpec>> {
        self.domains
            .values()
            .filter_map(|entry| entry.value.as_ref())
    }

    /// Returns the service with an id.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Arc<ServiceSpec>> {
        self.services().find(|spec| spec.id == id)
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service_named(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)?.value.as_ref()
    }

    /// Tells whether operators have taken a failure domain out; an unknown one is in.
    #[must_use]
    pub fn is_domain_out(&self, domain: &DomainName) -> bool {
        self.domains
            .get(domain)
            .and_then(|entry| entry.value.as_ref())
            .is_some_and(|spec| spec.state == DomainState::Out)
    }

    /// Returns the failure domains that operators have taken out.
    #[must_use]
    pub fn domains_out(&self) -> Vec<DomainName> {
        self.domains()
            .filter(|spec| spec.state == DomainState::Out)
            .map(|spec| spec.name.clone())
            .collect()
    }

    /// Returns key and version of every object seen, deletions included.
    pub fn versions(&self) -> impl Iterator<Item = (String, ObjectVersion)> {
        let services = self
            .services
            .iter()
            .map(|(name, entry)| (format!("{SERVICES_PREFIX}{name}"), entry.version));
        let domains = self
            .domains
            .iter()
            .map(|(name, entry)| (format!("{DOMAINS_PREFIX}{name}"), entry.version));
        services.chain(domains)
    }
}

fn merge<N, T>(
    map: &mut BTreeMap<N, Versioned<T>>,
    name: N,
    object: &Object,
    name_of: impl Fn(&T) -> &N,
) -> Result<Applied>
where
    N: Ord + std::fmt::Display,
    T: serde::de::DeserializeOwned + object::Validate,
{
    if map
        .get(&name)
        .is_some_and(|known| known.version >= object.version)
    {
        return Ok(Applied::Stale);
    }
    let value = match &object.value {
        None => None,
        Some(value) => {
            let spec: T = object::decode(&object.key, value)?;
            if *name_of(&spec) != name {
                return Err(invalid_argument(format!(
                    "catalogue: object {:?} has field \"name\" {}; allowed is {name}",
                    object.key,
                    name_of(&spec)
                )));
            }
            Some(Arc::new(spec))
        }
    };
    let version = object.version;
    map.insert(name, Versioned { version, value });
    Ok(Applied::Changed)
}
