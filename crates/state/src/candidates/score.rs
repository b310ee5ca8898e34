//! Scores of weighted rendezvous hashing in integer arithmetic.

use {
    super::{
        Candidate,
        best::{Best, Scored},
    },
    cardamomloom_core::hash::splitmix64,
};

/// Fraction bits of the base-2 logarithm.
const LOG_FRACTION_BITS: u32 = 20;

/// Bits that a weight is shifted by before the division by a logarithm.
const WEIGHT_SHIFT: u32 = 40;

/// Largest weight that counts; a larger one would leave the 64 bits of a score.
const MAX_WEIGHT: u64 = (1 << (64 - WEIGHT_SHIFT)) - 1;

/// Scores hosts for buckets.
pub struct Ranking {
    hosts: Vec<RankedHost>,
    /// With equal weights the order of the raw hashes is the order of the scores.
    equal_weights: bool,
}

struct RankedHost {
    seed: u64,
    weight: u64,
    index: u16,
    domain_index: u16,
}

impl Ranking {
    /// Prepares the hosts of a table.
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
        let equal_weights = weights.all(|weight| Some(weight) == first);
        Self {
            hosts,
            equal_weights,
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

    /// Returns the best hosts of a bucket in which `kept` were the best of all but `added`.
    pub fn best_with(&self, bucket: u32, kept: &[u16], added: &[u16]) -> Best {
        let mut best = Best::default();
        let seed = bucket_seed(bucket);
        for index in kept.iter().chain(added) {
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
        if self.equal_weights {
            if best.rejects_score_below().is_none_or(|least| hash > least) {
                best.insert(scored(hash));
            }
            return;
        }
        let weight = host.weight << WEIGHT_SHIFT;
        if let Some(least) = best.rejects_score_below()
            && u128::from(weight) < u128::from(least) * u128::from(least_negative_log2(hash))
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

/// Returns a lower bound of [`negative_log2`] without its loop.
///
/// -log2(u) is at least (1 - u) / ln 2 for u in (0, 1], and `negative_log2` rounds up.
const fn least_negative_log2(hash: u64) -> u64 {
    // 1477 / 1024 is slightly less than 1 / ln 2. The shifts leave LOG_FRACTION_BITS.
    ((!hash >> 34) * 1_477) >> (30 - LOG_FRACTION_BITS + 10)
}

/// Returns -log2(hash / 2^64) with [`LOG_FRACTION_BITS`] fraction bits. Never grows with `hash`.
fn negative_log2(hash: u64) -> u64 {
    let hash = hash.max(1);
    let leading_zeros = hash.leading_zeros();
    // The mantissa lies in [1, 2) with 31 fraction bits.
    let mut mantissa = (hash << leading_zeros) >> 32;
    let mut fraction = 0;
    // Squaring the mantissa doubles its logarithm; each overflow above 2 yields one bit.
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
