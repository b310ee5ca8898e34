//! Repair of differences: digests by group, then ranks of a group, then the items themselves.

use {
    super::{
        index::group_of,
        replica::{CONTENT_BYTES, Replica, host_of},
    },
    cardamomloom_core::{NodeId, Time},
    cardamomloom_protocol::{
        control::{HostEntry, ItemRank, Kind, Mark, Message, WireObject, encoded_bytes},
        store_api::Object,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Lists of ranks that one message of digests leads to; later exchanges take the others.
const LISTS_PER_EXCHANGE: usize = 16;

/// Items in all lists of ranks that one message of digests leads to.
const ITEMS_PER_EXCHANGE: usize = 240;

/// Items in one list of ranks: at most 20 bytes each, so that the list fits a datagram.
const ITEMS_PER_LIST: usize = 60;

/// Items that are pushed or asked for in answer to one message.
const ITEMS_PER_ANSWER: usize = 64;

impl Replica {
    /// Returns the message that starts the repair of a kind.
    #[must_use]
    pub fn groups(&self, kind: Kind) -> Message {
        Message::Groups {
            kind,
            digests: self.index(kind).group_digests().to_vec(),
        }
    }

    /// Answers digests of groups with the ranks of groups that differ.
    #[must_use]
    pub fn answer_groups(&self, kind: Kind, digests: &[u32], offset: usize) -> Vec<Message> {
        let own = self.index(kind).group_digests();
        let differing: Vec<usize> = (0..own.len().min(digests.len()))
            .filter(|group| own[*group] != digests[*group])
            .collect();
        // A random start spreads the groups over several peers that answer at the same time.
        let start = offset % differing.len().max(1);
        let mut items = 0;
        differing
            .iter()
            .cycle()
            .skip(start)
            .take(differing.len().min(LISTS_PER_EXCHANGE))
            .take_while(|group| {
                let is_within = items < ITEMS_PER_EXCHANGE;
                items += self.index(kind).items(**group, 0, u64::MAX).count();
                is_within
            })
            .flat_map(|group| self.versions_of(kind, *group))
            .collect()
    }

    fn versions_of(&self, kind: Kind, group: usize) -> Vec<Message> {
        let items: Vec<ItemRank> = self.index(kind).items(group, 0, u64::MAX).collect();
        let Ok(group) = u8::try_from(group) else {
            return Vec::new();
        };
        if items.is_empty() {
            return vec![versions(kind, group, 0, u64::MAX, Vec::new())];
        }
        let count = items.len().div_ceil(ITEMS_PER_LIST);
        let mut first = 0;
        items
            .chunks(ITEMS_PER_LIST)
            .enumerate()
            .map(|(index, chunk)| {
                let is_last = index + 1 == count;
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

    /// Answers ranks of a group: pushes what the sender lacks and asks for what it has newer.
    #[must_use]
    pub fn answer_versions(
        &self,
        from: NodeId,
        kind: Kind,
        group: u8,
        (first, last): (u64, u64),
        items: &[ItemRank],
    ) -> Vec<Message> {
        let mut push = Vec::new();
        let mut want = Vec::new();
        let mut listed = BTreeSet::new();
        for (id, rank) in items {
            listed.insert(*id);
            match self.rank(kind, *id) {
                Some(own) if own > *rank => push.push(*id),
                Some(own) if own == *rank => {}
                _ => want.push(*id),
            }
        }
        let group = usize::from(group);
        push.extend(
            self.index(kind)
                .items(group, first, last)
                .map(|(id, _)| id)
                .filter(|id| group_of(*id) == group && !listed.contains(id)),
        );
        push.truncate(ITEMS_PER_ANSWER);
        want.truncate(ITEMS_PER_ANSWER);
        let mut answers = self.items(from, kind, &push);
        if !want.is_empty() {
            answers.push(Message::Want { kind, ids: want });
        }
        answers
    }

    /// Returns messages with the items of some identities.
    #[must_use]
    pub fn items(&self, from: NodeId, kind: Kind, ids: &[u64]) -> Vec<Message> {
        let ids = ids.iter().take(ITEMS_PER_ANSWER);
        match kind {
            Kind::Mark => {
                let marks: Vec<Mark> = ids.filter_map(|id| self.mark_by_id(*id)).cloned().collect();
                chunks(marks).map(Message::Marks).collect()
            }
            Kind::Object => {
                let objects: Vec<WireObject> = ids
                    .filter_map(|id| self.objects.by_id(*id))
                    .map(WireObject::from)
                    .collect();
                chunks(objects).map(Message::Objects).collect()
            }
            Kind::Host => {
                let entries: Vec<HostEntry> = ids
                    .filter_map(|id| host_of(*id))
                    .filter_map(|host| self.host(host))
                    .cloned()
                    .collect();
                hosts_messages(from, entries)
            }
        }
    }

    /// Returns kind, identity and rank of every item.
    #[must_use]
    pub fn known_items(&self) -> Vec<(Kind, u64, u64)> {
        Kind::ALL
            .into_iter()
            .flat_map(|kind| {
                self.index(kind)
                    .all_items()
                    .map(move |(id, rank)| (kind, id, rank))
            })
            .collect()
    }

    /// Returns the items that a peer lacks that knows some items by kind, identity and rank.
    #[must_use]
    pub fn newer_than(
        &self,
        known: &[(Kind, u64, u64)],
    ) -> (Vec<Object>, Vec<Mark>, Vec<HostEntry>) {
        let known: BTreeMap<(Kind, u64), u64> = known
            .iter()
            .map(|(kind, id, rank)| ((*kind, *id), *rank))
            .collect();
        let newer = |kind: Kind| -> Vec<u64> {
            self.index(kind)
                .all_items()
                .filter(|(id, rank)| known.get(&(kind, *id)).is_none_or(|known| known < rank))
                .map(|(id, _)| id)
                .collect()
        };
        let objects = newer(Kind::Object)
            .iter()
            .filter_map(|id| self.objects.by_id(*id).cloned())
            .collect();
        let marks = newer(Kind::Mark)
            .iter()
            .filter_map(|id| self.mark_by_id(*id).cloned())
            .collect();
        let ended = known
            .keys()
            .filter(|(kind, id)| *kind == Kind::Host && self.index(*kind).rank(*id).is_none())
            .map(|(_, id)| *id);
        let hosts = newer(Kind::Host)
            .into_iter()
            .chain(ended)
            .filter_map(|id| self.host(host_of(id)?).cloned())
            .collect();
        (objects, marks, hosts)
    }

    /// Takes up objects from a peer and returns how many were news and how many malformed.
    pub fn merge_wire_objects(&mut self, objects: &[WireObject]) -> (usize, usize) {
        let (mut news, mut malformed) = (0, 0);
        for wire in objects {
            match Object::try_from(wire) {
                Ok(object) => news += usize::from(self.merge_object(&object)),
                Err(_) => malformed += 1,
            }
        }
        (news, malformed)
    }

    /// Takes up host entries from a peer and returns how many were news.
    pub fn merge_hosts(&mut self, now: Time, entries: &[HostEntry]) -> usize {
        entries
            .iter()
            .filter(|entry| self.merge_host(now, (*entry).clone()))
            .count()
    }
}

const fn versions(kind: Kind, group: u8, first: u64, last: u64, items: Vec<ItemRank>) -> Message {
    Message::Versions {
        kind,
        group,
        first,
        last,
        items,
    }
}

/// Returns messages with host entries that fit a datagram each.
#[must_use]
pub fn hosts_messages(from: NodeId, entries: Vec<HostEntry>) -> Vec<Message> {
    chunks(entries)
        .map(|entries| Message::Hosts { from, entries })
        .collect()
}

/// Returns messages with objects that fit a datagram each.
#[must_use]
pub fn object_messages<'a>(objects: impl Iterator<Item = &'a Object>) -> Vec<Message> {
    chunks(objects.map(WireObject::from).collect())
        .map(Message::Objects)
        .collect()
}

/// Splits items so that each part fits a datagram; an item larger than that is left out and
/// reaches peers over gRPC.
fn chunks<T: serde::Serialize>(items: Vec<T>) -> impl Iterator<Item = Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for item in items {
        let bytes = encoded_bytes(&item);
        if bytes > CONTENT_BYTES {
            continue;
        }
        if bytes > room {
            parts.push(Vec::new());
            room = CONTENT_BYTES;
        }
        room -= bytes;
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts.into_iter()
}
