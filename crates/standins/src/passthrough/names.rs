//! Names of services and failure domains, and routes, in a world and in an emulated fleet.

use {
    cardamomloom_core::{DomainName, ServiceName},
    cardamomloom_protocol::passthrough::{RouteEntry, RouteTarget},
    std::net::SocketAddrV4,
};

/// Returns the name of a service.
///
/// # Panics
///
/// Never: the name is valid.
#[must_use]
pub fn service_name(service: u8) -> ServiceName {
    format!("service-{service}").parse().expect("valid name")
}

/// Returns the name of a failure domain.
///
/// # Panics
///
/// Never: the name is valid.
#[must_use]
pub fn domain_name(index: u8) -> DomainName {
    format!("domain-{index}").parse().expect("valid name")
}

/// Returns a route from an address to a service.
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
    }
}
