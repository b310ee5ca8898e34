//! Scores of weighted rendezvous hashing, in integer arithmetic.

use {
    super::{
        Candidate,
        best::{Best, Scored},
    },
    cardamomloom_core::hash::splitmix64,
};

/// Number of fraction bits of a base-2 logarithm.
const LOG_FRACTION_BITS: u32 = 20;

/// Number of bits by which a weight is shifted left before it is divided by a logarithm.
const WEIGHT_SHIFT: u32 = 40;

/// Largest weight that is used; a larger one would overflow the 64 bits of a score.
const MAX_WEIGHT: u64 = (1 << (64 - WEIGHT_SHIFT)) - 1;

/// Ranks the hosts of a table for each bucket.
pub struct Ranking {
    hosts: Vec<RankedHost>,
    /// Whether all nonzero weights are equal. Hashes and scores then have the same order.
    has_equal_weights: bool,
}

struct RankedHost {
    /// Hash of the host id.
    seed: u64,
    weight: u64,
    index: u16,
    domain_index: u16,
}

impl Ranking {
    /// Creates the ranking of the hosts of a table.
    pub fn new(candidates: &[Candidate]) -> Self {
        let mut domains: Vec<&str> = candidates.iter().map(|c| c.domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        let hosts = (0..)
            .zip(candidates)
            .map(|(index, candidate)| RankedHost {
                seed: splitmix64(u64::from(candidate.host.0)),
                weight: u64::from(candidate.weight.0).min(MAX_WEIGHT),
                index,
                domain_index: domains
                    .binary_search(&candidate.domain.as_str())
                    .ok()
                    .and_then(|index| u16::try_from(index).ok())
                    .unwrap_or_default(),
            })
            .collect::<Vec<_>>();
        let mut weights = hosts
            .iter()
            .map(|host| host.weight)
            .filter(|weight| *weight > 0);
        let first = weights.next();
        let has_equal_weights = weights.all(|weight| Some(weight) == first);
        Self {
            hosts,
            has_equal_weights,
        }
    }

    /// Returns the best hosts of a bucket.
    pub fn best(&self, bucket: u32) -> Best {
        let mut best = Best::default();
        let seed = bucket_seed(bucket);
        for host in &self.hosts {
            self.insert_host(&mut best, seed, host);
        }
        best
    }

    /// Returns the best hosts of a bucket, given that `retained` are the best of all but `added`.
    pub fn best_with(&self, bucket: u32, retained: &[u16], added: &[u16]) -> Best {
        let mut best = Best::default();
        let seed = bucket_seed(bucket);
        for index in retained.iter().chain(added) {
            if let Some(host) = self.hosts.get(usize::from(*index)) {
                self.insert_host(&mut best, seed, host);
            }
        }
        best
    }

    #[inline]
    fn insert_host(&self, best: &mut Best, bucket_seed: u64, host: &RankedHost) {
        if host.weight == 0 {
            return;
        }
        let hash = splitmix64(host.seed ^ bucket_seed);
        let scored = |score| Scored {
            score,
            hash,
            index: host.index,
            domain_index: host.domain_index,
        };
        if self.has_equal_weights {
            if best.min_score().is_none_or(|min_score| hash > min_score) {
                best.insert(scored(hash));
            }
            return;
        }
        let weight = host.weight << WEIGHT_SHIFT;
        if let Some(min_score) = best.min_score()
            && u128::from(weight) < u128::from(min_score) * u128::from(negative_log2_bound(hash))
        {
            return;
        }
        // The score of weighted rendezvous hashing is weight / -ln(u) for u uniform in (0, 1).
        // The base of the logarithm does not change the order.
        best.insert(scored(weight / negative_log2(hash).max(1)));
    }
}

const fn bucket_seed(bucket: u32) -> u64 {
    splitmix64(bucket as u64 | 1 << 40)
}

/// Returns a lower bound of [`negative_log2`], at a lower cost because it has no loop.
///
/// -log2(u) is at least (1 - u) / ln 2 for u in (0, 1], and `negative_log2` rounds up.
const fn negative_log2_bound(hash: u64) -> u64 {
    // 1477 / 1024 is slightly less than 1 / ln 2. The shifts leave LOG_FRACTION_BITS.
    ((!hash >> 34) * 1_477) >> (30 - LOG_FRACTION_BITS + 10)
}

/// Returns -log2(hash / 2^64) with [`LOG_FRACTION_BITS`] fraction bits. Does not increase with
/// `hash`.
fn negative_log2(hash: u64) -> u64 {
    let hash = hash.max(1);
    let leading_zeros = hash.leading_zeros();
    // The mantissa lies in [1, 2) with 31 fraction bits.
    let mut mantissa = (hash << leading_zeros) >> 32;
    let mut fraction = 0;
    // Squaring the mantissa doubles its logarithm; a result of 2 or more yields a 1 bit.
    for _ in 0..LOG_FRACTION_BITS {
        mantissa = (mantissa * mantissa) >> 31;
        fraction <<= 1;
        if mantissa >= 1 << 32 {
            mantissa >>= 1;
            fraction |= 1;
        }
    }
    ((u64::from(leading_zeros) + 1) << LOG_FRACTION_BITS) - fraction
}
