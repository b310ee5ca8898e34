//! The best hosts of a bucket, maintained while hosts are added in any order.

use super::{CANDIDATES_PER_BUCKET, EMPTY};

/// Number of positions that go to the best hosts regardless of their failure domains.
const UNRESTRICTED_POSITIONS: usize = CANDIDATES_PER_BUCKET - 1;

/// A host with its score for a bucket.
#[derive(Clone, Copy, Debug)]
pub struct Scored {
    /// Score; a higher one ranks first.
    pub score: u64,
    /// Hash of host and bucket; orders hosts of equal score and differs for any two hosts.
    pub hash: u64,
    /// Index in the list of candidates.
    pub index: u16,
    /// Index of the failure domain in the sorted list of failure domains.
    pub domain_index: u16,
}

impl Scored {
    const fn ranks_above(&self, other: &Self) -> bool {
        self.score > other.score || (self.score == other.score && self.hash > other.hash)
    }
}

/// The best hosts of a bucket.
///
/// All positions but the last hold the best hosts. If these lie in one failure domain, the last
/// position holds the best host of any other, so that a candidate remains when a failure domain is
/// lost; otherwise it holds the next best host. The positions after an insertion depend only on the
/// added host and the hosts in the positions. So the order of insertions does not matter, and an
/// added host need not be compared with hosts that have no position.
#[derive(Clone, Copy, Debug, Default)]
pub struct Best {
    positions: [Option<Scored>; CANDIDATES_PER_BUCKET],
    /// Lowest score that can change a position; set once the hosts span two failure domains.
    min_score: Option<u64>,
}

impl Best {
    /// Returns the score below which [`Best::insert`] has no effect.
    #[inline]
    pub const fn min_score(&self) -> Option<u64> {
        self.min_score
    }

    /// Returns the candidate indexes of the hosts, best first.
    pub fn indexes(&self) -> [u16; CANDIDATES_PER_BUCKET] {
        self.positions
            .map(|scored| scored.map_or(EMPTY, |scored| scored.index))
    }

    /// Adds a host.
    pub fn insert(&mut self, added: Scored) {
        let mut displaced = Some(added);
        for position in &mut self.positions[..UNRESTRICTED_POSITIONS] {
            let Some(host) = displaced else { break };
            if position.is_none_or(|present| host.ranks_above(&present)) {
                displaced = position.replace(host);
            }
        }
        let Some(displaced) = displaced else { return };
        let last = self.positions[UNRESTRICTED_POSITIONS];
        let chosen = match last {
            Some(last) => self.choose_last(displaced, last),
            None => displaced,
        };
        self.positions[UNRESTRICTED_POSITIONS] = Some(chosen);
        if self.spans_domains(&self.positions) {
            self.min_score = Some(chosen.score);
        }
    }

    /// Returns which of two hosts gets the last position.
    fn choose_last(&self, one: Scored, other: Scored) -> Scored {
        let better = if one.ranks_above(&other) { one } else { other };
        if self.spans_domains(&self.positions[..UNRESTRICTED_POSITIONS]) {
            return better;
        }
        match (
            self.is_in_other_domain(&one),
            self.is_in_other_domain(&other),
        ) {
            (true, false) => one,
            (false, true) => other,
            _ => better,
        }
    }

    fn spans_domains(&self, positions: &[Option<Scored>]) -> bool {
        positions
            .iter()
            .flatten()
            .any(|host| self.is_in_other_domain(host))
    }

    /// Returns whether a host lies in a different failure domain than the best one.
    fn is_in_other_domain(&self, host: &Scored) -> bool {
        self.positions[0].is_some_and(|first| first.domain_index != host.domain_index)
    }
}
