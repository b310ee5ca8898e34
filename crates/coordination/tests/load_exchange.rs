//! Network cost of the load exchange between agents.

use {
    cardamomloom_coordination::admission::{LoadExchange, LoadExchangeOptions},
    cardamomloom_core::{DomainName, HostId, Incarnation, ServiceId, Time, Weight},
    cardamomloom_protocol::control::{HostEntry, HostState, Origin, wire_bytes},
    cardamomloom_state::hosts::HostTable,
    std::{collections::BTreeMap, net::SocketAddr, str::FromStr},
};

/// Bandwidth that a process may use for control messages (design page, section 1).
const BUDGET_BYTES_PER_S: u64 = 3_000;

const SERVICE: ServiceId = ServiceId(370);

fn hosts(count: u32) -> HostTable {
    let mut table = HostTable::default();
    for index in 0..count {
        let port = u16::try_from(10_000 + index).expect("few hosts");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let entry = HostEntry {
            host: HostId(u32::MAX - index),
            service: SERVICE,
            domain: DomainName::from_str("tas-hobart").expect("valid name"),
            data_address: address,
            control_address: address,
            incarnation: Incarnation(1),
            state: HostState::Ready,
            weight: Weight::STANDARD,
        };
        table.merge(entry).expect("few hosts");
    }
    table
}

/// Returns the bytes per second that one agent of a service with `count` hosts sends, and the
/// number of messages to each peer in ten seconds.
fn sent_per_s(count: u32) -> (u64, BTreeMap<SocketAddr, u32>) {
    let options = LoadExchangeOptions::default();
    let weight = Weight::STANDARD;
    let mut exchange = LoadExchange::new(HostId(u32::MAX - 1), SERVICE, weight, options);
    let table = hosts(count);
    let origin = Origin {
        sender: u64::from(u32::MAX),
        incarnation: Incarnation(1_800_000_000_000_000),
        sequence: 1_000_000_000,
    };
    let (mut bytes, mut peers) = (0, BTreeMap::new());
    for now_ms in (0..10_000).step_by(50) {
        for outgoing in exchange.on_tick(Time::from_millis(now_ms), 8_000, &table) {
            bytes += wire_bytes(&origin, &outgoing.message);
            *peers.entry(outgoing.to).or_default() += 1;
        }
    }
    (bytes / 10, peers)
}

/// Guards against a load exchange whose cost grows with the number of hosts of a service, so that
/// large services exceed the control budget.
#[test]
fn verify_load_exchange_stays_within_the_control_budget() {
    for count in [1, 3, 7, 12, 100, 1_000] {
        let (bytes_per_s, peers) = sent_per_s(count);
        assert!(
            bytes_per_s <= BUDGET_BYTES_PER_S,
            "{count} hosts: {bytes_per_s} B/s"
        );
        assert!(peers.len() <= 12, "{count} hosts: {} peers", peers.len());
        println!("{count} hosts: {bytes_per_s} B/s to {} peers", peers.len());
    }
}
