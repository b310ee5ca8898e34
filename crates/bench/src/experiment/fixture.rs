//! Catalogues, hosts and packets that several experiments use.

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

/// Failure domains of the plan.
pub const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Port of every service.
pub const SERVICE_PORT: u16 = 80;

/// Returns the address of a service.
pub fn service_address(service: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(203, 0, 0, 0).to_bits() + service)
}

/// Returns the catalogue object of a service with one address.
pub fn service(service: u32, version: u64) -> Object {
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

/// Returns a ready host of a service; every host has an address of its own in 127/8.
pub fn host(index: u32, service: u32, port: u16) -> Result<HostEntry> {
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

/// Returns the routing table of service 1 with a number of hosts.
pub fn routing(hosts: u32, port: u16) -> Result<RoutingTable> {
    let mut catalogue = Catalogue::default();
    catalogue.apply(&service(1, 1))?;
    let mut table = HostTable::default();
    for index in 0..hosts {
        table.merge(host(index, 1, port)?)?;
    }
    RoutingTable::default().rebuild(&catalogue, &table)
}

/// Returns a TCP segment of a caller to service 1.
pub fn segment(caller_port: u16, payload: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let service = service_address(1).octets();
    etherparse::PacketBuilder::ipv4([198, 51, 100, 1], service, 64)
        .tcp(caller_port, SERVICE_PORT, 1, 1_000)
        .write(&mut bytes, payload)
        .map_err(|error| malformed(format!("fixture: {error}")))?;
    Ok(bytes)
}
