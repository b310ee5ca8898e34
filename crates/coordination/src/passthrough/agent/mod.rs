//! Decisions of an agent: whether its host takes a flow, and who gets packets that it does not take.

mod control;
mod flows;
mod held;
mod host;

pub use {
    held::{HeldOpening, HeldOpenings},
    host::ReportOutcome,
};

use {
    super::{CatalogueView, FlowMemory, PeerDirectory, PeerDirectoryOptions, flow_hash, rank},
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{
        FlowId, HostBrief, HostReportState, LeastLoaded, Life, RelayHeader, RelayKind, Segment,
        ServiceTag,
    },
    flows::{OwnFlow, OwnFlows, Phase},
    host::{ColdBucket, Host},
    std::{
        collections::VecDeque,
        net::{Ipv4Addr, SocketAddrV4},
    },
};

/// Limits and times of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Times of the balancer directory.
    pub peers: PeerDirectoryOptions,
    /// Time after which an opening that the backend server does not answer is given to another
    /// host too. A backend server answers within 1 ms; the caller repeats after 200 ms.
    pub opening_timeout: Span,
    /// Silence of the backend server, while openings wait, after which it gets no new ones.
    pub suspect_after: Span,
    /// Silence of the reports after which the host takes no new flows: two reports are missing.
    pub report_timeout: Span,
    /// Time for which an idle flow is remembered, longer than the idle timeout of the catalogue.
    pub keep_idle_for: Span,
    /// Time for which an ended or unanswered flow is remembered, for late packets of its caller.
    pub keep_ended_for: Span,
    /// Longest life of a flow; after this the process knows all flows of its host.
    pub max_flow: Span,
    /// Flows whose owner elsewhere is remembered.
    pub remembered_owners: usize,
    /// Time for which an owner elsewhere is trusted without a new sign of it.
    pub trust_owner_for: Span,
    /// Callers that may wait for a host, as a multiple of its slots; further openings are held.
    /// Two a slot leave slots idle while flows open and close; at five the backend servers, which
    /// queue four requests a slot, shed load.
    pub waiting_per_slot: usize,
    /// Openings that are held.
    pub held_openings: usize,
    /// Busy hosts that the opening of a flow visits before the least loaded one takes it.
    pub busy_visits: usize,
    /// Interval of announcements.
    pub announce_interval: Span,
    /// Announcements a second to all balancers together; with more balancers the interval grows.
    pub announcements_per_s: u64,
    /// Interval of announcements while no balancer is heard.
    pub search_interval: Span,
    /// Age of the catalogue above which the agent reads the store itself.
    pub stale_after: Span,
    /// Time for which a stopping agent waits for its flows, within the time that the platform
    /// gives.
    pub stop_timeout: Span,
    /// Least time between the request to stop and the end, in which balancers turn away.
    pub stop_linger: Span,
}

impl Default for AgentOptions {
    fn default() -> Self {
        Self {
            peers: PeerDirectoryOptions::default(),
            opening_timeout: Span::from_millis(40),
            suspect_after: Span::from_millis(300),
            report_timeout: Span::from_millis(2_200),
            keep_idle_for: Span::from_secs(20),
            keep_ended_for: Span::from_secs(3),
            max_flow: Span::from_secs(60),
            remembered_owners: 8_192,
            trust_owner_for: Span::from_millis(1_500),
            waiting_per_slot: 4,
            held_openings: 32,
            busy_visits: 3,
            announce_interval: Span::from_millis(250),
            announcements_per_s: 120,
            search_interval: Span::from_millis(100),
            stale_after: Span::from_millis(2_500),
            stop_timeout: Span::from_millis(4_500),
            stop_linger: Span::from_millis(300),
        }
    }
}

/// Who an agent is.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    /// Address of the agent.
    pub address: Ipv4Addr,
    /// Life of the process.
    pub process: Life,
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
        }
    }
}

/// What an agent does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Gives the packet to the backend server.
    Deliver,
    /// Gives an earlier packet to the backend server.
    DeliverStored(Box<[u8]>),
    /// Sends the packet to its caller.
    Answer,
    /// Sends the packet to another agent.
    Relay {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
    },
    /// Sends an earlier packet to another agent.
    RelayStored {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Header in front of the packet.
        header: RelayHeader,
        /// The packet.
        packet: Box<[u8]>,
    },
    /// Tells a process that a flow is here.
    Inform {
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
    held: HeldOpenings,
    owners: FlowMemory<Ipv4Addr>,
    others: Vec<HostBrief>,
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
        for seed in seeds {
            peers.add(now, *seed);
        }
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
            held: HeldOpenings::new(options.held_openings),
            owners: FlowMemory::new(options.remembered_owners, options.trust_owner_for),
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
        } else if segment.is_opening() {
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
        if segment.flags.is_bounced {
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
        self.flows.update(&flow, |entry| {
            entry.used = now;
            entry.server_sequence = Some(segment.sequence);
            entry.is_server_finished |= segment.flags.is_fin;
            if segment.payload_bytes > 0 && std::mem::take(&mut entry.is_waiting) {
                self.answer_times.push(now.since(entry.asked));
            }
            if matches!(entry.phase, Phase::Opening { .. } | Phase::Probing) {
                entry.phase = Phase::Open;
            }
            end_if_finished(entry, segment);
            let informed = std::mem::take(&mut entry.inform);
            actions.extend(informed.into_iter().map(|to| Action::Inform { to, flow }));
        });
        actions.push(Action::Answer);
        self.release_held(now, actions);
    }

    /// Returns the number of openings that wait for room.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns the times that callers waited for the first data of an answer since the last call.
    pub fn take_answer_times(&mut self) -> std::vec::Drain<'_, Span> {
        self.answer_times.drain(..)
    }

    /// Remembers the owner of a flow.
    pub fn on_owner(&mut self, now: Time, flow: FlowId, agent: Ipv4Addr) {
        if agent != self.identity.address {
            self.owners.insert(now, flow, agent);
        }
    }

    /// Gives openings that wait for too long to other hosts, and returns when to look again.
    pub fn on_opening_timer(&mut self, now: Time, actions: &mut Vec<Action>) -> Option<Time> {
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
                actions.push(Action::RelayStored { to, header, packet });
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
        if let Some(excess) = self.excess()
            && header.kind != RelayKind::Assign
            && let Some(action) = self.pass_on_busy(header, &flow, excess)
        {
            actions.push(action);
            return;
        }
        if !self.may_start_cold(now) {
            self.pass_on(header, &flow, actions);
            return;
        }
        if !self.has_room() {
            self.held.hold(
                now,
                HeldOpening {
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

    /// Takes a new flow.
    fn take(&mut self, now: Time, flow: FlowId, header: &RelayHeader, packet: &[u8]) {
        let mut entry = OwnFlow::new(
            now,
            Phase::Opening {
                packet: packet.into(),
                header: *header,
                is_passed_on: false,
            },
        );
        entry.inform = informed(header);
        self.flows.insert(flow, entry);
        self.openings
            .push_back((now + self.options.opening_timeout, flow));
        self.unanswered_since.get_or_insert(now);
    }

    /// Gives held openings to the backend server while it has room.
    fn release_held(&mut self, now: Time, actions: &mut Vec<Action>) {
        while !self.held.is_empty() && self.has_room() && self.may_take(now) {
            let Some(opening) = self.held.take(now) else {
                return;
            };
            let is_open = self
                .flows
                .get(&opening.flow)
                .is_some_and(OwnFlow::is_active);
            if !is_open {
                self.take(now, opening.flow, &opening.header, &opening.packet);
            }
            actions.push(Action::DeliverStored(opening.packet));
        }
    }

    /// Tells whether one more request may wait for the backend server.
    fn has_room(&self) -> bool {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        self.flows.waiting() < slots * self.options.waiting_per_slot
    }

    fn on_segment(
        &mut self,
        now: Time,
        header: &RelayHeader,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let is_own = self
            .flows
            .get(&flow)
            .is_some_and(|entry| !segment.flags.is_ack || entry.matches(segment.acknowledgment));
        if is_own {
            self.flows.update(&flow, |entry| {
                entry.used = now;
                entry.is_caller_finished |= segment.flags.is_fin;
                if segment.payload_bytes > 0 && !std::mem::replace(&mut entry.is_waiting, true) {
                    entry.asked = now;
                }
                if segment.flags.is_ack {
                    entry.caller_acknowledgment = Some(segment.acknowledgment);
                }
                end_if_finished(entry, segment);
            });
            actions.push(Action::Deliver);
            if header.kind != RelayKind::Forward {
                let told = informed(header).into_iter();
                actions.extend(told.map(|to| Action::Inform { to, flow }));
            }
            return;
        }
        self.search(now, header, &flow, actions);
    }

    /// Sends a packet of a flow that is not known here to where it may be known.
    fn search(
        &mut self,
        now: Time,
        header: &RelayHeader,
        flow: &FlowId,
        actions: &mut Vec<Action>,
    ) {
        let before = actions.len();
        if self.may_hold_unknown(now) && self.flows.get(flow).is_none() {
            let mut entry = OwnFlow::new(now, Phase::Probing);
            entry.inform = informed(header);
            self.flows.insert(*flow, entry);
            actions.push(Action::Deliver);
        } else if self
            .flows
            .get(flow)
            .is_some_and(|entry| matches!(entry.phase, Phase::Probing))
        {
            actions.push(Action::Deliver);
        }
        if header.kind == RelayKind::Forward
            && let Some(header) =
                header.relayed_by(self.identity.address, RelayKind::Search, Life::default())
        {
            let known_owner = self.owners.touch(now, flow).copied();
            let own = self.identity.address;
            let all = self.others.iter().map(|host| host.agent);
            let to = known_owner
                .map_or_else(|| all.collect(), |owner| vec![owner])
                .into_iter()
                .filter(|agent| *agent != own);
            actions.extend(to.map(|to| Action::Relay { to, header }));
        }
        if actions.len() == before {
            actions.push(Action::Drop(DropReason::UnknownFlow));
        }
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
        if segment.is_opening() {
            match entry.phase {
                Phase::Opening { header, .. } => {
                    if let Some((to, header)) = self.next_host(&header, &flow) {
                        actions.push(Action::RelayStored {
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

    /// Tells whether the host takes new flows at all.
    fn may_take(&self, now: Time) -> bool {
        let Some(host) = &self.host else {
            return false;
        };
        let max_connections = self
            .catalogue
            .service(&self.identity.service)
            .map_or(u32::MAX, |service| service.max_connections);
        host.state == HostReportState::Ready
            && !self.control.is_stopping()
            && !self.is_silent(now)
            && !self.catalogue.is_out(&self.identity.domain)
            && self.flows.active() < max_connections as usize
    }

    /// Tells whether a cold host bears one more flow, and counts it.
    fn may_start_cold(&mut self, now: Time) -> bool {
        let is_cold = self.host.as_ref().is_some_and(|host| now < host.cold_until);
        if !is_cold {
            return true;
        }
        // An agent that has just started does not know the rate yet.
        let Some(limits) = self.catalogue.service(&self.identity.service) else {
            return false;
        };
        limits.cold_flows_per_s <= 0.0 || self.bucket.take(now, limits.cold_flows_per_s)
    }

    /// Returns how many requests would wait beyond the slots of the host with one more flow, or
    /// `None` when a slot is free.
    fn excess(&self) -> Option<u8> {
        let slots = self.host.as_ref().map_or(0, |host| host.slots as usize);
        let excess = (self.flows.waiting() + 1).saturating_sub(slots);
        (excess > 0).then(|| u8::try_from(excess).unwrap_or(u8::MAX))
    }

    /// Passes the opening of a flow on because all slots are in use. The packet visits a few
    /// hosts at random, which sees their present load; when all are busy, the least loaded one
    /// takes the flow. `None` when this host is to take it.
    fn pass_on_busy(&self, header: &RelayHeader, flow: &FlowId, excess: u8) -> Option<Action> {
        let mut header = *header;
        let own_position = u8::try_from(header.visited().len()).unwrap_or(u8::MAX);
        if excess < header.least_loaded.excess {
            header.least_loaded = LeastLoaded {
                position: own_position,
                excess,
            };
        }
        if header.visited().len() < self.options.busy_visits
            && let Some((to, header)) = self.next_host(&header, flow)
        {
            return Some(Action::Relay { to, header });
        }
        if header.least_loaded.position == own_position {
            return None;
        }
        let to = *header
            .visited()
            .get(usize::from(header.least_loaded.position))?;
        let header =
            header.relayed_by(self.identity.address, RelayKind::Assign, Life::default())?;
        Some(Action::Relay { to, header })
    }

    fn pass_on(&self, header: &RelayHeader, flow: &FlowId, actions: &mut Vec<Action>) {
        actions.push(match self.next_host(header, flow) {
            Some((to, header)) => Action::Relay { to, header },
            None => Action::Drop(DropReason::NoHost),
        });
    }

    /// Returns the next host for an opening packet: one that is not busy before others, by rank.
    fn next_host(&self, header: &RelayHeader, flow: &FlowId) -> Option<(Ipv4Addr, RelayHeader)> {
        let hash = flow_hash(flow);
        let own = self.identity.address;
        let next = self
            .others
            .iter()
            .filter(|host| host.accepts_new && host.agent != own && !visited(header, host.agent))
            .max_by_key(|host| rank(hash, host.agent))?;
        let header = header.relayed_by(own, RelayKind::PassOn, next.life)?;
        Some((next.agent, header))
    }

    /// Tells whether the backend server may hold flows that this process does not know.
    fn may_hold_unknown(&self, now: Time) -> bool {
        !self.saw_birth && now.since(self.started) <= self.options.max_flow
    }

    /// Tells whether the backend server seems not to run.
    fn is_silent(&self, now: Time) -> bool {
        let reports_stopped = self
            .host
            .as_ref()
            .is_some_and(|host| now.since(host.reported) > self.options.report_timeout);
        self.needs_report || self.is_deaf(now) || reports_stopped
    }

    /// Tells whether openings have been waiting for an answer for long.
    fn is_deaf(&self, now: Time) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) > self.options.suspect_after)
    }
}

fn visited(header: &RelayHeader, agent: Ipv4Addr) -> bool {
    header.visited().contains(&agent)
}

/// Returns the processes that had a packet before this one.
fn informed(header: &RelayHeader) -> Vec<Ipv4Addr> {
    if header.kind == RelayKind::Forward {
        return Vec::new();
    }
    let visited = header.visited().iter();
    visited.chain([&header.balancer]).copied().collect()
}

fn end_if_finished(entry: &mut OwnFlow, segment: &Segment) {
    if segment.flags.is_rst || (entry.is_caller_finished && entry.is_server_finished) {
        entry.phase = Phase::Ended;
    }
}
