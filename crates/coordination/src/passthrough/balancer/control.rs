//! Control messages of a balancer, and who reads the store.

use {
    super::Balancer,
    crate::passthrough::{OutgoingMessage, as_millis_u16, paced_interval},
    cardamomloom_core::{DomainName, Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentHeartbeat, Announcement, BalancerHeartbeat, CatalogueDocument, CatalogueVersion,
        DomainStatus, HostAdvertisement, HostListDigest, PeerMessage, Registration, Snapshot,
        StoreRevision,
    },
    log::info,
    std::net::Ipv4Addr,
};

/// Most hosts in one view, so that it fits a datagram.
const MAX_BRIEFS: usize = 64;

/// Most balancers in one view, so that it fits a datagram. The list starts at another balancer
/// each time, so that a receiver learns all of them.
const MAX_BALANCERS: usize = 48;

/// Signs of life for each one that names the known balancers. Most of them say only that the sender
/// lives.
const VIEWS_PER_LIST: usize = 32;

/// Time after a change of the known balancers in which every sign of life names them.
const NEWS_SPAN: Span = Span::from_secs(2);

/// What a balancer shows to operators.
#[derive(Clone, Debug)]
pub struct BalancerSummary {
    /// Version of the catalogue in force.
    pub catalogue_version: CatalogueVersion,
    /// Revision at which the failure domains that are out were read.
    pub domains_revision: StoreRevision,
    /// Failure domains that are out.
    pub domains_out: Vec<DomainName>,
    /// Whether the store, or a balancer that reads it, confirmed the above lately.
    pub is_confirmed: bool,
    /// Whether it reads the store itself.
    pub is_reader: bool,
    /// Other balancers that were heard lately.
    pub balancers: Vec<Ipv4Addr>,
    /// Known hosts.
    pub hosts: Vec<HostSummary>,
}

/// A host as operators are shown it.
#[derive(Clone, Debug)]
pub struct HostSummary {
    /// What its agent announced.
    pub announcement: Announcement,
    /// Whether this balancer gives it new flows.
    pub accepts_new: bool,
}

#[derive(Debug, Default)]
pub(super) struct ControlState {
    next_view: Time,
    turn: usize,
    /// Time at which the store last answered this process.
    read: Option<Time>,
    is_stopping: bool,
    /// A balancer that has a newer catalogue.
    ahead: Option<Ipv4Addr>,
}

/// Time without an answer of the store after which a reader leaves the reading to others.
const READER_SILENCE: Span = Span::from_millis(2_500);

impl Balancer {
    /// Does what is due and returns the messages to send.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.hosts.on_step(now);
        if now < self.control.next_view {
            return Vec::new();
        }
        self.control.next_view =
            self.peers
                .next_sign(now, self.view_interval(), self.options.search_interval);
        self.peers.expire(now);
        self.control.turn += 1;
        for agent in self.hosts.expire(now) {
            info!(event = "host_forgotten", agent:%; "host was silent for long");
        }
        self.views_for_balancers(now)
    }

    /// Processes a control message and returns the answers.
    pub fn on_message(&mut self, now: Time, message: PeerMessage) -> Vec<OutgoingMessage> {
        match message {
            PeerMessage::Announcement(announcement) => self.on_announcement(now, announcement),
            PeerMessage::Heartbeat(beat) => self.on_beat(now, &beat),
            PeerMessage::BalancerHeartbeat(view) => self.on_view(now, &view),
            PeerMessage::Owner(owner) => {
                self.on_owner(now, owner.flow, owner.agent);
                Vec::new()
            }
        }
    }

    /// Takes over a catalogue of the store or of a peer, and returns what to tell others.
    pub fn on_catalogue(&mut self, now: Time, document: CatalogueDocument) -> Vec<OutgoingMessage> {
        if self.catalogue.apply_document(document) {
            self.tell_all(now)
        } else {
            Vec::new()
        }
    }

    /// Takes over which failure domains are out, and returns what to tell others.
    pub fn on_domain_status(&mut self, now: Time, standing: DomainStatus) -> Vec<OutgoingMessage> {
        if self.catalogue.apply_standing(standing) {
            self.tell_all(now)
        } else {
            Vec::new()
        }
    }

    /// Notes that the store confirmed catalogue and failure domains at a time.
    pub fn on_store_confirmed(&mut self, asked: Time) {
        self.control.read = self.control.read.max(Some(asked));
        self.catalogue.confirm(asked);
    }

    /// Takes over what a peer knows.
    pub fn on_snapshot(&mut self, now: Time, snapshot: Snapshot) -> Vec<OutgoingMessage> {
        self.control.ahead = None;
        let mut outgoing = Vec::new();
        if let Some(document) = snapshot.catalogue {
            outgoing.extend(self.on_catalogue(now, document));
        }
        if let Some(standing) = snapshot.domain_status {
            outgoing.extend(self.on_domain_status(now, standing));
        }
        self.peers.add_all(now, snapshot.balancers);
        for host in snapshot.hosts {
            self.hosts.on_peer_record(now, host);
        }
        outgoing
    }

    /// Returns what a process that starts or lags copies.
    #[must_use]
    pub fn snapshot(&self, now: Time) -> Snapshot {
        Snapshot {
            catalogue: self.catalogue.document().cloned(),
            domain_status: self.catalogue.standing().cloned(),
            confirmed_ago_ms: self.confirmed_ago_ms(now),
            balancers: self.peers.heard().chain([self.own]).collect(),
            hosts: self
                .hosts
                .iter()
                .map(|record| record.announcement.clone())
                .collect(),
        }
    }

    /// Returns the balancer to copy from, if it has what this one lacks.
    #[must_use]
    pub fn snapshot_source(&mut self, now: Time) -> Option<Ipv4Addr> {
        if self.control.ahead.is_some() {
            return self.control.ahead.take();
        }
        if self.catalogue.is_informed() {
            return None;
        }
        self.control.turn += 1;
        self.peers.informed(now, self.control.turn)
    }

    /// Returns the time since the store confirmed the catalogue.
    #[must_use]
    pub fn confirmed_ago(&self, now: Time) -> Option<Span> {
        self.catalogue.confirmed_ago(now)
    }

    /// Tells whether this balancer reads the store, for itself or for others.
    #[must_use]
    pub fn should_read_store(&self, now: Time) -> bool {
        !self.catalogue.is_informed()
            || self.peers.readers_before(now, self.own) < self.options.readers
    }

    /// Tells whether the routers may send packets.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let has_waited = now.since(self.started) >= self.options.ready_without_hosts_after;
        let may_serve = self.can_place_flows(now) || (self.catalogue.is_informed() && has_waited);
        may_serve && !self.control.is_stopping
    }

    /// Begins to stop and returns what to tell others.
    pub fn stop(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.control.is_stopping = true;
        self.control.next_view = Time::ZERO;
        self.on_tick(now)
    }

    /// Takes over the balancers that are registered in the store, and returns the entries to
    /// remove: those of balancers that were silent for as long as this process has run.
    pub fn on_registry(&mut self, now: Time, registrations: &[Registration]) -> Vec<Registration> {
        self.add_balancers(now, registrations.iter().map(|entry| entry.address));
        let may_judge = now.since(self.started) >= self.options.registration_timeout
            && self.is_reader(now)
            && self.peers.readers_before(now, self.own) == 0;
        registrations
            .iter()
            .filter(|entry| entry.address != self.own && !self.peers.was_heard(entry.address))
            .filter(|_| may_judge)
            .copied()
            .collect()
    }

    /// Adds processes that may be balancers, and shows itself to new ones at once.
    pub fn add_balancers(&mut self, now: Time, balancers: impl IntoIterator<Item = Ipv4Addr>) {
        if self.peers.add_all(now, balancers) {
            self.control.next_view = Time::ZERO;
        }
    }

    /// Returns what operators are shown.
    #[must_use]
    pub fn summary(&self, now: Time) -> BalancerSummary {
        let standing = self.catalogue.standing();
        let is_confirmed = self
            .catalogue
            .confirmed_ago(now)
            .is_some_and(|ago| ago <= self.options.fresh_for);
        BalancerSummary {
            catalogue_version: self.catalogue.version(),
            domains_revision: standing.map_or(StoreRevision(0), |standing| standing.revision),
            domains_out: standing
                .map(|standing| standing.domains_out.iter().cloned().collect())
                .unwrap_or_default(),
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

    fn on_announcement(&mut self, now: Time, announcement: Announcement) -> Vec<OutgoingMessage> {
        let answer = self.answer(now, &announcement, announcement.asks_hosts);
        let (agent, life, standing) = (announcement.agent, announcement.run, announcement.state);
        if self.hosts.on_announcement(now, announcement) {
            info!(event = "host_changed", agent:%, life:%, standing:? = standing; "host announced a new state");
        }
        answer.into_iter().collect()
    }

    fn on_beat(&mut self, now: Time, beat: &AgentHeartbeat) -> Vec<OutgoingMessage> {
        if !self.hosts.on_beat(now, beat) {
            let mut view = self.short_view(now);
            view.wants_answer = true;
            return vec![OutgoingMessage {
                to: beat.agent,
                message: PeerMessage::BalancerHeartbeat(view),
            }];
        }
        let record = self.hosts.get(beat.agent);
        let answer =
            record.and_then(|record| self.answer(now, &record.announcement, beat.asks_hosts));
        answer.into_iter().collect()
    }

    /// Answers an agent that asks for hosts or lacks the catalogue. The lists are left out when the
    /// agent has the same hosts, but for every few answers, which name the balancers.
    fn answer(
        &self,
        now: Time,
        agent: &Announcement,
        asks_hosts: Option<HostListDigest>,
    ) -> Option<OutgoingMessage> {
        let is_lagging = agent.catalogue < self.catalogue.version();
        if asks_hosts.is_none() && !is_lagging {
            return None;
        }
        let mut view = self.short_view(now);
        if let Some(digest) = asks_hosts {
            let hosts = self.host_briefs(now, agent);
            if HostListDigest::of(&hosts) != digest {
                view.hosts = hosts;
            }
            if !view.hosts.is_empty() || self.names_balancers(now) {
                view.balancers = self.known_balancers();
            }
        }
        Some(OutgoingMessage {
            to: agent.agent,
            message: PeerMessage::BalancerHeartbeat(view),
        })
    }

    fn on_view(&mut self, now: Time, view: &BalancerHeartbeat) -> Vec<OutgoingMessage> {
        let added = self.peers.on_view(now, view);
        let mut outgoing = match &view.domain_status {
            Some(standing) => self.on_domain_status(now, standing.clone()),
            None => Vec::new(),
        };
        if self.catalogue.compare(now, view) {
            self.control.ahead = Some(view.balancer);
        }
        if !added.is_empty() {
            let mut view = self.short_view(now);
            view.balancers = self.known_balancers();
            view.wants_answer = true;
            let message = PeerMessage::BalancerHeartbeat(view);
            outgoing.extend(OutgoingMessage::to_each(added, &message));
            // Agents announce themselves to the new balancers at once.
            outgoing.extend(self.views_for_agents(now));
        }
        if view.wants_answer {
            let mut answer = self.short_view(now);
            answer.balancers = self.known_balancers();
            outgoing.push(OutgoingMessage {
                to: view.balancer,
                message: PeerMessage::BalancerHeartbeat(answer),
            });
        }
        outgoing
    }

    /// Tells other balancers of a change, and agents too when this balancer reads the store.
    fn tell_all(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let mut outgoing = self.views_for_balancers(now);
        if self.is_reader(now) {
            outgoing.extend(self.views_for_agents(now));
        }
        outgoing
    }

    /// A balancer that reads the store is heard by all others, and the others by those that read
    /// it, so that the messages grow with the number of balancers and not with its square.
    fn views_for_balancers(&self, now: Time) -> Vec<OutgoingMessage> {
        let readers: Vec<Ipv4Addr> = self.peers.readers(now).collect();
        let receivers = if self.is_reader(now) || readers.is_empty() {
            self.peers.addresses().collect()
        } else {
            readers
        };
        let mut view = self.short_view(now);
        if self.names_balancers(now) {
            view.balancers = self.known_balancers();
        }
        let message = PeerMessage::BalancerHeartbeat(view);
        OutgoingMessage::to_each(receivers, &message).collect()
    }

    fn views_for_agents(&self, now: Time) -> Vec<OutgoingMessage> {
        let message = PeerMessage::BalancerHeartbeat(self.short_view(now));
        let agents = self.hosts.iter().map(|record| record.announcement.agent);
        OutgoingMessage::to_each(agents, &message).collect()
    }

    fn view_interval(&self) -> Span {
        let options = &self.options;
        paced_interval(options.view_interval, self.peers.len(), options.views_per_s)
    }

    fn is_reader(&self, now: Time) -> bool {
        self.control
            .read
            .is_some_and(|read| now.since(read) <= READER_SILENCE)
    }

    /// Returns a view without lists.
    fn short_view(&self, now: Time) -> BalancerHeartbeat {
        BalancerHeartbeat {
            balancer: self.own,
            is_stopping: self.control.is_stopping,
            is_informed: self.catalogue.is_informed(),
            is_reader: self.is_reader(now),
            interval_ms: as_millis_u16(self.view_interval()),
            wants_answer: false,
            catalogue: self.catalogue.version(),
            domain_status: self.catalogue.standing().cloned(),
            confirmed_ago_ms: self.confirmed_ago_ms(now),
            balancers: Vec::new(),
            hosts: Vec::new(),
        }
    }

    /// Tells whether signs of life name the known balancers at present.
    fn names_balancers(&self, now: Time) -> bool {
        self.control.turn.is_multiple_of(VIEWS_PER_LIST)
            || now.since(self.peers.changed()) <= NEWS_SPAN
    }

    fn known_balancers(&self) -> Vec<Ipv4Addr> {
        let heard: Vec<Ipv4Addr> = self.peers.heard().collect();
        let first = self.control.turn % heard.len().max(1);
        let count = heard.len().min(MAX_BALANCERS);
        heard
            .iter()
            .cycle()
            .skip(first)
            .take(count)
            .copied()
            .collect()
    }

    fn host_briefs(&self, now: Time, agent: &Announcement) -> Vec<HostAdvertisement> {
        let is_usable = |record: &_| self.is_usable(now, record);
        self.hosts.briefs(agent, is_usable, MAX_BRIEFS)
    }

    fn confirmed_ago_ms(&self, now: Time) -> Option<u32> {
        self.catalogue
            .confirmed_ago(now)
            .map(|ago| u32::try_from(ago.as_millis()).unwrap_or(u32::MAX))
    }
}
