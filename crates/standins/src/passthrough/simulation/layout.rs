//! Addresses of the simulated processes and services, and the initial catalogue.

use {
    super::{SimulationOptions, route, service_name},
    cardamomloom_protocol::passthrough::{CatalogueDocument, CatalogueVersion, ServiceEntry},
    std::net::{Ipv4Addr, SocketAddrV4},
};

pub(super) const fn balancer_address(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index + 1)
}

pub(super) const fn agent_address(service: u8, index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, service, index)
}

pub(super) const fn server_address(agent: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(agent, 8_080)
}

pub(super) const fn service_route(service: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, service + 1), 443)
}

/// Returns the catalogue at the start: one route and one service entry for each service.
pub(super) fn initial_catalogue(options: &SimulationOptions) -> CatalogueDocument {
    CatalogueDocument {
        version: CatalogueVersion(1),
        routes: (0..options.services)
            .map(|service| route(service_route(service), service))
            .collect(),
        services: (0..options.services)
            .map(|service| ServiceEntry {
                name: service_name(service),
                max_connections: 2_000,
                cold_flows_per_s: options.cold_flows_per_s,
                cold_for_ms: options.cold_for.as_millis(),
            })
            .collect(),
        idle_timeout_ms: 15_000,
    }
}
