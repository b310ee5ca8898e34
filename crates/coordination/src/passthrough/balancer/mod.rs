//! Decisions of a balancer: which agent gets a packet, and what other processes are told.

mod control;
mod early;
mod outages;

pub use {
    control::{BalancerSummary, HostSummary},
    early::StartupQueue,
    outages::ServiceOutages,
};

use {
    super::{
        CatalogueView, FlowCache, HostDirectory, HostDirectoryOptions, HostRecord, Lookup,
        PeerDirectory, PeerDirectoryOptions, flow_hash, rank,
    },
    cardamomloom_core::{ServiceName, Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{FlowId, RelayHeader, RunId, Segment, ServiceTag},
    },
    std::net::Ipv4Addr,
};

/// Limits and times of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerOptions {
    /// Times of the host directory.
    pub hosts: HostDirectoryOptions,
    /// Times of the balancer directory.
    pub peers: PeerDirectoryOptions,
    /// Flows whose agent is remembered: four times the share of one of 570 balancers in 8.3
    /// million flows.
    pub remembered_flows: usize,
    /// Time for which an unused flow is remembered, the idle timeout of the users' catalogues.
    pub remember_for: Span,
    /// Age of the catalogue up to which an unknown address is refused with a reset. An older
    /// catalogue may lack a new route, so that its packets are dropped.
    pub fresh_for: Span,
    /// Interval of the signs of life between balancers.
    pub view_interval: Span,
    /// Signs of life a second to all balancers together, 2 KB/s of the 3 KB/s that control may
    /// take; with more balancers the interval grows.
    pub views_per_s: u64,
    /// Interval of the signs of life while no other balancer is heard, so that processes that
    /// start together find each other at once.
    pub search_interval: Span,
    /// Balancers that read the store for all others; two, so that one can be lost.
    pub readers: usize,
    /// Silence after which the registration of a balancer is removed.
    pub registration_timeout: Span,
    /// Time without any usable host of a service after which new flows to it are refused: longer
    /// than the gap until a silent host is left out and its successor is known.
    pub refuse_after: Span,
    /// Time after the start in which opening packets that cannot be placed are held.
    pub hold_early_for: Span,
    /// Time without any usable host after which a starting balancer reports ready all the same.
    pub ready_without_hosts_after: Span,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        Self {
            hosts: HostDirectoryOptions::default(),
            peers: PeerDirectoryOptions::default(),
            remembered_flows: 65_536,
            remember_for: Span::from_secs(15),
            fresh_for: Span::from_secs(4),
            view_interval: Span::from_millis(500),
            views_per_s: 60,
            search_interval: Span::from_millis(100),
            readers: 2,
            registration_timeout: Span::from_secs(60),
            refuse_after: Span::from_millis(1_500),
            hold_early_for: Span::from_secs(3),
            ready_without_hosts_after: Span::from_secs(2),
        }
    }
}

/// Why a balancer does not forward a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No catalogue is known yet.
    NoCatalogue,
    /// The catalogue has no such address.
    NoRoute,
    /// No host of the service takes new flows.
    NoHost,
}

impl DropReason {
    /// Returns the label of the reason in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoCatalogue => "uninformed",
            Self::NoRoute => "no_route",
            Self::NoHost => "no_host",
        }
    }
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardingDecision {
    /// The packet goes to an agent.
    Forward {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
    },
    /// The caller is told that its flow was not opened.
    Refuse(DropReason),
    /// The packet is dropped.
    Drop(DropReason),
}

#[derive(Clone, Copy, Debug)]
struct Placement {
    agent: Ipv4Addr,
    life: RunId,
}

/// State of a balancer.
#[derive(Debug)]
pub struct Balancer {
    options: BalancerOptions,
    own: Ipv4Addr,
    started: Time,
    catalogue: CatalogueView,
    hosts: HostDirectory,
    peers: PeerDirectory,
    placements: FlowCache<Placement>,
    outages: ServiceOutages,
    control: control::ControlState,
}

impl Balancer {
    /// Creates the state of a balancer at an address. `seeds` may be balancers.
    #[must_use]
    pub fn new(options: BalancerOptions, own: Ipv4Addr, seeds: &[Ipv4Addr], now: Time) -> Self {
        let mut peers = PeerDirectory::new(own, options.peers);
        peers.add_all(now, seeds.iter().copied());
        Self {
            own,
            started: now,
            catalogue: CatalogueView::default(),
            hosts: HostDirectory::new(options.hosts),
            peers,
            placements: FlowCache::new(options.remembered_flows, options.remember_for),
            outages: ServiceOutages::new(options.refuse_after),
            control: control::ControlState::default(),
            options,
        }
    }

    /// Decides about a packet of a caller.
    pub fn on_packet(&mut self, now: Time, segment: &Segment) -> ForwardingDecision {
        let flow = segment.flow_from_caller();
        let (service, tag) = match self.catalogue.lookup(&flow) {
            Lookup::NoCatalogue => return ForwardingDecision::Drop(DropReason::NoCatalogue),
            Lookup::NoRoute => return self.on_unknown_address(now, segment),
            Lookup::Service(service) => (service.clone(), ServiceTag::from(service)),
        };
        let chosen = if segment.is_syn_without_ack() {
            self.place(now, &flow, segment.acknowledgment, &service)
        } else {
            self.find(now, &flow, &service)
        };
        let Some(placement) = chosen else {
            return self.on_no_host(now, segment, &service);
        };
        ForwardingDecision::Forward {
            to: placement.agent,
            header: RelayHeader::from_balancer(
                self.own,
                tag,
                self.catalogue.version(),
                placement.life,
            ),
        }
    }

    /// Tells whether an opening packet that cannot be placed may be placed soon, because this
    /// process has just started.
    #[must_use]
    pub fn may_queue(&self, now: Time, segment: &Segment) -> bool {
        segment.is_syn_without_ack() && now.since(self.started) <= self.options.hold_early_for
    }

    /// Tells whether new flows can be placed on some host.
    #[must_use]
    pub fn can_place_flows(&self, now: Time) -> bool {
        self.catalogue.is_informed()
            && self
                .hosts
                .iter()
                .any(|record| self.hosts.accepts_new(now, record))
    }

    /// Remembers the owner of a flow.
    pub fn on_owner(&mut self, now: Time, flow: FlowId, agent: Ipv4Addr) {
        let life = self.hosts.life(agent);
        self.placements.insert(now, flow, Placement { agent, life });
    }

    /// Tells whether a host may be given new flows.
    fn is_usable(&self, now: Time, record: &HostRecord) -> bool {
        self.hosts.accepts_new(now, record) && !self.catalogue.is_out(&record.announcement.domain)
    }

    /// A first opening packet is dropped without an answer, because its route may be newer than
    /// this balancer's catalogue; its copy comes 200 ms later.
    fn on_unknown_address(&self, now: Time, segment: &Segment) -> ForwardingDecision {
        let is_fresh = self
            .catalogue
            .confirmed_ago(now)
            .is_some_and(|ago| ago <= self.options.fresh_for);
        if segment.is_syn_without_ack() && segment.acknowledgment > 0 && is_fresh {
            ForwardingDecision::Refuse(DropReason::NoRoute)
        } else {
            ForwardingDecision::Drop(DropReason::NoRoute)
        }
    }

    /// Refuses the first packet of a flow when its service has had no host for a while. A copy is
    /// dropped, because the flow may have opened through another balancer.
    fn on_no_host(
        &mut self,
        now: Time,
        segment: &Segment,
        service: &ServiceName,
    ) -> ForwardingDecision {
        let is_first = segment.is_syn_without_ack() && segment.acknowledgment == 0;
        // A balancer that hears no agent at all knows nothing of the service.
        let knows_hosts = self.hosts.hears_any(now) && !self.may_queue(now, segment);
        if is_first && knows_hosts && self.outages.is_certain(now, service) {
            ForwardingDecision::Refuse(DropReason::NoHost)
        } else {
            ForwardingDecision::Drop(DropReason::NoHost)
        }
    }

    /// Chooses a host for a new flow: the first by rank that has a free slot, otherwise the one
    /// with the least load. A copy of an opening packet goes to another host than the one before.
    fn place(
        &mut self,
        now: Time,
        flow: &FlowId,
        copies_before: u32,
        service: &ServiceName,
    ) -> Option<Placement> {
        let tried = self
            .placements
            .touch(now, flow)
            .filter(|_| copies_before > 0)
            .map(|placement| placement.agent);
        let hash = flow_hash(flow);
        let usable = self
            .hosts
            .of_service(service)
            .filter(|record| self.is_usable(now, record));
        let chosen = usable
            .min_by_key(|record| {
                let agent = record.announcement.agent;
                (Some(agent) == tried, !rank(hash, agent))
            })
            .map(to_placement)?;
        self.outages.end(service);
        self.placements.insert(now, *flow, chosen);
        Some(chosen)
    }

    /// Returns the agent that probably owns an open flow.
    fn find(&mut self, now: Time, flow: &FlowId, service: &ServiceName) -> Option<Placement> {
        if let Some(placement) = self.placements.touch(now, flow).copied() {
            let is_present = self
                .hosts
                .get(placement.agent)
                .is_none_or(|record| record.announcement.state != HostState::Gone);
            if is_present {
                return Some(placement);
            }
        }
        self.hosts
            .first_for(now, service, flow_hash(flow))
            .map(|record| Placement {
                life: RunId::default(),
                ..to_placement(record)
            })
    }
}

const fn to_placement(record: &HostRecord) -> Placement {
    Placement {
        agent: record.announcement.agent,
        life: record.announcement.run,
    }
}
