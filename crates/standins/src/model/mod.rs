//! Small model of one service for tests and measurements of flow ownership: agents with the real
//! decision code, balancers with tables of different ages, a lossy control network and callers.

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

/// Service of the model.
pub const SERVICE: ServiceId = ServiceId(1);

/// Bound of the design page within which a change reaches every balancer and agent.
pub const PROPAGATION_BOUND: Span = Span::from_secs(3);

const TICK: Span = Span::from_millis(20);

/// State of a modelled host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// The host has no agent.
    Absent,
    /// The host takes new flows.
    Ready,
    /// The host keeps its flows and takes no new ones.
    Draining,
}

/// A host with its agent.
pub struct Host {
    /// Present state.
    pub state: HostState,
    /// Whether admission rejects new flows.
    pub is_full: bool,
    /// Share in placement.
    pub weight: Weight,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Decisions of the agent.
    pub ownership: Ownership,
    /// Version that the agent uses.
    pub version: usize,
    /// Initial sequence numbers of caller and agent of each flow, as TCP checks them.
    pub initial_sequences: HashMap<FlowId, (u32, u32)>,
    /// Connects to the server that have not ended.
    pub connecting: Vec<callers::Connecting>,
}

/// The hosts at one time, as balancers and agents learn them later.
pub struct Version {
    /// Candidate table.
    pub table: Arc<CandidateTable>,
    /// Agents in the table.
    pub members: Vec<Peer>,
    /// When the hosts changed.
    pub published_at: Time,
}

/// What the oracle counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Live flows that were reset or could not be reached.
    pub broken: usize,
    /// Packets that a flow took which does not own them.
    pub misdelivered: usize,
    /// Requests of which two servers took bytes.
    pub duplicated: usize,
}

/// One service with its balancers and callers, in virtual time.
pub struct Simulation {
    /// Virtual time.
    pub now: Time,
    /// Choices of callers, servers and tests.
    pub rng: ChaCha8Rng,
    /// Hosts by index.
    pub hosts: Vec<Host>,
    /// All versions, oldest first.
    pub versions: Vec<Version>,
    /// Version that each balancer uses.
    pub balancers: Vec<usize>,
    /// Flows of all callers.
    pub flows: Vec<Flow>,
    /// What went wrong.
    pub violations: ViolationCounts,
    /// Whether handover messages are carried.
    pub is_handover_enabled: bool,
    /// Share of lost control messages.
    pub loss_percent: u32,
    /// Hash key of the service.
    pub key: u8,
    /// Flows that callers opened.
    pub opened: usize,
    /// Resets that callers received.
    pub resets: usize,
    /// Bytes of all control messages that agents sent, with IP and UDP headers.
    pub control_bytes: u64,
    /// Hosts whose control messages are lost.
    pub partitioned_hosts: BTreeSet<usize>,
    /// Kept apart from `rng`, so that the same callers can be run with and without handover.
    network_rng: ChaCha8Rng,
    messages: BTreeMap<(Time, u64), (SocketAddr, Message)>,
    next_message: u64,
}

impl Simulation {
    /// Creates `hosts` hosts in three failure domains, all ready and confirmed.
    #[must_use]
    pub fn new(seed: u64, hosts: usize, balancers: usize, handover: bool) -> Self {
        let mut world = Self {
            now: Time::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..hosts).map(|index| new_host(index, 1)).collect(),
            versions: Vec::new(),
            balancers: vec![0; balancers],
            flows: Vec::new(),
            violations: ViolationCounts::default(),
            is_handover_enabled: handover,
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
        for host in &mut world.hosts {
            host.state = HostState::Ready;
        }
        world.publish();
        for index in 0..hosts {
            world.update_host(index, 0);
        }
        world.advance(Span::from_secs(1));
        world
    }

    /// Returns the number of hosts that take new flows.
    #[must_use]
    pub fn ready_hosts(&self) -> usize {
        let is_ready = |host: &&Host| host.state == HostState::Ready;
        self.hosts.iter().filter(is_ready).count()
    }

    /// Records the present hosts as a new version, which balancers and agents learn later.
    pub fn publish(&mut self) {
        let version = tables::version(&self.hosts, self.key, self.now);
        self.versions.push(version);
    }

    /// Starts the agent of a host, which knows the newest hosts.
    pub fn join(&mut self, index: usize) {
        self.join_together(&[index]);
    }

    /// Starts agents as one change, as when a failure domain returns.
    pub fn join_together(&mut self, indexes: &[usize]) {
        for index in indexes {
            let next = self.hosts[*index].incarnation.0 + 1;
            self.hosts[*index] = new_host(*index, next);
            self.hosts[*index].state = HostState::Ready;
        }
        self.publish();
        for index in indexes {
            self.update_host(*index, self.versions.len() - 1);
        }
    }

    /// Stops an agent without ending it, as by SIGSTOP; the others see it vanish.
    pub fn pause(&mut self, index: usize) {
        self.hosts[index].state = HostState::Absent;
        self.publish();
    }

    /// Lets a paused agent go on with its flows.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].state = HostState::Ready;
        self.publish();
        self.update_host(index, self.versions.len() - 1);
    }

    /// Lets a host take no more flows.
    pub fn drain(&mut self, index: usize) {
        self.hosts[index].state = HostState::Draining;
        self.publish();
    }

    /// A drained host leaves only when its flows have ended.
    pub fn leave_if_idle(&mut self, index: usize) {
        let host = &self.hosts[index];
        if host.state == HostState::Draining && host.ownership.flow_count() == 0 {
            self.remove(&[index]);
        }
    }

    /// Ends agents; their flows are given up.
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

    /// Brings a balancer to a version, unless it uses a later one.
    pub fn update_balancer(&mut self, index: usize, version: usize) {
        self.balancers[index] = self.balancers[index].max(version);
    }

    /// Brings an agent to a version.
    pub fn update_host(&mut self, index: usize, version: usize) {
        let (now, host) = (self.now, &mut self.hosts[index]);
        if host.state == HostState::Absent {
            return;
        }
        let known = &self.versions[version];
        host.version = version;
        let members = Members {
            incarnation: host.incarnation,
            peers: known.members.clone(),
        };
        host.ownership.set_table(now, known.table.clone(), members);
    }

    /// Brings every balancer and agent to the newest version.
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

    /// Lets time pass: control messages, connects, and versions that are due everywhere.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver_messages();
            self.finish_connects();
            self.enforce_versions();
            for index in 0..self.hosts.len() {
                if self.hosts[index].state != HostState::Absent {
                    let due = self.hosts[index].ownership.on_tick(self.now);
                    for outgoing in due {
                        self.send_message(index, outgoing.to, &outgoing.message);
                    }
                }
            }
        }
    }

    fn enforce_versions(&mut self) {
        let due = self
            .versions
            .iter()
            .rposition(|version| version.published_at + PROPAGATION_BOUND <= self.now)
            .unwrap_or_default();
        for index in 0..self.balancers.len() {
            self.update_balancer(index, due);
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].version < due {
                self.update_host(index, due);
            }
        }
    }

    /// The control network loses, delays, reorders and repeats messages.
    fn send_message(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let is_cut = self.partitioned_hosts.contains(&from)
            || self.partitioned_hosts.contains(&host_of_address(to));
        if !self.is_handover_enabled || is_cut {
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
            let at = (self.now + delay, self.next_message);
            self.messages.insert(at, (to, message.clone()));
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
            let answer = self.hosts[index].ownership.on_message(self.now, &message);
            if let Some(outgoing) = answer {
                self.send_message(index, outgoing.to, &outgoing.message);
            }
        }
    }
}

/// Returns the identity of a host.
#[must_use]
pub fn host_id(index: usize) -> HostId {
    HostId(u32::try_from(index).unwrap_or(u32::MAX) + 1)
}

/// Returns the address of the sockets of a host.
#[must_use]
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index).unwrap_or(u16::MAX) + 1))
}

/// Returns the host with an address.
#[must_use]
pub fn host_of_address(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn new_host(index: usize, incarnation: u64) -> Host {
    let handover = HandoverOptions {
        // Small bounds reach refreshes within a sequence.
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
