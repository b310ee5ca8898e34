//! Tells from the record of an object whether a write whose answer was lost took effect.

use {
    super::ReadAnswer,
    cardamomloom_core::{ObjectVersion, OperationId},
    cardamomloom_protocol::object::history::{MAX_SUPERSEDED, operation_of, superseded_of},
    serde_json::Value,
};

/// What is known of a write on a version of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// The write took effect; the version is known while it is the present one.
    Applied(Option<ObjectVersion>),
    /// The write did not take effect and never can.
    NotApplied,
    /// The write has not taken effect so far, and still may.
    Pending,
    /// The object was deleted, or the record no longer reaches back to the write.
    Unknown,
}

/// Judges the write of `operation` on version `base`; version 0 is the creation of the object.
#[must_use]
pub fn write_status(seen: &ReadAnswer, base: ObjectVersion, operation: OperationId) -> WriteStatus {
    // An answer from before `base` existed says nothing about a write on it.
    if seen.store_version < base {
        return WriteStatus::Pending;
    }
    let live = live(seen);
    let Some((version, value)) = live else {
        return if base == ObjectVersion(0) {
            WriteStatus::Pending
        } else {
            WriteStatus::Unknown
        };
    };
    if operation_of(value) == operation {
        return WriteStatus::Applied(Some(version));
    }
    if version == base {
        return WriteStatus::Pending;
    }
    let superseded = superseded_of(value);
    if superseded
        .iter()
        .any(|entry| entry.operation_id == operation)
    {
        return WriteStatus::Applied(None);
    }
    // The store accepts one write on each version. The record shows that it was another one.
    // A creation is different: the object may have been deleted and created again in between.
    let is_superseded = superseded.iter().any(|entry| entry.version == base);
    if is_superseded && base != ObjectVersion(0) {
        return WriteStatus::NotApplied;
    }
    WriteStatus::Unknown
}

/// Judges the deletion of version `base`.
///
/// A deletion leaves no record. `Done` therefore means that the object has been deleted since it
/// had version `base`, by this writer or by one that raced with it.
#[must_use]
pub fn deletion_status(seen: &ReadAnswer, base: ObjectVersion) -> WriteStatus {
    // An answer from before `base` existed says nothing about a write on it.
    if seen.store_version < base {
        return WriteStatus::Pending;
    }
    let live = live(seen);
    let Some((version, value)) = live else {
        return WriteStatus::Applied(None);
    };
    if version == base {
        return WriteStatus::Pending;
    }
    let superseded = superseded_of(value);
    if superseded.iter().any(|entry| entry.version == base) {
        return WriteStatus::NotApplied;
    }
    let is_complete = superseded.len() < MAX_SUPERSEDED
        && superseded
            .last()
            .is_some_and(|entry| entry.version == ObjectVersion(0));
    if is_complete {
        // The object was created anew after `base`, so it was deleted in between.
        return WriteStatus::Applied(None);
    }
    WriteStatus::Unknown
}

fn live(seen: &ReadAnswer) -> Option<(ObjectVersion, &Value)> {
    let object = seen.object.as_ref()?;
    Some((object.version, object.value.as_ref()?))
}
