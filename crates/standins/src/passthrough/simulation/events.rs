//! Event handlers of the simulation.

use {
    super::{
        Caller, CallerOptions, CallerOutcome, Event, PROBE_INTERVAL, RECOVERY_BOUND,
        REPORT_INTERVAL, Server, ServerEvent, Simulation, TICK_INTERVAL, TestPacketFormat,
        server_address, service_name,
    },
    cardamomloom_coordination::passthrough::{
        OutgoingMessage, StoreAccess,
        agent::Action,
        balancer::{ForwardingDecision, LostFlow},
        flow_hash,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        forward::DatagramKey,
        passthrough::{
            FlowId, FlowOwner, HostReport, HostReportState, PacketFormat, PeerMessage, RelayHeader,
            Segment, seal,
        },
    },
    rand::RngExt,
    std::net::{Ipv4Addr, SocketAddrV4},
};

/// Key that seals control messages; only the length of the sealed datagrams is used.
const KEY: DatagramKey = DatagramKey([7; 16]);

/// Longest additional delay of a late packet or control message.
const MAX_LATENESS: Span = Span::from_millis(800);

impl Simulation {
    /// Handles an event at its time.
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::ToBalancer(balancer, packet) => self.on_packet_at_balancer(balancer, packet),
            Event::ToAgent(agent, header, packet) => {
                self.on_packet_at_agent(agent, &header, &packet);
            }
            Event::ControlMessage(to, message) => self.on_control_message(to, message),
            Event::CopyEnded {
                to,
                generation,
                peer,
                outcome,
            } => {
                self.on_copy_ended(to, generation, peer, &outcome);
                if self.is_current(to, generation) {
                    self.request_copies(to, generation);
                }
            }
            Event::StoreAnswer(process, generation, document, access) => {
                self.on_store_answer(process, generation, document, access);
            }
            Event::ToCaller(packet) => self.on_packet_at_caller(&packet),
            Event::CallerTimer(flow) => self.on_caller_timer(flow),
            Event::ServerTimer(agent) => {
                let is_running =
                    |server: &&mut Server| server.is_up && server.frozen_packets.is_none();
                let Some(server) = self.servers.get_mut(&agent).filter(is_running) else {
                    return;
                };
                // Each packet schedules a timer; without this check each timer would schedule another
                // one for as long as the backend server is busy.
                if server.model.next_timer().is_none_or(|next| next > self.now) {
                    return;
                }
                let responses = server.model.on_timer(self.now);
                self.relay_server_packets(agent, responses);
            }
            Event::SynTimer(agent, generation) => {
                if self.is_current(agent, generation) {
                    self.process_syn_timers(agent);
                }
            }
            Event::Tick(process, generation) => self.tick(process, generation),
            Event::Report(agent, generation) => {
                if self.is_current(agent, generation) {
                    self.report(agent);
                    self.schedule(REPORT_INTERVAL, Event::Report(agent, generation));
                }
            }
            Event::OpenFlow(address, options) => self.open(address, options),
            Event::Retry(flow, first_opened, options) => {
                self.open_again(flow, first_opened, options);
            }
            Event::Probe => {
                for process in self.balancers.values_mut() {
                    process.is_in_rotation = process.is_up && process.core.is_ready(self.now);
                }
                self.schedule(PROBE_INTERVAL, Event::Probe);
            }
        }
    }

    /// Opens a flow from a new caller to an address.
    pub(super) fn open(&mut self, address: SocketAddrV4, options: CallerOptions) {
        self.open_flow(address, options);
    }

    /// Opens a flow and returns its identifier.
    pub(super) fn open_flow(&mut self, address: SocketAddrV4, options: CallerOptions) -> FlowId {
        self.next_caller += 1;
        let number = self.next_caller;
        let [_, b, c, d] = number.to_be_bytes();
        let port = 1_024 + u16::from(b);
        let flow = FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, c, d), port),
            service: address,
        };
        let (caller, syn) = Caller::open(self.now, flow, u64::from(number) << 16, options);
        let next_timer = caller.next_timer();
        self.callers.insert(flow, caller);
        self.oracle.counters.opened += 1;
        self.send_from_caller(vec![(syn, Vec::new())]);
        self.schedule_at(next_timer, Event::CallerTimer(flow));
        flow
    }

    fn on_packet_at_balancer(&mut self, balancer: Ipv4Addr, packet: Vec<u8>) {
        let Some(process) = self
            .balancers
            .get_mut(&balancer)
            .filter(|process| process.is_up)
        else {
            return;
        };
        let Some(segment) = TestPacketFormat.parse(&packet) else {
            return;
        };
        match process.core.on_packet(self.now, &segment) {
            ForwardingDecision::Forward { to, mut header } => {
                if self.options.states_service_wait {
                    header.service_wait = self.service_wait(segment.destination);
                }
                self.send_between(balancer, to, Event::ToAgent(to, header, packet));
            }
            ForwardingDecision::ForwardCopies(copies) => {
                for (to, header) in copies {
                    let event = Event::ToAgent(to, header, packet.clone());
                    self.send_between(balancer, to, event);
                }
            }
            ForwardingDecision::Refuse(_) => {
                self.send_reset(&segment.flow_from_caller(), 0);
            }
            ForwardingDecision::Drop(_) => {}
        }
    }

    fn on_packet_at_agent(&mut self, agent: Ipv4Addr, header: &RelayHeader, packet: &[u8]) {
        let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
            return;
        };
        let Some(segment) = TestPacketFormat.parse(packet) else {
            return;
        };
        let mut actions = Vec::new();
        process
            .core
            .on_relayed(self.now, header, &segment, packet, &mut actions);
        self.execute(agent, actions, packet);
        self.process_syn_timers(agent);
    }

    fn on_control_message(&mut self, to: Ipv4Addr, message: PeerMessage) {
        let is_heartbeat = matches!(message, PeerMessage::BalancerHeartbeat(_));
        if let Some(process) = self
            .balancers
            .get_mut(&to)
            .filter(|process| process.is_up && !process.loses_inbound_control)
            .filter(|process| !(process.is_partitioned && is_heartbeat))
        {
            let answers = process.core.on_message(self.now, message);
            let lost_flows = process.core.take_lost_flows();
            self.send_control(to, answers);
            for LostFlow { flow, sequence } in lost_flows {
                self.send_reset(&flow, sequence);
            }
        } else if let Some(process) = self.agents.get_mut(&to).filter(|process| process.is_up) {
            let mut actions = Vec::new();
            let answers = process.core.on_message(self.now, message, &mut actions);
            self.execute(to, actions, &[]);
            self.send_control(to, answers);
        }
    }

    fn on_packet_at_caller(&mut self, packet: &[u8]) {
        let Some(segment) = TestPacketFormat.parse(packet) else {
            return;
        };
        let flow = segment.flow_from_server();
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        let was_open = caller.is_open();
        let replies = caller.on_packet(self.now, &segment, segment.payload(packet));
        let (next_timer, is_done) = (caller.next_timer(), caller.outcome().is_some());
        if segment.flags.is_rst && was_open {
            let is_open_at_server = self
                .servers
                .values()
                .any(|server| server.is_up && server.model.has_open_flow(&flow));
            self.oracle.on_reset(self.now, flow, is_open_at_server);
        }
        self.send_from_caller(replies);
        self.update_caller(flow, next_timer, is_done);
    }

    fn on_caller_timer(&mut self, flow: FlowId) {
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        if caller.next_timer() > self.now {
            return;
        }
        let packets = caller.on_timer(self.now);
        let (next_timer, is_done) = (caller.next_timer(), caller.outcome().is_some());
        self.send_from_caller(packets);
        self.update_caller(flow, next_timer, is_done);
    }

    /// Schedules the next timer of a caller, or removes the caller and checks its outcome.
    fn update_caller(&mut self, flow: FlowId, next_timer: Time, is_done: bool) {
        if !is_done {
            self.schedule_at(next_timer, Event::CallerTimer(flow));
            return;
        }
        if let Some(caller) = self.callers.remove(&flow)
            && let Some(outcome) = caller.outcome()
        {
            self.oracle
                .on_outcome(self.now, flow, outcome, caller.max_response_time);
            self.on_flow_ended(flow, &caller);
            self.check_reachable(flow, outcome);
        }
    }

    /// Records a violation when a flow timed out although a running backend server with a running
    /// agent has it open and the latest disruption is longer ago than [`RECOVERY_BOUND`].
    fn check_reachable(&mut self, flow: FlowId, outcome: CallerOutcome) {
        let has_recovered = self.now.since(self.last_disruption) > RECOVERY_BOUND;
        let owner = self.servers.iter().find(|(agent, server)| {
            let is_agent_up = self.agents.get(agent).is_some_and(|process| process.is_up);
            server.is_up && is_agent_up && server.model.has_open_flow(&flow)
        });
        if let Some((agent, _)) = owner
            && has_recovered
            && outcome == CallerOutcome::TimedOut
        {
            self.oracle.on_unreachable(self.now, flow, *agent);
        }
    }

    fn tick(&mut self, address: Ipv4Addr, generation: u64) {
        if !self.is_current(address, generation) {
            return;
        }
        self.schedule(TICK_INTERVAL, Event::Tick(address, generation));
        let now = self.now;
        let mut outgoing = Vec::new();
        let mut access = StoreAccess::None;
        let mut reaches_store = self.is_store_up;
        let mut actions = Vec::new();
        if let Some(process) = self.balancers.get_mut(&address) {
            outgoing = process.core.on_tick(now);
            access = process.core.store_access(now);
            reaches_store &= !process.is_cut_from_store;
        } else if let Some(process) = self.agents.get_mut(&address) {
            outgoing = process.core.on_tick(now);
            process.core.deliver_queued_syns(now, &mut actions);
            access = process.core.store_access(now);
        }
        let is_agent = self.agents.contains_key(&address);
        if matches!(access, StoreAccess::Follow { .. }) || (is_agent && access != StoreAccess::None)
        {
            self.store_follower_ticks += 1;
        }
        self.execute(address, actions, &[]);
        self.send_control(address, outgoing);
        if access != StoreAccess::None && reaches_store {
            self.read_store(address, generation, access);
        }
        self.request_copies(address, generation);
    }
    /// Delivers a report of the backend server beside an agent to the agent, and sends the control
    /// messages that result from it.
    pub(super) fn report(&mut self, agent: Ipv4Addr) {
        let is_running = |server: &&mut Server| server.is_up && server.frozen_packets.is_none();
        let Some(server) = self.servers.get_mut(&agent).filter(is_running) else {
            return;
        };
        let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
            return;
        };
        server.report_sequence += 1;
        let cold_until = server.started_at + self.options.cold_for;
        let is_warm = server.started_at == Time::ZERO;
        let report = HostReport {
            instance: format!("i-{}", server.run).into(),
            started_unix_ms: Some(server.run),
            service: service_name(server.service),
            address: server_address(agent),
            slots: u32::try_from(self.options.host.slots).unwrap_or(u32::MAX),
            state: server.state,
            cold_left_ms: if is_warm {
                0
            } else {
                cold_until.since(self.now).as_millis()
            },
            sequence: server.report_sequence,
        };
        let mut actions = Vec::new();
        let is_acknowledged = process.core.on_report(self.now, &report, &mut actions);
        let outgoing = process.core.on_tick(self.now);
        if is_acknowledged && server.state == HostReportState::Draining {
            self.oracle.on_drain_acknowledged(self.now, agent);
        }
        self.execute(agent, actions, &[]);
        self.send_control(agent, outgoing);
    }

    fn process_syn_timers(&mut self, agent: Ipv4Addr) {
        let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
            return;
        };
        let generation = process.generation;
        let mut actions = Vec::new();
        let next_timer = process.core.on_syn_timer(self.now, &mut actions);
        self.execute(agent, actions, &[]);
        // A timer for the same deadline is scheduled already if the deadline has not changed.
        let scheduled = self
            .agents
            .get_mut(&agent)
            .map(|process| std::mem::replace(&mut process.syn_timer, next_timer));
        if let Some(next_timer) = next_timer
            && scheduled != Some(Some(next_timer))
        {
            self.schedule_at(next_timer, Event::SynTimer(agent, generation));
        }
    }

    /// Executes actions of an agent; `packet` is the packet that caused them.
    fn execute(&mut self, agent: Ipv4Addr, actions: Vec<Action>, packet: &[u8]) {
        for action in actions {
            match action {
                Action::Deliver => self.on_packet_at_server(agent, packet),
                Action::DeliverBuffered(packet) => self.on_packet_at_server(agent, &packet),
                Action::ReturnToCaller { .. } => self.send(Event::ToCaller(packet.to_vec())),
                Action::Relay { to, header } => {
                    self.send_between(agent, to, Event::ToAgent(to, header, packet.to_vec()));
                }
                Action::RelayBuffered { to, header, packet } => {
                    let event = Event::ToAgent(to, header, packet.into_vec());
                    self.send_between(agent, to, event);
                }
                Action::AnnounceOwner { to, flow } => {
                    let owner = FlowOwner { flow, agent };
                    let event = Event::ControlMessage(to, PeerMessage::Owner(owner));
                    self.send_between(agent, to, event);
                }
                Action::ReportAbsence { to, absence } => {
                    let event = Event::ControlMessage(to, PeerMessage::Absence(absence));
                    self.send_between(agent, to, event);
                }
                Action::Send { to, message } => {
                    self.send_between(agent, to, Event::ControlMessage(to, message));
                }
                Action::Reset { flow, sequence } => self.send_reset(&flow, sequence),
                Action::Reject { flow, .. } => self.send_reset(&flow, 0),
                Action::Drop(_) => {}
            }
        }
    }

    pub(super) fn on_packet_at_server(&mut self, agent: Ipv4Addr, packet: &[u8]) {
        let Some(server) = self.servers.get_mut(&agent).filter(|server| server.is_up) else {
            return;
        };
        if let Some(frozen_packets) = &mut server.frozen_packets {
            frozen_packets.push(packet.to_vec());
            return;
        }
        let Some(segment) = TestPacketFormat.parse(packet) else {
            return;
        };
        let replies = server
            .model
            .on_packet(self.now, &segment, segment.payload(packet));
        let server_events = std::mem::take(&mut server.model.events);
        let next_timer = server.model.next_timer();
        let is_cold = server.started_at > Time::ZERO
            && self.now < server.started_at + self.options.cold_for
            && self.options.cold_flows_per_s > 0.0;
        let (service, domain) = (server.service, server.domain.clone());
        for event in server_events {
            match event {
                ServerEvent::NewFlow(flow) => {
                    self.oracle
                        .on_new_flow(self.now, flow, agent, &service_name(service), &domain);
                    if is_cold {
                        self.oracle.on_cold_new_flow(
                            self.now,
                            agent,
                            self.options.cold_flows_per_s,
                        );
                    }
                }
                ServerEvent::Request(_, number) => self.oracle.on_request(self.now, number),
                ServerEvent::Shed(flow, _) => self.oracle.on_shed(flow),
            }
        }
        if let Some(next_timer) = next_timer {
            self.schedule_at(next_timer, Event::ServerTimer(agent));
        }
        self.relay_server_packets(agent, replies);
    }

    /// Passes packets of a backend server to its agent, which are lost while the agent is down.
    fn relay_server_packets(&mut self, agent: Ipv4Addr, packets: Vec<(Segment, Vec<u8>)>) {
        if let Some(next_timer) = self
            .servers
            .get(&agent)
            .and_then(|server| server.model.next_timer())
        {
            self.schedule_at(next_timer, Event::ServerTimer(agent));
        }
        for (segment, payload) in packets {
            let mut packet = TestPacketFormat.encode(&segment, &payload);
            let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
                return;
            };
            if segment.flags.is_returned {
                TestPacketFormat.restore(&mut packet);
            }
            let mut actions = Vec::new();
            process
                .core
                .on_server_packet(self.now, &segment, &packet, &mut actions);
            self.execute(agent, actions, &packet);
        }
    }

    /// Sends packets of a caller through the balancers in rotation, which the routers choose by a
    /// hash of the flow. The packets are lost when no balancer is in rotation.
    fn send_from_caller(&mut self, packets: Vec<(Segment, Vec<u8>)>) {
        let rotation: Vec<Ipv4Addr> = self
            .balancers
            .iter()
            .filter(|(_, process)| process.is_in_rotation)
            .map(|(address, _)| *address)
            .collect();
        for (segment, payload) in packets {
            let hash = flow_hash(&segment.flow_from_caller()).rotate_left(17);
            let index = usize::try_from(hash % rotation.len().max(1) as u64).unwrap_or_default();
            if let Some(balancer) = rotation.get(index) {
                let packet = TestPacketFormat.encode(&segment, &payload);
                self.send(Event::ToBalancer(*balancer, packet));
            }
        }
    }

    pub(super) fn send_control(&mut self, from: Ipv4Addr, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            let datagram = seal(KEY, &message).expect("the control message fits into a datagram");
            *self.control_bytes.entry(from).or_default() += datagram.len();
            self.send_between(from, to, Event::ControlMessage(to, message));
        }
    }

    /// Schedules the arrival of a packet or control message after a random delay, or loses it.
    pub(super) fn send(&mut self, event: Event) {
        let random = if event.is_list_message() {
            &mut self.list_random
        } else {
            &mut self.random
        };
        if self.options.packet_loss > 0.0 && random.random_bool(self.options.packet_loss) {
            return;
        }
        let delay = self.options.delay.0;
        let delay = Span(random.random_range(delay..=delay + delay / 2));
        let disorder = self.options.disorder;
        if disorder > 0.0 && random.random_bool(disorder) {
            // A duplicate arrives late; so does the packet itself in half of the cases.
            let late = Span(delay.0 + random.random_range(0..MAX_LATENESS.0));
            let is_late = random.random_bool(0.5);
            if let Some(duplicate) = event.duplicate() {
                self.schedule(late, duplicate);
            }
            self.schedule(if is_late { late } else { delay }, event);
            return;
        }
        self.schedule(delay, event);
    }
}
