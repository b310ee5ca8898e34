//! Incremental updates of candidate tables against full builds.

use {
    cardamomloom_core::{BucketId, DomainName, HostId, ServiceId, Weight},
    cardamomloom_state::candidates::{BUCKETS_PER_SERVICE, Candidate, CandidateTable},
    proptest::{collection::vec, option, prelude::*},
    std::{collections::BTreeMap, net::SocketAddr, str::FromStr},
};

/// Domain, weight and readiness of a host; the choices make changes of rank likely.
type Shape = (u8, u32, bool);

fn shape() -> impl Strategy<Value = Shape> {
    let weight = prop_oneof![6 => Just(1_000), 2 => 1..2_000_u32, 1 => Just(0)];
    (
        prop_oneof![4 => Just(0_u8), 1 => 1..3_u8],
        weight,
        any::<bool>(),
    )
}

/// A host that joins or changes, or that leaves.
type Edit = (u32, Option<Shape>);

fn edits(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Edit>> {
    vec((0..24_u32, option::weighted(0.7, shape())), count)
}

fn candidates(shapes: &BTreeMap<u32, Shape>) -> Vec<Candidate> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let candidate = |(id, shape): (&u32, &Shape)| Candidate {
        host: HostId(*id),
        domain: DomainName::from_str(["a", "b", "c"][usize::from(shape.0)]).expect("valid"),
        data_address: address,
        control_address: address,
        accepts_new: shape.2,
        weight: Weight(shape.1),
    };
    shapes.iter().map(candidate).collect()
}

fn lists(table: &CandidateTable) -> Vec<Vec<HostId>> {
    (0..BUCKETS_PER_SERVICE)
        .map(|bucket| {
            let candidates = table.candidates_of(BucketId(bucket));
            candidates.map(|candidate| candidate.host).collect()
        })
        .collect()
}

/// Tells whether a list is as long as it can be and spans two failure domains if the hosts do.
fn spread_holds(table: &CandidateTable, hosts: &[Candidate], list: &[HostId]) -> bool {
    let ranked = hosts.iter().filter(|host| host.weight.0 > 0);
    let domain_of = |host: &HostId| table.host(*host).map(|host| host.domain.clone());
    let spans = |domains: &[Option<DomainName>]| domains.windows(2).any(|two| two[0] != two[1]);
    let held: Vec<_> = list.iter().map(domain_of).collect();
    let all: Vec<_> = ranked
        .clone()
        .map(|host| Some(host.domain.clone()))
        .collect();
    list.len() == ranked.count().min(4) && (list.len() < 2 || spans(&held) == spans(&all))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against balancers that place differently because one of them applied the changes
    /// one after another and another one started later.
    #[test]
    fn verify_updates_give_the_table_of_a_full_build(
        first in edits(0..24),
        steps in vec(edits(1..4), 1..6),
    ) {
        let mut shapes = BTreeMap::new();
        let mut table = CandidateTable::build(ServiceId(1), [3; 16], Vec::new()).expect("no hosts");
        for edits in std::iter::once(first).chain(steps) {
            for (id, shape) in edits {
                match shape {
                    Some(shape) => shapes.insert(id, shape),
                    None => shapes.remove(&id),
                };
            }
            let hosts = candidates(&shapes);
            table = table.update([3; 16], hosts.clone()).expect("few hosts");
            let built = CandidateTable::build(ServiceId(1), [3; 16], hosts.clone()).expect("few hosts");
            prop_assert_eq!(table.version(), built.version());
            let updated = lists(&table);
            prop_assert!(updated == lists(&built), "update and build differ");
            prop_assert!(updated.iter().all(|list| spread_holds(&table, &hosts, list)));
        }
    }
}
