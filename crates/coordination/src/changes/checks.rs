//! Checks of a change against its schema, the rest of the catalogue and the current usage.

use {
    cardamomloom_core::{
        ServiceId,
        error::{Error, ErrorKind, invalid_argument},
    },
    cardamomloom_protocol::object::{
        self, DOMAINS_PREFIX, DomainSpec, DomainState, NODES_PREFIX, SERVICES_PREFIX, ServiceSpec,
    },
    serde_json::Value,
    std::{collections::BTreeMap, sync::Arc},
};

/// Result of a check; an error rejects the change.
pub type Result<T> = std::result::Result<T, Error>;

/// State of the catalogue and of the hosts that a change is checked against.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeContext {
    /// Valid services of the catalogue.
    pub services: Vec<ServiceSpec>,
    /// Valid failure domains of the catalogue.
    pub domains: Vec<DomainSpec>,
    /// Largest number of open flows on one host of a service. A service is missing unless all of
    /// its hosts reported.
    pub max_open_flows: BTreeMap<ServiceId, u64>,
}

/// Checks that a value satisfies the schema of its key and that its `name` field matches the key.
///
/// # Errors
///
/// Fails with kind `invalid_argument`; the message names the field, its value and the allowed
/// range.
pub fn check_schema(key: &str, value: &Value) -> Result<()> {
    let check_name = |name: &str, expected_name: &str| {
        if name == expected_name {
            return Ok(());
        }
        Err(invalid_argument(format!(
            "change: field \"name\" of {key:?} is {name:?}; allowed is {expected_name:?}"
        )))
    };
    if let Some(expected_name) = key.strip_prefix(SERVICES_PREFIX) {
        let spec: ServiceSpec = object::decode(key, value)?;
        return check_name(spec.name.as_str(), expected_name);
    }
    if let Some(expected_name) = key.strip_prefix(DOMAINS_PREFIX) {
        let spec: DomainSpec = object::decode(key, value)?;
        return check_name(spec.name.as_str(), expected_name);
    }
    Err(unsupported_key(key))
}

/// Checks that operators may delete the object of a key.
///
/// # Errors
///
/// Fails with kind `invalid_argument` unless the key is that of a service, a failure domain or a
/// node.
pub fn check_deletable(key: &str) -> Result<()> {
    let deletable = [SERVICES_PREFIX, DOMAINS_PREFIX, NODES_PREFIX];
    if deletable.iter().any(|prefix| key.starts_with(prefix)) {
        return Ok(());
    }
    Err(unsupported_key(key))
}

fn unsupported_key(key: &str) -> Error {
    invalid_argument(format!(
        "change: field \"key\" is {key:?}; allowed are keys that start with {SERVICES_PREFIX:?} or {DOMAINS_PREFIX:?}, and {NODES_PREFIX:?} to delete"
    ))
}

/// Checks that the id and the addresses of a service do not collide with those of another service.
///
/// # Errors
///
/// Fails with kind `invalid_argument` when another service has the same id, or one of the addresses
/// with the same port.
pub fn check_uniqueness(key: &str, value: &Value, context: &ChangeContext) -> Result<()> {
    if !key.starts_with(SERVICES_PREFIX) {
        return Ok(());
    }
    let proposed: ServiceSpec = object::decode(key, value)?;
    for other in context
        .services
        .iter()
        .filter(|other| other.name != proposed.name)
    {
        if other.id == proposed.id {
            return Err(invalid_argument(format!(
                "change: field \"id\" is {}, which service {} has; allowed is an id that no service has",
                proposed.id.0, other.name
            )));
        }
        let shared_address = proposed
            .addresses
            .iter()
            .find(|address| other.port == proposed.port && other.addresses.contains(address));
        if let Some(address) = shared_address {
            return Err(invalid_argument(format!(
                "change: field \"addresses\" has {address} with port {}, which service {} has; allowed are addresses that no service has on this port",
                proposed.port, other.name
            )));
        }
    }
    Ok(())
}

/// Returns why a change must be forced, or `None` when it is safe. `to` is absent for a deletion.
///
/// Lowering a connection limit is safe only when every host is known to be within the new limit.
#[must_use]
pub fn force_reason(
    key: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    context: &ChangeContext,
) -> Option<Arc<str>> {
    if let Some(name) = key.strip_prefix(DOMAINS_PREFIX) {
        return domain_force_reason(name, from, to, context);
    }
    if key.starts_with(NODES_PREFIX) {
        return Some(Arc::from(
            "a running balancer does not register again; --wait and agents would miss it",
        ));
    }
    let service = key.strip_prefix(SERVICES_PREFIX)?;
    let from: ServiceSpec = object::decode(key, from?).ok()?;
    let Some(to) = to else {
        return service_deletion_force_reason(service, &from, context);
    };
    let to: ServiceSpec = object::decode(key, to).ok()?;
    let (old_limit, new_limit) = (from.connections_per_host(), to.connections_per_host());
    if new_limit >= old_limit {
        return None;
    }
    match context.max_open_flows.get(&from.id) {
        Some(open) if *open <= u64::from(new_limit) => None,
        Some(open) => Some(Arc::from(format!(
            "the connection limit of service {service} becomes {new_limit} per host, and a host has {open} open; that host takes no new flow until it is below the limit"
        ))),
        None => Some(Arc::from(format!(
            "the connection limit of service {service} goes from {old_limit} to {new_limit} per host, and the present use is not known because not every host reported it"
        ))),
    }
}

/// Returns why a change of a failure domain must be forced. A failure domain without an object
/// counts as in.
fn domain_force_reason(
    name: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    context: &ChangeContext,
) -> Option<Arc<str>> {
    if to.is_none() && from.is_some_and(|value| value["state"] == "out") {
        return Some(Arc::from(format!(
            "failure domain {name} is out, and one without an object is in; after the deletion its hosts would take traffic"
        )));
    }
    let goes_out = to.is_some_and(|value| value["state"] == "out");
    if !goes_out {
        return None;
    }
    let is_in = |spec: &&DomainSpec| spec.state == DomainState::In;
    let mut domains_in = context.domains.iter().filter(is_in);
    let is_last = domains_in.all(|spec| spec.name.as_str() == name);
    is_last.then(|| {
        Arc::from(format!(
            "failure domain {name} is the last one that is in; without it no service has a host"
        ))
    })
}

/// Returns why the deletion of a service must be forced; it is safe only when all hosts are known
/// to have no open flow.
fn service_deletion_force_reason(
    name: &str,
    spec: &ServiceSpec,
    context: &ChangeContext,
) -> Option<Arc<str>> {
    match context.max_open_flows.get(&spec.id) {
        Some(0) => None,
        Some(open) => Some(Arc::from(format!(
            "service {name} is in use: a host has {open} open flows, and packets to the service would be dropped"
        ))),
        None => Some(Arc::from(format!(
            "whether service {name} is in use is not known because not every host reported it"
        ))),
    }
}

/// Returns the error for a dangerous change that was made without `force`.
#[must_use]
pub fn force_required(reason: &str) -> Error {
    Error::new(
        ErrorKind::ForceRequired,
        format!("change: {reason}; nothing was written"),
    )
}
