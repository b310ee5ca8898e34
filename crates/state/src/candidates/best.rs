//! The best hosts of one bucket, kept while hosts are added in any order.

use super::{CANDIDATES_PER_BUCKET, EMPTY};

/// Positions that go to the best hosts wherever they are.
const FREE_POSITIONS: usize = CANDIDATES_PER_BUCKET - 1;

/// A host with its score for a bucket.
#[derive(Clone, Copy, Debug)]
pub struct Scored {
    /// Score; a higher one ranks first.
    pub score: u64,
    /// Hash of host and bucket, which orders hosts of equal score and is never equal.
    pub hash: u64,
    /// Position in the list of candidates.
    pub index: u16,
    /// Position of the failure domain.
    pub domain_index: u16,
}

impl Scored {
    const fn beats(&self, other: &Self) -> bool {
        self.score > other.score || (self.score == other.score && self.hash > other.hash)
    }
}

/// The best hosts of a bucket.
///
/// All positions but the last hold the best hosts. The last one holds the best host outside their
/// failure domain when they all lie in one, so that the loss of a failure domain leaves a
/// candidate, and the next best host otherwise. What the positions hold after an insertion
/// depends only on the hosts in them, so the order of insertions does not matter and an added
/// host need not be compared with hosts that have no position.
#[derive(Clone, Copy, Debug, Default)]
pub struct Best {
    positions: [Option<Scored>; CANDIDATES_PER_BUCKET],
    /// Least score that can change a position, once hosts of two failure domains are held.
    least: Option<u64>,
}

impl Best {
    /// Returns a score below which [`Best::insert`] changes nothing.
    #[inline]
    pub const fn rejects_score_below(&self) -> Option<u64> {
        self.least
    }

    /// Returns the indexes of the hosts, best first.
    pub fn indexes(&self) -> [u16; CANDIDATES_PER_BUCKET] {
        self.positions
            .map(|scored| scored.map_or(EMPTY, |scored| scored.index))
    }

    /// Adds a host.
    pub fn insert(&mut self, added: Scored) {
        let mut carried = Some(added);
        for position in &mut self.positions[..FREE_POSITIONS] {
            let Some(host) = carried else { break };
            if position.is_none_or(|present| host.beats(&present)) {
                carried = position.replace(host);
            }
        }
        let Some(carried) = carried else { return };
        let last = self.positions[FREE_POSITIONS];
        let chosen = match last {
            Some(last) => self.choose_last(carried, last),
            None => carried,
        };
        self.positions[FREE_POSITIONS] = Some(chosen);
        if self.spans_domains(&self.positions) {
            self.least = Some(chosen.score);
        }
    }

    /// Chooses the host of the last position.
    fn choose_last(&self, one: Scored, other: Scored) -> Scored {
        let better = if one.beats(&other) { one } else { other };
        if self.spans_domains(&self.positions[..FREE_POSITIONS]) {
            return better;
        }
        match (self.is_elsewhere(&one), self.is_elsewhere(&other)) {
            (true, false) => one,
            (false, true) => other,
            _ => better,
        }
    }

    fn spans_domains(&self, positions: &[Option<Scored>]) -> bool {
        positions
            .iter()
            .flatten()
            .any(|host| self.is_elsewhere(host))
    }

    /// Tells whether a host lies in another failure domain than the best one.
    fn is_elsewhere(&self, host: &Scored) -> bool {
        self.positions[0].is_some_and(|first| first.domain_index != host.domain_index)
    }
}
