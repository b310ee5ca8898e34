//! Bulk catch-up over gRPC.
//!
//! `generated.rs` comes from `proto/sync.proto` through `protox` and `tonic-prost-build`, run once
//! outside the build, so that the build needs no protocol compiler. Afterwards only what the
//! linter reports was changed.

mod generated;

pub use generated::{
    KnownItem, PullAnswer, PullRequest, sync_client::SyncClient, sync_server::Sync,
    sync_server::SyncServer,
};

use {
    crate::{
        control::{HostEntry, ItemKind, LivenessRecord, WireObject},
        store_api::Object,
    },
    cardamomloom_core::error::{Error, malformed},
    serde::{Serialize, de::DeserializeOwned},
};

/// Result of decoding an answer.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest request or part of an answer in bytes: room for an object of 1 MB, or 20,000 known
/// items of about 25 bytes each.
pub const MAX_MESSAGE_BYTES: usize = 2_000_000;

/// Items in one part of an answer.
const ITEMS_PER_PART: usize = 256;

/// Items that one process has and another lacks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncedItems {
    /// Objects of the store.
    pub objects: Vec<Object>,
    /// Marks of lost balancers and failure domains.
    pub liveness_records: Vec<LivenessRecord>,
    /// Host entries.
    pub hosts: Vec<HostEntry>,
}

/// Returns the request of a process that knows some items.
#[must_use]
pub fn request(known: &[(ItemKind, u64, u64)]) -> PullRequest {
    let known = known.iter().map(|(kind, id, rank)| KnownItem {
        kind: *kind as u32,
        id: *id,
        rank: *rank,
    });
    PullRequest {
        known: known.collect(),
    }
}

/// Returns the items that a request names; unknown kinds are left out.
#[must_use]
pub fn known_items(request: &PullRequest) -> Vec<(ItemKind, u64, u64)> {
    request
        .known
        .iter()
        .filter_map(|item| {
            let kind = ItemKind::ALL.get(usize::try_from(item.kind).ok()?)?;
            Some((*kind, item.id, item.rank))
        })
        .collect()
}

/// Returns the parts of an answer.
#[must_use]
pub fn answer(items: &SyncedItems) -> Vec<PullAnswer> {
    let objects: Vec<WireObject> = items.objects.iter().map(WireObject::from).collect();
    let marks = items
        .liveness_records
        .chunks(ITEMS_PER_PART)
        .map(|part| PullAnswer {
            marks: encode(part),
            ..PullAnswer::default()
        });
    // An object may have up to 1 MB, so that each gets its own part.
    let objects = objects.chunks(1).map(|part| PullAnswer {
        objects: encode(part),
        ..PullAnswer::default()
    });
    let hosts = items.hosts.chunks(ITEMS_PER_PART).map(|part| PullAnswer {
        hosts: encode(part),
        ..PullAnswer::default()
    });
    marks.chain(objects).chain(hosts).collect()
}

/// Adds a part of an answer to the items.
///
/// # Errors
///
/// Fails with kind `malformed` when an item cannot be decoded.
pub fn add_part(items: &mut SyncedItems, part: &PullAnswer) -> Result<()> {
    items
        .liveness_records
        .extend(decode::<LivenessRecord>(&part.marks)?);
    items.hosts.extend(decode::<HostEntry>(&part.hosts)?);
    for wire in decode::<WireObject>(&part.objects)? {
        items.objects.push(Object::try_from(&wire)?);
    }
    Ok(())
}

fn encode<T: Serialize>(items: &[T]) -> Vec<Vec<u8>> {
    items
        .iter()
        .filter_map(|item| postcard::to_stdvec(item).ok())
        .collect()
}

fn decode<T: DeserializeOwned>(items: &[Vec<u8>]) -> Result<Vec<T>> {
    items
        .iter()
        .map(|bytes| {
            postcard::from_bytes(bytes)
                .map_err(|error| malformed(format!("sync: item cannot be decoded: {error}")))
        })
        .collect()
}
