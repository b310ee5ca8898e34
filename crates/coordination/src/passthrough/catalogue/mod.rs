//! Local replica of the catalogue, which never reverts to an older version.

mod copies;
mod lag;

use {
    super::{CopyRequests, CopyServer, flow_hash},
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{
        BalancerHeartbeat, CatalogueDocument, CatalogueVersion, DomainStatus, FlowId, RouteEntry,
        RouteTarget, ServiceEntry,
    },
    log::info,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddrV4,
    },
};

/// Time after a restore of the store in which operators write again what it has lost.
const RESTORE_SETTLING: Span = Span::from_secs(2);

/// Limits of a local replica of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct CatalogueOptions {
    /// Time after the announcement of a newer version from which the log reports that this process
    /// does not have it yet.
    pub report_behind_after: Span,
    /// Time after the announcement of a newer version from which this process opens no flow by its own
    /// version. It is shorter than the 3 s in which a change must be in force.
    pub outdated_after: Span,
    /// Longest duration of a flow. Hosts of a service that is no longer a target of a route hold no
    /// flows to its address after this time.
    pub max_flow_duration: Span,
}

impl Default for CatalogueOptions {
    fn default() -> Self {
        Self {
            report_behind_after: Span::from_secs(1),
            outdated_after: Span::from_secs(2),
            max_flow_duration: Span::from_secs(60),
        }
    }
}

/// Local replica of the catalogue and of the failure domains that are out of service.
#[derive(Clone, Debug, Default)]
pub struct CatalogueView {
    options: CatalogueOptions,
    document: Option<CatalogueDocument>,
    /// Index of the route of each address in `document`.
    routes: HashMap<SocketAddrV4, usize>,
    /// Services that an address was routed to before, with the time until which their hosts may hold
    /// flows to it.
    former_targets: HashMap<SocketAddrV4, BTreeMap<ServiceName, Time>>,
    domain_status: Option<DomainStatus>,
    restored: Option<RestoredDomains>,
    /// Last status that was logged as outdated.
    outdated_status: Option<DomainStatus>,
    /// Latest time at which the store is known to have confirmed this replica.
    confirmed_at: Option<Time>,
    /// Versions newer than this replica that other processes have announced, with the time of the
    /// first announcement of each.
    announced: BTreeMap<CatalogueVersion, Time>,
    /// Time until which the processes that announced these versions count as reachable.
    announced_until: Time,
    /// Whether the log reports this replica as behind.
    is_reported_behind: bool,
    copy_server: CopyServer,
    copy_requests: CopyRequests,
}

/// Failure domains that were out of service before a restore of the store and that the store has not
/// named since.
#[derive(Clone, Debug)]
struct RestoredDomains {
    domains: BTreeSet<DomainName>,
    /// Time until which they stay out of service.
    out_until: Time,
}

/// Result of a route lookup for a new flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup<'a> {
    /// This process has no catalogue yet.
    NoCatalogue,
    /// The catalogue has no route with a positive weight for the address.
    NoRoute,
    /// The service that the flow is routed to.
    Service(&'a ServiceName),
}

impl CatalogueView {
    /// Creates a replica without a catalogue.
    #[must_use]
    pub fn new(options: CatalogueOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Replaces and logs the catalogue if `document` has a newer version. Returns whether it was
    /// replaced.
    pub fn apply_document(&mut self, now: Time, document: CatalogueDocument) -> bool {
        if self.document.is_some() && document.version <= self.version() {
            if document.version < self.version() {
                info!(
                    event = "catalogue_outdated", version:% = document.version,
                    present_version:% = self.version();
                    "older catalogue ignored"
                );
            }
            return false;
        }
        self.copy_server
            .on_change(self.document.as_ref(), &document);
        let previous = self.document.replace(document);
        let announced_ago = self
            .announced
            .get(&self.version())
            .map(|announced_at| now.since(*announced_at));
        let version = self.version();
        self.announced.retain(|announced, _| *announced > version);
        let routes = self.document.iter().flat_map(|document| &document.routes);
        self.routes = (0..)
            .zip(routes)
            .map(|(index, route)| (route.address, index))
            .collect();
        let previous_version = previous.as_ref().map(|document| document.version.0);
        self.update_former_targets(now, previous.map(|document| document.routes));
        info!(
            event = "catalogue_in_force", version:% = self.version(), previous_version,
            announced_ago_ms = announced_ago.map(Span::as_millis), routes = self.routes.len(),
            former_targets = self.former_targets.len();
            "catalogue is in force"
        );
        true
    }

    /// Records the targets of the routes before a change that the present routes do not have, and
    /// forgets those whose flows have ended.
    fn update_former_targets(&mut self, now: Time, previous_routes: Option<Vec<RouteEntry>>) {
        let until = now + self.options.max_flow_duration;
        for route in previous_routes.into_iter().flatten() {
            for RouteTarget { service, .. } in route.targets {
                if !self.has_target(route.address, &service) {
                    let former_targets = self.former_targets.entry(route.address).or_default();
                    former_targets.insert(service, until);
                }
            }
        }
        self.former_targets.retain(|_, targets| {
            targets.retain(|_, until| now < *until);
            !targets.is_empty()
        });
    }

    /// Replaces the status of the failure domains if `status` is from a later position of the store.
    /// Logs and returns whether the set of domains that are out of service changed.
    pub fn apply_domain_status(&mut self, now: Time, status: DomainStatus) -> bool {
        let current = self.domain_status.as_ref();
        if let Some(current) = current
            && status.position() <= current.position()
        {
            let is_other = status.domains_out != current.domains_out
                && self.outdated_status.as_ref() != Some(&status);
            if is_other {
                info!(
                    event = "domain_status_outdated", era = status.era.map(|era| era.0),
                    revision:% = status.revision, domains:? = status.domains_out,
                    present_era = current.era.map(|era| era.0), present_revision:% = current.revision;
                    "outdated status of the failure domains ignored"
                );
                self.outdated_status = Some(status);
            }
            return false;
        }
        let is_change = current.is_none_or(|current| current.domains_out != status.domains_out);
        self.keep_domains_out(now, &status);
        if is_change {
            info!(event = "domains_out_changed", era = status.era.map(|era| era.0), revision:% = status.revision, domains:? = status.domains_out; "set of failure domains out of service changed");
        }
        self.domain_status = Some(status);
        is_change
    }

    /// When `status` is the first one after a restore of the store, keeps the failure domains out of
    /// service that are missing in it, because the restore may have lost their entries. A domain that
    /// the store names again is no longer kept out.
    fn keep_domains_out(&mut self, now: Time, status: &DomainStatus) {
        let mut kept = self
            .restored
            .take()
            .filter(|restored| now < restored.out_until);
        let is_restore = self
            .domain_status
            .as_ref()
            .is_some_and(|previous| previous.era.is_some() && previous.era < status.era);
        if let Some(previous) = self.domain_status.as_ref().filter(|_| is_restore) {
            let mut domains = previous.domains_out.clone();
            domains.extend(kept.into_iter().flat_map(|restored| restored.domains));
            kept = Some(RestoredDomains {
                domains,
                out_until: now + RESTORE_SETTLING,
            });
        }
        if let Some(restored) = &mut kept {
            restored
                .domains
                .retain(|domain| !status.domains_out.contains(domain));
        }
        self.restored = kept.filter(|restored| !restored.domains.is_empty());
        if let Some(restored) = self.restored.as_ref().filter(|_| is_restore) {
            info!(
                event = "domains_kept_out", era = status.era.map(|era| era.0),
                revision:% = status.revision, domains:? = restored.domains,
                kept_for_ms = RESTORE_SETTLING.as_millis();
                "failure domains stay out of service: a restore of the store may have lost their entries"
            );
        }
    }

    /// Compares this replica with the heartbeat of a balancer. When both have the same catalogue,
    /// the confirmation that the balancer received from the store is valid here too. Returns
    /// whether the balancer has a newer catalogue.
    pub fn compare_with_balancer(&mut self, now: Time, heartbeat: &BalancerHeartbeat) -> bool {
        if heartbeat.catalogue == self.version()
            && let Some(ago_ms) = heartbeat.confirmed_ago_ms
        {
            self.confirm(now - Span::from_millis(u64::from(ago_ms)));
        }
        let interval = Span::from_millis(u64::from(heartbeat.interval_ms));
        self.observe_version(now, heartbeat.balancer, heartbeat.catalogue, interval)
    }

    /// Records that the store confirmed this replica at `confirmed_at`; an earlier time than the
    /// latest recorded one has no effect.
    pub fn confirm(&mut self, confirmed_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        self.forget_lost_versions(confirmed_at);
    }

    /// Returns the time since the store last confirmed this replica, or `None` if it never has.
    #[must_use]
    pub fn confirmed_ago(&self, now: Time) -> Option<Span> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns whether this replica has a catalogue and the status of the failure domains.
    #[must_use]
    pub const fn is_initialized(&self) -> bool {
        self.document.is_some() && self.domain_status.is_some()
    }

    /// Returns the version of the catalogue, or zero when there is none.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.document
            .as_ref()
            .map(|document| document.version)
            .unwrap_or_default()
    }

    /// Returns the time after which the state of an idle flow may be discarded: the idle timeout of the
    /// catalogue, at most the longest duration of a flow, which applies when there is none.
    #[must_use]
    pub fn idle_timeout(&self) -> Span {
        let max_flow_duration = self.options.max_flow_duration;
        let document = self.document.as_ref();
        document
            .filter(|document| document.idle_timeout_ms > 0)
            .map_or(max_flow_duration, |document| {
                Span::from_millis(document.idle_timeout_ms).min(max_flow_duration)
            })
    }

    /// Returns the catalogue.
    #[must_use]
    pub const fn document(&self) -> Option<&CatalogueDocument> {
        self.document.as_ref()
    }

    /// Returns the failure domains that are out of service, with their revision.
    #[must_use]
    pub const fn domain_status(&self) -> Option<&DomainStatus> {
        self.domain_status.as_ref()
    }

    /// Returns whether a failure domain is out of service; false while the status is unknown.
    #[must_use]
    pub fn is_domain_out(&self, now: Time, domain: &DomainName) -> bool {
        self.domains_out(now).any(|out| out == domain)
    }

    /// Returns the failure domains that are out of service.
    pub fn domains_out(&self, now: Time) -> impl Iterator<Item = &DomainName> {
        let named = self.domain_status.iter().map(|status| &status.domains_out);
        let kept = self
            .restored
            .iter()
            .filter(move |restored| now < restored.out_until)
            .map(|restored| &restored.domains);
        named.chain(kept).flatten()
    }

    /// Returns the catalogue entry of a service, which holds its limits.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.document
            .as_ref()?
            .services
            .iter()
            .find(|service| service.name == *name)
    }

    /// Returns whether the route of an address has `service` as a target with a positive weight.
    #[must_use]
    pub fn is_routed_to(&self, address: SocketAddrV4, service: &ServiceName) -> bool {
        self.route(address).is_some_and(|route| {
            route
                .targets
                .iter()
                .any(|target| target.service == *service && target.weight > 0)
        })
    }

    /// Returns whether the catalogue has a route for an address, whatever the weights of its targets.
    #[must_use]
    pub fn has_route(&self, address: SocketAddrV4) -> bool {
        self.routes.contains_key(&address)
    }

    /// Returns whether the route of an address has `service` as a target, whatever its weight.
    #[must_use]
    pub fn has_target(&self, address: SocketAddrV4, service: &ServiceName) -> bool {
        let targets = self.route(address).into_iter();
        targets
            .flat_map(|route| &route.targets)
            .any(|target| target.service == *service)
    }

    /// Returns the services whose hosts may hold flows to an address, as far as this process knows:
    /// the present targets of its route, whatever their weights, and former ones. A change of the
    /// catalogue leaves open flows where they are.
    pub fn possible_owners(
        &self,
        now: Time,
        address: SocketAddrV4,
    ) -> impl Iterator<Item = &ServiceName> {
        let present = self.route(address).into_iter();
        let former = self.former_targets.get(&address).into_iter().flatten();
        present
            .flat_map(|route| &route.targets)
            .map(|target| &target.service)
            .chain(
                former
                    .filter(move |(_, until)| now < **until)
                    .map(|(service, _)| service),
            )
    }

    /// Returns whether `service` is the only service that can hold flows to an address, as far as this
    /// process knows.
    #[must_use]
    pub fn is_only_owner(&self, now: Time, address: SocketAddrV4, service: &ServiceName) -> bool {
        self.has_route(address)
            && self
                .possible_owners(now, address)
                .all(|owner| owner == service)
    }

    /// Returns the priority of the route of an address under overload: 0 is served first, and an
    /// address without a route last.
    #[must_use]
    pub fn priority(&self, address: SocketAddrV4) -> u8 {
        self.route(address).map_or(u8::MAX, |route| route.priority)
    }

    /// Returns the service that a flow is routed to. The result depends only on the catalogue and
    /// the flow, so that a retransmitted SYN is routed to the same service.
    #[must_use]
    pub fn lookup(&self, flow: &FlowId) -> Lookup<'_> {
        if self.document.is_none() {
            return Lookup::NoCatalogue;
        }
        let Some(route) = self.route(flow.service) else {
            return Lookup::NoRoute;
        };
        match weighted_target(route, flow) {
            Some(service) => Lookup::Service(service),
            None => Lookup::NoRoute,
        }
    }

    /// Returns the route of an address.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&RouteEntry> {
        let index = *self.routes.get(&address)?;
        self.document.as_ref()?.routes.get(index)
    }
}

/// Chooses a target of a route by the hash of the flow, in proportion to the weights. Returns
/// `None` when no target has a positive weight.
fn weighted_target<'a>(route: &'a RouteEntry, flow: &FlowId) -> Option<&'a ServiceName> {
    if let [only] = &route.targets[..] {
        return (only.weight > 0).then_some(&only.service);
    }
    let total_weight: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut point = flow_hash(flow).checked_rem(total_weight)?;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(&target.service);
        }
        point -= weight;
    }
    None
}
