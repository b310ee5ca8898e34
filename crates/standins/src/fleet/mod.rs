//! One service in virtual time: real agents, routing and admission; modelled servers and callers.
//!
//! Tests and experiments use it to see decisions of several agents together. Packets arrive at
//! once and every balancer has the same table; delays and lost updates are the subject of the
//! end-to-end tests.

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
        membership::Outgoing,
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
    host::Sent,
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

/// Result of a change to the model.
pub type Result<T> = std::result::Result<T, Error>;

const KEY: DatagramKey = DatagramKey([7; 16]);
const SERVICE: &str = "bookings";
const BASE_PORT: u16 = 1_000;

/// Length of one step of virtual time.
pub const STEP: Span = Span::from_millis(10);

/// Steps between two exchanges of control messages.
const CONTROL_STEPS: u64 = 10;

/// What is modelled.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Failure domain and weight of each host.
    pub hosts: Vec<(&'static str, Weight)>,
    /// Admission of the agents.
    pub admission: AdmissionMode,
    /// What each server bears.
    pub server: ServerCapacity,
    /// Class of the service.
    pub class: &'static str,
    /// Seed of lifetimes.
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

/// A modelled service.
pub struct Fleet {
    now: Time,
    steps: u64,
    version: u64,
    catalogue: Catalogue,
    table: HostTable,
    routing: RoutingTable,
    hosts: Vec<ModelHost>,
    callers: Callers,
    sent: VecDeque<Sent>,
    rng: ChaCha8Rng,
    /// Flows that are due but not offered yet, in hundredths.
    owed: u64,
    /// Flows that were given up and that callers open again.
    returning: u64,
    packets: Vec<u64>,
    uses_mean: bool,
}

impl Fleet {
    /// Creates a service with cold servers.
    ///
    /// # Errors
    ///
    /// Fails when an option does not satisfy the schema of the catalogue.
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
            .ok_or_else(|| invalid_argument("fleet: the service is not in the catalogue"))?;
        let mut fleet = Self {
            now: Time::ZERO,
            steps: 0,
            version: 1,
            catalogue,
            table: HostTable::default(),
            routing: RoutingTable::default(),
            hosts: Vec::new(),
            callers: Callers::new(SocketAddr::new(address.into(), 80)),
            sent: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            owed: 0,
            returning: 0,
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

    /// Returns the time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns the hosts.
    #[must_use]
    pub fn hosts(&self) -> &[ModelHost] {
        &self.hosts
    }

    /// Returns a host for changes.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when there is none with this index.
    pub fn host_mut(&mut self, index: usize) -> Result<&mut ModelHost> {
        let count = self.hosts.len();
        self.hosts.get_mut(index).ok_or_else(|| {
            invalid_argument(format!("fleet: host is {index}; allowed is below {count}"))
        })
    }

    /// Returns what callers saw.
    #[must_use]
    pub const fn counts(&self) -> CallerCounts {
        self.callers.counts
    }

    /// Returns the packets that balancers and agents sent to each host.
    #[must_use]
    pub fn packets(&self) -> &[u64] {
        &self.packets
    }

    /// Returns the largest load over the mean load, both relative to weight, of the hosts whose
    /// failure domain is in and that take new flows.
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
            .fold((0.0, 0.0), |sum, x| (sum.0 + x.0, sum.1 + x.1));
        let most = loads
            .iter()
            .map(|(load, weight)| load / weight)
            .fold(0.0, f64::max);
        most * weight / load.max(1.0)
    }

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

    /// Takes a failure domain out or brings it back. Callers whose flows were given up open new
    /// ones within a second.
    ///
    /// # Errors
    ///
    /// Fails when the name does not satisfy the schema.
    pub fn set_domain_out(&mut self, name: &str, out: bool) -> Result<()> {
        self.version += 1;
        let state = if out { "out" } else { "in" };
        self.catalogue.apply(&Object {
            key: Arc::from(format!("domains/{name}")),
            version: ObjectVersion(self.version),
            value: Some(json!({ "name": name, "region": "r", "state": state })),
        })?;
        let domain = DomainName::from_str(name)?;
        let mut given_up = 0;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if host.entry.domain == domain {
                host.set_out(self.now, index, out, &mut self.sent);
                given_up += if out { self.callers.give_up(index) } else { 0 };
            }
        }
        self.publish()?;
        self.returning += given_up as u64;
        Ok(())
    }

    /// Lets a host drain; balancers and other agents learn of it when it is `announced`.
    ///
    /// # Errors
    ///
    /// Fails when there is no host with this index.
    pub fn drain(&mut self, index: usize, announced: bool) -> Result<()> {
        let host = self.host_mut(index)?;
        host.agent.admission_mut().set_accepting(false);
        if !announced {
            return Ok(());
        }
        host.entry.state = HostState::Draining;
        let entry = host.entry.clone();
        self.table.merge(entry)?;
        self.publish()
    }

    /// Makes the server of a host cold without announcement; see [`ModelServer::become_cold`].
    ///
    /// # Errors
    ///
    /// Fails when there is no host with this index.
    pub fn become_cold(&mut self, index: usize, keep: bool) -> Result<()> {
        let now = self.now;
        self.host_mut(index)?;
        let host = &mut self.hosts[index];
        let lost = host.server.become_cold(keep);
        host.reset(now, index, &lost, &mut self.sent);
        self.deliver();
        Ok(())
    }

    /// Opens flows at once.
    pub fn offer(&mut self, flows: u64, lifetime: Span) {
        for _ in 0..flows {
            // Lifetimes between half and one and a half of the mean, so that flows end spread out.
            let percent = self.rng.random_range(50..150_u64);
            let flow = self
                .callers
                .open(self.now, Span(lifetime.0 / 100 * percent));
            self.send(&flow, Segment::Open);
        }
        self.deliver();
    }

    /// Lets time pass while callers open `per_s` flows a second.
    pub fn run(&mut self, span: Span, per_s: u64, lifetime: Span) {
        let end = self.now + span;
        while self.now < end {
            self.owed += per_s;
            let due = self.owed / 100;
            self.owed %= 100;
            let returning = self.returning.min(self.returning / 50 + 10);
            self.returning -= returning;
            self.offer(due + returning, lifetime);
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.step(self.now, index, &mut self.sent);
        }
        for (flow, segment) in self.callers.due(self.now) {
            self.send(&flow, segment);
        }
        if self.steps.is_multiple_of(CONTROL_STEPS) {
            self.exchange();
        }
        self.deliver();
    }

    /// Exchanges loads and reads the reports of the servers.
    fn exchange(&mut self) {
        let now = self.now;
        let mut messages: Vec<(SocketAddr, Message)> = Vec::new();
        for host in &mut self.hosts {
            if self.catalogue.is_domain_out(&host.entry.domain) {
                continue;
            }
            let own = open_connections(host);
            let due = host.loads.on_tick(now, own, &self.table);
            let is_due = self.uses_mean && !due.is_empty();
            messages.extend(
                due.into_iter()
                    .map(|outgoing| (outgoing.to, outgoing.message)),
            );
            let takes_flows = |host| {
                self.table.get(host).is_some_and(|entry| {
                    entry.state == HostState::Ready && !self.catalogue.is_domain_out(&entry.domain)
                })
            };
            if is_due && let Some(mean) = host.loads.mean(now, own, takes_flows) {
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
        self.hand_over();
    }

    /// Exchanges the control messages of flow handover until no answer is left.
    fn hand_over(&mut self) {
        let now = self.now;
        let mut messages: VecDeque<Outgoing> = VecDeque::new();
        for host in &mut self.hosts {
            messages.extend(host.agent.ownership_mut().on_tick(now));
        }
        while let Some(Outgoing { to, message }) = messages.pop_front() {
            let index = usize::from(to.port() - BASE_PORT);
            if let Some(host) = self.hosts.get_mut(index) {
                messages.extend(host.agent.ownership_mut().on_message(now, &message));
            }
        }
    }

    /// Sends a caller's segment through a balancer.
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
            let sent = Sent::ToAgent(route.to, Box::new(header), packet.to_vec());
            self.sent.push_back(sent);
        }
    }

    fn deliver(&mut self) {
        while let Some(sent) = self.sent.pop_front() {
            match sent {
                Sent::ToAgent(to, header, packet) => {
                    let index = usize::from(to.port() - BASE_PORT);
                    if let Some(host) = self.hosts.get_mut(index) {
                        self.packets[index] += 1;
                        host.receive(self.now, index, &header, &packet, &mut self.sent);
                    }
                }
                Sent::ToCaller(host, packet) => self.on_answer(host, &packet),
            }
        }
    }

    fn on_answer(&mut self, host: usize, packet: &[u8]) {
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

/// Returns the connections that a host has open.
#[must_use]
pub fn open_connections(host: &ModelHost) -> u32 {
    host.agent.admission().open_connections()
}
