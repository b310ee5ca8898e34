//! The newest known version of every store object, including deleted objects.

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

/// Maximum number of objects that a process keeps: ten times the about 950 objects of an
/// installation of the design size.
pub const MAX_OBJECTS: usize = 10_000;

/// Store objects by key. A higher store version replaces a lower one, never the reverse.
#[derive(Clone, Debug, Default)]
pub struct ObjectSet {
    objects: BTreeMap<Arc<str>, Object>,
    keys_by_id: HashMap<u64, Arc<str>>,
    keys_by_service: HashMap<ServiceId, Arc<str>>,
    index: VersionIndex,
}

impl ObjectSet {
    /// Inserts an object unless the known version is at least as high or the set is full, and
    /// returns whether it was inserted.
    pub fn insert_newer(&mut self, object: &Object) -> bool {
        let id = object_id(&object.key);
        let is_outdated = self
            .index
            .rank(id)
            .is_some_and(|known| known >= object.version.0);
        if is_outdated || !self.ensure_capacity(id) {
            return false;
        }
        if object.key.starts_with(SERVICES_PREFIX)
            && let Some(service) = service_id(object)
        {
            self.keys_by_service.insert(service, object.key.clone());
        }
        self.index.set(id, object.version.0);
        self.keys_by_id.insert(id, object.key.clone());
        self.objects.insert(object.key.clone(), object.clone());
        true
    }

    /// Returns the deletions that follow from a complete list of the objects under `prefix`.
    ///
    /// A known object that the list lacks was deleted at or before the version of the list,
    /// provided that the known version is lower than that of the list. A list older than the
    /// object implies nothing about it.
    #[must_use]
    pub fn implied_deletions(&self, prefix: &str, list: &ObjectList) -> Vec<Object> {
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

    /// Returns whether no object is known, not even as deleted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Returns the object with a key; a deleted object has no value.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns the object whose key has the digest `id`, see [`object_id`].
    #[must_use]
    pub fn by_id(&self, id: u64) -> Option<&Object> {
        self.objects.get(self.keys_by_id.get(&id)?)
    }

    /// Returns the configuration object of a service.
    #[must_use]
    pub fn by_service(&self, service: ServiceId) -> Option<&Object> {
        self.objects.get(self.keys_by_service.get(&service)?)
    }

    /// Returns the index of object ids and versions.
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

    /// Removes the oldest deletion when the set is full and `id` is new, and returns whether an
    /// object with `id` fits.
    fn ensure_capacity(&mut self, id: u64) -> bool {
        if self.objects.len() < MAX_OBJECTS || self.keys_by_id.contains_key(&id) {
            return true;
        }
        let oldest_deletion = self
            .objects
            .values()
            .filter(|object| object.value.is_none())
            .min_by_key(|object| object.version)
            .map(|object| object.key.clone());
        let Some(key) = oldest_deletion else {
            return false;
        };
        let oldest_id = object_id(&key);
        self.objects.remove(&key);
        self.keys_by_id.remove(&oldest_id);
        self.index.remove(oldest_id);
        true
    }
}

/// Returns the id of an object: the 64-bit `SipHash` digest of its key.
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
