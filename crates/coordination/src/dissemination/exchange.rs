//! Anti-entropy: repair of differences between the replicas of two processes.
//!
//! Processes exchange the digests of groups of items, then ids and ranks of the items in groups
//! that differ, then the items themselves.

use {
    super::{
        index::group_of,
        replica::{MAX_CONTENT_BYTES, Replica, host_with_id},
    },
    cardamomloom_core::{NodeId, Time},
    cardamomloom_protocol::{
        control::{
            HostEntry, ItemKind, ItemRank, LivenessRecord, Message, WireObject, encoded_bytes,
        },
        store_api::Object,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum number of groups whose ranks are sent in answer to one message of group digests. Later
/// exchanges repair the other groups.
const MAX_GROUPS_PER_EXCHANGE: usize = 16;

/// Number of items after which no ranks of further groups are added to the answer to one message of
/// group digests.
const MAX_ITEMS_PER_EXCHANGE: usize = 240;

/// Maximum number of items in one list of ranks. An item takes at most 20 bytes, so that the list
/// fits in a datagram.
const MAX_ITEMS_PER_LIST: usize = 60;

/// Maximum number of items that are sent, and of items that are requested, in answer to one
/// message.
const MAX_ITEMS_PER_ANSWER: usize = 64;

impl Replica {
    /// Returns the message with which a repair of one kind of items starts.
    #[must_use]
    pub fn groups_message(&self, kind: ItemKind) -> Message {
        Message::Groups {
            kind,
            digests: self.index(kind).group_digests().to_vec(),
        }
    }

    /// Answers the group digests of a peer with the ids and ranks of the items in groups that
    /// differ.
    ///
    /// `offset` selects the differing group to start from.
    #[must_use]
    pub fn answer_groups(&self, kind: ItemKind, digests: &[u32], offset: usize) -> Vec<Message> {
        let local = self.index(kind).group_digests();
        let differing: Vec<usize> = (0..local.len().min(digests.len()))
            .filter(|group| local[*group] != digests[*group])
            .collect();
        // Peers that answer at the same time start at different random groups, so that they do not
        // all answer for the same ones.
        let start = offset % differing.len().max(1);
        let mut item_count = 0;
        differing
            .iter()
            .cycle()
            .skip(start)
            .take(differing.len().min(MAX_GROUPS_PER_EXCHANGE))
            .take_while(|group| {
                let is_below_limit = item_count < MAX_ITEMS_PER_EXCHANGE;
                item_count += self.index(kind).items(**group, 0, u64::MAX).count();
                is_below_limit
            })
            .flat_map(|group| self.group_versions(kind, *group))
            .collect()
    }

    fn group_versions(&self, kind: ItemKind, group: usize) -> Vec<Message> {
        let items: Vec<ItemRank> = self.index(kind).items(group, 0, u64::MAX).collect();
        let Ok(group) = u8::try_from(group) else {
            return Vec::new();
        };
        if items.is_empty() {
            return vec![versions(kind, group, 0, u64::MAX, Vec::new())];
        }
        let list_count = items.len().div_ceil(MAX_ITEMS_PER_LIST);
        let mut first = 0;
        items
            .chunks(MAX_ITEMS_PER_LIST)
            .enumerate()
            .map(|(index, chunk)| {
                let is_last = index + 1 == list_count;
                let last = match chunk.last() {
                    Some((id, _)) if !is_last => *id,
                    _ => u64::MAX,
                };
                let message = versions(kind, group, first, last, chunk.to_vec());
                first = last.saturating_add(1);
                message
            })
            .collect()
    }

    /// Answers the ids and ranks that a peer has in a part of a group: sends the items that are
    /// missing or older there, and requests those that are missing or older here.
    #[must_use]
    pub fn answer_versions(
        &self,
        from: NodeId,
        kind: ItemKind,
        group: u8,
        (first, last): (u64, u64),
        items: &[ItemRank],
    ) -> Vec<Message> {
        let mut outdated_at_peer = Vec::new();
        let mut outdated_here = Vec::new();
        let mut listed = BTreeSet::new();
        for (id, rank) in items {
            listed.insert(*id);
            match self.rank(kind, *id) {
                Some(local) if local > *rank => outdated_at_peer.push(*id),
                Some(local) if local == *rank => {}
                _ => outdated_here.push(*id),
            }
        }
        let group = usize::from(group);
        outdated_at_peer.extend(
            self.index(kind)
                .items(group, first, last)
                .map(|(id, _)| id)
                .filter(|id| group_of(*id) == group && !listed.contains(id)),
        );
        outdated_at_peer.truncate(MAX_ITEMS_PER_ANSWER);
        outdated_here.truncate(MAX_ITEMS_PER_ANSWER);
        let mut answers = self.item_messages(from, kind, &outdated_at_peer);
        if !outdated_here.is_empty() {
            answers.push(Message::Want {
                kind,
                ids: outdated_here,
            });
        }
        answers
    }

    /// Returns messages with the known items among the first `MAX_ITEMS_PER_ANSWER` of `ids`.
    #[must_use]
    pub fn item_messages(&self, from: NodeId, kind: ItemKind, ids: &[u64]) -> Vec<Message> {
        let ids = ids.iter().take(MAX_ITEMS_PER_ANSWER);
        match kind {
            ItemKind::LivenessRecord => {
                let records: Vec<LivenessRecord> = ids
                    .filter_map(|id| self.liveness_record_by_id(*id))
                    .cloned()
                    .collect();
                datagram_chunks(records)
                    .map(Message::LivenessRecords)
                    .collect()
            }
            ItemKind::Object => {
                let objects: Vec<WireObject> = ids
                    .filter_map(|id| self.objects.by_id(*id))
                    .map(WireObject::from)
                    .collect();
                datagram_chunks(objects).map(Message::Objects).collect()
            }
            ItemKind::Host => {
                let entries: Vec<HostEntry> = ids
                    .filter_map(|id| host_with_id(*id))
                    .filter_map(|host| self.host(host))
                    .cloned()
                    .collect();
                hosts_messages(from, entries)
            }
        }
    }

    /// Returns the kind, id and rank of every item in the indexes.
    #[must_use]
    pub fn known_items(&self) -> Vec<(ItemKind, u64, u64)> {
        ItemKind::ALL
            .into_iter()
            .flat_map(|kind| {
                self.index(kind)
                    .all_items()
                    .map(move |(id, rank)| (kind, id, rank))
            })
            .collect()
    }

    /// Returns the items that are missing or older at a peer, including tombstones of hosts that
    /// the peer has as live.
    ///
    /// `known` contains the kind, id and rank of every item of the peer.
    #[must_use]
    pub fn items_newer_than(
        &self,
        known: &[(ItemKind, u64, u64)],
    ) -> (Vec<Object>, Vec<LivenessRecord>, Vec<HostEntry>) {
        let known: BTreeMap<(ItemKind, u64), u64> = known
            .iter()
            .map(|(kind, id, rank)| ((*kind, *id), *rank))
            .collect();
        let newer_ids = |kind: ItemKind| -> Vec<u64> {
            self.index(kind)
                .all_items()
                .filter(|(id, rank)| known.get(&(kind, *id)).is_none_or(|known| known < rank))
                .map(|(id, _)| id)
                .collect()
        };
        let objects = newer_ids(ItemKind::Object)
            .iter()
            .filter_map(|id| self.objects.by_id(*id).cloned())
            .collect();
        let records = newer_ids(ItemKind::LivenessRecord)
            .iter()
            .filter_map(|id| self.liveness_record_by_id(*id).cloned())
            .collect();
        let gone_hosts = known
            .keys()
            .filter(|(kind, id)| *kind == ItemKind::Host && self.index(*kind).rank(*id).is_none())
            .map(|(_, id)| *id);
        let hosts = newer_ids(ItemKind::Host)
            .into_iter()
            .chain(gone_hosts)
            .filter_map(|id| self.host(host_with_id(id)?).cloned())
            .collect();
        (objects, records, hosts)
    }

    /// Merges objects from a peer and returns how many of them changed the replica and how many
    /// were malformed.
    pub fn merge_wire_objects(&mut self, objects: &[WireObject]) -> (usize, usize) {
        let (mut changed, mut malformed) = (0, 0);
        for wire in objects {
            match Object::try_from(wire) {
                Ok(object) => changed += usize::from(self.merge_object(&object)),
                Err(_) => malformed += 1,
            }
        }
        (changed, malformed)
    }

    /// Merges host entries from a peer and returns how many of them changed the replica.
    pub fn merge_hosts(&mut self, now: Time, entries: &[HostEntry]) -> usize {
        entries
            .iter()
            .filter(|entry| self.merge_host(now, (*entry).clone()))
            .count()
    }
}

const fn versions(
    kind: ItemKind,
    group: u8,
    first: u64,
    last: u64,
    items: Vec<ItemRank>,
) -> Message {
    Message::Versions {
        kind,
        group,
        first,
        last,
        items,
    }
}

/// Packs host entries into messages that each fit in a datagram.
#[must_use]
pub fn hosts_messages(from: NodeId, entries: Vec<HostEntry>) -> Vec<Message> {
    datagram_chunks(entries)
        .map(|entries| Message::Hosts { from, entries })
        .collect()
}

/// Packs store objects into messages that each fit in a datagram.
#[must_use]
pub fn object_messages<'a>(objects: impl Iterator<Item = &'a Object>) -> Vec<Message> {
    datagram_chunks(objects.map(WireObject::from).collect())
        .map(Message::Objects)
        .collect()
}

/// Splits items into chunks that each fit in a datagram. A larger item is omitted; it reaches peers
/// over gRPC.
fn datagram_chunks<T: serde::Serialize>(items: Vec<T>) -> impl Iterator<Item = Vec<T>> {
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut free_bytes = 0;
    for item in items {
        let bytes = encoded_bytes(&item);
        if bytes > MAX_CONTENT_BYTES {
            continue;
        }
        if bytes > free_bytes {
            chunks.push(Vec::new());
            free_bytes = MAX_CONTENT_BYTES;
        }
        free_bytes -= bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(item);
        }
    }
    chunks.into_iter()
}
