//! Simulation of the control plane for tests and experiments: balancers and agents with the real
//! membership state machines on an in-memory network, and a fake store.

mod observe;
mod options;
mod store;

pub use {
    options::{FleetOptions, NetworkOptions, Process},
    store::FakeStore,
};

use {
    cardamomloom_coordination::membership::{
        AgentMembership, BalancerIdentity, BalancerMembership, OutgoingMessage, Sender,
    },
    cardamomloom_core::{
        DomainName, HostId, Incarnation, NodeId, ObjectVersion, ServiceId, Span, Time, Weight,
    },
    cardamomloom_protocol::control::{HostEntry, HostState, Message, Origin, wire_bytes},
    rand_chacha::{
        ChaCha8Rng,
        rand_core::{Rng, SeedableRng},
    },
    serde_json::json,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::{Ipv4Addr, SocketAddr},
    },
};

/// Time by which one simulation step advances.
pub const STEP: Span = Span::from_millis(10);

/// Number of steps between two ticks of a process, in which the processes take turns by index.
const STEPS_PER_TICK: u64 = 5;

/// A simulated balancer.
pub struct Balancer {
    /// Membership state machine.
    pub membership: BalancerMembership,
    /// Identity and address with which it was started.
    pub identity: BalancerIdentity,
    /// Whether the process exists.
    pub is_running: bool,
    /// End of a pause.
    pub paused_until: Time,
    /// Number of rebuilds of the routing table: ticks at which the hosts had changed.
    pub table_rebuilds: u32,
    /// Whether it has listed the store and now watches it.
    is_watching: bool,
    /// Version after which it watches the store.
    watched_version: ObjectVersion,
}

/// A simulated agent.
pub struct Agent {
    /// Membership state machine.
    pub membership: AgentMembership,
    /// Host entry with which it joins.
    pub entry: HostEntry,
    /// Whether the process exists.
    pub is_running: bool,
    /// End of a pause.
    pub paused_until: Time,
}

/// Bytes of control messages of one process, including IP and UDP headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent, including those of lost messages.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

struct Datagram {
    to: Process,
    from: Process,
    message: Message,
}

/// State of the simulated balancers, agents, network and store.
pub struct Fleet {
    /// Virtual time.
    pub now: Time,
    /// Options with which the simulation was started.
    pub options: FleetOptions,
    /// Balancers by index.
    pub balancers: Vec<Balancer>,
    /// Agents by index.
    pub agents: Vec<Agent>,
    /// Store of the catalogue and the registrations of balancers.
    pub store: FakeStore,
    /// Control traffic of each process so far.
    pub traffic: HashMap<Process, Traffic>,
    /// Pairs of processes between which all messages are lost, in both directions.
    pub partitioned_pairs: HashSet<(Process, Process)>,
    /// Regions that are partitioned from all other regions.
    pub partitioned_regions: HashSet<&'static str>,
    addresses: HashMap<SocketAddr, Process>,
    /// Datagrams in transit, by arrival time and number.
    in_transit: BTreeMap<(Time, u64), Datagram>,
    /// Number of datagrams that the network did not lose.
    datagrams: u64,
    random: ChaCha8Rng,
    steps: u64,
}

/// Returns the address of a process: 10.0.0.0/16 has the balancers, 10.1.0.0/16 the agents.
fn address(process: Process) -> SocketAddr {
    let (second, index) = match process {
        Process::Balancer(index) => (0, index),
        Process::Agent(index) => (1, index),
    };
    let [high, low] = u16::try_from(index)
        .expect("the process index fits into 16 bits")
        .to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, second, high, low), 7_000))
}

impl Fleet {
    /// Writes the catalogue to the store and starts every process.
    #[must_use]
    pub fn start(options: FleetOptions) -> Self {
        let mut fleet = Self {
            now: Time::from_millis(1_000),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            balancers: Vec::new(),
            agents: Vec::new(),
            store: FakeStore::default(),
            traffic: HashMap::new(),
            partitioned_pairs: HashSet::new(),
            partitioned_regions: HashSet::new(),
            addresses: HashMap::new(),
            in_transit: BTreeMap::new(),
            datagrams: 0,
            steps: 0,
            options,
        };
        for (name, region) in fleet.options.domains.clone() {
            let region = if fleet.options.has_regions {
                region
            } else {
                "one"
            };
            let value = json!({"name": name, "region": region, "state": "in"});
            fleet.store.put(&format!("domains/{name}"), Some(value));
        }
        for service in 0..fleet.options.services {
            fleet.put_service(service, 2_000);
        }
        for index in 0..fleet.options.balancers {
            fleet.start_balancer(index);
        }
        for index in 0..fleet.options.hosts {
            fleet.start_agent(index);
        }
        fleet
    }

    /// Writes a service with a limit of connections per slot to the store and returns the version of
    /// the object.
    pub fn put_service(&mut self, service: usize, connections_per_slot: u32) -> ObjectVersion {
        let name = format!("service-{service}");
        let value = json!({
            "name": name, "id": service + 1, "owner": "test", "class": "standard",
            "addresses": [format!("203.0.113.{}", service % 250 + 1)], "port": 80,
            "slots_per_host": 4, "connections_per_slot": connections_per_slot,
            "hash_key": "00112233445566778899aabbccddeeff",
        });
        self.store.put(&format!("services/{name}"), Some(value))
    }

    fn domain(&self, index: usize) -> DomainName {
        let (name, _) = self.options.domains[index % self.options.domains.len()];
        name.parse().expect("the failure domain name is valid")
    }

    /// Returns the balancers to which a started process connects first.
    fn seeds(&self) -> Vec<SocketAddr> {
        (0..3.min(self.options.balancers))
            .map(|index| address(Process::Balancer(index)))
            .collect()
    }

    /// Starts or restarts a balancer with empty state and registers it in the store.
    pub fn start_balancer(&mut self, index: usize) {
        self.start_balancer_without_store(index);
        let identity = &self.balancers[index].identity;
        self.store.put(
            &format!("nodes/{}", identity.node),
            Some(json!({
                "node": identity.node, "domain": identity.domain,
                "incarnation": identity.incarnation, "data_address": identity.control_address,
                "control_address": identity.control_address,
                "http_address": identity.control_address,
            })),
        );
    }

    /// Partitions a balancer from every other process.
    pub fn partition_balancer(&mut self, index: usize) {
        let balancers = (0..self.balancers.len()).map(Process::Balancer);
        for other in balancers.chain((0..self.agents.len()).map(Process::Agent)) {
            self.partitioned_pairs
                .insert((Process::Balancer(index), other));
        }
    }

    /// Starts or restarts a balancer with empty state without registering it, as when the store is
    /// down or already has the registration.
    pub fn start_balancer_without_store(&mut self, index: usize) {
        let process = Process::Balancer(index);
        let identity = BalancerIdentity {
            node: NodeId(0x1_0000_0000_0000 + index as u64 * 0x1_0001_0001),
            domain: self.domain(index),
            control_address: address(process),
            incarnation: Incarnation(1_790_000_000_000_000 + self.now.0),
            seeds: self.seeds(),
        };
        let seed = self.random.next_u64();
        let balancer = Balancer {
            membership: BalancerMembership::new(identity.clone(), self.options.balancer, seed),
            identity,
            is_running: true,
            paused_until: Time::ZERO,
            table_rebuilds: 0,
            is_watching: false,
            watched_version: ObjectVersion(0),
        };
        self.addresses.insert(address(process), process);
        if index < self.balancers.len() {
            self.balancers[index] = balancer;
        } else {
            self.balancers.push(balancer);
        }
    }

    /// Starts or restarts an agent with empty state.
    ///
    /// # Panics
    ///
    /// Panics when the name of a failure domain in the options is invalid.
    pub fn start_agent(&mut self, index: usize) {
        let process = Process::Agent(index);
        let service = index % self.options.services;
        let entry = HostEntry {
            host: HostId(u32::try_from(index).unwrap_or_default() * 7_919 + 1),
            service: ServiceId(u32::try_from(service + 1).unwrap_or_default()),
            domain: self.domain(index / self.options.services),
            data_address: address(process),
            control_address: address(process),
            incarnation: Incarnation(1_790_000_000_000_000 + self.now.0),
            state: HostState::Ready,
            weight: Weight::STANDARD,
        };
        let name = format!("service-{service}")
            .parse()
            .expect("the generated service name is valid");
        let mut membership =
            AgentMembership::new(name, entry.domain.clone(), index as u64, self.options.agent);
        membership.set_fallback_balancers(self.seeds());
        let agent = Agent {
            membership,
            entry,
            is_running: true,
            paused_until: Time::ZERO,
        };
        self.addresses.insert(address(process), process);
        if index < self.agents.len() {
            self.agents[index] = agent;
        } else {
            self.agents.push(agent);
        }
    }

    /// Runs until a condition is met and returns the elapsed time, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Span, condition: impl Fn(&Self) -> bool) -> Option<Span> {
        let start = self.now;
        while self.now.since(start) < limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        condition(self).then(|| self.now.since(start))
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Span) {
        self.run_until(span, |_| false);
    }

    /// Advances the time by one step: delivers datagrams, then runs the ticks that are due.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        let later = self.in_transit.split_off(&(self.now, u64::MAX));
        for (_, datagram) in std::mem::replace(&mut self.in_transit, later) {
            self.deliver(datagram);
        }
        let phase = self.steps % STEPS_PER_TICK;
        for index in 0..self.balancers.len() {
            if index as u64 % STEPS_PER_TICK == phase && self.is_active(Process::Balancer(index)) {
                self.tick_balancer(index);
            }
        }
        for index in 0..self.agents.len() {
            if index as u64 % STEPS_PER_TICK == phase && self.is_active(Process::Agent(index)) {
                self.tick_agent(index);
            }
        }
    }

    /// Returns whether a process is running and not paused.
    #[must_use]
    pub fn is_active(&self, process: Process) -> bool {
        match process {
            Process::Balancer(index) => {
                let balancer = &self.balancers[index];
                balancer.is_running && self.now >= balancer.paused_until
            }
            Process::Agent(index) => {
                let agent = &self.agents[index];
                agent.is_running && self.now >= agent.paused_until
            }
        }
    }

    fn tick_balancer(&mut self, index: usize) {
        let now = self.now;
        self.read_store(index);
        let balancer = &mut self.balancers[index];
        balancer.membership.on_tick(now);
        if let Some(peer) = balancer.membership.sync_peer(now) {
            self.synchronize(index, peer);
        }
        let balancer = &mut self.balancers[index];
        balancer.table_rebuilds += u32::from(balancer.membership.take_hosts_changed());
        balancer.membership.take_changed_objects();
        let outgoing = balancer.membership.take_outgoing(now);
        self.send(Process::Balancer(index), outgoing);
    }

    /// Applies all newer items of a peer at once, in place of the gRPC call of real balancers.
    fn synchronize(&mut self, index: usize, peer: SocketAddr) {
        let Some(Process::Balancer(other)) = self.addresses.get(&peer).copied() else {
            return;
        };
        let (client, server) = (Process::Balancer(index), Process::Balancer(other));
        if !self.is_active(server) || self.is_partitioned(client, server) {
            return;
        }
        let Process::Balancer(other) = server else {
            return;
        };
        let known_items = self.balancers[index].membership.replica().known_items();
        let (objects, liveness_records, hosts) =
            self.balancers[other].membership.sync_answer(&known_items);
        let membership = &mut self.balancers[index].membership;
        membership.on_sync(self.now, &objects, &liveness_records, &hosts);
    }

    /// Lists or watches the store for a balancer, if it reads the store or has not listed it.
    fn read_store(&mut self, index: usize) {
        let all_balancers_read_store = self.options.all_balancers_read_store;
        let balancer = &mut self.balancers[index];
        if balancer.is_watching
            && !all_balancers_read_store
            && !balancer.membership.is_store_reader()
        {
            return;
        }
        let answer = if balancer.is_watching {
            self.store.watch(self.now, index, balancer.watched_version)
        } else {
            self.store.list(self.now, index)
        };
        let Some(list) = answer else { return };
        // A store whose version went back, as after a restore, is listed again.
        let is_complete = !balancer.is_watching;
        balancer.is_watching = list.version >= balancer.watched_version;
        balancer.watched_version = list.version;
        balancer.membership.on_store_list("", &list, is_complete);
    }

    fn tick_agent(&mut self, index: usize) {
        let now = self.now;
        let balancers = self.balancers.len();
        let agent = &mut self.agents[index];
        // An agent that has no peers lists the balancers in the store.
        if !self.store.is_down && agent.membership.has_no_peers(now) {
            let registered_balancers =
                (0..balancers).map(|index| address(Process::Balancer(index)));
            agent
                .membership
                .set_fallback_balancers(registered_balancers.collect());
        }
        if agent.membership.entry().is_none() && !agent.membership.take_changed_objects().is_empty()
        {
            agent.membership.join(now, agent.entry.clone());
        }
        let outgoing = agent.membership.on_tick(now);
        self.send(Process::Agent(index), outgoing);
    }

    /// Returns the identifier of a process as a sender of control messages.
    fn sender(&self, process: Process) -> u64 {
        match process {
            Process::Balancer(index) => self.balancers[index].identity.node.0,
            Process::Agent(index) => u64::from(self.agents[index].entry.host.0),
        }
    }

    /// Returns the size of a control message with IP and UDP headers.
    fn wire_bytes(&self, from: Process, message: &Message) -> u64 {
        let origin = Origin {
            sender: self.sender(from),
            incarnation: Incarnation(1_790_000_000_000_000),
            sequence: 1 << 20,
        };
        wire_bytes(&origin, message)
    }

    /// Sends control messages over a network that may lose, delay, reorder and duplicate each.
    fn send(&mut self, from: Process, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            let bytes = self.wire_bytes(from, &message);
            self.traffic.entry(from).or_default().sent += bytes;
            let Some(to) = self.addresses.get(&to).copied() else {
                continue;
            };
            let copies = 1 + u64::from(self.draw_chance(self.options.network.duplicate_ppm));
            for _ in 0..copies {
                if self.is_partitioned(from, to) || self.draw_chance(self.options.network.loss_ppm)
                {
                    continue;
                }
                let network = self.options.network;
                let range = network.max_delay_us - network.min_delay_us + 1;
                let delay = network.min_delay_us + self.random.next_u64() % range;
                self.datagrams += 1;
                let key = (self.now + Span::from_micros(delay), self.datagrams);
                let message = message.clone();
                self.in_transit.insert(key, Datagram { to, from, message });
            }
        }
    }

    /// Draws at random whether an event of the given probability, in parts per million, happens.
    fn draw_chance(&mut self, ppm: u64) -> bool {
        ppm > 0 && self.random.next_u64() % 1_000_000 < ppm
    }

    fn region(&self, process: Process) -> &'static str {
        let domain_index = match process {
            Process::Balancer(index) => index,
            Process::Agent(index) => index / self.options.services,
        };
        self.options.domains[domain_index % self.options.domains.len()].1
    }

    /// Returns whether all messages between two processes are lost.
    fn is_partitioned(&self, one: Process, other: Process) -> bool {
        let regions = (self.region(one), self.region(other));
        let are_regions_partitioned = regions.0 != regions.1
            && (self.partitioned_regions.contains(regions.0)
                || self.partitioned_regions.contains(regions.1));
        are_regions_partitioned
            || self.partitioned_pairs.contains(&(one, other))
            || self.partitioned_pairs.contains(&(other, one))
    }

    fn deliver(&mut self, datagram: Datagram) {
        let Datagram { to, from, message } = datagram;
        if !self.is_active(to) {
            return;
        }
        let bytes = self.wire_bytes(from, &message);
        self.traffic.entry(to).or_default().received += bytes;
        let sender = self.sender(from);
        let now = self.now;
        match to {
            Process::Balancer(index) => {
                let membership = &mut self.balancers[index].membership;
                membership.on_message(now, address(from), Sender::from(sender), message);
                let outgoing = membership.take_outgoing(now);
                self.send(to, outgoing);
            }
            Process::Agent(index) => {
                let membership = &mut self.agents[index].membership;
                let outgoing = membership.on_message(now, address(from), &message);
                self.send(to, outgoing);
            }
        }
    }
}
