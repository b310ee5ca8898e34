//! Scores of weighted rendezvous hashing in integer arithmetic.

use super::{CANDIDATES_PER_BUCKET, Candidate, EMPTY};

/// Fraction bits of the base-2 logarithm.
const LOG_FRACTION_BITS: u32 = 20;

/// Scores hosts for buckets.
pub struct Ranking {
    hosts: Vec<RankedHost>,
    /// With equal weights the order of the raw hashes is the order of the scores.
    equal_weights: bool,
}

struct RankedHost {
    seed: u64,
    weight: u64,
    domain_index: u16,
}

#[derive(Clone, Copy)]
struct Scored {
    score: u64,
    index: u16,
    domain_index: u16,
}

impl Ranking {
    /// Prepares the hosts of a table.
    pub fn new(candidates: &[Candidate]) -> Self {
        let mut domains: Vec<&str> = candidates.iter().map(|c| c.domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        let hosts = candidates
            .iter()
            .map(|candidate| RankedHost {
                seed: mix(u64::from(candidate.host.0)),
                weight: u64::from(candidate.weight.0),
                domain_index: domains
                    .binary_search(&candidate.domain.as_str())
                    .ok()
                    .and_then(|index| u16::try_from(index).ok())
                    .unwrap_or_default(),
            })
            .collect::<Vec<_>>();
        let equal_weights = hosts
            .windows(2)
            .all(|pair| pair[0].weight == pair[1].weight);
        Self {
            hosts,
            equal_weights,
        }
    }

    /// Returns the indexes of the best hosts of a bucket.
    ///
    /// When the best hosts all lie in one failure domain, the last position goes to the best
    /// host of another one, so that the loss of a failure domain leaves a candidate.
    pub fn best(&self, bucket: u32) -> [u16; CANDIDATES_PER_BUCKET] {
        let bucket_seed = mix(u64::from(bucket) | 1 << 40);
        let mut best = [const { None::<Scored> }; CANDIDATES_PER_BUCKET];
        let mut best_elsewhere: [Option<Scored>; 2] = [None, None];
        for (index, host) in self.hosts.iter().enumerate() {
            if host.weight == 0 {
                continue;
            }
            let scored = Scored {
                score: self.score(host, bucket_seed),
                index: u16::try_from(index).unwrap_or(EMPTY),
                domain_index: host.domain_index,
            };
            keep_best_of_two_domains(&mut best_elsewhere, scored);
            insert_sorted(&mut best, scored);
        }
        spread(&mut best, best_elsewhere);
        best.map(|scored| scored.map_or(EMPTY, |scored| scored.index))
    }

    fn score(&self, host: &RankedHost, bucket_seed: u64) -> u64 {
        let hash = mix(host.seed ^ bucket_seed);
        if self.equal_weights {
            return hash;
        }
        // The score of weighted rendezvous hashing is weight / -ln(u) for u uniform in (0, 1).
        // The base of the logarithm does not change the order.
        let log = negative_log2(hash).max(1);
        (host.weight << 40) / log
    }
}

fn insert_sorted(best: &mut [Option<Scored>; CANDIDATES_PER_BUCKET], scored: Scored) {
    let mut carried = Some(scored);
    for slot in best {
        let Some(candidate) = carried else { return };
        if slot.is_none_or(|present| candidate.score > present.score) {
            carried = slot.replace(candidate);
        }
    }
}

/// Keeps the best host overall and the best host of any other failure domain.
fn keep_best_of_two_domains(best: &mut [Option<Scored>; 2], scored: Scored) {
    let [first, second] = best;
    match first {
        Some(present) if scored.score <= present.score => {
            let differs = scored.domain_index != present.domain_index;
            if differs && second.is_none_or(|other| scored.score > other.score) {
                *second = Some(scored);
            }
        }
        Some(present) => {
            if scored.domain_index != present.domain_index {
                *second = Some(*present);
            }
            *first = Some(scored);
        }
        None => *first = Some(scored),
    }
}

fn spread(best: &mut [Option<Scored>; CANDIDATES_PER_BUCKET], best_elsewhere: [Option<Scored>; 2]) {
    let (Some(first), Some(elsewhere)) = (best[0], best_elsewhere[1]) else {
        return;
    };
    let in_one_domain = best
        .iter()
        .flatten()
        .all(|scored| scored.domain_index == first.domain_index);
    if in_one_domain {
        best[CANDIDATES_PER_BUCKET - 1] = Some(elsewhere);
    }
}

/// Finalizer of `SplitMix64` (Steele, Lea and Flood, 2014): every input bit affects every output bit.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns -log2(hash / 2^64) with [`LOG_FRACTION_BITS`] fraction bits.
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
