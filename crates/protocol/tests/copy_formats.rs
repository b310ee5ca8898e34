//! Copies and snapshots beside processes of the previous release. Guards against a catalogue that one of
//! the two releases cannot read, or reads with other contents, during a rolling upgrade.

use {
    cardamomloom_core::error::ErrorKind,
    cardamomloom_protocol::passthrough::{
        CatalogueCopy, CatalogueDigest, CatalogueDocument, CatalogueStep, CatalogueVersion,
        CopyFormat, RouteEntry, RouteTarget, ServiceEntry, Snapshot,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

/// Version 3 as the previous release encodes it.
const FULL: &str = "0173000000f30b00030407726f7574652d31c6120001bb0301046e65747302010117005e32c612000217005e33c612000317005734c61200041700024e00e0d00f0000000000002940d00f9875";

/// Change from version 3 to version 4 as the previous release encodes it.
const CHANGES: &str = "012d000000f01e0101030402000003010107726f7574652d34c6120004bb0301046e657473020102009875c28cfcdbbcdd8d9344";

/// Version 3 in a snapshot of the previous release.
const SNAPSHOT: &str = r#"{"catalogue":{"version":3,"routes":[{"name":"route-1","address":"198.18.0.1:443","targets":[{"service":"nets","weight":2}],"is_idempotent":true,"priority":1},{"name":"route-2","address":"198.18.0.2:443","targets":[{"service":"nets","weight":2}],"is_idempotent":true,"priority":1},{"name":"route-3","address":"198.18.0.3:443","targets":[{"service":"nets","weight":2}],"is_idempotent":true,"priority":1},{"name":"route-4","address":"198.18.0.4:443","targets":[{"service":"nets","weight":2}],"is_idempotent":true,"priority":1}],"services":[{"name":"nets","max_connections":2000,"cold_flows_per_s":12.5,"cold_for_ms":2000}],"idle_timeout_ms":15000},"standing":null,"confirmed_ago_ms":null,"balancers":[],"hosts":[]}"#;

/// Returns a version whose last route has `priority`, and whose routes have these times.
fn document(version: u64, priority: u8, times_ms: (u64, u64)) -> CatalogueDocument {
    let route = |index: u8| RouteEntry {
        name: format!("route-{index}").into(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, index), 443),
        targets: vec![RouteTarget {
            service: "nets".parse().expect("valid name"),
            weight: 2,
        }],
        is_idempotent: true,
        priority: if index == 4 { priority } else { 1 },
        response_goal_ms: times_ms.0,
        timeout_ms: times_ms.1,
    };
    CatalogueDocument {
        version: CatalogueVersion(version),
        routes: (1..=4).map(route).collect(),
        services: vec![ServiceEntry {
            name: "nets".parse().expect("valid name"),
            max_connections: 2_000,
            cold_flows_per_s: 12.5,
            cold_for_ms: 2_000,
        }],
        idle_timeout_ms: 15_000,
    }
}

fn bytes(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2).map(|at| &digits[at..at + 2]);
    let byte = |pair| u8::from_str_radix(pair, 16).expect("hexadecimal digits");
    pairs.map(byte).collect()
}

#[test]
fn verify_that_copies_of_the_previous_release_are_read_and_written() {
    let format = CopyFormat::WithoutTimes;
    let first = document(3, 1, (150, 1_200));
    assert_eq!(CopyFormat::of(&bytes(FULL)).expect("known"), format);
    let full = CatalogueCopy::decode(&bytes(FULL)).expect("decoded");
    assert_eq!(full, CatalogueCopy::Full(document(3, 1, (0, 0))));
    let written = CatalogueCopy::Full(first.clone()).encode_as(format);
    assert_eq!(written.expect("encoded"), bytes(FULL));

    let second = document(4, 2, (150, 1_200));
    let changes = CatalogueCopy::decode(&bytes(CHANGES)).expect("decoded");
    let applied = changes.apply_as(format, Some(&first)).expect("applied");
    assert_eq!(applied, document(4, 2, (0, 0)));
    let written = CatalogueCopy::Changes {
        steps: vec![CatalogueStep::between(&first, &second)],
        digest: CatalogueDigest::in_format(format, &second).expect("digest"),
    };
    let written = written.encode_as(format);
    assert_eq!(written.expect("encoded"), bytes(CHANGES));
}

/// Guards against times that get lost in format 2, and against changes that apply to a catalogue without
/// times and leave it without them.
#[test]
fn verify_that_the_newest_format_has_times() {
    let (first, second) = (document(3, 1, (150, 1_200)), document(4, 2, (150, 1_200)));
    let encoded = CatalogueCopy::Full(first.clone()).encode();
    let decoded = CatalogueCopy::decode(&encoded.expect("encoded")).expect("decoded");
    assert_eq!(decoded, CatalogueCopy::Full(first.clone()));
    let changes = CatalogueCopy::Changes {
        steps: vec![CatalogueStep::between(&first, &second)],
        digest: CatalogueDigest::of(&second).expect("digest"),
    };
    let without_times = document(3, 1, (0, 0));
    let error = changes.apply(Some(&without_times)).expect_err("other base");
    assert_eq!(error.kind, ErrorKind::Malformed);
}

#[test]
fn verify_that_a_request_gets_the_newest_format_that_both_know() {
    for (requested, expected) in [
        (None, 1),
        (Some(0), 1),
        (Some(1), 1),
        (Some(2), 2),
        (Some(9), 2),
    ] {
        assert_eq!(CopyFormat::for_request(requested).number(), expected);
    }
    assert!("3".parse::<CopyFormat>().is_err());
    assert_eq!("2".parse(), Ok(CopyFormat::WithTimes));
}

#[test]
fn verify_that_snapshots_are_read_by_both_releases() {
    let read: Snapshot = serde_json::from_str(SNAPSHOT).expect("snapshot");
    assert_eq!(read.catalogue, Some(document(3, 1, (0, 0))));
    // The previous release ignores unknown fields; all that it knows must be there.
    let snapshot = Snapshot {
        catalogue: Some(document(3, 1, (150, 1_200))),
        ..Snapshot::default()
    };
    let mut written = serde_json::to_value(snapshot).expect("JSON");
    let routes = written["catalogue"]["routes"].as_array_mut();
    for route in routes.expect("routes") {
        let fields = route.as_object_mut().expect("route");
        assert_eq!(fields.remove("response_goal_ms"), Some(150.into()));
        assert_eq!(fields.remove("timeout_ms"), Some(1_200.into()));
    }
    let known: serde_json::Value = serde_json::from_str(SNAPSHOT).expect("JSON");
    assert_eq!(written, known);
}
