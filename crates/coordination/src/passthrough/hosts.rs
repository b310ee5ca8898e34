//! Hosts that a balancer knows from the announcements of their agents.

use {
    super::rank,
    cardamomloom_core::{ServiceName, Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{AgentHeartbeat, Announcement, HostAdvertisement, RunId},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
    },
};

/// Times after which hosts are left out.
#[derive(Clone, Copy, Debug)]
pub struct HostDirectoryOptions {
    /// Least silence after which a host takes no new flows.
    pub suspect_after: Span,
    /// Announcements in a row that may be missing.
    pub missed_announcements: u64,
    /// Silence after which a host is forgotten; flows older than this may still find their agent
    /// by a search.
    pub forget_after: Span,
    /// Pause of the process after which silence of hosts says nothing about them.
    pub pause: Span,
}

impl Default for HostDirectoryOptions {
    fn default() -> Self {
        Self {
            suspect_after: Span::from_millis(1_100),
            missed_announcements: 4,
            forget_after: Span::from_secs(20),
            pause: Span::from_millis(400),
        }
    }
}

/// What is known of one host.
#[derive(Clone, Debug)]
pub struct HostRecord {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Time of that announcement, or `None` when a peer told of the host.
    pub heard: Option<Time>,
    /// Time at which the record was made.
    pub known_since: Time,
}

impl HostRecord {
    fn last_sign(&self) -> Time {
        self.heard.unwrap_or(self.known_since)
    }
}

/// Hosts by the address of their agent.
#[derive(Debug)]
pub struct HostDirectory {
    options: HostDirectoryOptions,
    /// Ordered, so that the same inputs give the same messages in the same order.
    records: BTreeMap<Ipv4Addr, HostRecord>,
    by_service: BTreeMap<ServiceName, BTreeSet<Ipv4Addr>>,
    last_step: Time,
    /// Silence before this time is not counted, because the process itself paused.
    silence_from: Time,
}

impl HostDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(options: HostDirectoryOptions) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
            by_service: BTreeMap::new(),
            last_step: Time::ZERO,
            silence_from: Time::ZERO,
        }
    }

    /// Notes that the process runs, to tell its own pauses from silence of hosts.
    pub fn on_step(&mut self, now: Time) {
        if now.since(self.last_step) > self.options.pause {
            self.silence_from = now;
        }
        self.last_step = now;
    }

    /// Takes over an announcement and tells whether the host changed.
    pub fn on_announcement(&mut self, now: Time, announcement: Announcement) -> bool {
        let record = HostRecord {
            heard: Some(now),
            known_since: now,
            announcement,
        };
        let agent = record.announcement.agent;
        let Some(present) = self.records.get_mut(&agent) else {
            self.insert(record);
            return true;
        };
        let (old, new) = (&present.announcement, &record.announcement);
        if present.heard.is_some() && old.process == new.process && old.sequence >= new.sequence {
            return false;
        }
        let is_change = old.run != new.run || old.state != new.state || old.service != new.service;
        if old.service == new.service {
            *present = record;
        } else {
            self.remove(agent);
            self.insert(record);
        }
        is_change
    }

    /// Takes over a sign of life; tells whether the state that it names is known.
    pub fn on_beat(&mut self, now: Time, beat: &AgentHeartbeat) -> bool {
        let Some(record) = self.records.get_mut(&beat.agent) else {
            return false;
        };
        let known = &mut record.announcement;
        if known.process != beat.process || known.revision < beat.revision {
            return false;
        }
        // An older revision belongs to a beat that was overtaken.
        let is_newer = known.sequence < beat.sequence || record.heard.is_none();
        if known.revision == beat.revision && is_newer {
            known.sequence = beat.sequence;
            record.heard = Some(now);
        }
        true
    }

    /// Takes over a host that a peer knows, if it is not known yet.
    pub fn on_peer_record(&mut self, now: Time, announcement: Announcement) {
        if self.records.contains_key(&announcement.agent) {
            return;
        }
        self.insert(HostRecord {
            heard: None,
            known_since: now,
            announcement,
        });
    }

    /// Forgets hosts that have been silent for long, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let expired: Vec<Ipv4Addr> = self
            .records
            .iter()
            .filter(|(_, record)| self.silence(now, record) > self.options.forget_after)
            .map(|(agent, _)| *agent)
            .collect();
        for agent in &expired {
            self.remove(*agent);
        }
        expired
    }

    /// Returns the record of a host.
    #[must_use]
    pub fn get(&self, agent: Ipv4Addr) -> Option<&HostRecord> {
        self.records.get(&agent)
    }

    /// Returns all hosts.
    pub fn iter(&self) -> impl Iterator<Item = &HostRecord> {
        self.records.values()
    }

    /// Returns the hosts of a service.
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

    /// Tells whether a host takes new flows, its failure domain apart.
    #[must_use]
    pub fn accepts_new(&self, now: Time, record: &HostRecord) -> bool {
        record.announcement.state == HostState::Ready && self.is_heard(now, record)
    }

    /// Returns the host that comes first for a flow among those that have not left; packets of
    /// flows that are not known are sent there. An agent that is silent comes last, because it
    /// cannot search for the owner.
    #[must_use]
    pub fn first_for(
        &self,
        now: Time,
        service: &ServiceName,
        flow_hash: u64,
    ) -> Option<&HostRecord> {
        self.of_service(service)
            .filter(|record| record.announcement.state != HostState::Gone)
            .max_by_key(|record| {
                let is_heard = self.is_heard(now, record);
                (is_heard, rank(flow_hash, record.announcement.agent))
            })
    }

    /// Returns what an agent needs to know of the hosts of its service: at most `limit` of them,
    /// from its own address on, so that the agents of a large service know different ones.
    #[must_use]
    pub fn briefs(
        &self,
        agent: &Announcement,
        is_usable: impl Fn(&HostRecord) -> bool,
        limit: usize,
    ) -> Vec<HostAdvertisement> {
        let Some(agents) = self.by_service.get(&agent.service) else {
            return Vec::new();
        };
        let (before, after) = (agents.range(..agent.agent), agents.range(agent.agent..));
        after
            .chain(before)
            .filter_map(|agent| self.records.get(agent))
            .filter(|record| record.announcement.state != HostState::Gone)
            .take(limit)
            .map(|record| HostAdvertisement {
                agent: record.announcement.agent,
                run: record.announcement.run,
                accepts_new: is_usable(record),
            })
            .collect()
    }

    /// Tells whether any agent was heard lately.
    #[must_use]
    pub fn hears_any(&self, now: Time) -> bool {
        self.iter().any(|record| self.is_heard(now, record))
    }

    /// Returns the number of hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the life of the backend server beside an agent.
    #[must_use]
    pub fn life(&self, agent: Ipv4Addr) -> RunId {
        self.records
            .get(&agent)
            .map(|record| record.announcement.run)
            .unwrap_or_default()
    }

    fn is_heard(&self, now: Time, record: &HostRecord) -> bool {
        let interval = Span::from_millis(u64::from(record.announcement.interval_ms));
        let missed = Span(interval.0 * self.options.missed_announcements);
        self.silence(now, record) <= self.options.suspect_after.max(missed)
    }

    fn silence(&self, now: Time, record: &HostRecord) -> Span {
        now.since(record.last_sign().max(self.silence_from))
    }

    fn insert(&mut self, record: HostRecord) {
        let agent = record.announcement.agent;
        self.by_service
            .entry(record.announcement.service.clone())
            .or_default()
            .insert(agent);
        self.records.insert(agent, record);
    }

    fn remove(&mut self, agent: Ipv4Addr) {
        let Some(record) = self.records.remove(&agent) else {
            return;
        };
        if let Some(agents) = self.by_service.get_mut(&record.announcement.service) {
            agents.remove(&agent);
        }
    }
}
