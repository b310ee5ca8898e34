//! Decision logic of an agent: whether its host accepts a flow, and where packets go that are not
//! for its host.

mod admission;
mod agent_lists;
mod control;
mod copies;
mod explanation;
mod flow_order;
mod flow_upkeep;
mod flows;
mod host;
mod host_list;
mod identity;
mod load;
mod lookup;
mod options;
mod outcomes;
mod registry_retry;
mod relay_order;
mod segments;
mod syn_queue;

pub use {
    flow_order::FlowRejection,
    host::ReportOutcome,
    identity::AgentIdentity,
    load::HostLoadSummary,
    options::AgentOptions,
    outcomes::{Outcome, OutcomeOptions, OutcomeTracker},
    syn_queue::{GoalPosition, QueueRoom, QueuedSyn, SynClass, SynQueue},
};

use {
    super::{
        CatalogueOptions, CatalogueView, FlowCache, LookupOutcomes, PeerDirectory,
        load::{HandshakeEstimator, SlotDemand, WorkTimeEstimator},
    },
    agent_lists::KnownLists,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        FlowAbsence, FlowId, HostAdvertisement, HostReportState, PeerMessage, RelayHeader, Segment,
        ServiceTag, ServiceWait,
    },
    flows::{FlowTable, LocalFlow, Phase, close_if_finished},
    host::{ColdStartBucket, Host},
    lookup::OwnerLookups,
    outcomes::outcome_of,
    segments::previous_hops,
    std::{
        collections::{BTreeMap, VecDeque},
        net::Ipv4Addr,
    },
};

/// Reason for which an agent drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The packet is for another service.
    OtherService,
    /// The catalogue does not route the address to the service.
    NoRoute,
    /// Both this agent and the balancer lack a newer catalogue.
    OutdatedCatalogue,
    /// No host accepts the new flow.
    NoHost,
    /// The host does not hold the flow, and no other owner is known.
    UnknownFlow,
    /// Another agent looks up the owner of the flow, and the host does not hold it.
    NotOwner,
}

impl DropReason {
    /// Returns the label of the reason in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::OtherService => "other_service",
            Self::NoRoute => "no_route",
            Self::OutdatedCatalogue => "outdated_catalogue",
            Self::NoHost => "no_host",
            Self::UnknownFlow => "unknown_flow",
            Self::NotOwner => "not_owner",
        }
    }
}

/// An action that the agent's process performs for the packet or timer event at hand.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Delivers the packet to the backend server.
    Deliver,
    /// Delivers a buffered packet to the backend server.
    DeliverBuffered(Box<[u8]>),
    /// Sends the packet of the backend server to its caller, not through a balancer.
    ReturnToCaller {
        /// Address of the caller.
        caller: Ipv4Addr,
    },
    /// Relays the packet to another agent.
    Relay {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
    },
    /// Relays a buffered packet to another agent.
    RelayBuffered {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
        /// The packet.
        packet: Box<[u8]>,
    },
    /// Notifies a process that this agent owns a flow.
    AnnounceOwner {
        /// Address of the process.
        to: Ipv4Addr,
        /// The flow.
        flow: FlowId,
    },
    /// Informs the agent that looks up a flow that this host does not hold it.
    ReportAbsence {
        /// Address of the agent.
        to: Ipv4Addr,
        /// The statement.
        absence: FlowAbsence,
    },
    /// Sends a reset to the caller of a flow that no backend server holds any more.
    Reset {
        /// The flow.
        flow: FlowId,
        /// Next sequence number that the caller expects.
        sequence: u32,
    },
    /// Sends a control message.
    Send {
        /// Address of the process.
        to: Ipv4Addr,
        /// The message.
        message: PeerMessage,
    },
    /// Sends a reset to the caller of a flow that no host has received.
    Reject {
        /// The flow.
        flow: FlowId,
        /// Reason and inputs of the decision.
        rejection: Box<FlowRejection>,
    },
    /// Drops the packet without an answer.
    Drop(DropReason),
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    options: AgentOptions,
    identity: AgentIdentity,
    tag: ServiceTag,
    started: Time,
    catalogue: CatalogueView,
    peers: PeerDirectory,
    host: Option<Host>,
    /// Whether the current run of the backend server began while this process was running.
    observed_server_start: bool,
    /// Time of the first report of the current run of the backend server that this process got, if
    /// it was one of the first reports of the run.
    new_server_reported_at: Option<Time>,
    cold_start_bucket: ColdStartBucket,
    flows: FlowTable,
    /// Deadlines for the answers to delivered SYNs, in the order of their delivery.
    syn_deadlines: VecDeque<(Time, FlowId)>,
    /// Time of the first SYN that was delivered since the last packet of the backend server.
    unanswered_since: Option<Time>,
    /// Latest time at which no backend server ran.
    absent_server_at: Option<Time>,
    /// Time of the latest check whether the backend server runs, as requested by
    /// [`Agent::should_check_server`].
    server_checked_at: Option<Time>,
    /// Whether the backend server may have restarted and has not reported since. Until it reports
    /// it may be cold, and the host accepts no new flows.
    awaits_report: bool,
    syn_queue: SynQueue,
    outcomes: OutcomeTracker,
    handshakes: HandshakeEstimator,
    slot_demand: SlotDemand,
    /// Accepted flows in the order of their SYNs, until their first requests are due.
    opening_deadlines: VecDeque<(Time, FlowId)>,
    /// Agents that own flows of other hosts.
    owner_cache: FlowCache<Ipv4Addr>,
    lookups: OwnerLookups,
    known_lists: KnownLists,
    /// Hosts of the service that a balancer listed last.
    service_hosts: Vec<HostAdvertisement>,
    /// Time at which each agent of the service was last listed; kept for a while after it is not.
    agents_listed_at: BTreeMap<Ipv4Addr, Time>,
    /// Times from a SYN or a request to the first data of the response.
    response_times: Vec<Span>,
    work_times: WorkTimeEstimator,
    load_balancers: load::LoadBalancers,
    peer_loads: load::PeerLoadTable,
    control: control::ControlState,
}

impl Agent {
    /// Creates the state of an agent. `seeds` are addresses at which balancers may run.
    #[must_use]
    pub fn new(
        options: AgentOptions,
        identity: AgentIdentity,
        seeds: &[Ipv4Addr],
        now: Time,
    ) -> Self {
        let mut peers = PeerDirectory::new(identity.address, options.peers);
        peers.set_seeds(now, seeds);
        Self {
            tag: ServiceTag::from(&identity.service),
            started: now,
            catalogue: CatalogueView::new(CatalogueOptions {
                max_flow_duration: options.max_flow_duration,
                ..CatalogueOptions::default()
            }),
            peers,
            host: None,
            observed_server_start: false,
            new_server_reported_at: None,
            cold_start_bucket: ColdStartBucket::empty(now),
            flows: FlowTable::default(),
            syn_deadlines: VecDeque::new(),
            unanswered_since: None,
            absent_server_at: None,
            server_checked_at: None,
            awaits_report: false,
            syn_queue: SynQueue::new(options.syn_queue_capacity),
            outcomes: OutcomeTracker::new(options.outcomes),
            handshakes: HandshakeEstimator::default(),
            slot_demand: SlotDemand::default(),
            opening_deadlines: VecDeque::new(),
            owner_cache: FlowCache::new(options.owner_cache_capacity, options.owner_cache_ttl),
            lookups: OwnerLookups::default(),
            known_lists: KnownLists::default(),
            service_hosts: Vec::new(),
            agents_listed_at: BTreeMap::new(),
            response_times: Vec::new(),
            work_times: WorkTimeEstimator::new(0),
            load_balancers: load::LoadBalancers::default(),
            peer_loads: load::PeerLoadTable::default(),
            control: control::ControlState::default(),
            identity,
            options,
        }
    }

    /// Appends the actions for a packet of a caller that a balancer or another agent relayed.
    pub fn on_relayed(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.track_balancer(now, header);
        if header.service != self.tag {
            actions.push(Action::Drop(DropReason::OtherService));
        } else if segment.is_syn_without_ack() {
            self.on_syn(now, header, segment, packet, actions);
        } else {
            self.on_segment(now, header, segment, actions);
        }
    }

    /// Appends the actions for a packet that the backend server sent or returned as undeliverable.
    pub fn on_server_packet(
        &mut self,
        now: Time,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.awaits_report |= self.is_unresponsive(now);
        self.unanswered_since = None;
        if segment.flags.is_returned {
            self.on_returned_packet(now, segment, packet, actions);
            return;
        }
        let flow = segment.flow_from_server();
        let is_known = self
            .flows
            .get(&flow)
            .is_some_and(|entry| !matches!(entry.phase, Phase::Probing { .. }));
        // A backend server that is starting resets the packets of flows that it does not hold. Such
        // a flow may be open at another host, so the reset must not reach the caller.
        if segment.flags.is_rst && !is_known {
            let removed = self.flows.remove(&flow);
            actions.push(Action::Drop(DropReason::UnknownFlow));
            self.report_failed_probe(now, flow, removed.as_ref(), actions);
            return;
        }
        if self.flows.get(&flow).is_none() {
            self.flows.insert(flow, LocalFlow::new(now, Phase::Open));
        }
        self.track_response(now, &flow, segment);
        let is_overloaded = self.is_overloaded();
        self.flows.update(&flow, |entry| {
            entry.touch(now);
            entry.server_sequence = Some(segment.sequence);
            entry.has_server_fin |= segment.flags.is_fin;
            let is_response = segment.payload_bytes > 0 || segment.flags.is_rst;
            if is_response && std::mem::take(&mut entry.is_waiting) {
                if segment.payload_bytes > 0 {
                    self.response_times.push(now.since(entry.waiting_since));
                }
                if let Some(outcome) = outcome_of(segment, is_overloaded) {
                    self.outcomes.record(now, outcome);
                }
            }
            if matches!(
                entry.phase,
                Phase::SynDelivered { .. } | Phase::Probing { .. }
            ) {
                entry.phase = Phase::Open;
            }
            close_if_finished(entry, segment);
            let receivers = std::mem::take(&mut entry.owner_notice_receivers);
            actions.extend(
                receivers
                    .into_iter()
                    .map(|to| Action::AnnounceOwner { to, flow }),
            );
        });
        actions.push(Action::ReturnToCaller {
            caller: *segment.destination.ip(),
        });
        self.deliver_queued_syns(now, actions);
    }

    /// Returns the number of SYNs that are queued until the host has room.
    #[must_use]
    pub const fn queued_syns(&self) -> usize {
        self.syn_queue.len()
    }

    /// Returns the number of queued SYNs of a class.
    #[must_use]
    pub fn queued_syns_of(&self, now: Time, class: SynClass) -> usize {
        self.syn_queue.len_of(now, class)
    }

    /// Drains the response times since the last call: the times that callers waited for the first
    /// data of a response.
    pub fn take_response_times(&mut self) -> std::vec::Drain<'_, Span> {
        self.response_times.drain(..)
    }

    /// Returns the recent outcomes of requests to the backend server.
    #[must_use]
    pub const fn outcomes(&self) -> &OutcomeTracker {
        &self.outcomes
    }

    /// Caches the owner of a flow of another host.
    pub fn on_owner(&mut self, now: Time, flow: FlowId, agent: Ipv4Addr) {
        self.lookups.on_owner(now, &flow);
        if agent != self.identity.address {
            self.owner_cache.insert(now, flow, agent);
        }
    }

    /// Processes expired SYN deadlines: a SYN that the backend server has not answered is also
    /// relayed to another host, once. Returns the time of the next deadline.
    pub fn on_syn_timer(&mut self, now: Time, actions: &mut Vec<Action>) -> Option<Time> {
        while let Some((deadline, flow)) = self.syn_deadlines.front().copied() {
            if deadline > now {
                return Some(deadline);
            }
            self.syn_deadlines.pop_front();
            let unanswered = self.flows.update(&flow, |entry| match &mut entry.phase {
                Phase::SynDelivered {
                    packet,
                    header,
                    is_relayed,
                } => {
                    let is_first = !std::mem::replace(is_relayed, true);
                    is_first.then(|| (packet.clone(), delivered_header(header)))
                }
                _ => None,
            });
            if let Some((packet, header)) = unanswered.flatten()
                && let Some((to, header)) = self.next_candidate(now, &header, &flow)
            {
                actions.push(Action::RelayBuffered { to, header, packet });
            }
        }
        None
    }

    /// Informs the agent that looks up a flow when the backend server rejected the packet that was
    /// delivered to find out whether it holds the flow.
    fn report_failed_probe(
        &mut self,
        now: Time,
        flow: FlowId,
        entry: Option<&LocalFlow>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(Phase::Probing {
            acknowledgment,
            searcher,
        }) = entry.map(|entry| &entry.phase)
        {
            self.report_absence(now, flow, *acknowledgment, *searcher, actions);
        }
    }

    /// Appends the actions for a packet that the backend server returned. A SYN is relayed to
    /// another host; for a packet of an open flow the caller gets a reset.
    fn on_returned_packet(
        &mut self,
        now: Time,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let Some(entry) = self.flows.remove(&flow) else {
            return;
        };
        if segment.is_syn_without_ack() {
            match entry.phase {
                Phase::SynDelivered { header, .. } => {
                    if let Some((to, header)) =
                        self.next_candidate(now, &delivered_header(&header), &flow)
                    {
                        actions.push(Action::RelayBuffered {
                            to,
                            header,
                            packet: packet.into(),
                        });
                    } else {
                        actions.push(Action::Drop(DropReason::NoHost));
                    }
                }
                // A retransmitted SYN of an open flow is returned too; the flow stays open.
                _ => self.flows.insert(flow, entry),
            }
            return;
        }
        self.report_failed_probe(now, flow, Some(&entry), actions);
        let was_open = matches!(entry.phase, Phase::Open) && entry.caller_acknowledgment.is_some();
        if was_open && segment.flags.is_ack && !segment.flags.is_rst {
            let is_recent = now.since(entry.last_used) <= self.options.report_timeout;
            self.awaits_report |= is_recent && !entry.has_server_fin;
            actions.push(Action::Reset {
                flow,
                sequence: segment.acknowledgment,
            });
        }
    }
}

fn has_visited(header: &RelayHeader, agent: Ipv4Addr) -> bool {
    header.visited().contains(&agent)
}

/// Returns the header with which a SYN that was delivered to the host is relayed to another one. Its
/// flow may be open, so that nobody may reject it.
const fn delivered_header(header: &RelayHeader) -> RelayHeader {
    let mut header = *header;
    header.service_wait = ServiceWait::UNKNOWN;
    header
}
