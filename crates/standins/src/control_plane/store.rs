//! In-memory store in virtual time with injectable faults.

use {
    cardamomloom_core::{ObjectVersion, Span, Time},
    cardamomloom_protocol::store_api::{Object, ObjectList},
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Time after which a watch without changes is answered. The next watch is another call.
const WATCH_TIMEOUT: Span = Span::from_secs(20);

/// Versioned objects, which clients list and watch subject to the faults.
#[derive(Default)]
pub struct FakeStore {
    objects: BTreeMap<Arc<str>, Object>,
    version: u64,
    /// Whether calls are not answered.
    pub is_down: bool,
    /// Minimum time from a call to its answer.
    pub delay: Span,
    /// Number of calls so far. A watch that waits for changes is one call.
    pub calls: u64,
    /// Start time of the pending call of each caller.
    pending_calls: HashMap<usize, Time>,
}

impl FakeStore {
    /// Writes an object, or deletes it if `value` is `None`, and returns its new version.
    pub fn put(&mut self, key: &str, value: Option<Value>) -> ObjectVersion {
        self.version += 1;
        let object = Object {
            key: Arc::from(key),
            version: ObjectVersion(self.version),
            value,
        };
        self.objects.insert(object.key.clone(), object);
        ObjectVersion(self.version)
    }

    /// Returns to an earlier state and version, as when a store is restored from a backup.
    pub fn restore(&mut self, backup: &ObjectList) {
        self.objects = backup
            .objects
            .iter()
            .map(|object| (object.key.clone(), object.clone()))
            .collect();
        self.version = backup.version.0;
        self.pending_calls.clear();
    }

    /// Drops all pending calls without an answer; callers start new ones.
    pub fn end_watches(&mut self) {
        self.pending_calls.clear();
    }

    /// Returns all objects, including deleted ones.
    #[must_use]
    pub fn all_objects(&self) -> ObjectList {
        self.changes(ObjectVersion(0))
    }

    fn changes(&self, after: ObjectVersion) -> ObjectList {
        ObjectList {
            version: ObjectVersion(self.version),
            objects: self
                .objects
                .values()
                .filter(|object| object.version > after)
                .cloned()
                .collect(),
        }
    }

    /// Returns all objects except deleted ones, or `None` while the call is not answered.
    pub fn list(&mut self, now: Time, caller: usize) -> Option<ObjectList> {
        let started = *self.pending_calls.entry(caller).or_insert_with(|| {
            self.calls += 1;
            now
        });
        if self.is_down || now.since(started) < self.delay {
            return None;
        }
        self.pending_calls.remove(&caller);
        let mut list = self.all_objects();
        list.objects.retain(|object| object.value.is_some());
        Some(list)
    }

    /// Returns the changes after a version, or `None` while the call is not answered. Without changes
    /// the call is answered when the watch times out, or if the store has returned to an earlier
    /// version.
    pub fn watch(&mut self, now: Time, caller: usize, after: ObjectVersion) -> Option<ObjectList> {
        let started = *self.pending_calls.entry(caller).or_insert_with(|| {
            self.calls += 1;
            now
        });
        if self.is_down || now.since(started) < self.delay {
            return None;
        }
        let has_been_restored = self.version < after.0;
        let changes = self.changes(after);
        let has_timed_out = now.since(started) >= WATCH_TIMEOUT;
        if changes.objects.is_empty() && !has_timed_out && !has_been_restored {
            return None;
        }
        self.pending_calls.remove(&caller);
        Some(changes)
    }
}
