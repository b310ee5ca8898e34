//! Discrete-event simulation of balancers, agents, backend servers and callers, with an oracle that
//! checks what callers and backend servers observe.

mod copies;
mod events;
mod faults;
mod layout;
mod links;
mod options;
mod requests;

pub use options::{Load, SimulationOptions};
pub use requests::RequestRecord;

use {
    super::{
        Caller, CallerOptions, CallerOutcome, FlowCounters, HostModel, HostOptions, Oracle,
        ServerEvent, TestPacketFormat, Violation, domain_name, route, service_name,
    },
    cardamomloom_coordination::passthrough::{
        CopyOutcome, StoreAccess, agent::Agent, balancer::Balancer,
    },
    cardamomloom_core::{DomainName, Span, Time},
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, DomainStatus, FlowId, HostReportState, PeerMessage, RelayHeader,
        RouteTarget, ServiceWait, StoreEra, StoreRevision,
    },
    layout::{agent_address, balancer_address, initial_catalogue, server_address, service_route},
    links::Links,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
        net::{Ipv4Addr, SocketAddrV4},
    },
};

/// Event of the simulation. Tick, report and timer events of a process carry the generation of the
/// process that scheduled them, so that they expire with it.
#[derive(Debug)]
enum Event {
    ToBalancer(Ipv4Addr, Vec<u8>),
    ToAgent(Ipv4Addr, RelayHeader, Vec<u8>),
    ControlMessage(Ipv4Addr, PeerMessage),
    /// A request of a process for a copy of the catalogue has ended.
    CopyEnded {
        to: Ipv4Addr,
        generation: u64,
        peer: Ipv4Addr,
        outcome: CopyOutcome,
    },
    /// The catalogue arrived from the store.
    StoreAnswer(Ipv4Addr, u64, CatalogueDocument, StoreAccess),
    ToCaller(Vec<u8>),
    CallerTimer(FlowId),
    ServerTimer(Ipv4Addr),
    SynTimer(Ipv4Addr, u64),
    Tick(Ipv4Addr, u64),
    Report(Ipv4Addr, u64),
    OpenFlow(SocketAddrV4, CallerOptions),
    /// Opens a further flow for the requests of one that ended.
    Retry(FlowId, Time, CallerOptions),
    Probe,
}

struct BalancerProcess {
    core: Balancer,
    generation: u64,
    is_up: bool,
    is_in_rotation: bool,
    is_cut_from_store: bool,
    /// Whether all control messages to it are lost.
    loses_inbound_control: bool,
    /// Whether heartbeats of other balancers to it are lost.
    is_partitioned: bool,
}

struct AgentProcess {
    core: Agent,
    /// Time for which a SYN timer is scheduled.
    syn_timer: Option<Time>,
    generation: u64,
    is_up: bool,
}

struct Server {
    model: HostModel,
    service: u8,
    domain: DomainName,
    run: u64,
    /// Start time; zero for the backend servers that are warm from the beginning.
    started_at: Time,
    report_sequence: u64,
    state: HostReportState,
    is_up: bool,
    /// Packets that arrived while the backend server is frozen; `None` while it runs.
    frozen_packets: Option<Vec<Vec<u8>>>,
}

/// State of all simulated processes, the network and the store at one point in virtual time.
pub struct Simulation {
    options: SimulationOptions,
    now: Time,
    /// Identifier of the latest scheduled event; events of the same time run in this order.
    last_event_id: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    random: ChaCha8Rng,
    /// Delays of messages that ask for lists of agents. They have their own generator, so that they do
    /// not change the delays of packets.
    list_random: ChaCha8Rng,
    balancers: BTreeMap<Ipv4Addr, BalancerProcess>,
    agents: BTreeMap<Ipv4Addr, AgentProcess>,
    servers: BTreeMap<Ipv4Addr, Server>,
    callers: HashMap<FlowId, Caller>,
    requests: requests::RequestLog,
    service_waits: BTreeMap<u8, (Time, ServiceWait)>,
    catalogue: CatalogueDocument,
    domain_status: DomainStatus,
    is_store_up: bool,
    links: Links,
    /// Pairs of processes, the lower address first, between which everything is lost.
    cut_links: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    /// Requests for copies of the catalogue since the last call of [`Self::take_copy_requests`].
    copy_requests: usize,
    next_caller: u32,
    next_generation: u64,
    /// Latest time at which a process was killed or started, or the loss of control messages to a
    /// balancer began or ended.
    last_disruption: Time,
    oracle: Oracle,
    /// Bytes of control messages that each process sent since the last call of
    /// [`Self::take_control_bytes`].
    control_bytes: BTreeMap<Ipv4Addr, usize>,
    /// Ticks of processes that followed the store, since the last call of
    /// [`Self::take_store_follower_ticks`].
    store_follower_ticks: usize,
}

const TICK_INTERVAL: Span = Span::from_millis(50);
const REPORT_INTERVAL: Span = Span::from_millis(770);
/// Time after its start for which a backend server resets unknown flows in place of returning
/// their packets.
const STARTUP_DURATION: Span = Span::from_millis(1_000);

/// Interval of the readiness probes with which routers choose balancers.
const PROBE_INTERVAL: Span = Span::from_millis(500);

/// Time after a disruption from which every established flow must be reachable: covers two probes of
/// the routers and the longest request.
const RECOVERY_BOUND: Span = Span::from_millis(4_000);

impl Simulation {
    /// Starts all processes at time zero, with warm backend servers.
    #[must_use]
    pub fn new(options: SimulationOptions) -> Self {
        let mut simulation = Self {
            now: Time::ZERO,
            last_event_id: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            list_random: ChaCha8Rng::seed_from_u64(!options.seed),
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            servers: BTreeMap::new(),
            callers: HashMap::new(),
            requests: requests::RequestLog::default(),
            service_waits: BTreeMap::new(),
            catalogue: initial_catalogue(&options),
            domain_status: DomainStatus {
                era: Some(StoreEra(1)),
                revision: StoreRevision(1),
                domains_out: BTreeSet::new(),
            },
            is_store_up: true,
            links: Links::new(options.link_bytes_per_s),
            cut_links: BTreeSet::new(),
            copy_requests: 0,
            next_caller: 0,
            next_generation: 0,
            last_disruption: Time::ZERO,
            oracle: Oracle::default(),
            control_bytes: BTreeMap::new(),
            store_follower_ticks: 0,
            options,
        };
        for route in simulation.catalogue.routes.clone() {
            simulation
                .oracle
                .on_route(Time::ZERO, route.address, Some(&route));
        }
        for index in 0..simulation.options.balancers {
            simulation.start_balancer(balancer_address(index));
        }
        for service in 0..simulation.options.services {
            for index in 0..simulation.options.hosts {
                let agent = agent_address(service, index);
                // A start time of zero marks a warm backend server.
                simulation.start_server(agent, service, Time::ZERO);
                simulation.start_agent(agent);
            }
        }
        simulation.schedule(PROBE_INTERVAL, Event::Probe);
        simulation
    }

    /// Returns the virtual time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns the numbers of flows by outcome, as callers observed them.
    #[must_use]
    pub const fn counters(&self) -> &FlowCounters {
        &self.oracle.counters
    }

    /// Returns the violations of guarantees so far.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.oracle.violations
    }

    /// Returns the number of new flows that each backend server of a service accepted, in the order
    /// of [`Self::agents`].
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

    /// Returns the bytes of control messages that each process sent since the last call, and resets
    /// the counts.
    pub fn take_control_bytes(&mut self) -> BTreeMap<Ipv4Addr, usize> {
        std::mem::take(&mut self.control_bytes)
    }

    /// Returns the number of ticks, of 50 ms each, in which processes followed the store since the
    /// last call, and resets it.
    pub const fn take_store_follower_ticks(&mut self) -> usize {
        std::mem::replace(&mut self.store_follower_ticks, 0)
    }

    /// Returns the addresses of the balancers.
    #[must_use]
    pub fn balancers(&self) -> Vec<Ipv4Addr> {
        self.balancers.keys().copied().collect()
    }

    /// Returns the number of hosts that a balancer knows.
    #[must_use]
    pub fn known_hosts(&self, balancer: Ipv4Addr) -> usize {
        let process = self.balancers.get(&balancer);
        process.map_or(0, |process| process.core.counts().0)
    }

    /// Returns the number of balancers that an agent knows.
    #[must_use]
    pub fn known_balancers(&self, agent: Ipv4Addr) -> usize {
        let process = self.agents.get(&agent);
        process.map_or(0, |process| process.core.counts().2)
    }

    /// Returns the state of a running balancer.
    #[must_use]
    pub fn balancer(&self, balancer: Ipv4Addr) -> Option<&Balancer> {
        let process = self.balancers.get(&balancer);
        process
            .filter(|process| process.is_up)
            .map(|process| &process.core)
    }

    /// Returns the state of a running agent.
    #[must_use]
    pub fn agent(&self, agent: Ipv4Addr) -> Option<&Agent> {
        let process = self.agents.get(&agent);
        process
            .filter(|process| process.is_up)
            .map(|process| &process.core)
    }

    /// Returns the number of open flows of the backend server beside an agent.
    #[must_use]
    pub fn open_flows(&self, agent: Ipv4Addr) -> usize {
        self.servers
            .get(&agent)
            .map_or(0, |server| server.model.open_flows())
    }

    /// Processes all events of the next `span` and advances the time by it.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((at, event_id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&event_id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Adds or removes the route to the first service that a number identifies; no effect while the
    /// store is down.
    pub fn set_route_present(&mut self, number: u8, is_present: bool) {
        if !self.is_store_up {
            return;
        }
        let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, number), 443);
        self.catalogue.version.0 += 1;
        self.domain_status.revision.0 += 1;
        self.catalogue
            .routes
            .retain(|route| route.address != address);
        if is_present {
            self.catalogue.routes.push(route(address, 0));
        }
        let present_route = self
            .catalogue
            .routes
            .iter()
            .find(|route| route.address == address);
        self.oracle.on_route(self.now, address, present_route);
    }

    /// Adds routes that no caller uses, a part of them to each service. No effect while the store is
    /// down.
    pub fn add_routes(&mut self, count: u16) {
        if !self.is_store_up {
            return;
        }
        self.catalogue.version.0 += 1;
        let first = self.catalogue.routes.len();
        for (number, index) in (first..).zip(0..count) {
            let [a, b] = index.to_be_bytes();
            let address = SocketAddrV4::new(Ipv4Addr::new(198, 19, a, b), 443);
            let service = u8::try_from(number % usize::from(self.options.services));
            let entry = route(address, service.unwrap_or_default());
            self.catalogue.routes.push(entry);
        }
    }

    /// Sets the targets of the route of a service: pairs of a service and its weight. No effect while
    /// the store is down.
    pub fn set_route_targets(&mut self, service: u8, targets: &[(u8, u32)]) {
        if !self.is_store_up {
            return;
        }
        let address = service_route(service);
        self.catalogue.version.0 += 1;
        let routes = self.catalogue.routes.iter_mut();
        for route in routes.filter(|route| route.address == address) {
            let targets = targets.iter().map(|(target, weight)| RouteTarget {
                service: service_name(*target),
                weight: *weight,
            });
            route.targets = targets.collect();
            self.oracle.on_route(self.now, address, Some(route));
        }
    }

    /// Sets the idle timeout of flows in the catalogue; no effect while the store is down.
    pub fn set_idle_timeout(&mut self, idle_timeout: Span) {
        if self.is_store_up {
            self.catalogue.version.0 += 1;
            self.catalogue.idle_timeout_ms = idle_timeout.as_millis();
        }
    }

    /// Opens a flow to the address of the route that a number identifies, whether or not the route
    /// is present.
    pub fn open_route(&mut self, number: u8) {
        let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, number), 443);
        self.open(address, CallerOptions::default());
    }

    fn schedule(&mut self, delay: Span, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.last_event_id += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn start_server(&mut self, agent: Ipv4Addr, service: u8, started_at: Time) {
        let run = self.allocate_generation();
        let index = agent.octets()[3];
        let server = Server {
            model: HostModel::new(
                self.options.host,
                self.options.seed ^ run,
                started_at + STARTUP_DURATION,
            ),
            service,
            domain: domain_name(index % self.options.domains),
            run,
            started_at,
            report_sequence: 0,
            state: HostReportState::Ready,
            is_up: true,
            frozen_packets: None,
        };
        self.servers.insert(agent, server);
        self.oracle.on_server_start(agent);
    }

    /// Returns the balancers to which a started process connects first.
    fn seeds(&self) -> Vec<Ipv4Addr> {
        (0..self.options.balancers.min(3))
            .map(balancer_address)
            .collect()
    }

    fn allocate_generation(&mut self) -> u64 {
        self.next_generation += 1;
        self.next_generation
    }

    /// Returns whether a process is up and has not been restarted since `generation`.
    fn is_current(&self, address: Ipv4Addr, generation: u64) -> bool {
        let balancer = self.balancers.get(&address);
        let agent = self.agents.get(&address);
        balancer.is_some_and(|process| process.is_up && process.generation == generation)
            || agent.is_some_and(|process| process.is_up && process.generation == generation)
    }
}
