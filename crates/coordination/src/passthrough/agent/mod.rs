//! Decisions of an agent: whether its host takes a flow, and who gets packets that it does not take.

mod admission;
mod control;
mod flows;
mod held;
mod host;
mod options;
mod outcomes;
mod search;

pub use {
    held::{QueuedSyn, SynQueue},
    host::ReportOutcome,
    options::AgentOptions,
    outcomes::{Outcome, OutcomeOptions, OutcomeTracker},
};

use {
    super::{CatalogueView, FlowCache, PeerDirectory},
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{
        FlowId, HostAdvertisement, HostReportState, RelayHeader, RelayKind, RunId, Segment,
        ServiceTag,
    },
    flows::{OwnFlow, OwnFlows, Phase},
    host::{ColdBucket, Host},
    outcomes::outcome_of,
    search::informed,
    std::{
        collections::VecDeque,
        net::{Ipv4Addr, SocketAddrV4},
    },
};

/// Who an agent is.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    /// Address of the agent.
    pub address: Ipv4Addr,
    /// Life of the process.
    pub process_run: RunId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address of the backend server.
    pub server: SocketAddrV4,
}

/// Why an agent drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The sender means another service.
    OtherService,
    /// The catalogue does not send the address to the service.
    NoRoute,
    /// No host takes the new flow.
    NoHost,
    /// Nobody is known to own the flow.
    UnknownFlow,
    /// Another agent searches for the owner of the flow, which is not here.
    NotOwner,
}

impl DropReason {
    /// Returns the label of the reason in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::OtherService => "other_service",
            Self::NoRoute => "no_route",
            Self::NoHost => "no_host",
            Self::UnknownFlow => "unknown_flow",
            Self::NotOwner => "not_owner",
        }
    }
}

/// What an agent does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Gives the packet to the backend server.
    Deliver,
    /// Gives an earlier packet to the backend server.
    DeliverBuffered(Box<[u8]>),
    /// Sends the packet to its caller.
    ReturnToCaller {
        /// Address of the caller.
        caller: Ipv4Addr,
    },
    /// Sends the packet to another agent.
    Relay {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
    },
    /// Sends an earlier packet to another agent.
    RelayBuffered {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
        /// The packet.
        packet: Box<[u8]>,
    },
    /// Tells a process that a flow is here.
    AnnounceOwner {
        /// Address of the process.
        to: Ipv4Addr,
        /// The flow.
        flow: FlowId,
    },
    /// Tells a caller that its flow is gone.
    Reset {
        /// The flow.
        flow: FlowId,
        /// Next sequence number that the caller expects.
        sequence: u32,
    },
    /// Drops the packet.
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
    /// Whether the present life of the backend server began while this process ran.
    saw_birth: bool,
    bucket: ColdBucket,
    flows: OwnFlows,
    /// Openings that wait for an answer, in the order of their delivery.
    openings: VecDeque<(Time, FlowId)>,
    /// Time of the first opening since the last packet of the backend server.
    unanswered_since: Option<Time>,
    /// Whether the backend server may have started anew and has not reported since. Until then it
    /// may be cold, and takes no new flows.
    needs_report: bool,
    held: SynQueue,
    outcomes: OutcomeTracker,
    owners: FlowCache<Ipv4Addr>,
    others: Vec<HostAdvertisement>,
    /// Times from an opening or a request to the first data of its answer.
    answer_times: Vec<Span>,
    control: control::ControlState,
}

impl Agent {
    /// Creates the state of an agent. `seeds` may be balancers.
    #[must_use]
    pub fn new(
        options: AgentOptions,
        identity: AgentIdentity,
        seeds: &[Ipv4Addr],
        now: Time,
    ) -> Self {
        let mut peers = PeerDirectory::new(identity.address, options.peers);
        peers.add_all(now, seeds.iter().copied());
        Self {
            tag: ServiceTag::from(&identity.service),
            started: now,
            catalogue: CatalogueView::default(),
            peers,
            host: None,
            saw_birth: false,
            bucket: ColdBucket::empty(now),
            flows: OwnFlows::default(),
            openings: VecDeque::new(),
            unanswered_since: None,
            needs_report: false,
            held: SynQueue::new(options.held_openings),
            outcomes: OutcomeTracker::new(options.outcomes),
            owners: FlowCache::new(options.remembered_owners, options.trust_owner_for),
            others: Vec::new(),
            answer_times: Vec::new(),
            control: control::ControlState::default(),
            identity,
            options,
        }
    }

    /// Decides about a packet of a caller that a balancer or another agent sent.
    pub fn on_relayed(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if header.service != self.tag {
            actions.push(Action::Drop(DropReason::OtherService));
        } else if segment.is_syn_without_ack() {
            self.on_opening(now, header, segment, packet, actions);
        } else {
            self.on_segment(now, header, segment, actions);
        }
    }

    /// Decides about a packet that the backend server sent or returned.
    pub fn on_server_packet(
        &mut self,
        now: Time,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.needs_report |= self.is_deaf(now);
        self.unanswered_since = None;
        if segment.flags.is_returned {
            self.on_bounced(now, segment, packet, actions);
            return;
        }
        let flow = segment.flow_from_server();
        let is_known = self
            .flows
            .get(&flow)
            .is_some_and(|entry| !matches!(entry.phase, Phase::Probing));
        // A backend server that is starting resets packets of flows that it does not hold, and the
        // flow may be open at another host.
        if segment.flags.is_rst && !is_known {
            self.flows.remove(&flow);
            actions.push(Action::Drop(DropReason::UnknownFlow));
            return;
        }
        if self.flows.get(&flow).is_none() {
            self.flows.insert(flow, OwnFlow::new(now, Phase::Open));
        }
        let is_overloaded = self.is_overloaded();
        self.flows.update(&flow, |entry| {
            entry.used = now;
            entry.server_sequence = Some(segment.sequence);
            entry.is_server_finished |= segment.flags.is_fin;
            let is_answer = segment.payload_bytes > 0 || segment.flags.is_rst;
            if is_answer && std::mem::take(&mut entry.is_waiting) {
                if segment.payload_bytes > 0 {
                    self.answer_times.push(now.since(entry.asked));
                }
                if let Some(outcome) = outcome_of(segment, is_overloaded) {
                    self.outcomes.record(now, outcome);
                }
            }
            if matches!(entry.phase, Phase::Opening { .. } | Phase::Probing) {
                entry.phase = Phase::Open;
            }
            end_if_finished(entry, segment);
            let informed = std::mem::take(&mut entry.inform);
            actions.extend(
                informed
                    .into_iter()
                    .map(|to| Action::AnnounceOwner { to, flow }),
            );
        });
        actions.push(Action::ReturnToCaller {
            caller: *segment.destination.ip(),
        });
        self.release_held(now, actions);
    }

    /// Returns the number of openings that wait for room.
    #[must_use]
    pub const fn queued_syns(&self) -> usize {
        self.held.len()
    }

    /// Returns the times that callers waited for the first data of an answer since the last call.
    pub fn take_response_times(&mut self) -> std::vec::Drain<'_, Span> {
        self.answer_times.drain(..)
    }

    /// Returns how well the backend server answers.
    #[must_use]
    pub const fn outcomes(&self) -> &OutcomeTracker {
        &self.outcomes
    }

    /// Remembers the owner of a flow.
    pub fn on_owner(&mut self, now: Time, flow: FlowId, agent: Ipv4Addr) {
        if agent != self.identity.address {
            self.owners.insert(now, flow, agent);
        }
    }

    /// Gives openings that wait for too long to other hosts, and returns when to look again.
    pub fn on_syn_timer(&mut self, now: Time, actions: &mut Vec<Action>) -> Option<Time> {
        while let Some((due, flow)) = self.openings.front().copied() {
            if due > now {
                return Some(due);
            }
            self.openings.pop_front();
            let waiting = self.flows.update(&flow, |entry| match &mut entry.phase {
                Phase::Opening {
                    packet,
                    header,
                    is_passed_on,
                } => {
                    let is_first = !std::mem::replace(is_passed_on, true);
                    is_first.then(|| (packet.clone(), *header))
                }
                _ => None,
            });
            if let Some((packet, header)) = waiting.flatten()
                && let Some((to, header)) = self.next_host(&header, &flow)
            {
                actions.push(Action::RelayBuffered { to, header, packet });
            }
        }
        None
    }

    fn on_opening(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        // A balancer with a newer catalogue decides itself.
        let knows_routes =
            self.catalogue.document().is_some() && self.catalogue.version() >= header.catalogue;
        if knows_routes && !self.catalogue.allows(flow.service, &self.identity.service) {
            actions.push(Action::Drop(DropReason::NoRoute));
            return;
        }
        if self.flows.get(&flow).is_some_and(OwnFlow::is_active) {
            actions.push(Action::Deliver);
            return;
        }
        if !self.may_take(now) {
            self.pass_on(header, &flow, actions);
            return;
        }
        if !self.bears_one_more(now) {
            let passed_on = self.pass_on_busy(header, &flow, None);
            actions.push(passed_on.unwrap_or(Action::Drop(DropReason::NoHost)));
            return;
        }
        if let Some(excess) = self.reluctance(now)
            && header.kind != RelayKind::Assign
            && let Some(action) = self.pass_on_busy(header, &flow, Some(excess))
        {
            actions.push(action);
            return;
        }
        if !self.has_room() {
            self.held.hold(
                now,
                QueuedSyn {
                    flow,
                    priority: self.catalogue.priority(flow.service),
                    copies_before: segment.acknowledgment,
                    header: *header,
                    packet: packet.into(),
                },
            );
            return;
        }
        self.take(now, flow, header, packet);
        actions.push(Action::Deliver);
    }

    fn on_bounced(
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
                Phase::Opening { header, .. } => {
                    if let Some((to, header)) = self.next_host(&header, &flow) {
                        actions.push(Action::RelayBuffered {
                            to,
                            header,
                            packet: packet.into(),
                        });
                    } else {
                        actions.push(Action::Drop(DropReason::NoHost));
                    }
                }
                // A copy of the opening packet of a flow that is open is returned too.
                _ => self.flows.insert(flow, entry),
            }
            return;
        }
        let was_open = matches!(entry.phase, Phase::Open) && entry.caller_acknowledgment.is_some();
        if was_open && segment.flags.is_ack && !segment.flags.is_rst {
            let is_recent = now.since(entry.used) <= self.options.report_timeout;
            self.needs_report |= is_recent && !entry.is_server_finished;
            actions.push(Action::Reset {
                flow,
                sequence: segment.acknowledgment,
            });
        }
    }
}

fn visited(header: &RelayHeader, agent: Ipv4Addr) -> bool {
    header.visited().contains(&agent)
}

fn end_if_finished(entry: &mut OwnFlow, segment: &Segment) {
    if segment.flags.is_rst || (entry.is_caller_finished && entry.is_server_finished) {
        entry.phase = Phase::Ended;
    }
}
