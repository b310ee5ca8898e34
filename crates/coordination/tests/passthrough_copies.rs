//! Requests for copies of the catalogue and the answers to them.
//!
//! Load pattern: hundreds of processes ask for the same version at once. Guards against a process that
//! sends so many copies at a time that its link is full, and against a process that waits for a slow or
//! dead peer although others have the version.

use {
    cardamomloom_coordination::passthrough::{
        CatalogueView, CopyOutcome, CopyRequest, CopyRequests, CopyResponse, CopyServer,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, CatalogueVersion, CopyRefusal, RouteEntry, RouteTarget,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const OWN_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 99);

const fn peer(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index)
}

/// Returns a catalogue of `routes` routes, the first of which leads to a service that depends on the
/// version.
fn catalogue(version: u64, routes: u16) -> CatalogueDocument {
    let entry = |index: u16| {
        let [a, b] = index.to_be_bytes();
        let service = if index == 0 { version } else { 0 };
        RouteEntry {
            name: format!("route-{index}").into(),
            address: SocketAddrV4::new(Ipv4Addr::new(198, 18, a, b), 443),
            targets: vec![RouteTarget {
                service: format!("service-{service}").parse().expect("valid name"),
                weight: 1,
            }],
            is_idempotent: true,
            priority: 1,
            response_goal_ms: 0,
            timeout_ms: 0,
        }
    };
    CatalogueDocument {
        version: CatalogueVersion(version),
        routes: (0..routes).map(entry).collect(),
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    }
}

fn request(requests: &mut CopyRequests, now: Time) -> Option<Ipv4Addr> {
    let request = requests.next(now, OWN_ADDRESS, CatalogueVersion(1));
    request.map(|CopyRequest { peer, .. }| peer)
}

#[test]
fn verify_that_a_silent_peer_costs_less_than_a_second() {
    let mut requests = CopyRequests::default();
    let mut now = Time::from_millis(1_000);
    for index in 1..=8 {
        requests.observe(now, peer(index), CatalogueVersion(2));
    }
    let first = request(&mut requests, now).expect("a peer is asked at once");
    let started = now;
    let second = loop {
        now = now + Span::from_millis(50);
        if let Some(second) = request(&mut requests, now) {
            break second;
        }
    };
    assert_ne!(first, second);
    assert!(now.since(started) <= Span::from_secs(1));
}

#[test]
fn verify_that_a_failed_peer_is_replaced_at_once() {
    let mut requests = CopyRequests::default();
    let now = Time::from_millis(1_000);
    requests.observe(now, peer(1), CatalogueVersion(2));
    requests.observe(now, peer(2), CatalogueVersion(2));
    let first = request(&mut requests, now).expect("a peer is asked at once");
    requests.on_ended(now, OWN_ADDRESS, first, &CopyOutcome::Failed);
    let second = request(&mut requests, now).expect("the other peer is asked at once");
    assert_ne!(first, second);
    requests.on_ended(now, OWN_ADDRESS, second, &CopyOutcome::Failed);
    assert_eq!(request(&mut requests, now), None, "both have just failed");
    let later = now + Span::from_secs(1);
    assert!(
        request(&mut requests, later).is_some(),
        "nobody is given up"
    );
}

#[test]
fn verify_that_a_refusal_leads_to_the_processes_that_it_names() {
    let mut requests = CopyRequests::default();
    let now = Time::from_millis(1_000);
    requests.observe(now, peer(1), CatalogueVersion(2));
    assert_eq!(request(&mut requests, now), Some(peer(1)));
    let refusal = CopyOutcome::Refused(CopyRefusal {
        version: CatalogueVersion(2),
        holders: vec![peer(7)],
        retry_after_ms: 5_000,
    });
    requests.on_ended(now, OWN_ADDRESS, peer(1), &refusal);
    let later = now + Span::from_millis(250);
    assert_eq!(request(&mut requests, later), Some(peer(7)));
}

#[test]
fn verify_that_nobody_is_asked_for_an_older_version() {
    let mut requests = CopyRequests::default();
    let now = Time::from_millis(1_000);
    requests.observe(now, peer(1), CatalogueVersion(2));
    let request = requests.next(now, OWN_ADDRESS, CatalogueVersion(2));
    assert_eq!(request, None);
}

/// Returns the number of copies and of bytes that a process sends when `receivers` processes ask at once
/// and again every 20 ms for a second.
fn copies_in_a_second(
    server: &mut CopyServer,
    document: &CatalogueDocument,
    base: u64,
    receivers: u8,
) -> (usize, usize) {
    let (mut copies, mut bytes) = (0, 0);
    for step in 0..50 {
        let now = Time::from_millis(1_000 + step * 20);
        for index in 0..receivers {
            let base = CatalogueVersion(base);
            let response = server.respond(now, peer(index), base, Some(document));
            match response.expect("the catalogue can be encoded") {
                CopyResponse::Copy(copy) => {
                    copies += 1;
                    bytes += copy.len();
                }
                CopyResponse::Refused(refusal) => {
                    assert_eq!(refusal.version, document.version);
                    assert!(!refusal.holders.is_empty(), "names receivers of the copy");
                }
            }
        }
        if copies >= usize::from(receivers) {
            break;
        }
    }
    (copies, bytes)
}

#[test]
fn verify_that_whole_copies_leave_room_on_the_link() {
    let mut server = CopyServer::default();
    let document = catalogue(2, 5_545);
    server.on_change(None, &document);
    let (copies, bytes) = copies_in_a_second(&mut server, &document, 0, 200);
    assert!(copies >= 2, "{copies} copies");
    // A link of 10 Mbit/s carries 1,250,000 bytes a second.
    assert!(bytes <= 1_000_000, "{bytes} bytes in a second");
}

#[test]
fn verify_that_one_change_of_a_large_catalogue_is_sent_to_all_at_once() {
    let mut server = CopyServer::default();
    let (previous, present) = (catalogue(2, 5_545), catalogue(3, 5_545));
    server.on_change(None, &previous);
    server.on_change(Some(&previous), &present);
    let (copies, bytes) = copies_in_a_second(&mut server, &present, 2, 200);
    assert_eq!(copies, 200);
    assert!(bytes <= 200 * 256, "{bytes} bytes for one change");
}

#[test]
fn verify_that_a_copy_that_cannot_be_applied_is_replaced_by_a_whole_one() {
    let now = Time::from_millis(1_000);
    let mut sender = CatalogueView::default();
    sender.apply_document(now, catalogue(1, 10));
    sender.apply_document(now, catalogue(2, 10));
    let mut receiver = CatalogueView::default();
    // The same version with other routes, as after a loss of writes.
    receiver.apply_document(now, catalogue(1, 9));
    receiver.observe_version(now, peer(1), CatalogueVersion(2), Span::from_millis(500));
    let mut time = now;
    for expected_base in [1, 0] {
        let request = loop {
            if let Some(request) = receiver.next_copy_request(time, OWN_ADDRESS) {
                break request;
            }
            time = time + Span::from_millis(100);
        };
        assert_eq!(request.base, CatalogueVersion(expected_base));
        let response = sender.copy_for(time, OWN_ADDRESS, request.base);
        let CopyResponse::Copy(copy) = response.expect("the catalogue can be encoded") else {
            panic!("the sender is not busy");
        };
        let outcome = CopyOutcome::Copy(copy.to_vec());
        let document = receiver.on_copy(time, OWN_ADDRESS, request.peer, &outcome);
        if let Some(document) = document {
            receiver.apply_document(time, document);
        }
    }
    assert_eq!(receiver.document(), Some(&catalogue(2, 10)));
}

#[test]
fn verify_that_garbage_from_a_peer_changes_nothing() {
    let now = Time::from_millis(1_000);
    let mut receiver = CatalogueView::default();
    receiver.apply_document(now, catalogue(1, 10));
    receiver.observe_version(now, peer(1), CatalogueVersion(2), Span::from_millis(500));
    for garbage in [vec![], vec![1], vec![9; 100], b"<html>".to_vec()] {
        let outcome = CopyOutcome::Copy(garbage);
        let document = receiver.on_copy(now, OWN_ADDRESS, peer(1), &outcome);
        assert_eq!(document, None);
    }
    assert_eq!(receiver.version(), CatalogueVersion(1));
}
