//! What happens when an event of a world is due.

use {
    super::{
        Caller, CallerOptions, CallerOutcome, Event, PROBE_INTERVAL, REACHABLE_AFTER,
        REPORT_INTERVAL, ServerEvent, Simulation, TICK, TestPacketFormat, server_address,
        service_name, service_route,
    },
    cardamomloom_coordination::passthrough::{
        OutgoingMessage, agent::Action, balancer::ForwardingDecision, flow_hash,
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

/// Key of the control messages, whose sealed form is only measured.
const KEY: DatagramKey = DatagramKey([7; 16]);

impl Simulation {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::ToBalancer(balancer, packet) => self.at_balancer(balancer, packet),
            Event::ToAgent(agent, header, packet) => self.at_agent(agent, &header, &packet),
            Event::Control(to, message) => self.at_control(to, message),
            Event::ToCaller(packet) => self.at_caller(&packet),
            Event::CallerTimer(flow) => self.on_caller_timer(flow),
            Event::HostTimer(agent) => {
                let Some(server) = self.servers.get_mut(&agent).filter(|server| server.is_up)
                else {
                    return;
                };
                let answers = server.model.on_timer(self.now);
                self.take_from_server(agent, answers);
            }
            Event::OpeningTimer(agent, generation) => {
                if self.is_current(agent, generation) {
                    self.look_after_openings(agent);
                }
            }
            Event::Tick(process, generation) => self.tick(process, generation),
            Event::Report(agent, generation) => {
                if self.is_current(agent, generation) {
                    self.report(agent);
                    self.schedule(REPORT_INTERVAL, Event::Report(agent, generation));
                }
            }
            Event::Open(service, options) => self.open(service_route(service), options),
            Event::Probe => {
                for process in self.balancers.values_mut() {
                    process.is_in_rotation = process.is_up && process.core.is_ready(self.now);
                }
                self.schedule(PROBE_INTERVAL, Event::Probe);
            }
        }
    }

    pub(super) fn open(&mut self, address: SocketAddrV4, options: CallerOptions) {
        self.next_caller += 1;
        let number = self.next_caller;
        let [_, b, c, d] = number.to_be_bytes();
        let port = 1_024 + u16::from(b);
        let flow = FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, c, d), port),
            service: address,
        };
        let (caller, opening) = Caller::open(self.now, flow, u64::from(number) << 16, options);
        let due = caller.next_timer();
        self.callers.insert(flow, caller);
        self.oracle.counters.opened += 1;
        self.send_from_caller(vec![(opening, Vec::new())]);
        self.schedule_at(due, Event::CallerTimer(flow));
    }

    fn at_balancer(&mut self, balancer: Ipv4Addr, packet: Vec<u8>) {
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
            ForwardingDecision::Forward { to, header } => {
                self.send(Event::ToAgent(to, header, packet));
            }
            ForwardingDecision::Refuse(_) => {
                let reset = Segment::reset(&segment.flow_from_caller(), 0);
                self.send(Event::ToCaller(TestPacketFormat.encode(&reset, &[])));
            }
            ForwardingDecision::Drop(_) => {}
        }
    }

    fn at_agent(&mut self, agent: Ipv4Addr, header: &RelayHeader, packet: &[u8]) {
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
        self.perform(agent, actions, packet);
        self.look_after_openings(agent);
    }

    fn at_control(&mut self, to: Ipv4Addr, message: PeerMessage) {
        let is_view = matches!(message, PeerMessage::BalancerHeartbeat(_));
        if let Some(process) = self
            .balancers
            .get_mut(&to)
            .filter(|process| process.is_up && !process.is_deaf && !(process.is_apart && is_view))
        {
            let answers = process.core.on_message(self.now, message);
            self.send_control(to, answers);
        } else if let Some(process) = self.agents.get_mut(&to).filter(|process| process.is_up) {
            let answers = process.core.on_message(self.now, message);
            self.send_control(to, answers);
        }
    }

    fn at_caller(&mut self, packet: &[u8]) {
        let Some(segment) = TestPacketFormat.parse(packet) else {
            return;
        };
        let flow = segment.flow_from_server();
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        let was_open = caller.is_open();
        let replies = caller.on_packet(self.now, &segment, segment.payload(packet));
        let (due, is_done) = (caller.next_timer(), caller.outcome().is_some());
        if segment.flags.is_rst && was_open {
            let is_held = self
                .servers
                .values()
                .any(|server| server.is_up && server.model.has_open_flow(&flow));
            self.oracle.on_reset(self.now, flow, is_held);
        }
        self.send_from_caller(replies);
        self.after_caller(flow, due, is_done);
    }

    fn on_caller_timer(&mut self, flow: FlowId) {
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        if caller.next_timer() > self.now {
            return;
        }
        let packets = caller.on_timer(self.now);
        let (due, is_done) = (caller.next_timer(), caller.outcome().is_some());
        self.send_from_caller(packets);
        self.after_caller(flow, due, is_done);
    }

    fn after_caller(&mut self, flow: FlowId, due: Time, is_done: bool) {
        if !is_done {
            self.schedule_at(due, Event::CallerTimer(flow));
            return;
        }
        if let Some(caller) = self.callers.remove(&flow)
            && let Some(outcome) = caller.outcome()
        {
            self.oracle
                .on_outcome(self.now, flow, outcome, caller.max_response_time);
            self.check_reachable(flow, outcome);
        }
    }

    /// A flow whose backend server holds it must be reachable when all processes have been running
    /// for longer than a request may take.
    fn check_reachable(&mut self, flow: FlowId, outcome: CallerOutcome) {
        let is_calm = self.now.since(self.disturbed) > REACHABLE_AFTER;
        let holder = self.servers.iter().find(|(agent, server)| {
            let is_agent_up = self.agents.get(agent).is_some_and(|process| process.is_up);
            server.is_up && is_agent_up && server.model.has_open_flow(&flow)
        });
        if let Some((agent, _)) = holder
            && is_calm
            && outcome == CallerOutcome::TimedOut
        {
            self.oracle.on_unreachable(self.now, flow, *agent);
        }
    }

    fn tick(&mut self, address: Ipv4Addr, generation: u64) {
        if !self.is_current(address, generation) {
            return;
        }
        self.schedule(TICK, Event::Tick(address, generation));
        let now = self.now;
        let mut outgoing = Vec::new();
        let mut source = None;
        if let Some(process) = self.balancers.get_mut(&address) {
            outgoing = process.core.on_tick(now);
            if process.core.should_read_store(now) && self.is_store_up && !process.is_cut_from_store
            {
                outgoing.extend(process.core.on_catalogue(now, self.document.clone()));
                outgoing.extend(process.core.on_domain_status(now, self.standing.clone()));
                process.core.on_store_confirmed(now);
            }
            source = process.core.snapshot_source(now);
        } else if let Some(process) = self.agents.get_mut(&address) {
            outgoing = process.core.on_tick(now);
            if process.core.should_read_store(now) && self.is_store_up {
                process.core.on_catalogue(self.document.clone());
                process.core.on_domain_status(self.standing.clone());
                process.core.on_store_confirmed(now);
            }
            source = process.core.snapshot_source();
        }
        self.send_control(address, outgoing);
        self.copy(address, source);
    }

    /// Copies what a peer knows, as over HTTP.
    fn copy(&mut self, address: Ipv4Addr, source: Option<Ipv4Addr>) {
        let snapshot = source
            .and_then(|source| self.balancers.get(&source))
            .filter(|process| process.is_up)
            .map(|process| process.core.snapshot(self.now));
        let Some(snapshot) = snapshot else { return };
        if let Some(process) = self.balancers.get_mut(&address) {
            let outgoing = process.core.on_snapshot(self.now, snapshot);
            self.send_control(address, outgoing);
        } else if let Some(process) = self.agents.get_mut(&address) {
            process.core.on_snapshot(self.now, snapshot);
        }
    }

    pub(super) fn report(&mut self, agent: Ipv4Addr) {
        let Some(server) = self.servers.get_mut(&agent).filter(|server| server.is_up) else {
            return;
        };
        let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
            return;
        };
        server.reports += 1;
        let cold_until = server.started + self.options.cold_for;
        let is_warm = server.started == Time::ZERO;
        let report = HostReport {
            instance: format!("i-{}", server.life).into(),
            started_unix_ms: Some(server.life),
            service: service_name(server.service),
            address: server_address(agent),
            slots: u32::try_from(self.options.host.slots).unwrap_or(u32::MAX),
            state: server.state,
            cold_left_ms: if is_warm {
                0
            } else {
                cold_until.since(self.now).as_millis()
            },
            sequence: server.reports,
        };
        let mut actions = Vec::new();
        let is_acknowledged = process.core.on_report(self.now, &report, &mut actions);
        let outgoing = process.core.on_tick(self.now);
        if is_acknowledged && server.state == HostReportState::Draining {
            self.oracle.on_drain_acknowledged(self.now, agent);
        }
        self.perform(agent, actions, &[]);
        self.send_control(agent, outgoing);
    }

    fn look_after_openings(&mut self, agent: Ipv4Addr) {
        let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
            return;
        };
        let generation = process.generation;
        let mut actions = Vec::new();
        let due = process.core.on_syn_timer(self.now, &mut actions);
        self.perform(agent, actions, &[]);
        if let Some(due) = due {
            self.schedule_at(due, Event::OpeningTimer(agent, generation));
        }
    }

    fn perform(&mut self, agent: Ipv4Addr, actions: Vec<Action>, packet: &[u8]) {
        for action in actions {
            match action {
                Action::Deliver => self.at_server(agent, packet),
                Action::DeliverBuffered(packet) => self.at_server(agent, &packet),
                Action::ReturnToCaller { .. } => self.send(Event::ToCaller(packet.to_vec())),
                Action::Relay { to, header } => {
                    self.send(Event::ToAgent(to, header, packet.to_vec()));
                }
                Action::RelayBuffered { to, header, packet } => {
                    self.send(Event::ToAgent(to, header, packet.into_vec()));
                }
                Action::AnnounceOwner { to, flow } => {
                    let owner = FlowOwner { flow, agent };
                    self.send(Event::Control(to, PeerMessage::Owner(owner)));
                }
                Action::Reset { flow, sequence } => {
                    let reset = Segment::reset(&flow, sequence);
                    self.send(Event::ToCaller(TestPacketFormat.encode(&reset, &[])));
                }
                Action::Drop(_) => {}
            }
        }
    }

    fn at_server(&mut self, agent: Ipv4Addr, packet: &[u8]) {
        let Some(server) = self.servers.get_mut(&agent).filter(|server| server.is_up) else {
            return;
        };
        let Some(segment) = TestPacketFormat.parse(packet) else {
            return;
        };
        let replies = server
            .model
            .on_packet(self.now, &segment, segment.payload(packet));
        let taken = std::mem::take(&mut server.model.events);
        let due = server.model.next_timer();
        let cold = server.started > Time::ZERO
            && self.now < server.started + self.options.cold_for
            && self.options.cold_flows_per_s > 0.0;
        let (service, domain) = (server.service, server.domain.clone());
        for taken in taken {
            match taken {
                ServerEvent::NewFlow(flow) => {
                    self.oracle
                        .on_new_flow(self.now, flow, agent, &service_name(service), &domain);
                    if cold {
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
        if let Some(due) = due {
            self.schedule_at(due, Event::HostTimer(agent));
        }
        self.take_from_server(agent, replies);
    }

    fn take_from_server(&mut self, agent: Ipv4Addr, packets: Vec<(Segment, Vec<u8>)>) {
        if let Some(due) = self
            .servers
            .get(&agent)
            .and_then(|server| server.model.next_timer())
        {
            self.schedule_at(due, Event::HostTimer(agent));
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
            self.perform(agent, actions, &packet);
        }
    }

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

    fn send_control(&mut self, from: Ipv4Addr, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            let datagram = seal(KEY, &message).expect("message fits a datagram");
            *self.control_bytes.entry(from).or_default() += datagram.len();
            self.send(Event::Control(to, message));
        }
    }

    /// Sends something over the network.
    fn send(&mut self, event: Event) {
        if self.options.packet_loss > 0.0 && self.random.random_bool(self.options.packet_loss) {
            return;
        }
        let delay = self.options.delay.0;
        let after = Span(self.random.random_range(delay..=delay + delay / 2));
        self.schedule(after, event);
    }
}
