//! Membership and dissemination of a balancer.

use {
    super::{
        Confirmation, OutgoingMessage, Sender, SuspicionOptions, Suspicions,
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
        control::{
            HostEntry, HostState, ItemKind, LivenessRecord, Message, Origin, Subject, wire_bytes,
        },
        object::{self, DOMAINS_PREFIX, DomainSpec, NODES_PREFIX, NodeSpec},
        store_api::{Object, ObjectList},
    },
    cardamomloom_state::hosts::HostTable,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Timing and limits of a balancer's membership and dissemination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalancerMembershipOptions {
    /// Time since the last contact with a host after which it is suspected: a heartbeat interval of
    /// 1 s plus network delay.
    pub host_timeout: Span,
    /// Time between two gossip rounds while there are recent changes.
    pub gossip_interval: Span,
    /// Number of peers that receive the gossip of a round.
    pub fanout: usize,
    /// Number of gossip rounds that carry a change; 0 leaves all changes to anti-entropy.
    pub gossip_rounds: u8,
    /// Time between two digest comparisons with a random peer; zero disables them.
    pub anti_entropy_interval: Span,
    /// Time after which a peer that has not answered a digest comparison is suspected.
    pub answer_timeout: Span,
    /// Time since the last contact with any member of a failure domain after which the domain is
    /// suspected.
    pub domain_timeout: Span,
    /// Time for which a subject is not declared lost again after a peer refuted its loss.
    pub refutation_hold_span: Span,
    /// Time between two ticks from which on the process is considered to have been paused.
    pub min_pause_span: Span,
    /// Options of the suspicion of unresponsive subjects.
    pub suspicion: SuspicionOptions,
    /// Rate limit of outgoing control messages.
    pub budget: BudgetOptions,
}

impl Default for BalancerMembershipOptions {
    fn default() -> Self {
        Self {
            host_timeout: Span::from_millis(1_150),
            gossip_interval: Span::from_millis(100),
            fanout: 2,
            gossip_rounds: 4,
            anti_entropy_interval: Span::from_secs(1),
            answer_timeout: Span::from_millis(500),
            domain_timeout: Span::from_millis(1_150),
            refutation_hold_span: Span::from_secs(10),
            min_pause_span: Span::from_millis(1_000),
            suspicion: SuspicionOptions::default(),
            budget: BudgetOptions::default(),
        }
    }
}

/// Identity and addresses of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerIdentity {
    /// Node id of the balancer.
    pub node: NodeId,
    /// Failure domain of the balancer.
    pub domain: DomainName,
    /// Address of the control socket of the balancer.
    pub control_address: SocketAddr,
    /// Incarnation of the balancer process.
    pub incarnation: Incarnation,
    /// Control sockets of other balancers from the settings.
    pub seeds: Vec<SocketAddr>,
}

/// Contact of this balancer with a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    /// Time of the last message from the peer.
    pub last_seen: Option<Time>,
    /// Time of the first digest comparison that the peer has not answered yet.
    pub unanswered_since: Option<Time>,
}

/// State machine of a balancer's membership and dissemination.
#[derive(Clone, Debug)]
pub struct BalancerMembership {
    pub(super) identity: BalancerIdentity,
    pub(super) options: BalancerMembershipOptions,
    pub(super) replica: Replica,
    pub(super) peers: BTreeMap<NodeId, Peer>,
    pub(super) regions: BTreeMap<DomainName, RegionName>,
    /// Hosts that this balancer observes, with the time of the last message from each.
    pub(super) host_last_seen: BTreeMap<HostId, Time>,
    pub(super) peer_contacts: BTreeMap<NodeId, Contact>,
    pub(super) domain_last_seen: BTreeMap<DomainName, Time>,
    pub(super) suspicions: Suspicions,
    /// Subjects whose loss a peer refuted, with the time until which they are not declared lost
    /// again.
    pub(super) refuted_until: BTreeMap<Subject, Time>,
    /// Ids of objects that were requested from peers, with the time of the request.
    pub(super) requested_objects: BTreeMap<u64, Time>,
    pub(super) confirmation: ConfirmationProgress,
    pub(super) timers: Timers,
    pub(super) random: ChaCha8Rng,
    pub(super) unreachable_changed: bool,
    budget: ControlBudget<OutgoingMessage>,
}

/// Timers of periodic work and times of events of the whole process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timers {
    pub last_tick: Option<Time>,
    pub next_gossip: Time,
    pub next_anti_entropy: Time,
    pub next_housekeeping: Time,
    pub next_confirmation: Time,
    /// Time of the last message from any other balancer.
    pub last_peer_contact: Option<Time>,
    /// Whether any peer has had equal digests since the start.
    pub has_caught_up: bool,
    /// Time since which all digest comparisons have shown differences, and the peer of the last
    /// one.
    pub differing_since: Option<(Time, SocketAddr)>,
}

impl BalancerMembership {
    /// Creates the membership of a balancer. `seed` seeds the random selection of peers.
    #[must_use]
    pub fn new(identity: BalancerIdentity, options: BalancerMembershipOptions, seed: u64) -> Self {
        let mut replica = Replica::default();
        replica.set_gossip_rounds(options.gossip_rounds);
        Self {
            identity,
            options,
            replica,
            peers: BTreeMap::new(),
            regions: BTreeMap::new(),
            host_last_seen: BTreeMap::new(),
            peer_contacts: BTreeMap::new(),
            domain_last_seen: BTreeMap::new(),
            suspicions: Suspicions::new(options.suspicion),
            refuted_until: BTreeMap::new(),
            requested_objects: BTreeMap::new(),
            confirmation: ConfirmationProgress::default(),
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

    /// Returns the known hosts with those that this process cannot reach set to draining.
    ///
    /// This balancer thus sends no new flows to them. Their entries in the replica are unchanged,
    /// so that other processes are not affected.
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

    /// Returns the hosts that this process cannot reach and that have not been declared gone.
    pub fn unreachable_hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.suspicions
            .subjects()
            .filter(|subject| self.suspicions.is_unreachable(subject))
            .filter_map(|subject| match subject {
                Subject::Host(host) => Some(*host),
                Subject::Node(_) | Subject::Domain(_) => None,
            })
    }

    /// Returns the replica of this balancer.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether the known or the reachable hosts changed since the last call, and resets
    /// this flag.
    pub const fn take_hosts_changed(&mut self) -> bool {
        let reachability_changed = std::mem::replace(&mut self.unreachable_changed, false);
        self.replica.take_hosts_changed() || reachability_changed
    }

    /// Returns the objects that changed since the last call.
    pub fn take_changed_objects(&mut self) -> Vec<Object> {
        self.replica.take_changed_objects()
    }

    /// Merges a list from the store. A list of all objects under `prefix` is complete and also
    /// implies deletions.
    pub fn on_store_list(&mut self, prefix: &str, list: &ObjectList, is_complete: bool) {
        if self.replica.merge_store_list(prefix, list, is_complete) > 0 {
            self.update_topology();
        }
    }

    /// Merges the items that a peer returned over gRPC, see [`Self::sync_peer`].
    pub fn on_sync(
        &mut self,
        now: Time,
        objects: &[Object],
        liveness_records: &[LivenessRecord],
        hosts: &[HostEntry],
    ) {
        // At least one peer has these items already, so that they need no gossip.
        self.replica.set_gossip_rounds(0);
        for object in objects {
            self.replica.merge_object(object);
        }
        for entry in hosts {
            self.replica.merge_host(now, entry.clone());
        }
        self.replica.set_gossip_rounds(self.options.gossip_rounds);
        self.merge_liveness_records(now, liveness_records);
        self.update_topology();
        self.timers.differing_since = None;
        self.timers.next_anti_entropy = now;
    }

    /// Returns the items that are missing or older at a peer which has `known`: the kind, id and
    /// rank of each of its items.
    #[must_use]
    pub fn sync_answer(
        &self,
        known: &[(ItemKind, u64, u64)],
    ) -> (Vec<Object>, Vec<LivenessRecord>, Vec<HostEntry>) {
        self.replica.items_newer_than(known)
    }

    /// Returns a balancer from which to request missing items over gRPC, when differences to peers
    /// have persisted for 3 s or this process has not caught up since its start.
    #[must_use]
    pub fn sync_peer(&self, now: Time) -> Option<SocketAddr> {
        const MAX_DIFFERING_SPAN: Span = Span::from_secs(3);
        let (since, peer) = self.timers.differing_since?;
        let is_overdue = now.since(since) >= MAX_DIFFERING_SPAN;
        (is_overdue || !self.is_caught_up()).then_some(peer)
    }

    /// Returns whether the replica has been equal to that of a peer since the start, or no peer
    /// answers. Before that, the process knows only some of the hosts and would forward packets to
    /// wrong ones.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.timers.has_caught_up || self.confirmation.state() == Confirmation::Isolated
    }

    /// Returns whether this balancer is one of the store readers of its failure domain.
    #[must_use]
    pub fn is_store_reader(&self) -> bool {
        is_store_reader(
            self.identity.node,
            &self.identity.domain,
            self.alive_peers(),
        )
    }

    /// Starts to ask peers to confirm that the versions of this balancer are current.
    /// [`Self::confirmation`] returns the result.
    pub fn confirm_versions(&mut self, now: Time) {
        let required = self.alive_peers().count().min(2);
        self.confirmation.start(now, required);
        self.timers.next_confirmation = now;
    }

    /// Returns whether peers have confirmed the versions of this balancer.
    #[must_use]
    pub const fn confirmation(&self) -> Confirmation {
        self.confirmation.state()
    }

    /// Returns the time since the last message from any other balancer; `None` before the first
    /// one.
    #[must_use]
    pub fn time_since_peer_contact(&self, now: Time) -> Option<Span> {
        self.timers
            .last_peer_contact
            .map(|last_contact| now.since(last_contact))
    }

    /// Removes and returns the queued messages that the control budget allows to send now.
    pub fn take_outgoing(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.budget.dequeue(now)
    }

    /// Returns the number of sent bytes, and of dropped messages for each priority.
    #[must_use]
    pub const fn budget_counts(&self) -> (ByteCount, [u64; 4]) {
        (self.budget.sent_bytes(), self.budget.dropped())
    }

    /// Returns whether messages are waiting for the control budget.
    ///
    /// Periodic work is then skipped. It is done with current data when the queues are shorter, and
    /// no outdated messages pile up.
    pub(super) fn is_congested(&self) -> bool {
        const MAX_QUEUED_MESSAGES: usize = 8;
        self.budget.queued() > MAX_QUEUED_MESSAGES
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        let origin = Origin {
            sender: self.identity.node.0,
            incarnation: self.identity.incarnation,
            // Only the encoded size matters here. The sequence numbers of long-running processes
            // take four bytes.
            sequence: 1 << 27,
        };
        let bytes = wire_bytes(&origin, &message);
        self.budget.enqueue(
            Priority::of(&message),
            bytes,
            OutgoingMessage { to, message },
        );
    }

    pub(super) fn send_all(&mut self, to: SocketAddr, messages: Vec<Message>) {
        for message in messages {
            self.send(to, message);
        }
    }

    /// Returns the other balancers that are not declared lost.
    pub(super) fn alive_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| self.is_alive(peer))
    }

    pub(super) fn is_alive(&self, peer: &Peer) -> bool {
        !self.replica.is_down(&Subject::Node(peer.node))
            && !self.replica.is_down(&Subject::Domain(peer.domain.clone()))
    }

    /// Returns the observers of a host, which may include this balancer. `domain` is the failure
    /// domain of the host, if it is known.
    pub(super) fn observers_of(&self, host: HostId, domain: Option<&DomainName>) -> Vec<Peer> {
        let this_balancer = Peer {
            node: self.identity.node,
            domain: self.identity.domain.clone(),
            region: self.regions.get(&self.identity.domain).cloned(),
            control_address: self.identity.control_address,
        };
        let region = domain.and_then(|domain| self.regions.get(domain));
        let candidates = self.alive_peers().chain(std::iter::once(&this_balancer));
        observers(host, region, candidates)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Updates peers and regions from the registrations and failure domains in the replica.
    pub(super) fn update_topology(&mut self) {
        self.regions = self
            .replica
            .objects()
            .with_prefix(DOMAINS_PREFIX)
            .filter_map(decode::<DomainSpec>)
            .map(|spec| (spec.name, spec.region))
            .collect();
        let own_node = self.identity.node;
        let peers = self
            .replica
            .objects()
            .with_prefix(NODES_PREFIX)
            .filter_map(decode::<NodeSpec>)
            .filter(|spec| spec.node != own_node)
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
        self.peer_contacts
            .retain(|node, _| self.peers.contains_key(node));
    }

    /// Processes a control message. Replies are queued, see [`Self::take_outgoing`].
    pub fn on_message(&mut self, now: Time, from: SocketAddr, sender: Sender, message: Message) {
        match sender {
            Sender::Node(node) => self.on_node_contact(now, node),
            Sender::Host(host) => self.on_host_contact(now, host, &message),
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
                // Entries from a repair are known to other processes already and need no gossip.
                self.replica.set_gossip_rounds(0);
                self.merge_hosts(now, &entries);
                self.replica.set_gossip_rounds(self.options.gossip_rounds);
            }
            message => self.on_repair(now, from, message),
        }
        self.notify_agents();
    }
}

/// Decodes the value of an object. Returns `None` for invalid values, which the catalogue reports.
fn decode<T: serde::de::DeserializeOwned + object::Validate>(object: &Object) -> Option<T> {
    let value = object.value.as_ref()?;
    object::decode(&object.key, value).ok()
}
