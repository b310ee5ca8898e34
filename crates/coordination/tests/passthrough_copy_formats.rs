//! Spread of the catalogue during a rolling upgrade, when processes of the previous release know no latency
//! goals and timeouts of routes. Guards against a process that gets the catalogue from one of these and
//! never learns the times, and against a process of the previous release that gets a copy which it cannot
//! read.

use {
    cardamomloom_coordination::passthrough::{
        CatalogueView, CopyOutcome, CopyQuery, CopyRequest, CopyResponse,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        CatalogueCopy, CatalogueDocument, CatalogueVersion, CopyFormat, RouteEntry, RouteTarget,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

const START: Time = Time::from_millis(1_000);

fn process(index: usize) -> Ipv4Addr {
    let index = u32::try_from(index).expect("few processes");
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index)
}

/// Returns a catalogue whose first route depends on the version.
fn catalogue(version: u64, response_goal_ms: u64) -> CatalogueDocument {
    let route = |index: u8| RouteEntry {
        name: format!("route-{index}").into(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, index), 443),
        targets: vec![RouteTarget {
            service: "nets".parse().expect("valid name"),
            weight: if index == 0 {
                7 + u32::try_from(version).unwrap_or(0)
            } else {
                1
            },
        }],
        is_idempotent: true,
        priority: 1,
        response_goal_ms,
        timeout_ms: 10 * response_goal_ms,
    };
    CatalogueDocument {
        version: CatalogueVersion(version),
        routes: (0..8).map(route).collect(),
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    }
}

/// A process of the fleet.
struct Process {
    address: Ipv4Addr,
    view: CatalogueView,
    /// Whether the process is of the previous release: it requests and sends format 1 only.
    is_previous: bool,
}

impl Process {
    fn new(index: usize, is_previous: bool) -> Self {
        Self {
            address: process(index),
            view: CatalogueView::default(),
            is_previous,
        }
    }

    fn with(mut self, document: CatalogueDocument) -> Self {
        self.view.apply_document(START, document);
        self
    }

    fn observe(&mut self, now: Time, peer: &Self) {
        let interval = Span::from_millis(500);
        self.view
            .observe_version(now, peer.address, peer.view.version(), interval);
    }

    /// Answers a request, as the endpoint does.
    fn answer(&mut self, now: Time, receiver: &Self, base: CatalogueVersion) -> CopyOutcome {
        let requested = (!receiver.is_previous && !self.is_previous).then_some(2);
        let query = CopyQuery {
            base,
            format: CopyFormat::for_request(requested),
        };
        let response = self.view.copy_for(now, receiver.address, query);
        match response.expect("the catalogue can be encoded") {
            CopyResponse::Copy(copy) => CopyOutcome::Copy(copy.to_vec()),
            CopyResponse::Refused(refusal) => CopyOutcome::Refused(refusal),
        }
    }

    fn end(&mut self, now: Time, peer: Ipv4Addr, outcome: &CopyOutcome) {
        let document = self.view.on_copy(now, self.address, peer, outcome);
        if let Some(document) = document {
            self.view.apply_document(now, document);
        }
    }
}

/// Lets `receiver` ask `sender` until it has sent a request. Returns the outcome.
fn exchange(now: &mut Time, receiver: &mut Process, sender: &mut Process) -> CopyOutcome {
    for _ in 0..200 {
        *now = *now + Span::from_millis(50);
        receiver.observe(*now, sender);
        if let Some(CopyRequest { peer, base }) =
            receiver.view.next_copy_request(*now, receiver.address)
        {
            let outcome = sender.answer(*now, receiver, base);
            receiver.end(*now, peer, &outcome);
            return outcome;
        }
    }
    panic!("no request in 10 s");
}

#[track_caller]
fn copy_of(outcome: &CopyOutcome) -> (CopyFormat, CatalogueCopy) {
    let CopyOutcome::Copy(encoded) = outcome else {
        panic!("refused: {outcome:?}");
    };
    let format = CopyFormat::of(encoded).expect("known format");
    (format, CatalogueCopy::decode(encoded).expect("decoded"))
}

#[test]
fn verify_that_a_process_of_the_previous_release_gets_what_it_reads() {
    let mut now = START;
    let mut sender = Process::new(1, false).with(catalogue(1, 150));
    let mut receiver = Process::new(2, true);
    let whole = exchange(&mut now, &mut receiver, &mut sender);
    let (format, copy) = copy_of(&whole);
    assert_eq!(format, CopyFormat::WithoutTimes);
    assert!(matches!(copy, CatalogueCopy::Full(_)), "{copy:?}");
    sender.view.apply_document(now, catalogue(2, 150));
    let change = exchange(&mut now, &mut receiver, &mut sender);
    let (format, copy) = copy_of(&change);
    assert_eq!(format, CopyFormat::WithoutTimes);
    assert!(matches!(copy, CatalogueCopy::Changes { .. }), "{copy:?}");
    assert_eq!(receiver.view.document(), Some(&catalogue(2, 0)));
}

#[test]
fn verify_that_a_process_of_this_release_gets_the_times() {
    let mut now = START;
    let mut sender = Process::new(1, false).with(catalogue(1, 150));
    let mut receiver = Process::new(2, false);
    exchange(&mut now, &mut receiver, &mut sender);
    sender.view.apply_document(now, catalogue(2, 200));
    exchange(&mut now, &mut receiver, &mut sender);
    assert_eq!(receiver.view.document(), Some(&catalogue(2, 200)));
    assert!(!receiver.view.lacks_times());
}

#[test]
fn verify_that_a_catalogue_without_times_is_replaced_by_one_of_the_same_version() {
    let mut now = START;
    let mut previous = Process::new(1, true).with(catalogue(1, 0));
    let mut receiver = Process::new(2, false);
    let mut informed = Process::new(3, false).with(catalogue(1, 150));
    exchange(&mut now, &mut receiver, &mut previous);
    assert_eq!(receiver.view.document(), Some(&catalogue(1, 0)));
    assert!(receiver.view.lacks_times());
    // Hands on what it has in the format that says so.
    let outcome = receiver.answer(now, &Process::new(4, false), CatalogueVersion(0));
    assert_eq!(copy_of(&outcome).0, CopyFormat::WithoutTimes);
    let refusal = exchange(&mut now, &mut receiver, &mut previous);
    assert!(matches!(refusal, CopyOutcome::Refused(_)), "{refusal:?}");
    // No other process has the version any more.
    now = now + Span::from_secs(31);
    exchange(&mut now, &mut receiver, &mut informed);
    assert_eq!(receiver.view.document(), Some(&catalogue(1, 150)));
    assert!(!receiver.view.lacks_times());
    let outcome = receiver.answer(now, &Process::new(4, false), CatalogueVersion(0));
    assert_eq!(copy_of(&outcome).0, CopyFormat::WithTimes);
}

#[test]
fn verify_that_the_store_replaces_a_catalogue_without_times() {
    let mut now = START;
    let mut previous = Process::new(1, true).with(catalogue(1, 0));
    let mut receiver = Process::new(2, false);
    exchange(&mut now, &mut receiver, &mut previous);
    let is_newer = receiver.view.apply_document(now, catalogue(1, 150));
    assert!(!is_newer, "the version is the same");
    assert_eq!(receiver.view.document(), Some(&catalogue(1, 150)));
    receiver.view.apply_document(now, catalogue(1, 300));
    assert_eq!(receiver.view.document(), Some(&catalogue(1, 150)));
}

/// Guards against a rolling upgrade after which some processes know no times, and against requests for
/// them that exceed the budget of control messages.
#[test]
fn verify_that_a_fleet_knows_the_times_soon_after_a_rolling_upgrade() {
    let mut now = START;
    let mut previous = Process::new(0, true).with(catalogue(1, 0));
    // All but the two readers of the store have got the catalogue from the previous release.
    let mut fleet: Vec<Process> = (1..=60).map(|index| Process::new(index, false)).collect();
    for process in &mut fleet[2..] {
        exchange(&mut now, process, &mut previous);
    }
    for process in &mut fleet[..2] {
        process.view.apply_document(now, catalogue(1, 150));
    }
    let (started, mut requests) = (now, 0_u64);
    while fleet.iter().any(|process| process.view.lacks_times()) {
        now = now + Span::from_millis(100);
        assert!(
            now.since(started) < Span::from_secs(90),
            "not known in time"
        );
        for index in 0..fleet.len() {
            let mut process = fleet.remove(index);
            for peer in &fleet {
                process.observe(now, peer);
            }
            if let Some(request) = process.view.next_copy_request(now, process.address) {
                requests += 1;
                let peer = fleet.iter_mut().find(|peer| peer.address == request.peer);
                let outcome = peer.expect("known").answer(now, &process, request.base);
                process.end(now, request.peer, &outcome);
            }
            fleet.insert(index, process);
        }
    }
    let limit = 60 * (now.since(started).as_millis() / 2_000 + 1);
    assert!(requests <= limit, "{requests} requests, at most {limit}");
    for process in &fleet {
        assert_eq!(process.view.document(), Some(&catalogue(1, 150)));
    }
}
