//! Balancers, agents, backend servers and callers in virtual time, with an oracle that checks what
//! callers and backend servers see.

mod events;
mod faults;
mod layout;

use {
    super::{
        Caller, CallerOptions, CallerOutcome, FlowCounters, HostModel, HostOptions, Oracle,
        ServerEvent, TestPacketFormat, Violation, domain_name, route, service_name,
    },
    cardamomloom_coordination::passthrough::{
        agent::{Agent, AgentOptions},
        balancer::Balancer,
    },
    cardamomloom_core::{DomainName, Span, Time},
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, DomainStatus, FlowId, HostReportState, PeerMessage, RelayHeader,
        StoreRevision,
    },
    layout::{agent_address, balancer_address, document, server_address, service_route},
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
pub struct SimulationOptions {
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
    pub packet_loss: f64,
    /// One-way delay of a packet; each takes up to half as long again.
    pub delay: Span,
    /// Decides every random choice.
    pub seed: u64,
    /// Options of agents.
    pub agent: AgentOptions,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            balancers: 3,
            hosts: 7,
            services: 2,
            domains: 3,
            host: HostOptions::default(),
            cold_flows_per_s: 0.0,
            cold_for: Span::from_secs(2),
            packet_loss: 0.0,
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
    pub duration: Span,
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
    /// Whether messages of other balancers do not reach it.
    is_apart: bool,
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
pub struct Simulation {
    options: SimulationOptions,
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
    standing: DomainStatus,
    is_store_up: bool,
    next_caller: u32,
    next_generation: u64,
    /// Latest time at which a process was killed or started.
    disturbed: Time,
    oracle: Oracle,
    /// Bytes of control messages by their sender.
    control_bytes: BTreeMap<Ipv4Addr, usize>,
}

const TICK: Span = Span::from_millis(50);
const REPORT_INTERVAL: Span = Span::from_millis(770);
/// Time for which a backend server resets what it does not know.
const STARTING: Span = Span::from_millis(1_000);

const PROBE_INTERVAL: Span = Span::from_millis(500);

/// Two probes of the routers, and the longest time of a request.
const REACHABLE_AFTER: Span = Span::from_millis(4_000);

impl Simulation {
    /// Creates a world whose processes start now.
    #[must_use]
    pub fn new(options: SimulationOptions) -> Self {
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
            standing: DomainStatus {
                revision: StoreRevision(1),
                domains_out: BTreeSet::new(),
            },
            is_store_up: true,
            next_caller: 0,
            next_generation: 0,
            disturbed: Time::ZERO,
            oracle: Oracle::default(),
            control_bytes: BTreeMap::new(),
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
    pub const fn counters(&self) -> &FlowCounters {
        &self.oracle.counters
    }

    /// Returns the broken promises.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.oracle.violations
    }

    /// Returns the openings that each backend server of a service took.
    #[must_use]
    pub fn accepted_flows(&self, service: u8) -> Vec<usize> {
        let agents = self.agents(service).into_iter();
        agents
            .map(|agent| self.oracle.accepted_flows(agent))
            .collect()
    }

    /// Returns the addresses of the agents of a service.
    #[must_use]
    pub fn agents(&self, service: u8) -> Vec<Ipv4Addr> {
        let agents = (0..self.options.hosts).map(|index| agent_address(service, index));
        agents.collect()
    }

    /// Returns the bytes of control messages that each process sent since the last call.
    pub fn take_control_bytes(&mut self) -> BTreeMap<Ipv4Addr, usize> {
        std::mem::take(&mut self.control_bytes)
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
    pub fn schedule_load(&mut self, load: Load) {
        let count = load.duration.0 * u64::from(load.flows_per_s) / 1_000_000;
        for _ in 0..count {
            let after = Span(self.random.random_range(0..load.duration.0));
            self.schedule(after, Event::Open(load.service, load.caller));
        }
    }

    /// Adds or drops the route with a number, to the first service, if the store accepts the
    /// change.
    pub fn set_route_present(&mut self, number: u8, is_present: bool) {
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
