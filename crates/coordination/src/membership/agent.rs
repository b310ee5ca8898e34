//! Membership as an agent sees it.

use {
    super::{
        Confirmation, Outgoing, confirmation::ConfirmationProgress, serving::assignment_digest,
    },
    crate::dissemination::replica::Replica,
    cardamomloom_core::{DomainName, Incarnation, ServiceName, Span, TableVersion, Time},
    cardamomloom_protocol::{
        control::{Heartbeat, HostEntry, HostState, Mark, Message},
        object::SERVICES_PREFIX,
        store_api::{Object, ObjectList},
    },
    cardamomloom_state::hosts::HostTable,
    std::net::SocketAddr,
};

/// Times of an agent's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentMembershipOptions {
    /// Time between two signs of life to the same balancer.
    pub announce_interval: Span,
    /// Every so many signs of life one is the whole entry, which repairs lost announcements.
    pub full_every: u32,
    /// Silence of all balancers after which others are tried.
    pub lonely_span: Span,
}

impl Default for AgentMembershipOptions {
    fn default() -> Self {
        Self {
            announce_interval: Span::from_millis(1_000),
            full_every: 4,
            lonely_span: Span::from_secs(5),
        }
    }
}

/// Signs of life to one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Beat {
    to: SocketAddr,
    due: Time,
    count: u32,
    /// Whether the next sign of life is the whole entry.
    is_full: bool,
}

/// Announces the own host and learns configuration and the other hosts of the service.
#[derive(Clone, Debug)]
pub struct AgentMembership {
    service: ServiceName,
    domain: DomainName,
    /// Exists once the service is known.
    entry: Option<HostEntry>,
    replica: Replica,
    /// Balancers of the settings or of the store, which a lonely agent turns to.
    contacts: Vec<SocketAddr>,
    /// Balancers that the assigned ones named, to turn to when all of those are silent.
    spares: Vec<SocketAddr>,
    assigned: Vec<SocketAddr>,
    beats: Vec<Beat>,
    table: TableVersion,
    next_request: Time,
    next_contact: usize,
    heard: Option<Time>,
    last_tick: Option<Time>,
    confirming: ConfirmationProgress,
    options: AgentMembershipOptions,
}

/// Time between two requests of an agent without configuration.
const REQUEST_INTERVAL: Span = Span::from_millis(200);

/// Most spare balancers that an agent remembers.
const MAX_SPARES: usize = 3;

/// Silence of all balancers after which an answer is asked for.
const QUIET_SPAN: Span = Span::from_secs(2);

/// Time jump of the own clock that counts as a pause of the process.
const PAUSE_SPAN: Span = Span::from_millis(1_000);

impl AgentMembership {
    /// Creates the membership of an agent of a service in a failure domain; `seed` chooses the
    /// first balancer that it turns to.
    #[must_use]
    pub fn new(
        service: ServiceName,
        domain: DomainName,
        seed: u64,
        options: AgentMembershipOptions,
    ) -> Self {
        Self {
            service,
            domain,
            entry: None,
            replica: Replica::default(),
            contacts: Vec::new(),
            spares: Vec::new(),
            assigned: Vec::new(),
            beats: Vec::new(),
            table: TableVersion::default(),
            next_request: Time::ZERO,
            // Agents that start together turn to different balancers first.
            next_contact: usize::try_from(seed % 1_024).unwrap_or_default(),
            heard: None,
            last_tick: None,
            confirming: ConfirmationProgress::default(),
            options,
        }
    }

    /// Joins with the entry of the own host, once the service is known.
    pub fn join(&mut self, now: Time, entry: HostEntry) {
        self.replica.merge_host(now, entry.clone());
        self.entry = Some(entry);
        self.announce(now);
    }

    /// Returns the own entry.
    #[must_use]
    pub const fn entry(&self) -> Option<&HostEntry> {
        self.entry.as_ref()
    }

    /// Returns the known hosts of the service.
    #[must_use]
    pub const fn hosts(&self) -> &HostTable {
        self.replica.hosts()
    }

    /// Returns what the agent knows.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the balancers that the host is announced to.
    #[must_use]
    pub fn assigned_balancers(&self) -> &[SocketAddr] {
        &self.assigned
    }

    /// Sets balancers to turn to while none is assigned or all are silent.
    pub fn set_fallback_balancers(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// Tells whether the agent needs balancers to turn to, from the store or the settings.
    #[must_use]
    pub fn has_no_peers(&self, now: Time) -> bool {
        self.heard
            .is_none_or(|heard| now.since(heard) > self.options.lonely_span)
    }

    /// Sets the version of the own candidate table.
    pub const fn set_table(&mut self, table: TableVersion) {
        self.table = table;
    }

    /// Tells whether the known hosts changed since the last call.
    pub const fn take_hosts_changed(&mut self) -> bool {
        self.replica.take_hosts_changed()
    }

    /// Returns the objects that changed since the last call.
    pub fn take_changed_objects(&mut self) -> Vec<Object> {
        self.replica.take_changed_objects()
    }

    /// Takes up an answer of the store.
    pub fn on_store_list(&mut self, prefix: &str, list: &ObjectList) {
        self.replica.merge_list(prefix, list, false);
    }

    /// Asks balancers to confirm the own versions; the outcome is [`Self::confirmation`].
    pub fn confirm_versions(&mut self, now: Time) {
        self.confirming.start(now, self.assigned.len().min(2));
        for beat in &mut self.beats {
            beat.due = now;
        }
    }

    /// Tells whether the own versions are confirmed.
    #[must_use]
    pub const fn confirmation(&self) -> Confirmation {
        self.confirming.state()
    }

    /// Moves the own host to another state and announces it at once.
    pub fn set_state(&mut self, now: Time, state: HostState) {
        let Some(entry) = self.entry.as_mut() else {
            return;
        };
        if entry.state == state {
            return;
        }
        // Within one incarnation states only advance; a step back needs a new one.
        if state < entry.state {
            entry.incarnation = Incarnation(entry.incarnation.0 + 1);
        }
        entry.state = state;
        self.publish(now);
    }

    fn publish(&mut self, now: Time) {
        if let Some(entry) = self.entry.clone() {
            self.replica.merge_host(now, entry);
        }
        self.announce(now);
    }

    /// Sends the whole entry to every balancer at the next tick, and once more soon after.
    fn announce(&mut self, now: Time) {
        for beat in &mut self.beats {
            beat.due = now;
            beat.is_full = true;
        }
    }

    /// Processes a control message of a balancer.
    pub fn on_message(&mut self, now: Time, from: SocketAddr, message: &Message) -> Vec<Outgoing> {
        match message {
            Message::Hosts { entries, .. } => self.on_hosts(now, entries),
            Message::Objects(objects) => {
                self.replica.merge_wire_objects(objects);
            }
            Message::Marks(marks) => self.on_marks(marks),
            Message::Assignment { balancers, spares } => {
                self.spares.clone_from(spares);
                self.spares.truncate(MAX_SPARES);
                self.on_assignment(now, balancers);
            }
            Message::HeartbeatAnswer {
                config_digest,
                wants_entry,
                ..
            } => self.on_answer(now, from, *config_digest, *wants_entry),
            Message::Probe => {
                // A probe of another balancer says nothing about those that the host is announced
                // to; they may all be dead.
                if self.assigned.contains(&from) {
                    self.heard = Some(now);
                }
                return vec![Outgoing {
                    to: from,
                    message: Message::ProbeAnswer,
                }];
            }
            _ => return Vec::new(),
        }
        self.heard = Some(now);
        Vec::new()
    }

    fn on_hosts(&mut self, now: Time, entries: &[HostEntry]) {
        let Some(own) = self.entry.clone() else {
            return;
        };
        for entry in entries {
            if entry.host == own.host {
                self.refute(now, entry);
            } else if entry.service == own.service {
                self.replica.merge_host(now, entry.clone());
            }
        }
    }

    /// Takes a higher incarnation when others believe that this host is in a later state.
    fn refute(&mut self, now: Time, claimed: &HostEntry) {
        if let Some(entry) = self.entry.as_mut()
            && claimed.supersedes(entry)
        {
            entry.incarnation = Incarnation(claimed.incarnation.0 + 1);
            self.publish(now);
        }
    }

    fn on_marks(&mut self, marks: &[Mark]) {
        for mark in marks {
            self.replica.merge_mark(mark);
        }
    }

    fn on_assignment(&mut self, now: Time, balancers: &[SocketAddr]) {
        let limit = crate::dissemination::rendezvous::OBSERVERS_PER_HOST;
        let balancers = &balancers[..balancers.len().min(limit)];
        if balancers == self.assigned || balancers.is_empty() {
            return;
        }
        self.assigned = balancers.to_vec();
        let interval = self.options.announce_interval.0;
        let count = balancers.len() as u64;
        let beats = balancers.iter().enumerate().map(|(index, to)| {
            let known = self.beats.iter().find(|beat| beat.to == *to);
            // Signs of life to different balancers are spread over the interval, so that two
            // witnesses agree soon after the end of the host.
            let due = now + Span(interval * index as u64 / count);
            known.copied().unwrap_or(Beat {
                to: *to,
                due,
                count: 0,
                is_full: true,
            })
        });
        self.beats = beats.collect();
    }

    fn on_answer(&mut self, now: Time, from: SocketAddr, config_digest: u32, wants_entry: bool) {
        let own = self.digests().1;
        if !wants_entry {
            self.confirming.on_answer(from, own == config_digest);
        }
        if wants_entry
            && let Some(beat) = self.beats.iter_mut().find(|beat| beat.to == from)
            && !beat.is_full
        {
            beat.is_full = true;
            beat.due = beat.due.min(now + REQUEST_INTERVAL);
        }
    }

    /// Returns the digests of the service's hosts and of the configuration.
    fn digests(&self) -> (u32, u32) {
        let hosts = self
            .entry
            .as_ref()
            .map_or(0, |entry| self.replica.service_digest(entry.service));
        let key = format!("{SERVICES_PREFIX}{}", self.service);
        let service = self.replica.objects().get(&key);
        let config = self.replica.config_digest(service) ^ assignment_digest(&self.assigned);
        (hosts, config)
    }

    /// Returns the messages that are due; called every 50 to 100 ms.
    pub fn on_tick(&mut self, now: Time) -> Vec<Outgoing> {
        let previous = self.last_tick.replace(now).unwrap_or(now);
        if now.since(previous) >= PAUSE_SPAN {
            self.confirm_versions(now);
        }
        self.replica.forget(now);
        let mut messages: Vec<Outgoing> = self.request_config(now).into_iter().collect();
        self.confirming.on_tick(now);
        messages.extend(self.due_beats(now));
        messages
    }

    /// Turns to further balancers while no configuration is known or nobody answers.
    fn request_config(&mut self, now: Time) -> Option<Outgoing> {
        let has_no_peers = self.has_no_peers(now);
        let is_settled = self.entry.is_some() && !self.assigned.is_empty() && !has_no_peers;
        // Assigned balancers give the configuration; others name the assigned ones.
        let contacts = if has_no_peers || self.assigned.is_empty() {
            [self.spares.as_slice(), &self.contacts].concat()
        } else {
            self.assigned.clone()
        };
        if is_settled || now < self.next_request || contacts.is_empty() {
            return None;
        }
        self.next_request = now + REQUEST_INTERVAL;
        self.next_contact = self.next_contact.wrapping_add(1);
        Some(Outgoing {
            to: contacts[self.next_contact % contacts.len()],
            message: Message::ConfigRequest {
                service: self.service.clone(),
                domain: self.domain.clone(),
            },
        })
    }

    fn due_beats(&mut self, now: Time) -> Vec<Outgoing> {
        let Some(entry) = self.entry.clone() else {
            return Vec::new();
        };
        let (hosts_digest, config_digest) = self.digests();
        let is_confirming = self.confirming.state() != Confirmation::Confirmed;
        // Nothing else tells the agent that its balancers live while everything is equal.
        let is_quiet = self.heard.is_none_or(|heard| now.since(heard) > QUIET_SPAN);
        let (options, table) = (self.options, self.table);
        let mut messages = Vec::new();
        for beat in &mut self.beats {
            if now < beat.due {
                continue;
            }
            let is_full = beat.is_full || beat.count % options.full_every == 0;
            if is_full {
                messages.push(Outgoing {
                    to: beat.to,
                    message: Message::Announce {
                        entry: entry.clone(),
                        table,
                    },
                });
            }
            // A state that is new to the balancers is repeated with digests soon after.
            if !is_full || is_confirming {
                messages.push(Outgoing {
                    to: beat.to,
                    message: Message::Heartbeat(Heartbeat {
                        host: entry.host,
                        incarnation: entry.incarnation,
                        hosts_digest,
                        config_digest,
                        wants_answer: is_confirming || is_quiet,
                    }),
                });
            }
            beat.due = now
                + if beat.is_full || is_confirming {
                    REQUEST_INTERVAL
                } else {
                    options.announce_interval
                };
            beat.is_full = false;
            beat.count = beat.count.wrapping_add(1);
        }
        messages
    }
}
