//! Checks of a change against the rest of the catalogue and the present use.

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

/// Result of a check.
pub type Result<T> = std::result::Result<T, Error>;

/// What a change is checked against.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeContext {
    /// Valid services of the catalogue.
    pub services: Vec<ServiceSpec>,
    /// Valid failure domains of the catalogue.
    pub domains: Vec<DomainSpec>,
    /// Most open flows on one host, for the services whose hosts all reported.
    pub max_open_flows: BTreeMap<ServiceId, u64>,
}

/// Checks that a value satisfies the schema of its key and that its name is that of the key.
///
/// # Errors
///
/// Fails with kind `invalid_argument`; the message names field, value and allowed range.
pub fn check_schema(key: &str, value: &Value) -> Result<()> {
    let check_name = |name: &str, wanted: &str| {
        if name == wanted {
            return Ok(());
        }
        Err(invalid_argument(format!(
            "change: field \"name\" of {key:?} is {name:?}; allowed is {wanted:?}"
        )))
    };
    if let Some(wanted) = key.strip_prefix(SERVICES_PREFIX) {
        let spec: ServiceSpec = object::decode(key, value)?;
        return check_name(spec.name.as_str(), wanted);
    }
    if let Some(wanted) = key.strip_prefix(DOMAINS_PREFIX) {
        let spec: DomainSpec = object::decode(key, value)?;
        return check_name(spec.name.as_str(), wanted);
    }
    Err(other_key(key))
}

/// Checks that operators may delete the object of a key.
///
/// # Errors
///
/// Fails with kind `invalid_argument` when the object belongs to the system.
pub fn check_deletable(key: &str) -> Result<()> {
    let deletable = [SERVICES_PREFIX, DOMAINS_PREFIX, NODES_PREFIX];
    if deletable.iter().any(|prefix| key.starts_with(prefix)) {
        return Ok(());
    }
    Err(other_key(key))
}

fn other_key(key: &str) -> Error {
    invalid_argument(format!(
        "change: field \"key\" is {key:?}; allowed are keys that start with {SERVICES_PREFIX:?} or {DOMAINS_PREFIX:?}, and {NODES_PREFIX:?} to delete"
    ))
}

/// Checks that a new value of a service claims nothing that another service has.
///
/// # Errors
///
/// Fails with kind `invalid_argument` when the id, or an address with the port, is taken.
pub fn check_claims(key: &str, value: &Value, around: &ChangeContext) -> Result<()> {
    if !key.starts_with(SERVICES_PREFIX) {
        return Ok(());
    }
    let own: ServiceSpec = object::decode(key, value)?;
    for other in around
        .services
        .iter()
        .filter(|other| other.name != own.name)
    {
        if other.id == own.id {
            return Err(invalid_argument(format!(
                "change: field \"id\" is {}, which service {} has; allowed is an id that no service has",
                own.id.0, other.name
            )));
        }
        let taken = own
            .addresses
            .iter()
            .find(|address| other.port == own.port && other.addresses.contains(address));
        if let Some(address) = taken {
            return Err(invalid_argument(format!(
                "change: field \"addresses\" has {address} with port {}, which service {} has; allowed are addresses that no service has on this port",
                own.port, other.name
            )));
        }
    }
    Ok(())
}

/// Returns why a change is dangerous, or `None`. `to` is absent for a deletion.
#[must_use]
pub fn danger(
    key: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    around: &ChangeContext,
) -> Option<Arc<str>> {
    if let Some(name) = key.strip_prefix(DOMAINS_PREFIX) {
        return domain_danger(name, from, to, around);
    }
    if key.starts_with(NODES_PREFIX) {
        return Some(Arc::from(
            "a running balancer does not register again; --wait and agents would miss it",
        ));
    }
    let service = key.strip_prefix(SERVICES_PREFIX)?;
    let from: ServiceSpec = object::decode(key, from?).ok()?;
    let Some(to) = to else {
        return service_deletion(service, &from, around);
    };
    let to: ServiceSpec = object::decode(key, to).ok()?;
    let (before, after) = (from.connections_per_host(), to.connections_per_host());
    if after >= before {
        return None;
    }
    match around.max_open_flows.get(&from.id) {
        Some(used) if *used <= u64::from(after) => None,
        Some(used) => Some(Arc::from(format!(
            "the connection limit of service {service} becomes {after} per host, and a host has {used} open; that host takes no new flow until it is below the limit"
        ))),
        None => Some(Arc::from(format!(
            "the connection limit of service {service} goes from {before} to {after} per host, and the present use is not known because not every host reported it"
        ))),
    }
}

fn domain_danger(
    name: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    around: &ChangeContext,
) -> Option<Arc<str>> {
    if to.is_none() && from.is_some_and(|value| value["state"] == "out") {
        return Some(Arc::from(format!(
            "failure domain {name} is out, and one without an object is in; its hosts would take traffic"
        )));
    }
    let goes_out = to.is_some_and(|value| value["state"] == "out");
    if !goes_out {
        return None;
    }
    let is_in = |spec: &&DomainSpec| spec.state == DomainState::In;
    let mut stay_in = around.domains.iter().filter(is_in);
    let is_last = stay_in.all(|spec| spec.name.as_str() == name);
    is_last.then(|| {
        Arc::from(format!(
            "failure domain {name} is the last one that is in; without it no service has a host"
        ))
    })
}

fn service_deletion(name: &str, spec: &ServiceSpec, around: &ChangeContext) -> Option<Arc<str>> {
    match around.max_open_flows.get(&spec.id) {
        Some(0) => None,
        Some(used) => Some(Arc::from(format!(
            "service {name} is in use: a host has {used} open flows, and packets to the service would be dropped"
        ))),
        None => Some(Arc::from(format!(
            "whether service {name} is in use is not known because not every host reported it"
        ))),
    }
}

/// Returns the error for a dangerous change that was not confirmed.
#[must_use]
pub fn force_required(reason: &str) -> Error {
    Error::new(
        ErrorKind::ForceRequired,
        format!("change: {reason}; nothing was written"),
    )
}
