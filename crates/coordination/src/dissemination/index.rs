//! Digests over identities and ranks of items, by group, so that two processes find differences
//! without listing everything.

use {
    cardamomloom_core::hash::splitmix64, cardamomloom_protocol::control::ItemRank,
    std::collections::BTreeMap,
};

/// Groups of an index. At 4,300 hosts a group has about 67 items, whose list fits one datagram.
pub const GROUPS: usize = 64;

/// Ranks of the items of one kind.
#[derive(Clone, Debug)]
pub struct VersionIndex {
    groups: Vec<BTreeMap<u64, u64>>,
    digests: Vec<u32>,
}

impl Default for VersionIndex {
    fn default() -> Self {
        Self {
            groups: vec![BTreeMap::new(); GROUPS],
            digests: vec![0; GROUPS],
        }
    }
}

impl VersionIndex {
    /// Sets the rank of an item.
    pub fn set(&mut self, id: u64, rank: u64) {
        let group = group_of(id);
        if let Some(old) = self.groups[group].insert(id, rank) {
            self.digests[group] ^= item_digest(id, old);
        }
        self.digests[group] ^= item_digest(id, rank);
    }

    /// Removes an item.
    pub fn remove(&mut self, id: u64) {
        let group = group_of(id);
        if let Some(old) = self.groups[group].remove(&id) {
            self.digests[group] ^= item_digest(id, old);
        }
    }

    /// Returns the rank of an item.
    #[must_use]
    pub fn rank(&self, id: u64) -> Option<u64> {
        self.groups[group_of(id)].get(&id).copied()
    }

    /// Returns the digest of all items.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.digests.iter().fold(0, |all, digest| all ^ digest)
    }

    /// Returns the digest of each group.
    #[must_use]
    pub fn group_digests(&self) -> &[u32] {
        &self.digests
    }

    /// Returns the items of a group whose identities lie in `first..=last`, in id order.
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

    /// Returns all items.
    pub fn all(&self) -> impl Iterator<Item = ItemRank> + '_ {
        self.groups.iter().flatten().map(|(id, rank)| (*id, *rank))
    }
}

/// Returns the group of an item.
#[must_use]
pub const fn group_of(id: u64) -> usize {
    (splitmix64(id) >> 58) as usize
}

/// Returns the digest of one item.
#[must_use]
pub const fn item_digest(id: u64, rank: u64) -> u32 {
    (splitmix64(splitmix64(id) ^ rank) >> 32) as u32
}
