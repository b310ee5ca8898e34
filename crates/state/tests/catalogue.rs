//! Tests that invalid objects, conflicting claims and old versions leave the catalogue in force
//! unaffected.

use {
    cardamomloom_core::{ObjectVersion, ServiceId, error::Result},
    cardamomloom_protocol::store_api::Object,
    cardamomloom_state::{
        catalogue::{Applied, Catalogue},
        hosts::HostTable,
        routing::RoutingTable,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc},
};

fn service(name: &str, id: u32, address: &str) -> Value {
    json!({
        "name": name, "id": id, "owner": "nets", "class": "standard",
        "addresses": [address], "port": 80, "slots_per_host": 4, "connections_per_slot": 2_000,
        "hash_key": "00112233445566778899aabbccddeeff",
    })
}

fn object(name: &str, version: u64, value: Option<Value>) -> Object {
    Object {
        key: Arc::from(format!("services/{name}")),
        version: ObjectVersion(version),
        value,
    }
}

fn version_of(catalogue: &Catalogue, key: &str) -> Option<ObjectVersion> {
    let mut versions = catalogue.versions();
    versions.find(|(k, _)| k == key).map(|(_, version)| version)
}

/// Guards against an invalid object that replaces a valid one, or that is not reported.
#[test]
fn verify_invalid_object_is_reported_and_not_in_force() -> Result<()> {
    let mut catalogue = Catalogue::default();
    let valid = service("bookings", 1, "203.0.113.1");
    catalogue.apply(&object("bookings", 5, Some(valid.clone())))?;
    let mut invalid = valid.clone();
    invalid["port"] = json!(0);
    let rejected = object("bookings", 6, Some(invalid));
    assert!(catalogue.apply(&rejected).is_err());
    assert_eq!(catalogue.apply(&rejected)?, Applied::Stale);

    assert_eq!(
        catalogue
            .services()
            .map(|spec| spec.port)
            .collect::<Vec<_>>(),
        [80]
    );
    let reports: Vec<_> = catalogue.rejected().cloned().collect();
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].version, ObjectVersion(6));
    assert!(
        reports[0]
            .reason
            .contains("\"port\" is 0; allowed is 1 to 65535")
    );

    catalogue.apply(&object("bookings", 7, Some(valid)))?;
    assert_eq!(catalogue.rejected().count(), 0);
    Ok(())
}

/// Guards against a conflict over an address or id that blocks updates of all other services, and
/// against processes that disagree because they received the objects in different orders.
#[test]
fn verify_conflicting_claims_do_not_affect_other_services() -> Result<()> {
    let objects = [
        object("bookings", 5, Some(service("bookings", 1, "203.0.113.1"))),
        object(
            "copy-of-address",
            9,
            Some(service("copy-of-address", 2, "203.0.113.1")),
        ),
        object(
            "a-copy-of-id",
            8,
            Some(service("a-copy-of-id", 1, "203.0.113.3")),
        ),
        object("fixtures", 10, Some(service("fixtures", 4, "203.0.113.4"))),
    ];
    let address = |text: &str| text.parse::<SocketAddr>().map_err(|_| ());
    for rotation in 0..objects.len() {
        let mut catalogue = Catalogue::default();
        let mut routing = RoutingTable::default();
        for index in 0..objects.len() {
            catalogue.apply(&objects[(index + rotation) % objects.len()])?;
            routing = routing.rebuild(&catalogue, &HostTable::default())?;
        }
        let holder = |text: &str| {
            let table = routing.lookup(&address(text).ok()?)?;
            routing.name(table.service()).map(ToString::to_string)
        };
        assert_eq!(holder("203.0.113.1:80").as_deref(), Some("bookings"));
        assert_eq!(holder("203.0.113.3:80"), None);
        assert_eq!(holder("203.0.113.4:80").as_deref(), Some("fixtures"));
        assert!(routing.service(ServiceId(2)).is_some());
        assert_eq!(
            routing
                .problems()
                .iter()
                .map(AsRef::as_ref)
                .collect::<Vec<_>>(),
            [
                "routing: service a-copy-of-id states id 1, which service bookings has",
                "routing: service copy-of-address states 203.0.113.1:80, which service bookings has",
            ]
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a version in force that decreases when the store responds with older
    /// versions.
    #[test]
    fn verify_versions_never_decrease(versions in prop::collection::vec(1_u64..20, 1..60), kinds in prop::array::uniform20(0_u8..4)) {
        let mut catalogue = Catalogue::default();
        let mut highest = ObjectVersion(0);
        for version in versions {
            // The store returns the same value whenever it returns a version.
            let kind = kinds[usize::try_from(version).unwrap_or_default()];
            let mut value = service("bookings", 1, "203.0.113.1");
            value["slow_start_ms"] = json!(version);
            let value = match kind {
                0 => None,
                1 => Some(json!({"name": "bookings"})),
                _ => Some(value),
            };
            let is_valid = kind != 1;
            let _ = catalogue.apply(&object("bookings", version, value));
            let present = version_of(&catalogue, "services/bookings").unwrap_or_default();
            prop_assert!(present >= highest, "version in force decreased from {highest} to {present}");
            if is_valid {
                prop_assert!(present >= ObjectVersion(version));
            }
            highest = present;
            if let Some(spec) = catalogue.services().next() {
                prop_assert_eq!(spec.slow_start_ms, present.0);
            }
        }
    }
}
