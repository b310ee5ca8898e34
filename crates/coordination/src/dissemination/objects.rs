//! The newest known version of each object of the store, deletions included.

use {
    super::index::VersionIndex,
    cardamomloom_core::{ObjectVersion, ServiceId},
    cardamomloom_protocol::{
        object::SERVICES_PREFIX,
        store_api::{Object, ObjectList},
    },
    siphasher::sip::SipHasher13,
    std::{
        collections::{BTreeMap, HashMap},
        hash::{Hash, Hasher},
        ops::Bound,
        sync::Arc,
    },
};

/// Most objects that a process keeps, ten times the about 950 of the design size.
pub const MAX_OBJECTS: usize = 10_000;

/// Objects by key; an object is replaced only by a higher version of the store.
#[derive(Clone, Debug, Default)]
pub struct ObjectSet {
    objects: BTreeMap<Arc<str>, Object>,
    keys: HashMap<u64, Arc<str>>,
    services: HashMap<ServiceId, Arc<str>>,
    index: VersionIndex,
}

impl ObjectSet {
    /// Takes up an object unless a version at least as high is known, and tells whether it did.
    pub fn offer(&mut self, object: &Object) -> bool {
        let id = object_id(&object.key);
        let is_stale = self
            .index
            .rank(id)
            .is_some_and(|known| known >= object.version.0);
        if is_stale || !self.make_room(id) {
            return false;
        }
        if object.key.starts_with(SERVICES_PREFIX)
            && let Some(service) = service_id(object)
        {
            self.services.insert(service, object.key.clone());
        }
        self.index.set(id, object.version.0);
        self.keys.insert(id, object.key.clone());
        self.objects.insert(object.key.clone(), object.clone());
        true
    }

    /// Returns deletions that a complete list of the store proves.
    ///
    /// An object whose known version is below the version of the list and that the list lacks was
    /// deleted at the version of the list or before. A list older than the object proves nothing.
    #[must_use]
    pub fn deletions(&self, prefix: &str, list: &ObjectList) -> Vec<Object> {
        let listed: std::collections::HashSet<&str> = list
            .objects
            .iter()
            .map(|object| object.key.as_ref())
            .collect();
        self.with_prefix(prefix)
            .filter(|known| known.value.is_some() && known.version < list.version)
            .filter(|known| !listed.contains(known.key.as_ref()))
            .map(|known| Object {
                key: known.key.clone(),
                version: list.version,
                value: None,
            })
            .collect()
    }

    /// Returns the objects whose keys start with a prefix, in key order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Object> {
        self.objects
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .map(|(_, object)| object)
            .take_while(move |object| object.key.starts_with(prefix))
    }

    /// Tells whether no object is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Returns the object with a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns the object with an identity.
    #[must_use]
    pub fn by_id(&self, id: u64) -> Option<&Object> {
        self.objects.get(self.keys.get(&id)?)
    }

    /// Returns the object of a service.
    #[must_use]
    pub fn of_service(&self, service: ServiceId) -> Option<&Object> {
        self.objects.get(self.services.get(&service)?)
    }

    /// Returns the index of identities and versions.
    #[must_use]
    pub const fn index(&self) -> &VersionIndex {
        &self.index
    }

    /// Returns the highest version of any object.
    #[must_use]
    pub fn highest_version(&self) -> ObjectVersion {
        self.objects
            .values()
            .map(|object| object.version)
            .max()
            .unwrap_or_default()
    }

    /// Forgets the oldest deletion when the set is full; tells whether there is room.
    fn make_room(&mut self, id: u64) -> bool {
        if self.objects.len() < MAX_OBJECTS || self.keys.contains_key(&id) {
            return true;
        }
        let oldest = self
            .objects
            .values()
            .filter(|object| object.value.is_none())
            .min_by_key(|object| object.version)
            .map(|object| object.key.clone());
        let Some(key) = oldest else { return false };
        let oldest_id = object_id(&key);
        self.objects.remove(&key);
        self.keys.remove(&oldest_id);
        self.index.remove(oldest_id);
        true
    }
}

/// Returns the identity of an object, a digest of its key.
#[must_use]
pub fn object_id(key: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    hasher.finish()
}

fn service_id(object: &Object) -> Option<ServiceId> {
    let id = object.value.as_ref()?.get("id")?.as_u64()?;
    u32::try_from(id).ok().map(ServiceId)
}
