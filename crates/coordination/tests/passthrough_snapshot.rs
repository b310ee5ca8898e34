//! State that a balancer hands to one that starts. Guards against a host that has left, or that has
//! been silent for long, and gets new flows again because a balancer was restarted.

use {
    cardamomloom_coordination::passthrough::balancer::{
        Balancer, BalancerOptions, ForwardingDecision,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            Announcement, CatalogueDocument, CatalogueVersion, DomainStatus, PeerMessage,
            RouteEntry, RouteTarget, RunId, Segment, SegmentFlags, StoreRevision,
        },
    },
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddrV4},
    },
};

const LIVE_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const SILENT_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
const DEPARTED_AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn balancer(last_octet: u8, now: Time) -> Balancer {
    let address = Ipv4Addr::new(10, 0, 0, last_octet);
    Balancer::new(BalancerOptions::default(), address, &[], now)
}

fn announce(balancer: &mut Balancer, now: Time, agent: Ipv4Addr, state: HostState) {
    let announcement = Announcement {
        agent,
        process: RunId(1),
        sequence: now.as_millis(),
        revision: 1,
        service: "service-0".parse().expect("valid name"),
        domain: "domain-0".parse().expect("valid name"),
        run: RunId(1),
        state,
        catalogue: CatalogueVersion(1),
        interval_ms: 250,
        rerouted_addresses: Vec::new(),
        asks_hosts: None,
    };
    balancer.on_message(now, PeerMessage::Announcement(announcement));
}

fn syn(port: u16) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        destination: SERVICE_ADDRESS,
        flags: SegmentFlags {
            is_syn: true,
            ..SegmentFlags::default()
        },
        sequence: 1,
        acknowledgment: 0,
        payload_bytes: 0,
        response_status: None,
    }
}

#[test]
fn verify_that_a_restarted_balancer_uses_no_host_that_is_silent_or_gone() {
    let mut running = balancer(1, Time::ZERO);
    running.on_catalogue(
        Time::ZERO,
        CatalogueDocument {
            version: CatalogueVersion(1),
            routes: vec![RouteEntry {
                name: "route-0".into(),
                address: SERVICE_ADDRESS,
                targets: vec![RouteTarget {
                    service: "service-0".parse().expect("valid name"),
                    weight: 1,
                }],
                is_idempotent: true,
                priority: 1,
                response_goal_ms: 0,
                timeout_ms: 0,
            }],
            services: Vec::new(),
            idle_timeout_ms: 12_000,
        },
    );
    let status = DomainStatus {
        era: None,
        revision: StoreRevision(1),
        domains_out: BTreeSet::new(),
    };
    running.on_domain_status(Time::ZERO, status);
    let mut now = Time::from_millis(100);
    announce(&mut running, now, SILENT_AGENT, HostState::Ready);
    announce(&mut running, now, DEPARTED_AGENT, HostState::Gone);
    for _ in 0..20 {
        now = now + Span::from_millis(250);
        announce(&mut running, now, LIVE_AGENT, HostState::Ready);
        running.on_tick(now);
    }
    let mut restarted = balancer(2, now);
    restarted.on_snapshot(now, running.snapshot(now));
    for port in 1..200 {
        let decision = restarted.on_packet(now, &syn(port));
        let ForwardingDecision::Forward { to, .. } = decision else {
            panic!("not placed: {decision:?}");
        };
        assert_eq!(to, LIVE_AGENT);
    }
}
