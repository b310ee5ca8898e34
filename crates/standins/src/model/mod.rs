//! Simulation of one service for tests and measurements of flow ownership: agents with the real
//! ownership state machine, balancers that may use outdated candidate tables, a lossy control network
//! and callers.

mod callers;
mod tables;

pub use callers::{Flow, FlowState, service_address};

use {
    cardamomloom_coordination::{
        handover::{HandoverOptions, Members, Peer},
        ownership::{FlowId, Ownership, OwnershipOptions},
    },
    cardamomloom_core::{HostId, Incarnation, ServiceId, Span, Time, Weight},
    cardamomloom_protocol::control::{self, Message, Origin},
    cardamomloom_state::candidates::CandidateTable,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Identifier of the simulated service.
pub const SERVICE: ServiceId = ServiceId(1);

/// Maximum time from a change until every balancer and agent uses it, as the design document
/// specifies it.
pub const PROPAGATION_BOUND: Span = Span::from_secs(3);

const TICK_INTERVAL: Span = Span::from_millis(20);

/// State of a simulated host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// The host has no running agent.
    Absent,
    /// The host accepts new flows.
    Ready,
    /// The host keeps its flows and accepts no new ones.
    Draining,
}

/// A host with its agent.
pub struct Host {
    /// Current state, which balancers and agents learn with the next published version.
    pub state: HostState,
    /// Whether admission rejects new flows.
    pub is_full: bool,
    /// Weight in the candidate table.
    pub weight: Weight,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Flow ownership state of the agent.
    pub ownership: Ownership,
    /// Index of the version that the agent uses.
    pub version: usize,
    /// Initial sequence numbers of the caller and the agent of each flow, with which TCP validates
    /// packets.
    pub initial_sequences: HashMap<FlowId, (u32, u32)>,
    /// Pending connects to the backend server.
    pub connecting: Vec<callers::Connecting>,
}

/// The hosts as of one change, which balancers and agents apply later.
pub struct Version {
    /// Candidate table of the service.
    pub table: Arc<CandidateTable>,
    /// Agents of the hosts in the table.
    pub members: Vec<Peer>,
    /// Time of the change.
    pub published_at: Time,
}

/// Numbers of violations of the guarantees that flow ownership gives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Established flows that were reset, or that a test found unreachable.
    pub broken: usize,
    /// Packets that were delivered to a flow that does not own them.
    pub misdelivered: usize,
    /// Requests of which more than one backend server received bytes.
    pub duplicated: usize,
}

/// State of one service with its balancers and callers, in virtual time.
pub struct Simulation {
    /// Virtual time.
    pub now: Time,
    /// Random choices of callers, backend servers and tests.
    pub rng: ChaCha8Rng,
    /// Hosts by index.
    pub hosts: Vec<Host>,
    /// All published versions, oldest first.
    pub versions: Vec<Version>,
    /// Index of the version that each balancer uses.
    pub balancers: Vec<usize>,
    /// Flows of all callers.
    pub flows: Vec<Flow>,
    /// Violations so far.
    pub violations: ViolationCounts,
    /// Whether the network delivers handover messages.
    pub is_handover_enabled: bool,
    /// Share of control messages that are lost, in percent.
    pub loss_percent: u32,
    /// Every byte of the hash key of the service.
    pub key: u8,
    /// Number of flows that were established.
    pub opened: usize,
    /// Number of resets that callers received.
    pub resets: usize,
    /// Bytes of all control messages that agents sent, with IP and UDP headers.
    pub control_bytes: u64,
    /// Hosts from and to which all control messages are lost.
    pub partitioned_hosts: BTreeSet<usize>,
    /// Random choices of the network. They do not use `rng`, so that callers behave the same with and
    /// without handover.
    network_rng: ChaCha8Rng,
    /// Messages in transit, by arrival time and number.
    messages: BTreeMap<(Time, u64), (SocketAddr, Message)>,
    next_message: u64,
}

impl Simulation {
    /// Starts a service with `hosts` ready hosts in three failure domains and runs it for 1 s, so that
    /// the handover state of all agents is confirmed.
    #[must_use]
    pub fn new(seed: u64, hosts: usize, balancers: usize, is_handover_enabled: bool) -> Self {
        let mut simulation = Self {
            now: Time::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..hosts).map(|index| new_host(index, 1)).collect(),
            versions: Vec::new(),
            balancers: vec![0; balancers],
            flows: Vec::new(),
            violations: ViolationCounts::default(),
            is_handover_enabled,
            loss_percent: 5,
            key: 0,
            opened: 0,
            resets: 0,
            control_bytes: 0,
            partitioned_hosts: BTreeSet::new(),
            network_rng: ChaCha8Rng::seed_from_u64(!seed),
            messages: BTreeMap::new(),
            next_message: 0,
        };
        for host in &mut simulation.hosts {
            host.state = HostState::Ready;
        }
        simulation.publish();
        for index in 0..hosts {
            simulation.update_host(index, 0);
        }
        simulation.advance(Span::from_secs(1));
        simulation
    }

    /// Returns the number of hosts that accept new flows.
    #[must_use]
    pub fn ready_hosts(&self) -> usize {
        let is_ready = |host: &&Host| host.state == HostState::Ready;
        self.hosts.iter().filter(is_ready).count()
    }

    /// Publishes the current hosts as a new version. Balancers and agents apply it when they are
    /// updated, at the latest after [`PROPAGATION_BOUND`].
    pub fn publish(&mut self) {
        let version = tables::version(&self.hosts, self.key, self.now);
        self.versions.push(version);
    }

    /// Starts the agent of a host with the newest version and a new incarnation.
    pub fn join(&mut self, index: usize) {
        self.join_together(&[index]);
    }

    /// Starts the agents of several hosts as one change, as when a failure domain returns.
    pub fn join_together(&mut self, indexes: &[usize]) {
        for index in indexes {
            let incarnation = self.hosts[*index].incarnation.0 + 1;
            self.hosts[*index] = new_host(*index, incarnation);
            self.hosts[*index].state = HostState::Ready;
        }
        self.publish();
        for index in indexes {
            self.update_host(*index, self.versions.len() - 1);
        }
    }

    /// Suspends an agent, as SIGSTOP does. It keeps its flows, and newer versions do not contain it.
    pub fn pause(&mut self, index: usize) {
        self.hosts[index].state = HostState::Absent;
        self.publish();
    }

    /// Resumes a suspended agent, which still has its flows.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].state = HostState::Ready;
        self.publish();
        self.update_host(index, self.versions.len() - 1);
    }

    /// Starts to drain a host, which then accepts no new flows.
    pub fn drain(&mut self, index: usize) {
        self.hosts[index].state = HostState::Draining;
        self.publish();
    }

    /// Removes a draining host if all its flows have ended.
    pub fn leave_if_idle(&mut self, index: usize) {
        let host = &self.hosts[index];
        if host.state == HostState::Draining && host.ownership.flow_count() == 0 {
            self.remove(&[index]);
        }
    }

    /// Terminates agents; their open flows become lost.
    pub fn remove(&mut self, indexes: &[usize]) {
        for index in indexes {
            self.hosts[*index].state = HostState::Absent;
            self.hosts[*index].connecting.clear();
            for flow in &mut self.flows {
                flow.mark_lost(*index);
            }
        }
        self.publish();
    }

    /// Applies a version to a balancer, unless it uses a later one.
    pub fn update_balancer(&mut self, index: usize, version: usize) {
        self.balancers[index] = self.balancers[index].max(version);
    }

    /// Applies a version to an agent; no effect on absent hosts.
    pub fn update_host(&mut self, index: usize, version: usize) {
        let (now, host) = (self.now, &mut self.hosts[index]);
        if host.state == HostState::Absent {
            return;
        }
        let new_version = &self.versions[version];
        host.version = version;
        let members = Members {
            incarnation: host.incarnation,
            peers: new_version.members.clone(),
        };
        host.ownership
            .set_table(now, new_version.table.clone(), members);
    }

    /// Applies the newest version to every balancer and agent.
    pub fn update_all(&mut self) {
        let newest = self.versions.len() - 1;
        for index in 0..self.balancers.len() {
            self.update_balancer(index, newest);
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].version != newest {
                self.update_host(index, newest);
            }
        }
    }

    /// Advances the time by `span` in ticks. Each tick delivers control messages, completes connects,
    /// applies the versions that have reached [`PROPAGATION_BOUND`] and runs the timers of agents.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.deliver_messages();
            self.complete_connects();
            self.apply_overdue_versions();
            for index in 0..self.hosts.len() {
                if self.hosts[index].state != HostState::Absent {
                    let messages = self.hosts[index].ownership.on_tick(self.now);
                    for outgoing in messages {
                        self.send_message(index, outgoing.to, &outgoing.message);
                    }
                }
            }
        }
    }

    fn apply_overdue_versions(&mut self) {
        let overdue = self
            .versions
            .iter()
            .rposition(|version| version.published_at + PROPAGATION_BOUND <= self.now)
            .unwrap_or_default();
        for index in 0..self.balancers.len() {
            self.update_balancer(index, overdue);
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].version < overdue {
                self.update_host(index, overdue);
            }
        }
    }

    /// Sends a control message over a network that loses, delays, reorders and duplicates messages.
    fn send_message(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let is_partitioned = self.partitioned_hosts.contains(&from)
            || self.partitioned_hosts.contains(&host_of_address(to));
        if !self.is_handover_enabled || is_partitioned {
            return;
        }
        let origin = Origin {
            sender: from as u64,
            incarnation: self.hosts[from].incarnation,
            sequence: self.next_message,
        };
        self.control_bytes += control::wire_bytes(&origin, message);
        for _ in 0..=usize::from(self.network_rng.random_ratio(1, 20)) {
            if self.network_rng.random_ratio(self.loss_percent, 100) {
                continue;
            }
            let delay = Span::from_millis(self.network_rng.random_range(1..60));
            self.next_message += 1;
            let key = (self.now + delay, self.next_message);
            self.messages.insert(key, (to, message.clone()));
        }
    }

    fn deliver_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, message) = entry.remove();
            let index = host_of_address(to);
            if self.hosts[index].state == HostState::Absent {
                continue;
            }
            let reply = self.hosts[index].ownership.on_message(self.now, &message);
            if let Some(outgoing) = reply {
                self.send_message(index, outgoing.to, &outgoing.message);
            }
        }
    }
}

/// Returns the identifier of the host with an index.
#[must_use]
pub fn host_id(index: usize) -> HostId {
    HostId(u32::try_from(index).unwrap_or(u32::MAX) + 1)
}

/// Returns the data and control address of the host with an index.
#[must_use]
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index).unwrap_or(u16::MAX) + 1))
}

/// Returns the index of the host with an address that [`address`] returned.
#[must_use]
pub fn host_of_address(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn new_host(index: usize, incarnation: u64) -> Host {
    let handover = HandoverOptions {
        // Short times let directory entries be refreshed and expire within a test sequence.
        refresh_interval: Span::from_secs(7),
        entry_ttl: Span::from_secs(40),
        ..HandoverOptions::default()
    };
    let options = OwnershipOptions {
        handover,
        ..OwnershipOptions::default()
    };
    let mut ownership = Ownership::new(host_id(index), SERVICE, options);
    ownership.set_addresses(vec![callers::service_address()]);
    Host {
        state: HostState::Absent,
        is_full: false,
        weight: Weight::STANDARD,
        incarnation: Incarnation(incarnation),
        ownership,
        version: 0,
        initial_sequences: HashMap::new(),
        connecting: Vec::new(),
    }
}
