//! Incremental update of the buckets of a table after hosts have changed.
//!
//! Only buckets that hold a removed host are ranked in full. In other buckets, an added host is
//! compared only with the hosts that the bucket holds, because they alone determine its position,
//! see `Best`.

use super::{CANDIDATES_PER_BUCKET, Candidate, EMPTY, score::Ranking};

/// Buckets of a table.
pub type Buckets = [[u16; CANDIDATES_PER_BUCKET]];

/// Difference between two lists of hosts.
struct Difference {
    /// New index of each old host; [`EMPTY`] for a host that was removed or whose rank may change.
    new_indexes: Vec<u16>,
    /// New indexes of the hosts that were added or whose rank may change.
    added: Vec<u16>,
}

/// Returns the buckets for the hosts `new`, given the buckets for the hosts `old`; both lists are
/// in id order.
///
/// The result equals that of a full build for `new`.
pub fn update(
    old: &[Candidate],
    buckets: &Buckets,
    new: &[Candidate],
) -> Vec<[u16; CANDIDATES_PER_BUCKET]> {
    let ranking = Ranking::new(new);
    let Difference { new_indexes, added } = compare(old, new);
    (0..)
        .zip(buckets)
        .map(|(bucket, present)| {
            let retained = present.map(|index| {
                let index = new_indexes.get(usize::from(index));
                index.copied().unwrap_or(EMPTY)
            });
            if retained.contains(&EMPTY) {
                ranking.best(bucket).indexes()
            } else if added.is_empty() {
                retained
            } else {
                ranking.best_with(bucket, &retained, &added).indexes()
            }
        })
        .collect()
}

/// Returns whether a change from `old` to `new` affects no bucket.
pub fn have_equal_ranks(old: &[Candidate], new: &[Candidate]) -> bool {
    old.len() == new.len()
        && old
            .iter()
            .zip(new)
            .all(|(old, new)| old.host == new.host && has_equal_rank(old, new))
}

/// Returns whether a host has kept the attributes that determine its rank.
fn has_equal_rank(old: &Candidate, new: &Candidate) -> bool {
    old.weight == new.weight && old.domain == new.domain
}

fn compare(old: &[Candidate], new: &[Candidate]) -> Difference {
    let mut difference = Difference {
        new_indexes: vec![EMPTY; old.len()],
        added: Vec::new(),
    };
    let mut old_hosts = old.iter().enumerate().peekable();
    for (new_index, new) in (0..).zip(new) {
        while old_hosts.next_if(|(_, old)| old.host < new.host).is_some() {}
        match old_hosts.next_if(|(_, old)| old.host == new.host) {
            Some((index, old)) if has_equal_rank(old, new) => {
                difference.new_indexes[index] = new_index;
            }
            _ => difference.added.push(new_index),
        }
    }
    difference
}
