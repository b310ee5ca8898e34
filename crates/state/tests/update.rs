//! Compares incremental updates of candidate tables with full builds.

use {
    cardamomloom_core::{BucketId, DomainName, HostId, ServiceId, Weight},
    cardamomloom_state::candidates::{BUCKETS_PER_SERVICE, Candidate, CandidateTable},
    proptest::{collection::vec, option, prelude::*},
    std::{collections::BTreeMap, net::SocketAddr, str::FromStr},
};

/// Failure domain, weight and readiness of a host.
type HostAttributes = (u8, u32, bool);

/// Generates attributes whose values make changes of rank likely.
fn attributes() -> impl Strategy<Value = HostAttributes> {
    let weight = prop_oneof![6 => Just(1_000), 2 => 1..2_000_u32, 1 => Just(0)];
    (
        prop_oneof![4 => Just(0_u8), 1 => 1..3_u8],
        weight,
        any::<bool>(),
    )
}

/// Id and new attributes of a host that joins or changes, or `None` for a host that leaves.
type Edit = (u32, Option<HostAttributes>);

fn edits(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Edit>> {
    vec((0..24_u32, option::weighted(0.7, attributes())), count)
}

fn candidates(attributes_by_id: &BTreeMap<u32, HostAttributes>) -> Vec<Candidate> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let candidate = |(id, attributes): (&u32, &HostAttributes)| Candidate {
        host: HostId(*id),
        domain: DomainName::from_str(["a", "b", "c"][usize::from(attributes.0)]).expect("valid"),
        data_address: address,
        control_address: address,
        accepts_new: attributes.2,
        weight: Weight(attributes.1),
    };
    attributes_by_id.iter().map(candidate).collect()
}

fn lists(table: &CandidateTable) -> Vec<Vec<HostId>> {
    (0..BUCKETS_PER_SERVICE)
        .map(|bucket| {
            let candidates = table.candidates_of(BucketId(bucket));
            candidates.map(|candidate| candidate.host).collect()
        })
        .collect()
}

/// Returns whether a list of candidates is as long as possible and spans two failure domains if the
/// hosts do.
fn is_full_and_spans_domains(table: &CandidateTable, hosts: &[Candidate], list: &[HostId]) -> bool {
    let ranked = hosts.iter().filter(|host| host.weight.0 > 0);
    let domain_of = |host: &HostId| table.host(*host).map(|host| host.domain.clone());
    let spans = |domains: &[Option<DomainName>]| domains.windows(2).any(|two| two[0] != two[1]);
    let list_domains: Vec<_> = list.iter().map(domain_of).collect();
    let all_domains: Vec<_> = ranked
        .clone()
        .map(|host| Some(host.domain.clone()))
        .collect();
    list.len() == ranked.count().min(4)
        && (list.len() < 2 || spans(&list_domains) == spans(&all_domains))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against balancers that place flows differently because one applied changes one by one
    /// and another started after them.
    #[test]
    fn verify_updates_give_the_table_of_a_full_build(
        initial in edits(0..24),
        steps in vec(edits(1..4), 1..6),
    ) {
        let mut attributes_by_id = BTreeMap::new();
        let mut table = CandidateTable::build(ServiceId(1), [3; 16], Vec::new()).expect("no hosts");
        for edits in std::iter::once(initial).chain(steps) {
            for (id, attributes) in edits {
                match attributes {
                    Some(attributes) => attributes_by_id.insert(id, attributes),
                    None => attributes_by_id.remove(&id),
                };
            }
            let hosts = candidates(&attributes_by_id);
            table = table.update([3; 16], hosts.clone()).expect("few hosts");
            let built = CandidateTable::build(ServiceId(1), [3; 16], hosts.clone()).expect("few hosts");
            prop_assert_eq!(table.version(), built.version());
            let updated = lists(&table);
            prop_assert!(updated == lists(&built), "update and build differ");
            prop_assert!(updated.iter().all(|list| is_full_and_spans_domains(&table, &hosts, list)));
        }
    }
}
