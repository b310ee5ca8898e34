//! Decision logic of a balancer: the agent that each packet is forwarded to, and the control
//! messages to other processes.

mod control;
mod copies;
mod discovery;
mod fleet_age;
mod host_list;
mod load;
mod lost_flows;
mod outages;
mod placement;
mod startup_queue;

pub use {
    control::{BalancerSummary, HostSummary},
    copies::SnapshotContent,
    lost_flows::LostFlow,
    outages::ServiceOutages,
    placement::PlacementCounts,
    startup_queue::StartupQueue,
};

use {
    super::{
        CatalogueOptions, CatalogueView, FlowCache, HostDirectory, HostDirectoryOptions,
        HostRecord, Lookup, PeerDirectory, PeerDirectoryOptions, ReaderElection,
        StoreAccessOptions, flow_hash,
        load::{LoadControlOptions, LoadView, LoadViewOptions, Placer},
    },
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{FlowId, RelayHeader, RunId, Segment, ServiceTag},
    },
    std::net::Ipv4Addr,
};

/// Limits, intervals and timeouts of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerOptions {
    /// Load control of new flows.
    pub load_control: LoadControlOptions,
    /// Limits of the catalogue.
    pub catalogue: CatalogueOptions,
    /// Timeouts of the host directory.
    pub hosts: HostDirectoryOptions,
    /// Timeouts of the balancer directory.
    pub peers: PeerDirectoryOptions,
    /// Maximum number of flows in the placement cache: four times the share that one of 570
    /// balancers has of 8.3 million flows.
    pub placement_cache_capacity: usize,
    /// Least time for which the placement of an unused flow stays in the cache; it stays for the idle
    /// timeout of the catalogue if that is longer.
    pub min_placement_cache_ttl: Span,
    /// Age of the catalogue up to which packets to an unknown address are refused with a reset.
    /// They are dropped when the catalogue is older, because it may lack a new route.
    pub max_catalogue_age: Span,
    /// Interval of heartbeats between balancers.
    pub heartbeat_interval: Span,
    /// Maximum rate of heartbeats to all balancers together. It amounts to 2 KB/s of the 3 KB/s
    /// that control messages may take; with more balancers the interval grows.
    pub max_heartbeats_per_s: u64,
    /// Interval of heartbeats while no other balancer is live. It is short so that processes that
    /// start together find each other at once.
    pub discovery_interval: Span,
    /// Number of balancers that read the store for all others, and delays of their election.
    pub store_access: StoreAccessOptions,
    /// Time without a heartbeat after which the registration of a balancer is removed.
    pub registration_timeout: Span,
    /// Time without any usable host of a service after which new flows to it are refused. It is
    /// longer than it takes to exclude an unresponsive host and to learn of its successor.
    pub refuse_after: Span,
    /// Time after the start in which SYNs that cannot be placed are queued.
    pub startup_queue_window: Span,
    /// Time after the start at which a balancer without any usable host reports that it is ready
    /// nevertheless.
    pub ready_without_hosts_after: Span,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        Self {
            load_control: LoadControlOptions::default(),
            catalogue: CatalogueOptions::default(),
            hosts: HostDirectoryOptions::default(),
            peers: PeerDirectoryOptions::default(),
            placement_cache_capacity: 65_536,
            min_placement_cache_ttl: Span::from_secs(15),
            max_catalogue_age: Span::from_secs(4),
            heartbeat_interval: Span::from_millis(500),
            max_heartbeats_per_s: 60,
            discovery_interval: Span::from_millis(100),
            store_access: StoreAccessOptions::default(),
            registration_timeout: Span::from_secs(60),
            refuse_after: Span::from_millis(1_500),
            startup_queue_window: Span::from_secs(3),
            ready_without_hosts_after: Span::from_secs(2),
        }
    }
}

/// Reason for which a balancer does not forward a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The balancer has no catalogue yet.
    NoCatalogue,
    /// The catalogue has no route for the address.
    NoRoute,
    /// No host of the service accepts new flows.
    NoHost,
    /// The balancer lacks a newer catalogue, and no agent that has it serves the address.
    OutdatedCatalogue,
}

impl DropReason {
    /// Returns the label of the reason in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoCatalogue => "uninformed",
            Self::NoRoute => "no_route",
            Self::NoHost => "no_host",
            Self::OutdatedCatalogue => "outdated_catalogue",
        }
    }
}

/// What the balancer does with a packet of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardingDecision {
    /// Forwards the packet to an agent.
    Forward {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
    },
    /// Forwards a copy of the packet to an agent of each service that may own the flow.
    ForwardCopies(Vec<(Ipv4Addr, RelayHeader)>),
    /// Drops the packet and answers the caller with a reset, so that the caller knows that its flow
    /// was not opened.
    Refuse(DropReason),
    /// Drops the packet without an answer.
    Drop(DropReason),
}

#[derive(Clone, Copy, Debug)]
struct Placement {
    agent: Ipv4Addr,
    run: RunId,
    /// Service of the agent's host, which stays the owner of the flow when the route changes.
    service: ServiceTag,
}

/// State of a balancer.
#[derive(Debug)]
pub struct Balancer {
    options: BalancerOptions,
    own_address: Ipv4Addr,
    /// Failure domain of this process, if it is known.
    own_domain: Option<DomainName>,
    started: Time,
    catalogue: CatalogueView,
    hosts: HostDirectory,
    peers: PeerDirectory,
    placements: FlowCache<Placement>,
    placer: Placer,
    placement_counts: PlacementCounts,
    outages: ServiceOutages,
    lost_flows: lost_flows::LostFlows,
    fleet_age: fleet_age::FleetAge,
    reader_election: ReaderElection,
    loads: LoadView,
    load_exchange: load::LoadExchange,
    control: control::ControlState,
}

impl Balancer {
    /// Creates the state of the balancer at `own_address`. `seeds` are addresses at which other
    /// balancers may run.
    #[must_use]
    pub fn new(
        options: BalancerOptions,
        own_address: Ipv4Addr,
        seeds: &[Ipv4Addr],
        now: Time,
    ) -> Self {
        let mut peers = PeerDirectory::new(own_address, options.peers);
        peers.set_seeds(now, seeds);
        Self {
            own_address,
            own_domain: None,
            started: now,
            catalogue: CatalogueView::new(options.catalogue),
            hosts: HostDirectory::new(options.hosts),
            peers,
            placements: FlowCache::new(
                options.placement_cache_capacity,
                options.min_placement_cache_ttl,
            ),
            placer: Placer::default(),
            placement_counts: PlacementCounts::default(),
            outages: ServiceOutages::new(options.refuse_after),
            lost_flows: lost_flows::LostFlows::default(),
            fleet_age: fleet_age::FleetAge::default(),
            reader_election: ReaderElection::new(options.store_access, own_address, now),
            loads: LoadView::new(LoadViewOptions::default()),
            load_exchange: load::LoadExchange::default(),
            control: control::ControlState::default(),
            options,
        }
    }

    /// Sets the failure domain of this process.
    #[must_use]
    pub fn with_domain(mut self, domain: DomainName) -> Self {
        self.own_domain = Some(domain);
        self
    }

    /// Decides what to do with a packet of a caller.
    pub fn on_packet(&mut self, now: Time, segment: &Segment) -> ForwardingDecision {
        if !segment.is_syn_without_ack() {
            return self.on_open_flow(now, segment);
        }
        let flow = segment.flow_from_caller();
        self.lost_flows.remove(&flow);
        let service = match self.catalogue.lookup(&flow) {
            Lookup::NoCatalogue => return ForwardingDecision::Drop(DropReason::NoCatalogue),
            Lookup::NoRoute => return self.on_unknown_address(now, segment),
            Lookup::Service(service) => service.clone(),
        };
        self.refresh_service_wait(now, &service);
        match self.place(now, &flow, segment.acknowledgment, &service) {
            Some(placement) => self.forward_to(placement),
            None => self.on_no_host(now, segment, &service),
        }
    }

    /// Forwards a packet of an open flow to its owner. Only the existence of the route counts here: the
    /// targets of the present catalogue apply to new flows.
    fn on_open_flow(&mut self, now: Time, segment: &Segment) -> ForwardingDecision {
        let flow = &segment.flow_from_caller();
        if self.catalogue.document().is_none() {
            return ForwardingDecision::Drop(DropReason::NoCatalogue);
        }
        if !self.catalogue.has_route(flow.service) {
            return ForwardingDecision::Drop(DropReason::NoRoute);
        }
        match self.cached_owner(now, flow) {
            Some(placement) => self.forward_to(placement),
            None => self.forward_to_possible_owners(now, segment),
        }
    }

    /// Forwards a packet of an open flow to the preferred host of each service that may own the flow.
    /// The agents that receive it look up the owner among the hosts of their service.
    fn forward_to_possible_owners(&mut self, now: Time, segment: &Segment) -> ForwardingDecision {
        // A retransmission goes to other agents, in case those before cannot look up the owner.
        let retransmissions = self.on_unknown_owner(now, segment);
        let services = self.possible_owners(now, segment.destination);
        let is_shared = services.len() > 1;
        let hash = flow_hash(&segment.flow_from_caller()).rotate_left(retransmissions);
        let mut copies: Vec<(Ipv4Addr, RelayHeader)> = services
            .iter()
            .filter_map(|service| {
                self.hosts
                    .preferred_host(now, service, hash, self.preferred_domain())
            })
            .map(|record| {
                let placement = Placement {
                    run: RunId::default(),
                    ..to_placement(record)
                };
                let mut header = self.header(placement);
                header.has_copies = is_shared;
                (placement.agent, header)
            })
            .collect();
        match copies.len() {
            0 => ForwardingDecision::Drop(DropReason::NoHost),
            1 => {
                let (to, header) = copies.remove(0);
                ForwardingDecision::Forward { to, header }
            }
            _ => ForwardingDecision::ForwardCopies(copies),
        }
    }

    fn forward_to(&self, placement: Placement) -> ForwardingDecision {
        ForwardingDecision::Forward {
            to: placement.agent,
            header: self.header(placement),
        }
    }

    fn header(&self, placement: Placement) -> RelayHeader {
        let mut header = RelayHeader::from_balancer(
            self.own_address,
            placement.service,
            self.catalogue.version(),
            placement.run,
        );
        header.accepts_load = self.uses_loads();
        header.service_wait = self.service_wait(placement.service);
        header
    }

    /// Returns whether a packet that cannot be placed is a SYN that is worth queueing, because this
    /// process has just started and may be able to place it soon.
    #[must_use]
    pub fn may_queue(&self, now: Time, segment: &Segment) -> bool {
        segment.is_syn_without_ack() && now.since(self.started) <= self.options.startup_queue_window
    }

    /// Returns whether the balancer has a catalogue and at least one host that accepts new flows.
    #[must_use]
    pub fn can_place_flows(&self, now: Time) -> bool {
        self.catalogue.is_initialized()
            && self
                .hosts
                .iter()
                .any(|record| self.hosts.accepts_new(now, record))
    }

    /// Caches the owner of a flow.
    pub fn on_owner(&mut self, now: Time, flow: FlowId, agent: Ipv4Addr) {
        self.lost_flows.on_owner(now, &flow);
        let placement = match (self.hosts.get(agent), self.catalogue.lookup(&flow)) {
            (Some(record), _) => to_placement(record),
            (None, Lookup::Service(service)) => Placement {
                agent,
                run: RunId::default(),
                service: ServiceTag::from(service),
            },
            (None, Lookup::NoCatalogue | Lookup::NoRoute) => return,
        };
        self.placements.insert(now, flow, placement);
    }

    /// Returns whether a host accepts new flows and its failure domain is in service.
    fn is_usable(&self, now: Time, record: &HostRecord) -> bool {
        self.hosts.accepts_new(now, record)
            && !self
                .catalogue
                .is_domain_out(now, &record.announcement.domain)
    }

    /// Refuses a retransmitted SYN to an unknown address if the catalogue is recent and no newer one is
    /// known to exist. The first SYN is dropped without an answer, because its route may be newer than
    /// this balancer's catalogue; the caller retransmits it 200 ms later.
    fn on_unknown_address(&self, now: Time, segment: &Segment) -> ForwardingDecision {
        let is_recent = self
            .catalogue
            .confirmed_ago(now)
            .is_some_and(|ago| ago <= self.options.max_catalogue_age)
            && self.catalogue.behind_for(now).is_none();
        if segment.is_syn_without_ack() && segment.acknowledgment > 0 && is_recent {
            ForwardingDecision::Refuse(DropReason::NoRoute)
        } else {
            ForwardingDecision::Drop(DropReason::NoRoute)
        }
    }

    /// Refuses the first SYN of a flow when the outage of its service is confirmed. A retransmitted
    /// SYN is dropped, because the flow may have opened through another balancer.
    fn on_no_host(
        &mut self,
        now: Time,
        segment: &Segment,
        service: &ServiceName,
    ) -> ForwardingDecision {
        if self.catalogue.is_outdated(now) {
            return ForwardingDecision::Drop(DropReason::OutdatedCatalogue);
        }
        let is_first_syn = segment.is_syn_without_ack() && segment.acknowledgment == 0;
        // A balancer without any responsive agent does not know the state of the service.
        let knows_hosts = self.hosts.has_responsive_agent(now) && !self.may_queue(now, segment);
        if is_first_syn && knows_hosts && self.outages.record_failure(now, service) {
            ForwardingDecision::Refuse(DropReason::NoHost)
        } else {
            ForwardingDecision::Drop(DropReason::NoHost)
        }
    }

    /// Returns the cached owner of an open flow, unless its host has departed or its agent's address
    /// belongs to a host of another service now.
    fn cached_owner(&mut self, now: Time, flow: &FlowId) -> Option<Placement> {
        let placement = *self.placements.touch(now, flow)?;
        let may_be_present = self.hosts.get(placement.agent).is_none_or(|record| {
            let announcement = &record.announcement;
            announcement.state != HostState::Gone
                && ServiceTag::from(&announcement.service) == placement.service
        });
        may_be_present.then_some(placement)
    }
}

fn to_placement(record: &HostRecord) -> Placement {
    let announcement = &record.announcement;
    Placement {
        agent: announcement.agent,
        run: announcement.run,
        service: ServiceTag::from(&announcement.service),
    }
}
