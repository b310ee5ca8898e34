//! Directory of the hosts that a balancer knows from the announcements of their agents.

use {
    super::rendezvous_score,
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{AgentHeartbeat, Announcement, HostAdvertisement, RunId},
    },
    std::{
        collections::{BTreeMap, BTreeSet, btree_map::Entry},
        net::{Ipv4Addr, SocketAddrV4},
    },
};

/// Timeouts of the failure detection of agents.
#[derive(Clone, Copy, Debug)]
pub struct HostDirectoryOptions {
    /// Least time without a message from its agent after which a host gets no new flows.
    pub suspect_after: Span,
    /// Consecutive announcements or heartbeats that may be missing from a responsive agent.
    pub max_missed_announcements: u64,
    /// Time without a message from its agent after which a host is removed. Packets of flows that
    /// are older than this can still reach their agent by an owner lookup.
    pub forget_after: Span,
    /// Longest duration of a flow.
    pub max_flow_duration: Span,
    /// Pause of this process after which the time without messages from agents is not counted
    /// against them.
    pub pause_threshold: Span,
}

impl Default for HostDirectoryOptions {
    fn default() -> Self {
        Self {
            suspect_after: Span::from_millis(1_100),
            max_missed_announcements: 4,
            forget_after: Span::from_secs(20),
            max_flow_duration: Span::from_secs(60),
            pause_threshold: Span::from_millis(400),
        }
    }
}

/// Directory entry of one host.
#[derive(Clone, Debug)]
pub struct HostRecord {
    /// Latest announcement, with the sequence number of the latest heartbeat.
    pub announcement: Announcement,
    /// Time of the latest announcement or heartbeat, or `None` when only a peer has reported the
    /// host.
    pub last_contact: Option<Time>,
    /// Time at which the entry was created.
    pub known_since: Time,
    /// Rerouted addresses that an earlier process of the agent announced for the same run of the
    /// backend server. The present process does not know the flows that were opened before it started.
    inherited: Option<InheritedAddresses>,
}

#[derive(Clone, Debug)]
struct InheritedAddresses {
    addresses: BTreeSet<SocketAddrV4>,
    /// Time at which the flows to these addresses have ended at the latest.
    until: Time,
}

impl HostRecord {
    fn new(announcement: Announcement, now: Time, last_contact: Option<Time>) -> Self {
        Self {
            announcement,
            last_contact,
            known_since: now,
            inherited: None,
        }
    }

    fn last_evidence(&self) -> Time {
        self.last_contact.unwrap_or(self.known_since)
    }

    /// Returns the addresses that the host may hold flows to although the catalogue routes them to
    /// other services.
    fn rerouted_addresses(&self, now: Time) -> impl Iterator<Item = &SocketAddrV4> {
        let inherited = self.inherited.iter();
        let inherited = inherited.filter(move |inherited| now < inherited.until);
        let announced = self.announcement.rerouted_addresses.iter();
        announced.chain(inherited.flat_map(|inherited| &inherited.addresses))
    }

    /// Takes over the rerouted addresses of the entry that this one replaces, if another process of the
    /// agent announced them for the same run of the backend server.
    fn inherit(&mut self, now: Time, previous: &Self, max_flow_duration: Span) {
        let (old, new) = (&previous.announcement, &self.announcement);
        if old.process == new.process {
            self.inherited.clone_from(&previous.inherited);
        } else if old.run == new.run || new.run == RunId::default() {
            let addresses: BTreeSet<SocketAddrV4> =
                previous.rerouted_addresses(now).copied().collect();
            let until = now + max_flow_duration;
            self.inherited =
                (!addresses.is_empty()).then_some(InheritedAddresses { addresses, until });
        }
    }
}

/// Known hosts by the address of their agent.
#[derive(Debug)]
pub struct HostDirectory {
    options: HostDirectoryOptions,
    /// Ordered, so that the same inputs give the same messages in the same order.
    records: BTreeMap<Ipv4Addr, HostRecord>,
    by_service: BTreeMap<ServiceName, BTreeSet<Ipv4Addr>>,
    /// Agents of the hosts that may hold flows to an address which the catalogue routes elsewhere.
    by_rerouted_address: BTreeMap<SocketAddrV4, BTreeSet<Ipv4Addr>>,
    last_tick: Time,
    /// End of the latest pause of this process. Time without contact is counted from here at the
    /// earliest, because the process received nothing during the pause.
    last_pause_end: Time,
}

impl HostDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(options: HostDirectoryOptions) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
            by_service: BTreeMap::new(),
            by_rerouted_address: BTreeMap::new(),
            last_tick: Time::ZERO,
            last_pause_end: Time::ZERO,
        }
    }

    /// Records that this process runs. A long gap between two calls is a pause of the process,
    /// not a failure of the hosts.
    pub fn on_tick(&mut self, now: Time) {
        if now.since(self.last_tick) > self.options.pause_threshold {
            self.last_pause_end = now;
        }
        self.last_tick = now;
    }

    /// Stores an announcement, unless the directory has the same or a later one from this run of
    /// the agent. Returns whether the host is new, or its run, state or service changed.
    pub fn on_announcement(&mut self, now: Time, announcement: Announcement) -> bool {
        let mut record = HostRecord::new(announcement, now, Some(now));
        let agent = record.announcement.agent;
        let Some(current) = self.records.get(&agent) else {
            self.insert(record);
            return true;
        };
        let (old, new) = (&current.announcement, &record.announcement);
        if current.last_contact.is_some()
            && old.process == new.process
            && old.sequence >= new.sequence
        {
            return false;
        }
        let is_change = old.run != new.run || old.state != new.state || old.service != new.service;
        record.inherit(now, current, self.options.max_flow_duration);
        self.remove(agent);
        self.insert(record);
        is_change
    }

    /// Records the heartbeat of an agent. Returns whether the state revision that it refers to is
    /// known.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &AgentHeartbeat) -> bool {
        let Some(record) = self.records.get_mut(&heartbeat.agent) else {
            return false;
        };
        let announcement = &mut record.announcement;
        if announcement.process != heartbeat.process || announcement.revision < heartbeat.revision {
            return false;
        }
        // A heartbeat with an older revision was overtaken by a later announcement.
        let is_newer = announcement.sequence < heartbeat.sequence || record.last_contact.is_none();
        if announcement.revision == heartbeat.revision && is_newer {
            announcement.sequence = heartbeat.sequence;
            record.last_contact = Some(now);
        }
        true
    }

    /// Adds a host that a peer knows, unless it is known already.
    pub fn on_peer_record(&mut self, now: Time, announcement: Announcement) {
        if self.records.contains_key(&announcement.agent) {
            return;
        }
        self.insert(HostRecord::new(announcement, now, None));
    }

    /// Removes and returns the hosts without contact for `forget_after`.
    pub fn expire(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let expired: Vec<Ipv4Addr> = self
            .records
            .iter()
            .filter(|(_, record)| self.since_last_contact(now, record) > self.options.forget_after)
            .map(|(agent, _)| *agent)
            .collect();
        for agent in &expired {
            self.remove(*agent);
        }
        expired
    }

    /// Returns the entry of the host of an agent.
    #[must_use]
    pub fn get(&self, agent: Ipv4Addr) -> Option<&HostRecord> {
        self.records.get(&agent)
    }

    /// Returns the entries of all hosts, ordered by the address of their agent.
    pub fn iter(&self) -> impl Iterator<Item = &HostRecord> {
        self.records.values()
    }

    /// Returns the entries of the hosts whose agents are responsive.
    pub fn responsive(&self, now: Time) -> impl Iterator<Item = &HostRecord> {
        self.iter()
            .filter(move |record| self.is_responsive(now, record))
    }

    /// Returns the entries of the hosts of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &'a HostRecord> + use<'a> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|agent| self.records.get(agent))
    }

    /// Returns the services of the hosts that may hold flows to an address although the catalogue
    /// routes it to other services.
    pub fn services_of_rerouted(
        &self,
        now: Time,
        address: SocketAddrV4,
    ) -> impl Iterator<Item = &ServiceName> {
        let agents = self.by_rerouted_address.get(&address);
        agents
            .into_iter()
            .flatten()
            .filter_map(|agent| self.records.get(agent))
            .filter(move |record| record.rerouted_addresses(now).any(|held| *held == address))
            .map(|record| &record.announcement.service)
    }

    /// Returns whether a host is ready and its agent is responsive. The status of its failure
    /// domain is not considered.
    #[must_use]
    pub fn accepts_new(&self, now: Time, record: &HostRecord) -> bool {
        record.announcement.state == HostState::Ready && self.is_responsive(now, record)
    }

    /// Returns the preferred host of a service for packets of a flow whose owner is unknown: the
    /// one with the highest rendezvous score among those that have not departed. An agent that is
    /// unresponsive comes last, because it cannot look up the owner; a host of `preferred_domain`
    /// comes before the others, so that the lookup starts near the balancer.
    #[must_use]
    pub fn preferred_host(
        &self,
        now: Time,
        service: &ServiceName,
        flow_hash: u64,
        preferred_domain: Option<&DomainName>,
    ) -> Option<&HostRecord> {
        self.of_service(service)
            .filter(|record| record.announcement.state != HostState::Gone)
            .max_by_key(|record| {
                let is_responsive = self.is_responsive(now, record);
                let score = rendezvous_score(flow_hash, record.announcement.agent);
                let is_near = preferred_domain == Some(&record.announcement.domain);
                (is_responsive, is_near, score)
            })
    }

    /// Returns the hosts of the service of an agent that have not departed. The list starts at the
    /// agent's own address and wraps around.
    #[must_use]
    pub fn advertisements(
        &self,
        receiver: &Announcement,
        is_usable: impl Fn(&HostRecord) -> bool,
    ) -> Vec<HostAdvertisement> {
        let Some(agents) = self.by_service.get(&receiver.service) else {
            return Vec::new();
        };
        let lower = agents.range(..receiver.agent);
        let own_and_higher = agents.range(receiver.agent..);
        own_and_higher
            .chain(lower)
            .filter_map(|agent| self.records.get(agent))
            .filter(|record| record.announcement.state != HostState::Gone)
            .map(|record| HostAdvertisement {
                agent: record.announcement.agent,
                run: record.announcement.run,
                accepts_new: is_usable(record),
            })
            .collect()
    }

    /// Returns whether any agent is responsive.
    #[must_use]
    pub fn has_responsive_agent(&self, now: Time) -> bool {
        self.responsive(now).next().is_some()
    }

    /// Returns the number of hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether the time since the last contact does not exceed `suspect_after`, or the
    /// missed announcements that are allowed, if that is longer.
    fn is_responsive(&self, now: Time, record: &HostRecord) -> bool {
        let interval = Span::from_millis(u64::from(record.announcement.interval_ms));
        let allowed_gap = Span(interval.0 * self.options.max_missed_announcements);
        self.since_last_contact(now, record) <= self.options.suspect_after.max(allowed_gap)
    }

    /// Returns the time since the last contact, without the time before the end of this process's
    /// latest pause.
    fn since_last_contact(&self, now: Time, record: &HostRecord) -> Span {
        now.since(record.last_evidence().max(self.last_pause_end))
    }

    fn insert(&mut self, record: HostRecord) {
        let agent = record.announcement.agent;
        self.by_service
            .entry(record.announcement.service.clone())
            .or_default()
            .insert(agent);
        for address in record.rerouted_addresses(record.known_since) {
            let agents = self.by_rerouted_address.entry(*address).or_default();
            agents.insert(agent);
        }
        self.records.insert(agent, record);
    }

    fn remove(&mut self, agent: Ipv4Addr) {
        let Some(record) = self.records.remove(&agent) else {
            return;
        };
        if let Some(agents) = self.by_service.get_mut(&record.announcement.service) {
            agents.remove(&agent);
        }
        for address in record.rerouted_addresses(Time::ZERO) {
            if let Entry::Occupied(mut agents) = self.by_rerouted_address.entry(*address) {
                agents.get_mut().remove(&agent);
                if agents.get().is_empty() {
                    agents.remove();
                }
            }
        }
    }
}
