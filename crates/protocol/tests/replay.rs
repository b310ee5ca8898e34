//! Tests of the replay protection of control datagrams, against a set of sequence numbers as
//! oracle.

use {
    cardamomloom_core::Incarnation,
    cardamomloom_protocol::control::{MAX_SENDERS, Origin, ReplayGuard},
    proptest::prelude::*,
    std::collections::HashSet,
};

const fn origin(sender: u64, incarnation: u64, sequence: u64) -> Origin {
    Origin {
        sender,
        incarnation: Incarnation(incarnation),
        sequence,
    }
}

/// Guards against datagrams of an earlier incarnation being accepted after a restart.
#[test]
fn verify_earlier_incarnation_is_rejected() {
    let mut guard = ReplayGuard::default();
    assert!(guard.accept(&origin(1, 1, 50)));
    assert!(guard.accept(&origin(1, 2, 1)));
    assert!(!guard.accept(&origin(1, 1, 51)));
}

/// Guards against unbounded memory use when senders come and go for a long time.
#[test]
fn verify_number_of_senders_is_limited() {
    let mut guard = ReplayGuard::default();
    for sender in 0..MAX_SENDERS as u64 + 10 {
        assert!(guard.accept(&origin(sender, 1, 1)));
    }
    assert_eq!(guard.len(), MAX_SENDERS);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a datagram that is accepted twice, and against rejecting a reordered datagram
    /// within the window as a replay.
    #[test]
    fn verify_each_datagram_is_accepted_once(offsets in prop::collection::vec(0_u64..64, 1..200)) {
        let mut guard = ReplayGuard::default();
        let mut received = HashSet::new();
        for (step, offset) in offsets.iter().enumerate() {
            let sequence = 64 + step as u64 - offset;
            prop_assert_eq!(guard.accept(&origin(1, 1, sequence)), received.insert(sequence));
        }
    }
}
