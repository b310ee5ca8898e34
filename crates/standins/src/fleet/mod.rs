//! Simulation of one service in virtual time, with real agents, routing and admission, and modelled
//! backend servers and callers.
//!
//! Tests and experiments observe how the decisions of several agents act together. Packets arrive
//! without delay and every balancer has the same table; the end-to-end tests cover delays and lost
//! updates.

mod callers;
mod host;
mod server;

pub use {
    callers::CallerCounts,
    host::{AdmissionMode, ModelHost},
    server::{ModelServer, ServerCapacity},
};

use {
    callers::{Callers, Segment},
    cardamomloom_coordination::{
        balancer::route,
        handover::{Members, Peer},
        membership::OutgoingMessage,
    },
    cardamomloom_core::{
        DomainName, HostId, Incarnation, ObjectVersion, ServiceName, Span, Time, Weight,
        error::{Error, invalid_argument},
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState, Message},
        forward::{DatagramKey, ForwardHeader},
        gue,
        packet::{self, FlowKey},
        store_api::Object,
    },
    cardamomloom_state::{catalogue::Catalogue, hosts::HostTable, routing::RoutingTable},
    host::InTransit,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::json,
    std::{
        collections::VecDeque,
        net::{Ipv4Addr, SocketAddr},
        str::FromStr,
        sync::Arc,
    },
};

/// Result of a change to the simulation.
pub type Result<T> = std::result::Result<T, Error>;

/// Key that authenticates forwarded packets.
const KEY: DatagramKey = DatagramKey([7; 16]);
const SERVICE: &str = "bookings";
/// Port of the first host; each further one has the next port.
const BASE_PORT: u16 = 1_000;

/// Time by which one simulation step advances.
pub const STEP: Span = Span::from_millis(10);

/// Number of steps between two exchanges of control messages.
const STEPS_PER_EXCHANGE: u64 = 10;

/// Hosts, admission and backend servers of a simulated service.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Failure domain and weight of each host.
    pub hosts: Vec<(&'static str, Weight)>,
    /// Admission that the agents use.
    pub admission: AdmissionMode,
    /// Capacity of each backend server.
    pub server: ServerCapacity,
    /// Class of the service in the catalogue.
    pub class: &'static str,
    /// Seed of the random lifetimes of flows.
    pub seed: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let domains = ["a", "b", "c"];
        Self {
            hosts: (0..7)
                .map(|index| (domains[index % 3], Weight::STANDARD))
                .collect(),
            admission: AdmissionMode::Adaptive,
            server: ServerCapacity::default(),
            class: "critical",
            seed: 1,
        }
    }
}

/// State of a simulated service with its hosts and callers.
pub struct Fleet {
    now: Time,
    /// Number of steps so far.
    steps: u64,
    /// Latest version of a catalogue object.
    version: u64,
    catalogue: Catalogue,
    table: HostTable,
    routing: RoutingTable,
    hosts: Vec<ModelHost>,
    callers: Callers,
    in_transit: VecDeque<InTransit>,
    rng: ChaCha8Rng,
    /// New flows that are due but not opened yet, in hundredths of a flow.
    due_hundredths: u64,
    /// Number of flows that a failure domain lost when it was taken out and that callers will open
    /// again.
    reopening: u64,
    /// Number of packets that balancers and agents sent to each host.
    packets: Vec<u64>,
    /// Whether agents compare their load with the mean of the service.
    uses_mean: bool,
}

impl Fleet {
    /// Creates a service with cold backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error when the class or a failure domain does not satisfy the schema of the
    /// catalogue.
    pub fn new(options: &FleetOptions) -> Result<Self> {
        let mut catalogue = Catalogue::default();
        let address = Ipv4Addr::new(203, 0, 113, 1);
        catalogue.apply(&Object {
            key: Arc::from(format!("services/{SERVICE}")),
            version: ObjectVersion(1),
            value: Some(json!({
                "name": SERVICE, "id": 1, "owner": "model", "class": options.class,
                "addresses": [address], "port": 80, "slots_per_host": 4,
                "connections_per_slot": 2_000, "slow_start_connections": 64,
                "slow_start_ms": 10_000, "hash_key": "00112233445566778899aabbccddeeff",
            })),
        })?;
        let spec = catalogue
            .service_named(&ServiceName::from_str(SERVICE)?)
            .cloned()
            .ok_or_else(|| {
                invalid_argument(format!("fleet: service {SERVICE} is not in the catalogue"))
            })?;
        let mut fleet = Self {
            now: Time::ZERO,
            steps: 0,
            version: 1,
            catalogue,
            table: HostTable::default(),
            routing: RoutingTable::default(),
            hosts: Vec::new(),
            callers: Callers::new(SocketAddr::new(address.into(), 80)),
            in_transit: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            due_hundredths: 0,
            reopening: 0,
            packets: vec![0; options.hosts.len()],
            uses_mean: options.admission == AdmissionMode::Adaptive,
        };
        for (index, (domain, weight)) in options.hosts.iter().enumerate() {
            let number = u16::try_from(index).unwrap_or_default();
            let address = SocketAddr::from(([127, 0, 0, 1], BASE_PORT + number));
            let entry = HostEntry {
                host: HostId(u32::from(number) + 1),
                service: spec.id,
                domain: DomainName::from_str(domain)?,
                data_address: address,
                control_address: address,
                incarnation: Incarnation(1),
                state: HostState::Ready,
                weight: *weight,
            };
            fleet.table.merge(entry.clone())?;
            let server = ModelServer::new(options.server);
            fleet
                .hosts
                .push(ModelHost::new(entry, &spec, server, options.admission));
        }
        fleet.publish()?;
        Ok(fleet)
    }

    /// Returns the virtual time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns the hosts.
    #[must_use]
    pub fn hosts(&self) -> &[ModelHost] {
        &self.hosts
    }

    /// Returns the host with an index for modification.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `invalid_argument` when the index is out of range.
    pub fn host_mut(&mut self, index: usize) -> Result<&mut ModelHost> {
        let count = self.hosts.len();
        self.hosts.get_mut(index).ok_or_else(|| {
            invalid_argument(format!(
                "fleet: host index {index} is out of range; the fleet has {count} hosts"
            ))
        })
    }

    /// Returns the numbers of flows by outcome, as callers observed them.
    #[must_use]
    pub const fn counts(&self) -> CallerCounts {
        self.callers.counts
    }

    /// Returns the number of packets that balancers and agents sent to each host.
    #[must_use]
    pub fn packets(&self) -> &[u64] {
        &self.packets
    }

    /// Returns the ratio of the largest to the mean number of open connections per weight, over the
    /// hosts that accept new flows and whose failure domain is in.
    #[must_use]
    pub fn imbalance(&self) -> f64 {
        let loads: Vec<(f64, f64)> = self
            .hosts
            .iter()
            .filter(|host| host.entry.state == HostState::Ready)
            .filter(|host| !self.catalogue.is_domain_out(&host.entry.domain))
            .map(|host| {
                (
                    f64::from(open_connections(host)),
                    f64::from(host.entry.weight.0),
                )
            })
            .collect();
        let (load, weight) = loads
            .iter()
            .fold((0.0, 0.0), |sum, host| (sum.0 + host.0, sum.1 + host.1));
        let max_load_per_weight = loads
            .iter()
            .map(|(load, weight)| load / weight)
            .fold(0.0, f64::max);
        max_load_per_weight * weight / load.max(1.0)
    }

    /// Rebuilds the routing table and gives it to every agent.
    fn publish(&mut self) -> Result<()> {
        self.routing = self.routing.rebuild(&self.catalogue, &self.table)?;
        for host in &mut self.hosts {
            let Some(table) = self.routing.service(host.entry.service) else {
                continue;
            };
            let peers = table
                .hosts()
                .iter()
                .filter(|candidate| candidate.host != host.entry.host)
                .map(|candidate| Peer {
                    host: candidate.host,
                    incarnation: host.entry.incarnation,
                    control_address: candidate.control_address,
                });
            let members = Members {
                incarnation: host.entry.incarnation,
                peers: peers.collect(),
            };
            host.agent
                .ownership_mut()
                .set_table(self.now, table.clone(), members);
        }
        Ok(())
    }

    /// Takes a failure domain out of service or returns it. Callers that lose their flows open new
    /// ones during the following [`Self::run`], within about a second.
    ///
    /// # Errors
    ///
    /// Returns an error when the name does not satisfy the schema of the catalogue.
    pub fn set_domain_out(&mut self, name: &str, out: bool) -> Result<()> {
        self.version += 1;
        let state = if out { "out" } else { "in" };
        self.catalogue.apply(&Object {
            key: Arc::from(format!("domains/{name}")),
            version: ObjectVersion(self.version),
            value: Some(json!({ "name": name, "region": "r", "state": state })),
        })?;
        let domain = DomainName::from_str(name)?;
        let mut lost_flows = 0;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if host.entry.domain == domain {
                host.set_domain_out(self.now, index, out, &mut self.in_transit);
                lost_flows += if out {
                    self.callers.remove_flows_of(index)
                } else {
                    0
                };
            }
        }
        self.publish()?;
        self.reopening += lost_flows as u64;
        Ok(())
    }

    /// Starts to drain a host. Its agent rejects new flows from now on, and balancers and other
    /// agents place none there if the drain `is_announced`.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `invalid_argument` when the index is out of range.
    pub fn drain(&mut self, index: usize, is_announced: bool) -> Result<()> {
        let host = self.host_mut(index)?;
        host.agent.admission_mut().set_accepting(false);
        if !is_announced {
            return Ok(());
        }
        host.entry.state = HostState::Draining;
        let entry = host.entry.clone();
        self.table.merge(entry)?;
        self.publish()
    }

    /// Makes the backend server of a host cold without announcement; see
    /// [`ModelServer::become_cold`].
    ///
    /// # Errors
    ///
    /// Returns an error of kind `invalid_argument` when the index is out of range.
    pub fn become_cold(&mut self, index: usize, keeps_connections: bool) -> Result<()> {
        let now = self.now;
        self.host_mut(index)?;
        let host = &mut self.hosts[index];
        let lost = host.server.become_cold(keeps_connections);
        host.reset(now, index, &lost, &mut self.in_transit);
        self.deliver();
        Ok(())
    }

    /// Opens flows at once, with random lifetimes around the mean `lifetime`.
    pub fn offer(&mut self, flows: u64, lifetime: Span) {
        for _ in 0..flows {
            // Lifetimes from 50 % to 150 % of the mean spread the ends of flows over time.
            let percent = self.rng.random_range(50..150_u64);
            let flow = self
                .callers
                .open(self.now, Span(lifetime.0 / 100 * percent));
            self.send(&flow, Segment::Syn);
        }
        self.deliver();
    }

    /// Advances the time by `span` while callers open `flows_per_s` new flows per second.
    pub fn run(&mut self, span: Span, flows_per_s: u64, lifetime: Span) {
        let end = self.now + span;
        while self.now < end {
            // A step lasts a hundredth of a second.
            self.due_hundredths += flows_per_s;
            let new_flows = self.due_hundredths / 100;
            self.due_hundredths %= 100;
            let reopened = self.reopening.min(self.reopening / 50 + 10);
            self.reopening -= reopened;
            self.offer(new_flows + reopened, lifetime);
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.step(self.now, index, &mut self.in_transit);
        }
        for (flow, segment) in self.callers.on_timer(self.now) {
            self.send(&flow, segment);
        }
        if self.steps.is_multiple_of(STEPS_PER_EXCHANGE) {
            self.exchange_control_messages();
        }
        self.deliver();
    }

    /// Exchanges the loads of the hosts, passes the reports of backend servers to admission and then
    /// exchanges the messages of flow handover.
    fn exchange_control_messages(&mut self) {
        let now = self.now;
        let mut messages: Vec<(SocketAddr, Message)> = Vec::new();
        for host in &mut self.hosts {
            if self.catalogue.is_domain_out(&host.entry.domain) {
                continue;
            }
            let own_load = open_connections(host);
            let load_messages = host.loads.on_tick(now, own_load, &self.table);
            let updates_mean = self.uses_mean && !load_messages.is_empty();
            messages.extend(
                load_messages
                    .into_iter()
                    .map(|outgoing| (outgoing.to, outgoing.message)),
            );
            let accepts_new = |host| {
                self.table.get(host).is_some_and(|entry| {
                    entry.state == HostState::Ready && !self.catalogue.is_domain_out(&entry.domain)
                })
            };
            if updates_mean && let Some(mean) = host.loads.mean(now, own_load, accepts_new) {
                host.agent.admission_mut().observe_mean(now, mean);
            }
            if let Some(report) = host.report {
                host.agent.admission_mut().observe_report(now, report);
            }
        }
        for (to, message) in messages {
            let index = usize::from(to.port() - BASE_PORT);
            if let Some(host) = self.hosts.get_mut(index) {
                host.loads.on_message(now, &message);
            }
        }
        self.exchange_handover_messages();
    }

    /// Exchanges the control messages of flow handover until no reply is left.
    fn exchange_handover_messages(&mut self) {
        let now = self.now;
        let mut messages: VecDeque<OutgoingMessage> = VecDeque::new();
        for host in &mut self.hosts {
            messages.extend(host.agent.ownership_mut().on_tick(now));
        }
        while let Some(OutgoingMessage { to, message }) = messages.pop_front() {
            let index = usize::from(to.port() - BASE_PORT);
            if let Some(host) = self.hosts.get_mut(index) {
                messages.extend(host.agent.ownership_mut().on_message(now, &message));
            }
        }
    }

    /// Sends a segment of a caller through a balancer.
    fn send(&mut self, flow: &FlowKey, segment: Segment) {
        let Ok(packet) = callers::packet(flow, segment) else {
            return;
        };
        let datagram = gue::encode(&packet);
        let Ok(route) = route(&self.routing, KEY, &datagram) else {
            return;
        };
        let mut forwarded = route.header.to_vec();
        forwarded.extend_from_slice(route.packet);
        if let Ok((header, packet)) = ForwardHeader::decode(KEY, &forwarded) {
            let forwarded = InTransit::ToAgent(route.to, Box::new(header), packet.to_vec());
            self.in_transit.push_back(forwarded);
        }
    }

    /// Delivers all packets in transit and those that result from them.
    fn deliver(&mut self) {
        while let Some(in_transit) = self.in_transit.pop_front() {
            match in_transit {
                InTransit::ToAgent(to, header, packet) => {
                    let index = usize::from(to.port() - BASE_PORT);
                    if let Some(host) = self.hosts.get_mut(index) {
                        self.packets[index] += 1;
                        host.receive(self.now, index, &header, &packet, &mut self.in_transit);
                    }
                }
                InTransit::ToCaller(host, packet) => self.on_packet_at_caller(host, &packet),
            }
        }
    }

    fn on_packet_at_caller(&mut self, host: usize, packet: &[u8]) {
        let percent = self
            .hosts
            .get(host)
            .map_or(100, |host| host.lifetime_percent);
        let Ok(meta) = packet::parse(packet) else {
            return;
        };
        if let Some((flow, segment)) = self.callers.receive(self.now, host, percent, &meta) {
            self.send(&flow, segment);
        }
    }
}

/// Returns the number of connections that the agent of a host has open to its backend server.
#[must_use]
pub fn open_connections(host: &ModelHost) -> u32 {
    host.agent.admission().open_connections()
}
