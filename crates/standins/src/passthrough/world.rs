//! Balancers, agents, backend servers and callers in virtual time, with an oracle that checks what
//! callers and backend servers see.

use {
    super::{
        Caller, CallerOptions, CallerOutcome, HostModel, HostOptions, Oracle, PlainPackets, Taken,
        Tally, Violation,
    },
    cardamomloom_coordination::passthrough::{
        agent::{Action, Agent, AgentIdentity, AgentOptions},
        balancer::{Balancer, BalancerOptions, Outgoing, Verdict},
        flow_hash,
    },
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, CatalogueVersion, FlowId, HostReport, HostReportState, Life,
        PacketFormat, PeerMessage, RelayHeader, RouteEntry, RouteTarget, Segment, ServiceEntry,
        StoreRevision, ZoneStanding,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
        net::{Ipv4Addr, SocketAddrV4},
    },
};

/// Size and faults of a world.
#[derive(Clone, Debug)]
pub struct WorldOptions {
    /// Balancers.
    pub balancers: u8,
    /// Hosts of each service.
    pub hosts: u8,
    /// Services, each with one address.
    pub services: u8,
    /// Failure domains, over which hosts are spread.
    pub domains: u8,
    /// Limits of backend servers.
    pub host: HostOptions,
    /// New flows a second that a cold backend server bears; 0 for no limit.
    pub cold_flows_per_s: f64,
    /// Time for which a backend server is cold.
    pub cold_for: Span,
    /// Share of packets and messages that are lost.
    pub loss: f64,
    /// One-way delay of a packet; each takes up to half as long again.
    pub delay: Span,
    /// Decides every random choice.
    pub seed: u64,
    /// Options of agents.
    pub agent: AgentOptions,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            balancers: 3,
            hosts: 7,
            services: 2,
            domains: 3,
            host: HostOptions::default(),
            cold_flows_per_s: 0.0,
            cold_for: Span::from_secs(2),
            loss: 0.0,
            delay: Span::from_millis(2),
            seed: 1,
            agent: AgentOptions::default(),
        }
    }
}

/// New flows to one service.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Index of the service.
    pub service: u8,
    /// New flows a second.
    pub flows_per_s: u32,
    /// Time for which flows are opened.
    pub lasts: Span,
    /// How each caller uses its flow.
    pub caller: CallerOptions,
}

#[derive(Debug)]
enum Event {
    ToBalancer(Ipv4Addr, Vec<u8>),
    ToAgent(Ipv4Addr, RelayHeader, Vec<u8>),
    Control(Ipv4Addr, PeerMessage),
    ToCaller(Vec<u8>),
    CallerTimer(FlowId),
    HostTimer(Ipv4Addr),
    OpeningTimer(Ipv4Addr, u64),
    Tick(Ipv4Addr, u64),
    Report(Ipv4Addr, u64),
    Open(u8, CallerOptions),
    Probe,
}

struct BalancerProcess {
    core: Balancer,
    generation: u64,
    is_up: bool,
    is_in_rotation: bool,
    is_cut_from_store: bool,
    /// Whether control messages do not reach it.
    is_deaf: bool,
}

struct AgentProcess {
    core: Agent,
    generation: u64,
    is_up: bool,
}

struct Server {
    model: HostModel,
    service: u8,
    domain: DomainName,
    life: u64,
    started: Time,
    reports: u64,
    state: HostReportState,
    is_up: bool,
}

/// Everything, at one point in virtual time.
pub struct World {
    options: WorldOptions,
    now: Time,
    order: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    random: ChaCha8Rng,
    balancers: BTreeMap<Ipv4Addr, BalancerProcess>,
    agents: BTreeMap<Ipv4Addr, AgentProcess>,
    servers: BTreeMap<Ipv4Addr, Server>,
    callers: HashMap<FlowId, Caller>,
    document: CatalogueDocument,
    standing: ZoneStanding,
    is_store_up: bool,
    next_caller: u32,
    next_generation: u64,
    /// Latest time at which a process was killed or started.
    disturbed: Time,
    oracle: Oracle,
}

const TICK: Span = Span::from_millis(50);
const REPORT_INTERVAL: Span = Span::from_millis(770);
/// Time for which a backend server resets what it does not know.
const STARTING: Span = Span::from_millis(1_000);

const PROBE_INTERVAL: Span = Span::from_millis(500);

/// Two probes of the routers, and the longest time of a request.
const REACHABLE_AFTER: Span = Span::from_millis(4_000);

impl World {
    /// Creates a world whose processes start now.
    #[must_use]
    pub fn new(options: WorldOptions) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            order: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            servers: BTreeMap::new(),
            callers: HashMap::new(),
            document: document(&options),
            standing: ZoneStanding {
                revision: StoreRevision(1),
                domains_out: BTreeSet::new(),
            },
            is_store_up: true,
            next_caller: 0,
            next_generation: 0,
            disturbed: Time::ZERO,
            oracle: Oracle::default(),
            options,
        };
        for route in world.document.routes.clone() {
            world
                .oracle
                .on_route(Time::ZERO, route.address, Some(&route));
        }
        for index in 0..world.options.balancers {
            world.start_balancer(balancer_address(index));
        }
        for service in 0..world.options.services {
            for index in 0..world.options.hosts {
                let agent = agent_address(service, index);
                // Backend servers of the first start are warm.
                world.start_server(agent, service, Time::ZERO);
                world.start_agent(agent);
            }
        }
        world.schedule(PROBE_INTERVAL, Event::Probe);
        world
    }

    /// Returns the time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns what callers saw.
    #[must_use]
    pub const fn tally(&self) -> &Tally {
        &self.oracle.tally
    }

    /// Returns the broken promises.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.oracle.violations
    }

    /// Returns the openings that each backend server of a service took.
    #[must_use]
    pub fn openings(&self, service: u8) -> Vec<usize> {
        let agents = (0..self.options.hosts).map(|index| agent_address(service, index));
        agents.map(|agent| self.oracle.openings_at(agent)).collect()
    }

    /// Returns the addresses of the agents of a service.
    #[must_use]
    pub fn agents(&self, service: u8) -> Vec<Ipv4Addr> {
        let agents = (0..self.options.hosts).map(|index| agent_address(service, index));
        agents.collect()
    }

    /// Returns the addresses of the balancers.
    #[must_use]
    pub fn balancers(&self) -> Vec<Ipv4Addr> {
        self.balancers.keys().copied().collect()
    }

    /// Returns the open flows of the backend server beside an agent.
    #[must_use]
    pub fn open_flows(&self, agent: Ipv4Addr) -> usize {
        self.servers
            .get(&agent)
            .map_or(0, |server| server.model.open_flows())
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&order) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Schedules new flows from now on.
    pub fn load(&mut self, load: Load) {
        let count = load.lasts.0 * u64::from(load.flows_per_s) / 1_000_000;
        for _ in 0..count {
            let after = Span(self.random.random_range(0..load.lasts.0));
            self.schedule(after, Event::Open(load.service, load.caller));
        }
    }

    /// Lets the backend server beside an agent drain.
    pub fn drain_server(&mut self, agent: Ipv4Addr) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.state = HostReportState::Draining;
        }
        self.report(agent);
    }

    /// Crashes the backend server beside an agent.
    pub fn crash_server(&mut self, agent: Ipv4Addr) {
        if let Some(server) = self.servers.get_mut(&agent) {
            server.is_up = false;
        }
    }

    /// Starts a cold backend server beside an agent. Unless it reports at once, its first report
    /// comes when the next one of its predecessor would have come.
    pub fn restart_server(&mut self, agent: Ipv4Addr, reports_at_once: bool) {
        if let Some(server) = self.servers.get(&agent) {
            let service = server.service;
            self.start_server(agent, service, self.now);
            if reports_at_once {
                self.report(agent);
            }
        }
    }

    /// Kills an agent.
    pub fn kill_agent(&mut self, agent: Ipv4Addr) {
        self.disturbed = self.now;
        if let Some(process) = self.agents.get_mut(&agent) {
            process.is_up = false;
        }
    }

    /// Starts an agent that knows nothing.
    pub fn start_agent(&mut self, agent: Ipv4Addr) {
        self.disturbed = self.now;
        let generation = self.generation();
        let Some(server) = self.servers.get(&agent) else {
            return;
        };
        let identity = AgentIdentity {
            address: agent,
            process: Life(generation),
            service: service_name(server.service),
            domain: server.domain.clone(),
            server: server_address(agent),
        };
        let core = Agent::new(self.options.agent, identity, &self.seeds(), self.now);
        let process = AgentProcess {
            core,
            generation,
            is_up: true,
        };
        self.agents.insert(agent, process);
        self.schedule(Span::ZERO, Event::Tick(agent, generation));
        let first_report = Span(self.random.random_range(0..REPORT_INTERVAL.0));
        self.schedule(first_report, Event::Report(agent, generation));
    }

    /// Kills a balancer; the routers notice at their second probe.
    pub fn kill_balancer(&mut self, balancer: Ipv4Addr) {
        self.disturbed = self.now;
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_up = false;
        }
    }

    /// Starts a balancer that knows nothing.
    pub fn start_balancer(&mut self, balancer: Ipv4Addr) {
        self.disturbed = self.now;
        let generation = self.generation();
        let seeds = self.seeds();
        let process = BalancerProcess {
            core: Balancer::new(BalancerOptions::default(), balancer, &seeds, self.now),
            generation,
            is_up: true,
            is_in_rotation: false,
            is_cut_from_store: false,
            is_deaf: false,
        };
        self.balancers.insert(balancer, process);
        self.schedule(Span::ZERO, Event::Tick(balancer, generation));
    }

    /// Sets whether the store answers.
    pub fn set_store(&mut self, is_up: bool) {
        self.is_store_up = is_up;
        self.oracle.on_store(self.now, is_up);
    }

    /// Sets whether a balancer is cut off from the store.
    pub fn set_store_cut(&mut self, balancer: Ipv4Addr, is_cut: bool) {
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_cut_from_store = is_cut;
        }
    }

    /// Sets whether control messages do not reach a balancer.
    pub fn set_deaf(&mut self, balancer: Ipv4Addr, is_deaf: bool) {
        self.disturbed = self.now;
        if let Some(process) = self.balancers.get_mut(&balancer) {
            process.is_deaf = is_deaf;
        }
    }

    /// Takes a failure domain out of service or back, if the store accepts the change.
    pub fn set_domain(&mut self, index: u8, is_out: bool) {
        if !self.is_store_up {
            return;
        }
        let domain = domain_name(index);
        self.oracle.on_domain(self.now, &domain, is_out);
        if is_out {
            self.standing.domains_out.insert(domain);
        } else {
            self.standing.domains_out.remove(&domain);
        }
        self.standing.revision.0 += 1;
    }

    /// Adds or drops the route with a number, to the first service, if the store accepts the
    /// change.
    pub fn set_route(&mut self, number: u8, is_present: bool) {
        if !self.is_store_up {
            return;
        }
        let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, number), 443);
        self.document.version.0 += 1;
        self.standing.revision.0 += 1;
        self.document
            .routes
            .retain(|route| route.address != address);
        if is_present {
            self.document.routes.push(route(address, 0));
        }
        let present = self
            .document
            .routes
            .iter()
            .find(|route| route.address == address);
        self.oracle.on_route(self.now, address, present);
    }

    /// Opens a flow to the route with a number.
    pub fn open_route(&mut self, number: u8) {
        let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, number), 443);
        self.open(address, CallerOptions::default());
    }

    fn handle(&mut self, event: Event) {
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

    fn open(&mut self, address: SocketAddrV4, options: CallerOptions) {
        self.next_caller += 1;
        let number = self.next_caller;
        let [_, b, c, d] = number.to_be_bytes();
        let port = 1_024 + u16::from(b);
        let flow = FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, c, d), port),
            service: address,
        };
        let (caller, opening) = Caller::open(self.now, flow, u64::from(number) << 16, options);
        let due = caller.due();
        self.callers.insert(flow, caller);
        self.oracle.tally.opened += 1;
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
        let Some(segment) = PlainPackets.parse(&packet) else {
            return;
        };
        match process.core.on_packet(self.now, &segment) {
            Verdict::Forward { to, header } => self.send(Event::ToAgent(to, header, packet)),
            Verdict::Refuse => {
                let reset = Segment::reset(&segment.flow_from_caller(), 0);
                self.send(Event::ToCaller(PlainPackets.encode(&reset, &[])));
            }
            Verdict::Drop(_) => {}
        }
    }

    fn at_agent(&mut self, agent: Ipv4Addr, header: &RelayHeader, packet: &[u8]) {
        let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
            return;
        };
        let Some(segment) = PlainPackets.parse(packet) else {
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
        if let Some(process) = self
            .balancers
            .get_mut(&to)
            .filter(|process| process.is_up && !process.is_deaf)
        {
            let answers = process.core.on_message(self.now, message);
            self.send_control(answers);
        } else if let Some(process) = self.agents.get_mut(&to).filter(|process| process.is_up) {
            let answers = process.core.on_message(self.now, message);
            self.send_control(answers);
        }
    }

    fn at_caller(&mut self, packet: &[u8]) {
        let Some(segment) = PlainPackets.parse(packet) else {
            return;
        };
        let flow = segment.flow_from_server();
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        let was_open = caller.is_open();
        let replies = caller.on_packet(
            self.now,
            &segment,
            &packet[packet.len() - usize::from(segment.payload_bytes)..],
        );
        let (due, is_done) = (caller.due(), caller.outcome().is_some());
        if segment.flags.is_rst && was_open {
            let is_held = self
                .servers
                .values()
                .any(|server| server.is_up && server.model.holds(&flow));
            self.oracle.on_reset(self.now, flow, is_held);
        }
        self.send_from_caller(replies);
        if is_done {
            self.finish(flow);
        } else {
            self.schedule_at(due, Event::CallerTimer(flow));
        }
    }

    fn on_caller_timer(&mut self, flow: FlowId) {
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        if caller.due() > self.now {
            return;
        }
        let packets = caller.on_timer(self.now);
        let (due, is_done) = (caller.due(), caller.outcome().is_some());
        self.send_from_caller(packets);
        if is_done {
            self.finish(flow);
        } else {
            self.schedule_at(due, Event::CallerTimer(flow));
        }
    }

    fn finish(&mut self, flow: FlowId) {
        if let Some(caller) = self.callers.remove(&flow)
            && let Some(outcome) = caller.outcome()
        {
            self.oracle
                .on_outcome(self.now, flow, outcome, caller.slowest);
            self.check_reachable(flow, outcome);
        }
    }

    /// A flow whose backend server holds it must be reachable when all processes have been running
    /// for longer than a request may take.
    fn check_reachable(&mut self, flow: FlowId, outcome: CallerOutcome) {
        let is_calm = self.now.since(self.disturbed) > REACHABLE_AFTER;
        let holder = self.servers.iter().find(|(agent, server)| {
            let is_agent_up = self.agents.get(agent).is_some_and(|process| process.is_up);
            server.is_up && is_agent_up && server.model.holds(&flow)
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
            if process.core.should_read(now) && self.is_store_up && !process.is_cut_from_store {
                outgoing.extend(process.core.on_catalogue(now, self.document.clone()));
                outgoing.extend(process.core.on_standing(now, self.standing.clone()));
                process.core.on_store_confirmed(now);
            }
            source = process.core.snapshot_source(now);
        } else if let Some(process) = self.agents.get_mut(&address) {
            outgoing = process.core.on_tick(now);
            if process.core.should_read(now) && self.is_store_up {
                process.core.on_catalogue(self.document.clone());
                process.core.on_standing(self.standing.clone());
                process.core.on_store_confirmed(now);
            }
            source = process.core.snapshot_source(now);
        }
        self.send_control(outgoing);
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
            self.send_control(outgoing);
        } else if let Some(process) = self.agents.get_mut(&address) {
            process.core.on_snapshot(self.now, snapshot);
        }
    }

    fn report(&mut self, agent: Ipv4Addr) {
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
        self.send_control(outgoing);
    }

    fn look_after_openings(&mut self, agent: Ipv4Addr) {
        let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
            return;
        };
        let generation = process.generation;
        let mut actions = Vec::new();
        let due = process.core.on_opening_timer(self.now, &mut actions);
        self.perform(agent, actions, &[]);
        if let Some(due) = due {
            self.schedule_at(due, Event::OpeningTimer(agent, generation));
        }
    }

    fn perform(&mut self, agent: Ipv4Addr, actions: Vec<Action>, packet: &[u8]) {
        for action in actions {
            match action {
                Action::Deliver => self.at_server(agent, packet),
                Action::DeliverStored(packet) => self.at_server(agent, &packet),
                Action::Answer => self.send(Event::ToCaller(packet.to_vec())),
                Action::Relay { to, header } => {
                    self.send(Event::ToAgent(to, header, packet.to_vec()));
                }
                Action::RelayStored { to, header, packet } => {
                    self.send(Event::ToAgent(to, header, packet.into_vec()));
                }
                Action::Inform { to, flow } => {
                    let owner = cardamomloom_protocol::passthrough::FlowOwner { flow, agent };
                    self.send(Event::Control(to, PeerMessage::Owner(owner)));
                }
                Action::Reset { flow, sequence } => {
                    let reset = Segment::reset(&flow, sequence);
                    self.send(Event::ToCaller(PlainPackets.encode(&reset, &[])));
                }
                Action::Drop(_) => {}
            }
        }
    }

    fn at_server(&mut self, agent: Ipv4Addr, packet: &[u8]) {
        let Some(server) = self.servers.get_mut(&agent).filter(|server| server.is_up) else {
            return;
        };
        let Some(segment) = PlainPackets.parse(packet) else {
            return;
        };
        let payload = &packet[packet.len() - usize::from(segment.payload_bytes)..];
        let replies = server.model.on_packet(self.now, &segment, payload);
        let taken = std::mem::take(&mut server.model.taken);
        let due = server.model.next_due();
        let cold = server.started > Time::ZERO
            && self.now < server.started + self.options.cold_for
            && self.options.cold_flows_per_s > 0.0;
        let (service, domain) = (server.service, server.domain.clone());
        for taken in taken {
            match taken {
                Taken::Opening(flow) => {
                    self.oracle
                        .on_opening(self.now, flow, agent, &service_name(service), &domain);
                    if cold {
                        self.oracle
                            .on_cold_opening(self.now, agent, self.options.cold_flows_per_s);
                    }
                }
                Taken::Request(_, number) => self.oracle.on_request(self.now, number),
                Taken::Shed(flow, _) => self.oracle.on_shed(flow),
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
            .and_then(|server| server.model.next_due())
        {
            self.schedule_at(due, Event::HostTimer(agent));
        }
        for (segment, payload) in packets {
            let mut packet = PlainPackets.encode(&segment, &payload);
            let Some(process) = self.agents.get_mut(&agent).filter(|process| process.is_up) else {
                return;
            };
            if segment.flags.is_bounced {
                PlainPackets.restore(&mut packet);
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
                let packet = PlainPackets.encode(&segment, &payload);
                self.send(Event::ToBalancer(*balancer, packet));
            }
        }
    }

    fn send_control(&mut self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            self.send(Event::Control(to, message));
        }
    }

    /// Sends something over the network.
    fn send(&mut self, event: Event) {
        if self.options.loss > 0.0 && self.random.random_bool(self.options.loss) {
            return;
        }
        let delay = self.options.delay.0;
        let after = Span(self.random.random_range(delay..=delay + delay / 2));
        self.schedule(after, event);
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at.max(self.now), self.order)));
        self.events.insert(self.order, event);
    }

    fn start_server(&mut self, agent: Ipv4Addr, service: u8, started: Time) {
        let life = self.generation();
        let index = agent.octets()[3];
        let server = Server {
            model: HostModel::new(
                self.options.host,
                self.options.seed ^ life,
                started + STARTING,
            ),
            service,
            domain: domain_name(index % self.options.domains),
            life,
            started,
            reports: 0,
            state: HostReportState::Ready,
            is_up: true,
        };
        self.servers.insert(agent, server);
        self.oracle.on_server_start(agent);
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        (0..self.options.balancers.min(3))
            .map(balancer_address)
            .collect()
    }

    fn generation(&mut self) -> u64 {
        self.next_generation += 1;
        self.next_generation
    }

    fn is_current(&self, address: Ipv4Addr, generation: u64) -> bool {
        let balancer = self.balancers.get(&address);
        let agent = self.agents.get(&address);
        balancer.is_some_and(|process| process.is_up && process.generation == generation)
            || agent.is_some_and(|process| process.is_up && process.generation == generation)
    }
}

const fn balancer_address(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index + 1)
}

const fn agent_address(service: u8, index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, service, index)
}

const fn server_address(agent: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(agent, 8_080)
}

const fn service_route(service: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, service + 1), 443)
}

fn service_name(service: u8) -> ServiceName {
    format!("service-{service}").parse().expect("valid name")
}

fn domain_name(index: u8) -> DomainName {
    format!("domain-{index}").parse().expect("valid name")
}

fn route(address: SocketAddrV4, service: u8) -> RouteEntry {
    RouteEntry {
        name: address.to_string().into(),
        address,
        targets: vec![RouteTarget {
            service: service_name(service),
            weight: 1,
        }],
        is_idempotent: true,
        priority: 1,
    }
}

fn document(options: &WorldOptions) -> CatalogueDocument {
    CatalogueDocument {
        version: CatalogueVersion(1),
        routes: (0..options.services)
            .map(|service| route(service_route(service), service))
            .collect(),
        services: (0..options.services)
            .map(|service| ServiceEntry {
                name: service_name(service),
                max_connections: 2_000,
                cold_flows_per_s: options.cold_flows_per_s,
                cold_for_ms: options.cold_for.as_millis(),
            })
            .collect(),
        idle_timeout_ms: 15_000,
    }
}
