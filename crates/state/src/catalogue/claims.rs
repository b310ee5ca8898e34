//! Which service has an id or an address when several services state it.

use {
    cardamomloom_core::{ObjectVersion, ServiceId, ServiceName},
    cardamomloom_protocol::object::ServiceSpec,
    serde::Serialize,
    std::{
        collections::{HashMap, hash_map::Entry},
        net::SocketAddr,
        sync::Arc,
    },
};

/// A statement of a service that is not in force because another service has the claimed value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimConflict {
    /// Service whose statement is not in force.
    pub service: ServiceName,
    /// What it states, such as `id 5` or an address with port.
    pub claim: Arc<str>,
    /// Service that has it.
    pub holder: ServiceName,
}

/// Holders of ids and addresses.
///
/// Of several services that state one value, the one with the lower object version has it, so
/// that the object written last does not take traffic from another service. The rule depends on
/// the catalogue alone, so processes with the same catalogue agree.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    ids: HashMap<ServiceId, ServiceName>,
    addresses: HashMap<SocketAddr, ServiceName>,
    conflicts: Vec<ClaimConflict>,
}

impl Claims {
    pub(super) fn of<'a>(
        services: impl Iterator<Item = (ObjectVersion, &'a Arc<ServiceSpec>)>,
    ) -> Self {
        let mut services: Vec<_> = services.collect();
        services.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        let mut claims = Self::default();
        for (_, spec) in services {
            claims.add(spec);
        }
        claims
    }

    fn add(&mut self, spec: &ServiceSpec) {
        match self.ids.entry(spec.id) {
            Entry::Vacant(vacant) => {
                vacant.insert(spec.name.clone());
            }
            Entry::Occupied(holder) => {
                // Without an id of its own, the service can receive no packet.
                let holder = holder.get().clone();
                self.conflicts
                    .push(conflict(spec, format!("id {}", spec.id.0), holder));
                return;
            }
        }
        for address in &spec.addresses {
            let address = SocketAddr::new(*address, spec.port);
            match self.addresses.entry(address) {
                Entry::Vacant(vacant) => {
                    vacant.insert(spec.name.clone());
                }
                Entry::Occupied(holder) if *holder.get() == spec.name => {}
                Entry::Occupied(holder) => {
                    let holder = holder.get().clone();
                    self.conflicts
                        .push(conflict(spec, address.to_string(), holder));
                }
            }
        }
    }

    /// Tells whether a service has the id that it states.
    #[must_use]
    pub fn has_id(&self, spec: &ServiceSpec) -> bool {
        self.ids.get(&spec.id) == Some(&spec.name)
    }

    /// Tells whether a service has an address that it states.
    #[must_use]
    pub fn has_address(&self, spec: &ServiceSpec, address: &SocketAddr) -> bool {
        self.addresses.get(address) == Some(&spec.name)
    }

    /// Returns the statements that are not in force.
    #[must_use]
    pub fn conflicts(&self) -> &[ClaimConflict] {
        &self.conflicts
    }
}

fn conflict(spec: &ServiceSpec, claim: String, holder: ServiceName) -> ClaimConflict {
    ClaimConflict {
        service: spec.name.clone(),
        claim: Arc::from(claim),
        holder,
    }
}
