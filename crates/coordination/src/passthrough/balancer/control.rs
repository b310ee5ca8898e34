//! Control messages of a balancer, and the choice of the balancers that read the store.

use {
    super::{
        Balancer,
        host_list::{HostChanges, MAX_ADVERTISEMENTS, host_list_parts},
    },
    crate::passthrough::{
        OutgoingMessage, ReaderCensus, StoreAccess, as_millis_u16, paced_interval,
    },
    cardamomloom_core::{DomainName, Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentHeartbeat, Announcement, BalancerHeartbeat, CatalogueDocument, CatalogueVersion,
        DomainStatus, HostAdvertisement, HostListDigest, PeerMessage, StoreEra, StorePosition,
    },
    log::info,
    std::net::Ipv4Addr,
};

/// Maximum number of balancers in a heartbeat, so that it fits a datagram. The list starts at
/// another balancer each time, so that a receiver learns all of them.
const MAX_BALANCERS: usize = 48;

/// One of this number of heartbeats lists the known balancers; the others only show that the sender
/// is running.
const HEARTBEATS_PER_LIST: usize = 32;

/// Time after a change of the known balancers in which every heartbeat lists them.
const RECENT_CHANGE_SPAN: Span = Span::from_secs(2);

/// Time without an answer from the store after which a reader leaves the reading to other
/// balancers.
const READER_TIMEOUT: Span = Span::from_millis(2_500);

/// State of a balancer as shown to operators.
#[derive(Clone, Debug)]
pub struct BalancerSummary {
    /// Version of the catalogue in force, or zero when there is none.
    pub catalogue_version: CatalogueVersion,
    /// Position of the store at which the status of the failure domains was read, or zero when it is
    /// unknown.
    pub domains_position: StorePosition,
    /// Failure domains that are out of service.
    pub domains_out: Vec<DomainName>,
    /// Whether the store, or a balancer that reads it, confirmed the catalogue within
    /// [`max_catalogue_age`](super::BalancerOptions::max_catalogue_age).
    pub is_confirmed: bool,
    /// Whether this balancer reads the store itself and the store answers.
    pub is_reader: bool,
    /// Other balancers that are live.
    pub balancers: Vec<Ipv4Addr>,
    /// Known hosts.
    pub hosts: Vec<HostSummary>,
}

/// State of a host as shown to operators.
#[derive(Clone, Debug)]
pub struct HostSummary {
    /// Latest announcement of its agent.
    pub announcement: Announcement,
    /// Whether this balancer places new flows on the host.
    pub accepts_new: bool,
}

#[derive(Debug, Default)]
pub(super) struct ControlState {
    pub next_heartbeat: Time,
    pub host_changes: HostChanges,
    /// Counts heartbeat rounds and snapshot requests. It selects the position at which the list of
    /// balancers starts, and the source of a snapshot.
    pub round: usize,
    /// Time at which the store last answered this process.
    last_store_read: Option<Time>,
    is_stopping: bool,
}

impl Balancer {
    /// Processes expired timers: when the heartbeat interval has elapsed, removes expired peers and
    /// hosts and returns the heartbeats to send.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.hosts.on_tick(now);
        self.lost_flows.expire(now);
        self.log_host_changes(now);
        self.catalogue.log_behind(now);
        let mut outgoing = self.sample_fleet_age(now);
        if now < self.control.next_heartbeat {
            return outgoing;
        }
        self.control.next_heartbeat = self.peers.next_heartbeat_at(
            now,
            self.heartbeat_interval(),
            self.options.discovery_interval,
        );
        self.peers.expire(now);
        self.control.round += 1;
        self.expire_loads(now);
        for agent in self.hosts.expire(now) {
            self.loads.forget(agent);
            self.placer.forget(agent);
            if !self.control.host_changes.record() {
                continue;
            }
            info!(event = "host_forgotten", agent:%; "host removed: no message from its agent within the timeout");
        }
        outgoing.extend(self.heartbeats_to_balancers(now));
        outgoing
    }

    /// Processes a control message and returns the messages to send.
    pub fn on_message(&mut self, now: Time, message: PeerMessage) -> Vec<OutgoingMessage> {
        match message {
            PeerMessage::Announcement(announcement) => self.on_announcement(now, announcement),
            PeerMessage::Heartbeat(heartbeat) => self.on_agent_heartbeat(now, &heartbeat),
            PeerMessage::BalancerHeartbeat(heartbeat) => {
                self.on_balancer_heartbeat(now, &heartbeat)
            }
            PeerMessage::Owner(owner) => {
                self.on_owner(now, owner.flow, owner.agent);
                Vec::new()
            }
            PeerMessage::LoadHeartbeat(heartbeat) => self.on_load_heartbeat(now, &heartbeat),
            PeerMessage::ServiceAbsence(absence) => {
                self.on_service_absence(now, &absence);
                Vec::new()
            }
            PeerMessage::Absence(_)
            | PeerMessage::Departure(_)
            | PeerMessage::HostListPart(_)
            | PeerMessage::PeerLoads(_) => Vec::new(),
            PeerMessage::AgentListRequest(request) => self.on_list_request(now, request),
            PeerMessage::AgentList(list) => {
                self.on_agent_list(now, &list);
                Vec::new()
            }
        }
    }

    /// Applies a catalogue from the store or a peer. Returns the messages that announce it if it is
    /// newer.
    pub fn on_catalogue(&mut self, now: Time, document: CatalogueDocument) -> Vec<OutgoingMessage> {
        if self.catalogue.apply_document(now, document) {
            let idle_timeout = self.catalogue.idle_timeout();
            let idle_ttl = idle_timeout.max(self.options.min_placement_cache_ttl);
            self.placements.set_idle_ttl(idle_ttl);
            self.announce_change(now)
        } else {
            Vec::new()
        }
    }

    /// Applies the status of the failure domains. Returns the messages that announce it if the set
    /// of domains that are out of service changed.
    pub fn on_domain_status(&mut self, now: Time, status: DomainStatus) -> Vec<OutgoingMessage> {
        if self.catalogue.apply_domain_status(now, status) {
            self.announce_change(now)
        } else {
            Vec::new()
        }
    }

    /// Records that the store answered this balancer at `confirmed_at` and thereby confirmed the
    /// catalogue and the status of the failure domains.
    pub fn on_store_confirmed(&mut self, confirmed_at: Time) {
        if !self.is_reader(confirmed_at) {
            // Announces the new reader at once, so that no other balancer starts to read.
            self.control.next_heartbeat = Time::ZERO;
        }
        self.control.last_store_read = self.control.last_store_read.max(Some(confirmed_at));
        self.catalogue.confirm(confirmed_at);
    }

    /// Returns the time since the store last confirmed the catalogue, or `None` if it never has.
    #[must_use]
    pub fn confirmed_ago(&self, now: Time) -> Option<Span> {
        self.catalogue.confirmed_ago(now)
    }

    /// Returns the era of the store, if it is known.
    #[must_use]
    pub fn store_era(&self) -> Option<StoreEra> {
        self.catalogue.domain_status()?.era
    }

    /// Chooses how this balancer reads the store: the balancers with the lowest addresses follow it
    /// for all, and one without a catalogue reads it once.
    pub fn store_access(&mut self, now: Time) -> StoreAccess {
        let census = ReaderCensus {
            balancers: self.peers.len() + 1,
            preceding_balancers: self.peers.preceding(self.own_address),
            preceding_readers: self.peers.preceding_readers(now, self.own_address),
            is_initialized: self.catalogue.is_initialized(),
        };
        let access = self.reader_election.decide(now, census);
        let behind_for = self.catalogue.behind_for(now);
        let options = self.options.store_access;
        options.catch_up(access, self.own_address, census.balancers, behind_for)
    }

    /// Returns whether the routers may send packets to this balancer.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let has_waited = now.since(self.started) >= self.options.ready_without_hosts_after;
        let may_serve =
            self.can_place_flows(now) || (self.catalogue.is_initialized() && has_waited);
        may_serve && !self.control.is_stopping && !self.catalogue.is_outdated(now)
    }

    /// Starts to stop: the balancer is no longer ready. Returns the heartbeats that announce it.
    pub fn stop(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.control.is_stopping = true;
        self.control.next_heartbeat = Time::ZERO;
        self.on_tick(now)
    }

    /// Returns the state that is shown to operators.
    #[must_use]
    pub fn summary(&self, now: Time) -> BalancerSummary {
        let domain_status = self.catalogue.domain_status();
        let is_confirmed = self
            .catalogue
            .confirmed_ago(now)
            .is_some_and(|ago| ago <= self.options.max_catalogue_age);
        BalancerSummary {
            catalogue_version: self.catalogue.version(),
            domains_position: domain_status
                .map(DomainStatus::position)
                .unwrap_or_default(),
            domains_out: self.catalogue.domains_out(now).cloned().collect(),
            is_confirmed,
            is_reader: self.is_reader(now),
            balancers: self.peers.live(now).collect(),
            hosts: self
                .hosts
                .iter()
                .map(|record| HostSummary {
                    announcement: record.announcement.clone(),
                    accepts_new: self.is_usable(now, record),
                })
                .collect(),
        }
    }

    /// Returns the number of known hosts and balancers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.hosts.len(), self.peers.len())
    }

    /// Stores the announcement of an agent, and answers it if the agent asks for hosts or has an
    /// older catalogue.
    fn on_announcement(&mut self, now: Time, announcement: Announcement) -> Vec<OutgoingMessage> {
        let answer = self.answer(now, &announcement, announcement.asks_hosts);
        let interval = Span::from_millis(u64::from(announcement.interval_ms));
        self.catalogue
            .observe_version(now, announcement.agent, announcement.catalogue, interval);
        let (agent, run, state) = (announcement.agent, announcement.run, announcement.state);
        let is_changed = self.hosts.on_announcement(now, announcement);
        if is_changed {
            self.loads.forget(agent);
        }
        if is_changed && self.control.host_changes.record() {
            info!(event = "host_changed", agent:%, life:% = run, standing:? = state; "host is new, or announced a new run, state or service");
        }
        answer
    }

    /// Processes the heartbeat of an agent. An agent whose state is not known is asked for an
    /// announcement.
    pub(super) fn on_agent_heartbeat(
        &mut self,
        now: Time,
        agent_heartbeat: &AgentHeartbeat,
    ) -> Vec<OutgoingMessage> {
        if !self.hosts.on_heartbeat(now, agent_heartbeat) {
            let mut request = self.short_heartbeat(now);
            request.wants_answer = true;
            return vec![OutgoingMessage {
                to: agent_heartbeat.agent,
                message: PeerMessage::BalancerHeartbeat(request),
            }];
        }
        let record = self.hosts.get(agent_heartbeat.agent);
        record.map_or_else(Vec::new, |record| {
            self.answer(now, &record.announcement, agent_heartbeat.asks_hosts)
        })
    }

    /// Answers an agent that asks for hosts or has an older catalogue. The host list is left out
    /// when the agent has the same one, and the balancer list then too, except in the rounds in
    /// which heartbeats list the balancers.
    fn answer(
        &self,
        now: Time,
        agent: &Announcement,
        asks_hosts: Option<HostListDigest>,
    ) -> Vec<OutgoingMessage> {
        let is_lagging = agent.catalogue < self.catalogue.version();
        if asks_hosts.is_none() && !is_lagging {
            return Vec::new();
        }
        let mut messages = Vec::new();
        let mut heartbeat = self.short_heartbeat(now);
        if let Some(digest) = asks_hosts {
            let hosts = self.host_advertisements(now, agent);
            let list = HostListDigest::of(&hosts);
            let is_new = list != digest && !hosts.is_empty();
            if is_new || self.lists_balancers(now) {
                heartbeat.balancers = self.listed_balancers();
            }
            if is_new && hosts.len() <= MAX_ADVERTISEMENTS {
                heartbeat.hosts = hosts;
            } else if is_new {
                messages = host_list_parts(list, &hosts);
            }
        }
        messages.insert(0, PeerMessage::BalancerHeartbeat(heartbeat));
        let to = agent.agent;
        let outgoing = messages.into_iter();
        outgoing
            .map(|message| OutgoingMessage { to, message })
            .collect()
    }

    /// Processes the heartbeat of another balancer. New balancers are sent the list of the known
    /// ones and asked for an answer.
    fn on_balancer_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &BalancerHeartbeat,
    ) -> Vec<OutgoingMessage> {
        let added = self.peers.on_heartbeat(now, heartbeat);
        let mut outgoing = match &heartbeat.domain_status {
            Some(status) => self.on_domain_status(now, status.clone()),
            None => Vec::new(),
        };
        self.catalogue.compare_with_balancer(now, heartbeat);
        if !added.is_empty() {
            let mut introduction = self.short_heartbeat(now);
            introduction.balancers = self.listed_balancers();
            introduction.wants_answer = true;
            let message = PeerMessage::BalancerHeartbeat(introduction);
            outgoing.extend(OutgoingMessage::to_each(added, &message));
            // Agents get a heartbeat too, to announce themselves to the new balancers at once.
            outgoing.extend(self.heartbeats_to_agents(now));
        }
        if heartbeat.wants_answer {
            let mut answer = self.short_heartbeat(now);
            answer.balancers = self.listed_balancers();
            outgoing.push(OutgoingMessage {
                to: heartbeat.balancer,
                message: PeerMessage::BalancerHeartbeat(answer),
            });
        }
        outgoing
    }

    /// Announces a change to other balancers, and to agents too when this balancer reads the store.
    fn announce_change(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let mut outgoing = self.heartbeats_to_balancers(now);
        if self.is_reader(now) {
            outgoing.extend(self.heartbeats_to_agents(now));
        }
        outgoing
    }

    /// Returns this balancer's heartbeats to other balancers. A store reader sends them to all
    /// balancers, and any other balancer only to the live readers, if there are any, so that the
    /// number of messages grows linearly with the number of balancers and not quadratically.
    fn heartbeats_to_balancers(&self, now: Time) -> Vec<OutgoingMessage> {
        let readers: Vec<Ipv4Addr> = self.peers.live_readers(now).collect();
        let receivers = if self.is_reader(now) || readers.is_empty() {
            self.peers.addresses().collect()
        } else {
            readers
        };
        let mut heartbeat = self.short_heartbeat(now);
        if self.lists_balancers(now) {
            heartbeat.balancers = self.listed_balancers();
        }
        let message = PeerMessage::BalancerHeartbeat(heartbeat);
        OutgoingMessage::to_each(receivers, &message).collect()
    }

    /// Returns a heartbeat without lists to each known agent.
    fn heartbeats_to_agents(&self, now: Time) -> Vec<OutgoingMessage> {
        let message = PeerMessage::BalancerHeartbeat(self.short_heartbeat(now));
        let agents = self.hosts.iter().map(|record| record.announcement.agent);
        OutgoingMessage::to_each(agents, &message).collect()
    }

    fn heartbeat_interval(&self) -> Span {
        let options = &self.options;
        paced_interval(
            options.heartbeat_interval,
            self.peers.len(),
            options.max_heartbeats_per_s,
        )
    }

    /// Returns whether the store has answered this balancer within [`READER_TIMEOUT`].
    pub(super) fn is_reader(&self, now: Time) -> bool {
        self.control
            .last_store_read
            .is_some_and(|last_read| now.since(last_read) <= READER_TIMEOUT)
    }

    /// Returns a heartbeat without lists of balancers and hosts.
    fn short_heartbeat(&self, now: Time) -> BalancerHeartbeat {
        BalancerHeartbeat {
            balancer: self.own_address,
            is_stopping: self.control.is_stopping,
            is_informed: self.catalogue.is_initialized(),
            is_reader: self.is_reader(now),
            interval_ms: as_millis_u16(self.heartbeat_interval()),
            wants_answer: false,
            catalogue: self.catalogue.version(),
            domain_status: self.catalogue.domain_status().cloned(),
            confirmed_ago_ms: self.confirmed_ago_ms(now),
            balancers: Vec::new(),
            hosts: Vec::new(),
        }
    }

    /// Returns whether heartbeats of this round list the known balancers.
    fn lists_balancers(&self, now: Time) -> bool {
        self.control.round.is_multiple_of(HEARTBEATS_PER_LIST)
            || now.since(self.peers.last_change()) <= RECENT_CHANGE_SPAN
    }

    /// Returns at most [`MAX_BALANCERS`] balancers that have sent a heartbeat, starting at a
    /// position that changes with each round.
    fn listed_balancers(&self) -> Vec<Ipv4Addr> {
        let contacted: Vec<Ipv4Addr> = self.peers.contacted().collect();
        let first = self.control.round % contacted.len().max(1);
        let count = contacted.len().min(MAX_BALANCERS);
        contacted
            .iter()
            .cycle()
            .skip(first)
            .take(count)
            .copied()
            .collect()
    }

    fn host_advertisements(&self, now: Time, agent: &Announcement) -> Vec<HostAdvertisement> {
        let is_usable = |record: &_| self.is_usable(now, record);
        self.hosts.advertisements(agent, is_usable)
    }

    pub(super) fn confirmed_ago_ms(&self, now: Time) -> Option<u32> {
        self.catalogue
            .confirmed_ago(now)
            .map(|ago| u32::try_from(ago.as_millis()).unwrap_or(u32::MAX))
    }
}
