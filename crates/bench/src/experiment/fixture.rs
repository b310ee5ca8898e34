//! Catalogue objects, hosts, routing tables and packets for several experiments.

use {
    super::Result,
    cardamomloom_core::{
        DomainName, HostId, Incarnation, ObjectVersion, ServiceId, Weight, error::malformed,
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState},
        store_api::Object,
    },
    cardamomloom_state::{catalogue::Catalogue, hosts::HostTable, routing::RoutingTable},
    serde_json::json,
    std::{
        net::{Ipv4Addr, SocketAddr},
        str::FromStr,
        sync::Arc,
    },
};

/// Names of the failure domains, as many as in the design.
pub const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Port of every service.
pub const SERVICE_PORT: u16 = 80;

/// Returns the address of a service in 203/8.
pub fn service_address(service: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(203, 0, 0, 0).to_bits() + service)
}

/// Returns the catalogue object of a service with one address.
pub fn service_object(service: u32, version: u64) -> Object {
    let name = format!("service-{service}");
    Object {
        key: Arc::from(format!("services/{name}")),
        version: ObjectVersion(version),
        value: Some(json!({
            "name": name, "id": service, "owner": "bench", "class": "critical",
            "addresses": [service_address(service).to_string()], "port": SERVICE_PORT,
            "slots_per_host": 4, "connections_per_slot": 2_000,
            "hash_key": "00112233445566778899aabbccddeeff",
        })),
    }
}

/// Returns the entry of a ready host of a service. Every host has its own address in 127/8.
pub fn host_entry(index: u32, service: u32, port: u16) -> Result<HostEntry> {
    let ip = Ipv4Addr::from_bits(Ipv4Addr::new(127, 1, 0, 0).to_bits() + index);
    let address = SocketAddr::from((ip, port));
    Ok(HostEntry {
        host: HostId(index),
        service: ServiceId(service),
        domain: DomainName::from_str(DOMAINS[index as usize % DOMAINS.len()])?,
        data_address: address,
        control_address: address,
        incarnation: Incarnation(1),
        state: HostState::Ready,
        weight: Weight::STANDARD,
    })
}

/// Returns the routing table of service 1 with `hosts` hosts.
pub fn routing_table(hosts: u32, port: u16) -> Result<RoutingTable> {
    let mut catalogue = Catalogue::default();
    catalogue.apply(&service_object(1, 1))?;
    let mut table = HostTable::default();
    for index in 0..hosts {
        table.merge(host_entry(index, 1, port)?)?;
    }
    RoutingTable::default().rebuild(&catalogue, &table)
}

/// Returns an IPv4 packet with a TCP segment from a caller to service 1.
pub fn segment(caller_port: u16, payload: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let service = service_address(1).octets();
    etherparse::PacketBuilder::ipv4([198, 51, 100, 1], service, 64)
        .tcp(caller_port, SERVICE_PORT, 1, 1_000)
        .write(&mut bytes, payload)
        .map_err(|error| malformed(format!("fixture: cannot encode a segment: {error}")))?;
    Ok(bytes)
}
