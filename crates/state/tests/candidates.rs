//! Tests of candidate tables: equality, balance, disruption by joins, and weights.

use {
    cardamomloom_core::{BucketId, DomainName, HostId, ServiceId, Weight},
    cardamomloom_state::candidates::{
        BUCKETS_PER_SERVICE, CANDIDATES_PER_BUCKET, Candidate, CandidateTable,
    },
    std::{collections::BTreeMap, net::SocketAddr, str::FromStr},
};

const DOMAINS: [&str; 3] = ["tas-hobart", "tas-launceston", "tas-devonport"];

fn candidate(index: u32) -> Candidate {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000));
    Candidate {
        host: HostId(index + 1),
        domain: DomainName::from_str(DOMAINS[index as usize % DOMAINS.len()]).expect("valid name"),
        data_address: address,
        control_address: address,
        accepts_new: true,
        weight: Weight::STANDARD,
    }
}

fn table(candidates: Vec<Candidate>) -> CandidateTable {
    CandidateTable::build(ServiceId(1), [3; 16], candidates).expect("few hosts")
}

fn first_candidates(table: &CandidateTable) -> Vec<HostId> {
    (0..BUCKETS_PER_SERVICE)
        .filter_map(|bucket| table.first(BucketId(bucket), true))
        .map(|candidate| candidate.host)
        .collect()
}

fn shares(first_candidates: &[HostId]) -> BTreeMap<HostId, usize> {
    let mut shares = BTreeMap::new();
    for host in first_candidates {
        *shares.entry(*host).or_default() += 1;
    }
    shares
}

/// Guards against balancers that place flows differently because they learned hosts in another
/// order.
#[test]
fn verify_table_does_not_depend_on_the_order_of_hosts() {
    let forward: Vec<_> = (0..9).map(candidate).collect();
    let backward: Vec<_> = (0..9).rev().map(candidate).collect();
    let (forward, backward) = (table(forward), table(backward));
    assert_eq!(forward.version(), backward.version());
    assert_eq!(first_candidates(&forward), first_candidates(&backward));
}

/// Guards against an uneven table: no host may get more than 1.10 times the mean share.
#[test]
fn verify_seven_equal_hosts_get_equal_shares() {
    let shares = shares(&first_candidates(&table((0..7).map(candidate).collect())));
    let mean = f64::from(BUCKETS_PER_SERVICE) / 7.0;
    let max = shares.values().max().copied().unwrap_or_default();
    assert!(max as f64 / mean <= 1.10, "{shares:?}");
}

/// Guards against weights that have no effect on placement.
#[test]
fn verify_a_double_weight_gets_a_double_share() {
    let mut hosts: Vec<_> = (0..4).map(candidate).collect();
    hosts[0].weight = Weight(2_000);
    let shares = shares(&first_candidates(&table(hosts)));
    let double = shares[&HostId(1)] as f64;
    let single = shares[&HostId(2)] as f64;
    assert!((1.8..2.2).contains(&(double / single)), "{shares:?}");
}

/// Guards against a join that moves buckets between existing hosts.
#[test]
fn verify_a_join_moves_buckets_only_to_the_new_host() {
    let before = first_candidates(&table((0..7).map(candidate).collect()));
    let after = first_candidates(&table((0..8).map(candidate).collect()));
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    assert!(moved.clone().all(|(_, new)| *new == HostId(8)));
    let expected = BUCKETS_PER_SERVICE as usize / 8;
    assert!((expected * 8 / 10..expected * 12 / 10).contains(&moved.count()));
}

/// Guards against a bucket that loses all candidates together with one failure domain.
#[test]
fn verify_every_bucket_spans_two_failure_domains() {
    let table = table((0..30).map(candidate).collect());
    for bucket in 0..BUCKETS_PER_SERVICE {
        let candidates: Vec<_> = table.candidates_of(BucketId(bucket)).collect();
        assert_eq!(candidates.len(), CANDIDATES_PER_BUCKET);
        let first = &candidates[0].domain;
        assert!(
            candidates
                .iter()
                .any(|candidate| candidate.domain != *first)
        );
    }
}

/// Guards against new flows being sent to a draining host.
#[test]
fn verify_new_flows_skip_draining_hosts() {
    let mut hosts: Vec<_> = (0..3).map(candidate).collect();
    hosts[0].accepts_new = false;
    let table = table(hosts);
    assert!(!first_candidates(&table).contains(&HostId(1)));
    let established = (0..BUCKETS_PER_SERVICE)
        .filter_map(|bucket| table.first(BucketId(bucket), false))
        .any(|candidate| candidate.host == HostId(1));
    assert!(
        established,
        "a draining host must keep its buckets for established flows"
    );
}
