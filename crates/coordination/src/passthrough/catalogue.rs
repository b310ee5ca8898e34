//! The catalogue in force in a process, which never goes back to an older version.

use {
    super::flow_hash,
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{
        BalancerHeartbeat, CatalogueDocument, CatalogueVersion, DomainStatus, FlowId, RouteEntry,
        ServiceEntry,
    },
    log::info,
    std::{collections::HashMap, net::SocketAddrV4},
};

/// Catalogue and failure domains as a process knows them.
#[derive(Clone, Debug, Default)]
pub struct CatalogueView {
    document: Option<CatalogueDocument>,
    routes: HashMap<SocketAddrV4, usize>,
    standing: Option<DomainStatus>,
    /// Latest time at which the store is known to have confirmed this view.
    confirmed: Option<Time>,
}

/// Where new flows of an address go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup<'a> {
    /// No catalogue is known yet.
    NoCatalogue,
    /// The catalogue has no such address.
    NoRoute,
    /// The service that takes the flow.
    Service(&'a ServiceName),
}

impl CatalogueView {
    /// Puts a catalogue in force, with a log line, and tells whether it is newer than the present
    /// one.
    pub fn apply_document(&mut self, document: CatalogueDocument) -> bool {
        if self.document.is_some() && document.version <= self.version() {
            return false;
        }
        self.routes = (0..)
            .zip(&document.routes)
            .map(|(index, route)| (route.address, index))
            .collect();
        info!(event = "catalogue_in_force", version:% = document.version, routes = document.routes.len(); "catalogue is in force");
        self.document = Some(document);
        true
    }

    /// Takes over which failure domains are out, with a log line if that is a change, and tells
    /// whether it is.
    pub fn apply_standing(&mut self, standing: DomainStatus) -> bool {
        let present = self.standing.as_ref();
        if present.is_some_and(|present| standing.revision <= present.revision) {
            return false;
        }
        let is_change = present.is_none_or(|present| present.domains_out != standing.domains_out);
        if is_change {
            info!(event = "domains_out_changed", revision:% = standing.revision, domains:? = standing.domains_out; "failure domains that are out");
        }
        self.standing = Some(standing);
        is_change
    }

    /// Compares this view with that of a balancer: a confirmation of the same catalogue holds here
    /// too. Tells whether the balancer has a newer catalogue.
    pub fn compare(&mut self, now: Time, view: &BalancerHeartbeat) -> bool {
        if view.catalogue == self.version()
            && let Some(ago_ms) = view.confirmed_ago_ms
        {
            self.confirm(now - Span::from_millis(u64::from(ago_ms)));
        }
        view.catalogue > self.version()
    }

    /// Records that the store confirmed this view at a time.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns the time since the store last confirmed this view.
    #[must_use]
    pub fn confirmed_ago(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Tells whether catalogue and failure domains are known.
    #[must_use]
    pub const fn is_informed(&self) -> bool {
        self.document.is_some() && self.standing.is_some()
    }

    /// Returns the version of the catalogue in force, or zero when none is.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.document
            .as_ref()
            .map(|document| document.version)
            .unwrap_or_default()
    }

    /// Returns the catalogue in force.
    #[must_use]
    pub const fn document(&self) -> Option<&CatalogueDocument> {
        self.document.as_ref()
    }

    /// Returns the failure domains that are out.
    #[must_use]
    pub const fn standing(&self) -> Option<&DomainStatus> {
        self.standing.as_ref()
    }

    /// Tells whether a failure domain is out of service.
    #[must_use]
    pub fn is_out(&self, domain: &DomainName) -> bool {
        self.standing
            .as_ref()
            .is_some_and(|standing| standing.domains_out.contains(domain))
    }

    /// Returns the limits of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.document
            .as_ref()?
            .services
            .iter()
            .find(|service| service.name == *name)
    }

    /// Tells whether the catalogue sends flows of an address to a service.
    #[must_use]
    pub fn allows(&self, address: SocketAddrV4, service: &ServiceName) -> bool {
        self.route(address).is_some_and(|route| {
            route
                .targets
                .iter()
                .any(|target| target.service == *service && target.weight > 0)
        })
    }

    /// Returns the order of an address under pressure; 0 goes first.
    #[must_use]
    pub fn priority(&self, address: SocketAddrV4) -> u8 {
        self.route(address).map_or(u8::MAX, |route| route.priority)
    }

    /// Returns where the flow goes; the same for every copy of its opening packet.
    #[must_use]
    pub fn lookup(&self, flow: &FlowId) -> Lookup<'_> {
        if self.document.is_none() {
            return Lookup::NoCatalogue;
        }
        let Some(route) = self.route(flow.service) else {
            return Lookup::NoRoute;
        };
        match target(route, flow) {
            Some(service) => Lookup::Service(service),
            None => Lookup::NoRoute,
        }
    }

    fn route(&self, address: SocketAddrV4) -> Option<&RouteEntry> {
        let index = *self.routes.get(&address)?;
        self.document.as_ref()?.routes.get(index)
    }
}

/// Chooses a service by weight.
fn target<'a>(route: &'a RouteEntry, flow: &FlowId) -> Option<&'a ServiceName> {
    if let [only] = &route.targets[..] {
        return (only.weight > 0).then_some(&only.service);
    }
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut point = flow_hash(flow).checked_rem(total)?;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(&target.service);
        }
        point -= weight;
    }
    None
}
