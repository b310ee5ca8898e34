//! Names of services and failure domains, and routes, of simulations and emulated fleets.

use {
    cardamomloom_core::{DomainName, ServiceName},
    cardamomloom_protocol::passthrough::{RouteEntry, RouteTarget},
    std::net::SocketAddrV4,
};

/// Returns the name of the service with an index.
///
/// # Panics
///
/// Never: the generated name is always valid.
#[must_use]
pub fn service_name(service: u8) -> ServiceName {
    format!("service-{service}")
        .parse()
        .expect("the generated service name is valid")
}

/// Returns the name of the failure domain with an index.
///
/// # Panics
///
/// Never: the generated name is always valid.
#[must_use]
pub fn domain_name(index: u8) -> DomainName {
    format!("domain-{index}")
        .parse()
        .expect("the generated domain name is valid")
}

/// Returns a route that sends all flows of an address to one service, marked as idempotent and with
/// priority 1.
#[must_use]
pub fn route(address: SocketAddrV4, service: u8) -> RouteEntry {
    RouteEntry {
        name: address.to_string().into(),
        address,
        targets: vec![RouteTarget {
            service: service_name(service),
            weight: 1,
        }],
        is_idempotent: true,
        priority: 1,
        response_goal_ms: 0,
        timeout_ms: 0,
    }
}
