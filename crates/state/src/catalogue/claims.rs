//! Assignment of ids and addresses that several services claim.

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

/// A claim of a service that is not in force because another service holds the claimed value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimConflict {
    /// Service whose claim is not in force.
    pub service: ServiceName,
    /// Claimed value, such as `id 5` or an address with port.
    pub claim: Arc<str>,
    /// Service that holds the value.
    pub holder: ServiceName,
}

/// Holders of ids and addresses.
///
/// Of several services that claim the same value, the one with the lowest object version holds it,
/// so that a service written later cannot take traffic from another. The rule depends only on the
/// catalogue, so processes with the same catalogue agree on the holders.
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
                // Packets are forwarded by service id, so without one the service receives no
                // traffic.
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

    /// Returns whether a service holds the id that it claims.
    #[must_use]
    pub fn has_id(&self, spec: &ServiceSpec) -> bool {
        self.ids.get(&spec.id) == Some(&spec.name)
    }

    /// Returns whether a service holds an address that it claims.
    #[must_use]
    pub fn has_address(&self, spec: &ServiceSpec, address: &SocketAddr) -> bool {
        self.addresses.get(address) == Some(&spec.name)
    }

    /// Returns the claims that are not in force.
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
