//! Addresses of the simulated processes and services, and the initial catalogue.

use {
    super::{SimulationOptions, route, service_name},
    cardamomloom_core::Span,
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, CatalogueVersion, RouteEntry, ServiceEntry,
    },
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

/// Returns the address of the urgent route of a service.
pub(super) const fn urgent_route(service: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, service + 1), 444)
}

/// Returns the routes of a service: one of priority 1, and one of priority 0 with the same latency goal
/// if there are latency goals.
fn service_routes(options: &SimulationOptions, service: u8) -> Vec<RouteEntry> {
    let normal = RouteEntry {
        response_goal_ms: options.latency_goal.as_millis(),
        timeout_ms: options.timeout.as_millis(),
        ..route(service_route(service), service)
    };
    if options.latency_goal == Span::ZERO {
        return vec![normal];
    }
    let address = urgent_route(service);
    let urgent = RouteEntry {
        name: address.to_string().into(),
        address,
        priority: 0,
        ..normal.clone()
    };
    vec![normal, urgent]
}

/// Returns the catalogue at the start: the routes and one service entry for each service.
pub(super) fn initial_catalogue(options: &SimulationOptions) -> CatalogueDocument {
    CatalogueDocument {
        version: CatalogueVersion(1),
        routes: (0..options.services)
            .flat_map(|service| service_routes(options, service))
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
