//! Copies of the catalogue. Guards against changes that lead to another catalogue than the sender has, and
//! against a malformed copy that ends a process or exhausts its memory.

use {
    cardamomloom_core::error::ErrorKind,
    cardamomloom_protocol::passthrough::{
        COPY_FORMAT, CatalogueCopy, CatalogueDigest, CatalogueDocument, CatalogueStep,
        CatalogueVersion, RouteEdit, RouteEntry, RouteTarget, ServiceEntry,
    },
    proptest::prelude::*,
    std::net::{Ipv4Addr, SocketAddrV4},
};

fn route() -> impl Strategy<Value = RouteEntry> {
    (0..12_u8, 0..3_u8, 0..3_u32, any::<bool>()).prop_map(|(address, service, weight, flag)| {
        RouteEntry {
            name: format!("route-{address}").into(),
            address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, address), 443),
            targets: vec![RouteTarget {
                service: format!("service-{service}").parse().expect("valid name"),
                weight,
            }],
            is_idempotent: flag,
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
        }
    })
}

/// Documents in which addresses may occur more than once, in any order.
fn document(version: u64) -> impl Strategy<Value = CatalogueDocument> {
    let service = any::<u16>().prop_map(|limit| ServiceEntry {
        name: "service-0".parse().expect("valid name"),
        max_connections: u32::from(limit),
        cold_flows_per_s: f64::from(limit) / 8.0,
        cold_for_ms: 2_000,
    });
    (
        prop::collection::vec(route(), 0..16),
        prop::collection::vec(service, 0..2),
        any::<u32>(),
    )
        .prop_map(
            move |(routes, services, idle_timeout_ms)| CatalogueDocument {
                version: CatalogueVersion(version),
                routes,
                services,
                idle_timeout_ms: u64::from(idle_timeout_ms),
            },
        )
}

fn changes(documents: &[CatalogueDocument]) -> CatalogueCopy {
    let last = documents.last().expect("a document");
    CatalogueCopy::Changes {
        steps: documents
            .windows(2)
            .map(|pair| CatalogueStep::between(&pair[0], &pair[1]))
            .collect(),
        digest: CatalogueDigest::of(last).expect("digest"),
    }
}

proptest! {
    #[test]
    fn verify_that_changes_lead_to_the_catalogue_of_the_sender(
        first in document(3),
        second in document(5),
        third in document(9),
    ) {
        let copy = changes(&[first.clone(), second.clone(), third.clone()]);
        let decoded = CatalogueCopy::decode(&copy.encode().expect("encoded")).expect("decoded");
        prop_assert_eq!(decoded.version(), third.version);
        // A receiver that has got a later version in the meantime skips the changes before it.
        for base in [&first, &second] {
            let applied = decoded.clone().apply(Some(base)).expect("applied");
            prop_assert_eq!(&applied, &third);
        }
        prop_assert!(decoded.apply(None).is_err());
    }

    #[test]
    fn verify_that_changes_of_another_base_are_detected(
        first in document(3),
        other in document(3),
        second in document(5),
    ) {
        let applied = changes(&[first.clone(), second.clone()]).apply(Some(&other));
        match applied {
            Ok(applied) => prop_assert_eq!(applied, second),
            Err(error) => prop_assert_eq!(error.kind, ErrorKind::Malformed),
        }
    }

    #[test]
    fn verify_that_malformed_copies_are_errors(
        document in document(3),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let encoded = CatalogueCopy::Full(document).encode().expect("encoded");
        let _ = CatalogueCopy::decode(&encoded[..cut.index(encoded.len())]);
        let mut changed = encoded;
        let position = position.index(changed.len());
        changed[position] = byte;
        // Any result is allowed, but no panic.
        let _ = CatalogueCopy::decode(&changed);
    }
}

#[test]
fn verify_that_the_size_of_a_copy_is_bounded() {
    let mut huge = vec![COPY_FORMAT];
    huge.extend(u32::MAX.to_le_bytes());
    huge.extend([0; 64]);
    let error = CatalogueCopy::decode(&huge).expect_err("the stated size is too large");
    assert_eq!(error.kind, ErrorKind::Malformed);
    let error = CatalogueCopy::decode(&[COPY_FORMAT + 1, 0, 0, 0, 0]).expect_err("unknown format");
    assert_eq!(error.kind, ErrorKind::Malformed);
}

#[test]
fn verify_that_repeated_routes_do_not_exhaust_memory() {
    let base = CatalogueDocument {
        version: CatalogueVersion(1),
        routes: vec![
            RouteEntry {
                name: "route".into(),
                address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
                targets: Vec::new(),
                is_idempotent: true,
                priority: 1,
                response_goal_ms: 0,
                timeout_ms: 0,
            };
            1_000
        ],
        services: Vec::new(),
        idle_timeout_ms: 0,
    };
    let keep = RouteEdit::Keep {
        first: 0,
        count: 1_000,
    };
    let step = CatalogueStep {
        base: CatalogueVersion(1),
        version: CatalogueVersion(2),
        routes: vec![keep; 1_000_000],
        services: None,
        idle_timeout_ms: 0,
    };
    let error = step.apply(&base).expect_err("a billion routes");
    assert_eq!(error.kind, ErrorKind::Malformed);
}
