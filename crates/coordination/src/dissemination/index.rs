//! Digests over the ids and ranks of items, one per group of items.
//!
//! Two processes compare group digests to find out which items differ without listing all of
//! them.

use {
    cardamomloom_core::hash::splitmix64, cardamomloom_protocol::control::ItemRank,
    std::collections::BTreeMap,
};

/// Number of groups in an index. With 4,300 hosts a group has about 67 items, whose list fits one
/// datagram.
pub const GROUP_COUNT: usize = 64;

/// Ids and ranks of all items of one kind, with a digest per group.
///
/// A rank orders the versions of an item: the item with the higher rank replaces the other.
#[derive(Clone, Debug)]
pub struct VersionIndex {
    groups: Vec<BTreeMap<u64, u64>>,
    digests: Vec<u32>,
}

impl Default for VersionIndex {
    fn default() -> Self {
        Self {
            groups: vec![BTreeMap::new(); GROUP_COUNT],
            digests: vec![0; GROUP_COUNT],
        }
    }
}

impl VersionIndex {
    /// Inserts an item or replaces its rank.
    pub fn set(&mut self, id: u64, rank: u64) {
        let group = group_of(id);
        if let Some(old_rank) = self.groups[group].insert(id, rank) {
            self.digests[group] ^= item_digest(id, old_rank);
        }
        self.digests[group] ^= item_digest(id, rank);
    }

    /// Removes an item; does nothing when the index lacks it.
    pub fn remove(&mut self, id: u64) {
        let group = group_of(id);
        if let Some(old_rank) = self.groups[group].remove(&id) {
            self.digests[group] ^= item_digest(id, old_rank);
        }
    }

    /// Returns the rank of an item, or `None` when the index lacks it.
    #[must_use]
    pub fn rank(&self, id: u64) -> Option<u64> {
        self.groups[group_of(id)].get(&id).copied()
    }

    /// Returns the digest over the items of all groups.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.digests
            .iter()
            .fold(0, |combined, digest| combined ^ digest)
    }

    /// Returns the digest of each group, by group number.
    #[must_use]
    pub fn group_digests(&self) -> &[u32] {
        &self.digests
    }

    /// Returns the items of a group whose ids lie in `first..=last`, in ascending order of ids.
    pub fn items(
        &self,
        group: usize,
        first: u64,
        last: u64,
    ) -> impl Iterator<Item = ItemRank> + '_ {
        self.groups
            .get(group)
            .filter(|_| first <= last)
            .into_iter()
            .flat_map(move |items| items.range(first..=last))
            .map(|(id, rank)| (*id, *rank))
    }

    /// Returns the items of all groups, ordered by group and id.
    pub fn all_items(&self) -> impl Iterator<Item = ItemRank> + '_ {
        self.groups.iter().flatten().map(|(id, rank)| (*id, *rank))
    }
}

/// Returns the group number of an item, taken from the six highest bits of its hashed id.
#[must_use]
pub const fn group_of(id: u64) -> usize {
    (splitmix64(id) >> 58) as usize
}

/// Returns the digest of one item. Digests of several items are combined with exclusive or, so
/// that their order does not matter and adding or removing one item takes constant time.
#[must_use]
pub const fn item_digest(id: u64, rank: u64) -> u32 {
    (splitmix64(splitmix64(id) ^ rank) >> 32) as u32
}
