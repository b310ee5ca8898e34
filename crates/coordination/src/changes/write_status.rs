//! Status of a write whose answer was lost, derived from the write record of the object.

use {
    super::ReadAnswer,
    cardamomloom_core::{ObjectVersion, OperationId},
    cardamomloom_protocol::object::history::{MAX_SUPERSEDED, operation_of, superseded_of},
    serde_json::Value,
};

/// Whether a conditional write on a version of an object took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// The write took effect. The version is known only while no later write has replaced it.
    Applied(Option<ObjectVersion>),
    /// The write did not take effect and never can.
    NotApplied,
    /// The write has not taken effect so far, and the store may still accept it.
    Pending,
    /// The status cannot be determined: the object was deleted, or its record no longer reaches
    /// back to the write.
    Unknown,
}

/// Returns the status of the write of `operation` on version `base`. Version 0 stands for the
/// creation of the object.
#[must_use]
pub fn write_status(
    answer: &ReadAnswer,
    base: ObjectVersion,
    operation: OperationId,
) -> WriteStatus {
    // An answer from before `base` existed says nothing about a write on it.
    if answer.store_version < base {
        return WriteStatus::Pending;
    }
    let Some((version, value)) = existing_object(answer) else {
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
    // The store accepts one write on each version, and the record shows that another write
    // replaced `base`. A creation is different: the object may have been created by this
    // operation, deleted, and created again by another one.
    let is_superseded = superseded.iter().any(|entry| entry.version == base);
    if is_superseded && base != ObjectVersion(0) {
        return WriteStatus::NotApplied;
    }
    WriteStatus::Unknown
}

/// Returns the status of the deletion of version `base`.
///
/// A deletion leaves no record. [`WriteStatus::Applied`] therefore means that the object has been
/// deleted since it had version `base`, by this writer or by one that raced with it.
#[must_use]
pub fn deletion_status(answer: &ReadAnswer, base: ObjectVersion) -> WriteStatus {
    // An answer from before `base` existed says nothing about a write on it.
    if answer.store_version < base {
        return WriteStatus::Pending;
    }
    let Some((version, value)) = existing_object(answer) else {
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
        // The record reaches back to a creation after `base`, so the object was deleted in between.
        return WriteStatus::Applied(None);
    }
    WriteStatus::Unknown
}

/// Returns version and value of the object, or `None` when it does not exist.
fn existing_object(answer: &ReadAnswer) -> Option<(ObjectVersion, &Value)> {
    let object = answer.object.as_ref()?;
    Some((object.version, object.value.as_ref()?))
}
