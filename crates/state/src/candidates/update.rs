//! Brings the buckets of a table to changed hosts without ranking every host again.
//!
//! Only buckets that hold a removed host are ranked in full. An added host is compared with the
//! hosts that a bucket holds, which decide alone where it belongs, see `Best`.

use super::{CANDIDATES_PER_BUCKET, Candidate, EMPTY, score::Ranking};

/// Buckets of a table.
pub type Buckets = [[u16; CANDIDATES_PER_BUCKET]];

struct Difference {
    /// New index of each old host; [`EMPTY`] for a host that was removed or ranks differently.
    renumbered: Vec<u16>,
    /// New indexes of hosts that were added or rank differently.
    added: Vec<u16>,
}

/// Returns the buckets for `after`, given those for `before`; both lists are in id order.
///
/// The result equals that of a full build.
pub fn update(
    before: &[Candidate],
    buckets: &Buckets,
    after: &[Candidate],
) -> Vec<[u16; CANDIDATES_PER_BUCKET]> {
    let ranking = Ranking::new(after);
    let Difference { renumbered, added } = compare(before, after);
    (0..)
        .zip(buckets)
        .map(|(bucket, present)| {
            let kept = present.map(|index| {
                let index = renumbered.get(usize::from(index));
                index.copied().unwrap_or(EMPTY)
            });
            if kept.contains(&EMPTY) {
                ranking.best(bucket).indexes()
            } else if added.is_empty() {
                kept
            } else {
                ranking.best_with(bucket, &kept, &added).indexes()
            }
        })
        .collect()
}

/// Tells whether a change from `before` to `after` leaves every bucket as it is.
pub fn ranks_equally(before: &[Candidate], after: &[Candidate]) -> bool {
    before.len() == after.len()
        && before
            .iter()
            .zip(after)
            .all(|(old, new)| old.host == new.host && same_rank(old, new))
}

fn same_rank(old: &Candidate, new: &Candidate) -> bool {
    old.weight == new.weight && old.domain == new.domain
}

fn compare(before: &[Candidate], after: &[Candidate]) -> Difference {
    let mut difference = Difference {
        renumbered: vec![EMPTY; before.len()],
        added: Vec::new(),
    };
    let mut old_hosts = before.iter().enumerate().peekable();
    for (new_index, new) in (0..).zip(after) {
        while old_hosts.next_if(|(_, old)| old.host < new.host).is_some() {}
        match old_hosts.next_if(|(_, old)| old.host == new.host) {
            Some((index, old)) if same_rank(old, new) => difference.renumbered[index] = new_index,
            _ => difference.added.push(new_index),
        }
    }
    difference
}
