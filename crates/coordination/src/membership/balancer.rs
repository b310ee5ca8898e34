//! Membership and dissemination as a balancer takes part in them.

use {
    super::{
        Confirmation, Outgoing, Sender, SuspicionOptions, Suspicions,
        confirmation::ConfirmationProgress,
    },
    crate::dissemination::{
        budget::{BudgetOptions, ControlBudget, Priority},
        rendezvous::{Peer, is_store_reader, observers},
        replica::Replica,
    },
    cardamomloom_core::{
        ByteCount, DomainName, HostId, Incarnation, NodeId, RegionName, Span, Time,
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState, Kind, Mark, Message, Origin, Subject, wire_bytes},
        object::{self, DOMAINS_PREFIX, DomainSpec, NODES_PREFIX, NodeSpec},
        store_api::{Object, ObjectList},
    },
    cardamomloom_state::hosts::HostTable,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Times and limits of a balancer's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalancerMembershipOptions {
    /// Silence of a host after which it is suspected: a heartbeat interval of 1 s plus delay.
    pub silence_span: Span,
    /// Time between two rounds of gossip while there are changes.
    pub round_interval: Span,
    /// Peers that a round of gossip goes to.
    pub fanout: usize,
    /// Rounds in which a change is passed on; 0 leaves everything to anti-entropy.
    pub rounds: u8,
    /// Time between two comparisons of digests with a peer; zero compares never.
    pub exchange_interval: Span,
    /// Time in which a peer answers a comparison before it is suspected.
    pub answer_span: Span,
    /// Silence of a whole failure domain after which it is suspected.
    pub domain_silence_span: Span,
    /// Time for which a claim that was refuted is not repeated.
    pub refuted_span: Span,
    /// Time jump of the own clock that counts as a pause of the process.
    pub pause_span: Span,
    /// Suspicion.
    pub suspicion: SuspicionOptions,
    /// Byte budget.
    pub budget: BudgetOptions,
}

impl Default for BalancerMembershipOptions {
    fn default() -> Self {
        Self {
            silence_span: Span::from_millis(1_150),
            round_interval: Span::from_millis(100),
            fanout: 2,
            rounds: 4,
            exchange_interval: Span::from_secs(1),
            answer_span: Span::from_millis(500),
            domain_silence_span: Span::from_millis(1_150),
            refuted_span: Span::from_secs(10),
            pause_span: Span::from_millis(1_000),
            suspicion: SuspicionOptions::default(),
            budget: BudgetOptions::default(),
        }
    }
}

/// Who a balancer is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerIdentity {
    /// Identity of the balancer.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its control socket.
    pub control_address: SocketAddr,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Control sockets of other balancers from the settings.
    pub seeds: Vec<SocketAddr>,
}

/// When a peer was heard and asked.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    pub heard: Option<Time>,
    pub asked: Option<Time>,
}

/// State machine of a balancer's membership and dissemination.
#[derive(Clone, Debug)]
pub struct BalancerMembership {
    pub(super) identity: BalancerIdentity,
    pub(super) options: BalancerMembershipOptions,
    pub(super) replica: Replica,
    pub(super) peers: BTreeMap<NodeId, Peer>,
    pub(super) regions: BTreeMap<DomainName, RegionName>,
    /// Hosts that announce themselves here, with the last sign of life.
    pub(super) heard: BTreeMap<HostId, Time>,
    pub(super) contacts: BTreeMap<NodeId, Contact>,
    pub(super) domain_heard: BTreeMap<DomainName, Time>,
    pub(super) suspicions: Suspicions,
    /// Subjects whose loss was refuted, with the time until which the claim is not repeated.
    pub(super) refuted: BTreeMap<Subject, Time>,
    /// Objects asked for, with the time of the request.
    pub(super) wanted: BTreeMap<u64, Time>,
    pub(super) confirming: ConfirmationProgress,
    pub(super) timers: Timers,
    pub(super) random: ChaCha8Rng,
    pub(super) unreachable_changed: bool,
    budget: ControlBudget<Outgoing>,
}

/// When periodic work is due.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timers {
    pub tick: Option<Time>,
    pub round: Time,
    pub exchange: Time,
    pub housekeeping: Time,
    pub confirm: Time,
    /// Last word of any other balancer.
    pub peer_heard: Option<Time>,
    /// Whether a peer had equal digests since the start.
    pub caught_up: bool,
    /// First comparison since which every one differed, and the peer of the last one.
    pub differs: Option<(Time, SocketAddr)>,
}

impl BalancerMembership {
    /// Creates the membership of a balancer; `seed` makes its random choices.
    #[must_use]
    pub fn new(identity: BalancerIdentity, options: BalancerMembershipOptions, seed: u64) -> Self {
        let mut replica = Replica::default();
        replica.set_transmissions(options.rounds);
        Self {
            identity,
            options,
            replica,
            peers: BTreeMap::new(),
            regions: BTreeMap::new(),
            heard: BTreeMap::new(),
            contacts: BTreeMap::new(),
            domain_heard: BTreeMap::new(),
            suspicions: Suspicions::new(options.suspicion),
            refuted: BTreeMap::new(),
            wanted: BTreeMap::new(),
            confirming: ConfirmationProgress::default(),
            timers: Timers::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            unreachable_changed: false,
            budget: ControlBudget::new(options.budget),
        }
    }

    /// Returns the known hosts.
    #[must_use]
    pub const fn hosts(&self) -> &HostTable {
        self.replica.hosts()
    }

    /// Returns the known hosts as this process can reach them: one that it cannot reach takes no
    /// new flows from here and keeps its rank, which changes nothing at other processes.
    #[must_use]
    pub fn reachable_hosts(&self) -> HostTable {
        let mut hosts = self.replica.hosts().clone();
        for host in self.unreachable_hosts() {
            if hosts
                .get(host)
                .is_some_and(|entry| entry.state == HostState::Ready)
            {
                hosts.override_state(host, HostState::Draining);
            }
        }
        hosts
    }

    /// Returns the hosts that this process cannot reach and that nobody declared gone.
    pub fn unreachable_hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.suspicions
            .subjects()
            .filter(|subject| self.suspicions.is_unreachable(subject))
            .filter_map(|subject| match subject {
                Subject::Host(host) => Some(*host),
                Subject::Node(_) | Subject::Domain(_) => None,
            })
    }

    /// Returns what the process knows.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Tells whether the known or reachable hosts changed since the last call.
    pub const fn take_hosts_changed(&mut self) -> bool {
        let unreachable = std::mem::replace(&mut self.unreachable_changed, false);
        self.replica.take_hosts_changed() || unreachable
    }

    /// Returns the objects that changed since the last call.
    pub fn take_changed_objects(&mut self) -> Vec<Object> {
        self.replica.take_changed_objects()
    }

    /// Takes up an answer of the store; `is_complete` for a list of all objects under `prefix`.
    pub fn on_store_list(&mut self, prefix: &str, list: &ObjectList, is_complete: bool) {
        if self.replica.merge_list(prefix, list, is_complete) > 0 {
            self.update_topology();
        }
    }

    /// Takes up objects, marks and host entries that a peer answered to a request over gRPC.
    pub fn on_sync(&mut self, now: Time, objects: &[Object], marks: &[Mark], hosts: &[HostEntry]) {
        // What a peer knew already is no news to pass on.
        self.replica.set_transmissions(0);
        for object in objects {
            self.replica.merge_object(object);
        }
        for entry in hosts {
            self.replica.merge_host(now, entry.clone());
        }
        self.replica.set_transmissions(self.options.rounds);
        self.merge_marks(now, marks);
        self.update_topology();
        self.timers.differs = None;
        self.timers.exchange = now;
    }

    /// Returns everything that a peer lacks that knows some items; without any, everything.
    #[must_use]
    pub fn sync_answer(
        &self,
        known: &[(Kind, u64, u64)],
    ) -> (Vec<Object>, Vec<Mark>, Vec<HostEntry>) {
        self.replica.newer_than(known)
    }

    /// Returns a balancer to catch up with over gRPC, when comparing digests has not removed the
    /// differences for some time.
    #[must_use]
    pub fn sync_peer(&self, now: Time) -> Option<SocketAddr> {
        const PATIENCE: Span = Span::from_secs(3);
        let (since, peer) = self.timers.differs?;
        let is_late = now.since(since) >= PATIENCE;
        (is_late || !self.is_caught_up()).then_some(peer)
    }

    /// Tells whether the process knows as much as a peer did since the start, or has no peer that
    /// answers. Before, it knows a part of the hosts and would send packets to wrong ones.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.timers.caught_up || self.confirming.state() == Confirmation::Isolated
    }

    /// Tells whether this balancer is one of the readers of its failure domain.
    #[must_use]
    pub fn is_store_reader(&self) -> bool {
        is_store_reader(
            self.identity.node,
            &self.identity.domain,
            self.alive_peers(),
        )
    }

    /// Asks peers to confirm the own versions; the outcome is [`Self::confirmation`].
    pub fn confirm_versions(&mut self, now: Time) {
        let needed = self.alive_peers().count().min(2);
        self.confirming.start(now, needed);
        self.timers.confirm = now;
    }

    /// Tells whether the own versions are confirmed.
    #[must_use]
    pub const fn confirmation(&self) -> Confirmation {
        self.confirming.state()
    }

    /// Returns the time since another balancer was heard; `None` before the first one.
    #[must_use]
    pub fn silence(&self, now: Time) -> Option<Span> {
        self.timers.peer_heard.map(|heard| now.since(heard))
    }

    /// Returns the messages that the budget lets pass now.
    pub fn take_outgoing(&mut self, now: Time) -> Vec<Outgoing> {
        self.budget.dequeue(now)
    }

    /// Returns the budget's counts: bytes sent and messages dropped by priority.
    #[must_use]
    pub const fn budget_counts(&self) -> (ByteCount, [u64; 4]) {
        (self.budget.sent_bytes(), self.budget.dropped())
    }

    /// Tells whether messages wait for the budget. Work that is repeated anyway is then put off, so
    /// that it is done with present knowledge when there is room, and nothing stale queues up.
    pub(super) fn is_congested(&self) -> bool {
        const ACCEPTED: usize = 8;
        self.budget.queued() > ACCEPTED
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        let origin = Origin {
            sender: self.identity.node.0,
            incarnation: self.identity.incarnation,
            // Long-lived senders have sequence numbers of four bytes.
            sequence: 1 << 27,
        };
        let bytes = wire_bytes(&origin, &message);
        self.budget
            .enqueue(Priority::of(&message), bytes, Outgoing { to, message });
    }

    pub(super) fn send_all(&mut self, to: SocketAddr, messages: Vec<Message>) {
        for message in messages {
            self.send(to, message);
        }
    }

    /// Returns the balancers that are not known to be lost, without this one.
    pub(super) fn alive_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| self.is_alive(peer))
    }

    pub(super) fn is_alive(&self, peer: &Peer) -> bool {
        !self.replica.is_down(&Subject::Node(peer.node))
            && !self.replica.is_down(&Subject::Domain(peer.domain.clone()))
    }

    /// Returns the witnesses of a host, this balancer included.
    pub(super) fn witnesses_of(&self, host: HostId, domain: Option<&DomainName>) -> Vec<Peer> {
        let own = Peer {
            node: self.identity.node,
            domain: self.identity.domain.clone(),
            region: self.regions.get(&self.identity.domain).cloned(),
            control_address: self.identity.control_address,
        };
        let region = domain.and_then(|domain| self.regions.get(domain));
        let candidates = self.alive_peers().chain(std::iter::once(&own));
        observers(host, region, candidates)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Reads balancers and regions from the objects.
    pub(super) fn update_topology(&mut self) {
        self.regions = self
            .replica
            .objects()
            .with_prefix(DOMAINS_PREFIX)
            .filter_map(decode::<DomainSpec>)
            .map(|spec| (spec.name, spec.region))
            .collect();
        let own = self.identity.node;
        let peers = self
            .replica
            .objects()
            .with_prefix(NODES_PREFIX)
            .filter_map(decode::<NodeSpec>)
            .filter(|spec| spec.node != own)
            .map(|spec| {
                let peer = Peer {
                    node: spec.node,
                    region: self.regions.get(&spec.domain).cloned(),
                    domain: spec.domain,
                    control_address: spec.control_address,
                };
                (peer.node, peer)
            });
        self.peers = peers.collect();
        self.contacts
            .retain(|node, _| self.peers.contains_key(node));
    }

    /// Processes a control message.
    pub fn on_message(&mut self, now: Time, from: SocketAddr, sender: Sender, message: Message) {
        match sender {
            Sender::Node(node) => self.on_node_heard(now, node),
            Sender::Host(host) => self.on_host_heard(now, host, &message),
        }
        match message {
            Message::Announce { entry, .. } => self.on_announce(now, from, entry),
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            Message::ConfigRequest { service, domain } => {
                self.on_config_request(from, sender, &service, &domain);
            }
            Message::Gossip(gossip) => self.on_gossip(now, from, &gossip),
            Message::Probe => self.send(from, Message::ProbeAnswer),
            Message::Suspect { subject, claim } => {
                self.on_suspect(now, from, sender, &subject, claim);
            }
            Message::Hosts { entries, .. } => {
                // What repair brings is known elsewhere already and is no news to pass on.
                self.replica.set_transmissions(0);
                self.merge_hosts(now, &entries);
                self.replica.set_transmissions(self.options.rounds);
            }
            message => self.on_repair(now, from, message),
        }
        self.notify_agents();
    }
}

/// Decodes an object's value; invalid ones are reported by the catalogue, not here.
fn decode<T: serde::de::DeserializeOwned + object::Checked>(object: &Object) -> Option<T> {
    let value = object.value.as_ref()?;
    object::decode(&object.key, value).ok()
}
