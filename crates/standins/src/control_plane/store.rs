//! A fake store with virtual time and faults.

use {
    cardamomloom_core::{ObjectVersion, Span, Time},
    cardamomloom_protocol::store_api::{Object, ObjectList},
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Time after which a watch without changes is answered, and each such answer is one more call.
const WATCH_SPAN: Span = Span::from_secs(20);

/// Objects with versions; every answer is subject to the faults.
#[derive(Default)]
pub struct FakeStore {
    objects: BTreeMap<Arc<str>, Object>,
    version: u64,
    /// Calls are not answered.
    pub is_down: bool,
    /// Time until an answer to a call is given.
    pub delay: Span,
    /// Calls so far; a waiting watch counts as one.
    pub calls: u64,
    waiting: HashMap<usize, Time>,
}

impl FakeStore {
    /// Writes or deletes an object.
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

    /// Goes back to an earlier state, as a store does that was restored from a copy.
    pub fn restore(&mut self, copy: &ObjectList) {
        self.objects = copy
            .objects
            .iter()
            .map(|object| (object.key.clone(), object.clone()))
            .collect();
        self.version = copy.version.0;
        self.waiting.clear();
    }

    /// Ends all waiting watches.
    pub fn end_watches(&mut self) {
        self.waiting.clear();
    }

    /// Returns all objects, deletions included.
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

    /// Lists all objects; `None` while the call is not answered.
    pub fn list(&mut self, now: Time, caller: usize) -> Option<ObjectList> {
        let started = *self.waiting.entry(caller).or_insert_with(|| {
            self.calls += 1;
            now
        });
        if self.is_down || now.since(started) < self.delay {
            return None;
        }
        self.waiting.remove(&caller);
        let mut list = self.all_objects();
        list.objects.retain(|object| object.value.is_some());
        Some(list)
    }

    /// Waits for changes after a version; `None` while the call is not answered.
    pub fn watch(&mut self, now: Time, caller: usize, after: ObjectVersion) -> Option<ObjectList> {
        let started = *self.waiting.entry(caller).or_insert_with(|| {
            self.calls += 1;
            now
        });
        if self.is_down || now.since(started) < self.delay {
            return None;
        }
        let is_behind = self.version < after.0;
        let changes = self.changes(after);
        let is_over = now.since(started) >= WATCH_SPAN;
        if changes.objects.is_empty() && !is_over && !is_behind {
            return None;
        }
        self.waiting.remove(&caller);
        Some(changes)
    }
}
