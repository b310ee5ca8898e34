//! Membership of an agent: heartbeats of its host and the replica of its service.

use {
    super::{
        Confirmation, OutgoingMessage, confirmation::ConfirmationProgress,
        serving::assignment_digest,
    },
    crate::dissemination::replica::Replica,
    cardamomloom_core::{DomainName, Incarnation, ServiceName, Span, TableVersion, Time},
    cardamomloom_protocol::{
        control::{Heartbeat, HostEntry, HostState, LivenessRecord, Message},
        object::SERVICES_PREFIX,
        store_api::{Object, ObjectList},
    },
    cardamomloom_state::hosts::HostTable,
    std::net::SocketAddr,
};

/// Timing of an agent's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentMembershipOptions {
    /// Time between two heartbeats to the same balancer.
    pub heartbeat_interval: Span,
    /// Number of heartbeats to a balancer of which one is replaced by an announcement of the whole
    /// entry, which makes up for lost announcements.
    pub heartbeats_per_announcement: u32,
    /// Time since the last contact with balancers after which fallback balancers are tried.
    pub no_peers_span: Span,
}

impl Default for AgentMembershipOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Span::from_millis(1_000),
            heartbeats_per_announcement: 4,
            no_peers_span: Span::from_secs(5),
        }
    }
}

/// Schedule of the heartbeats to one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeartbeatSchedule {
    to: SocketAddr,
    next_at: Time,
    sent_count: u32,
    /// Whether the next message is an announcement of the whole entry instead of a heartbeat.
    is_announcement: bool,
}

/// State machine that announces an agent's host and keeps a replica of the configuration and of the
/// other hosts of its service.
#[derive(Clone, Debug)]
pub struct AgentMembership {
    service: ServiceName,
    domain: DomainName,
    /// Entry of this agent's host; `None` until the service is known.
    entry: Option<HostEntry>,
    replica: Replica,
    /// Balancers from the settings or the store, which an agent without peers contacts.
    fallback_balancers: Vec<SocketAddr>,
    /// Balancers to contact when all assigned ones are unresponsive, as recommended by these.
    spares: Vec<SocketAddr>,
    assigned_balancers: Vec<SocketAddr>,
    heartbeats: Vec<HeartbeatSchedule>,
    table_version: TableVersion,
    next_request: Time,
    next_balancer: usize,
    last_contact: Option<Time>,
    last_tick: Option<Time>,
    confirmation: ConfirmationProgress,
    options: AgentMembershipOptions,
}

/// Time between two requests for configuration or confirmation, and between the announcement of a
/// change and the heartbeat that follows it.
const REQUEST_INTERVAL: Span = Span::from_millis(200);

/// Maximum number of spare balancers that an agent keeps.
const MAX_SPARES: usize = 3;

/// Time since the last contact with a balancer after which heartbeats ask for an answer.
const ANSWER_REQUEST_SPAN: Span = Span::from_secs(2);

/// Time between two ticks from which on the process is considered to have been paused.
const MIN_PAUSE_SPAN: Span = Span::from_millis(1_000);

impl AgentMembership {
    /// Creates the membership of an agent of a service in a failure domain. `seed` selects the
    /// first balancer that it contacts.
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
            fallback_balancers: Vec::new(),
            spares: Vec::new(),
            assigned_balancers: Vec::new(),
            heartbeats: Vec::new(),
            table_version: TableVersion::default(),
            next_request: Time::ZERO,
            // Agents that start at the same time contact different balancers first.
            next_balancer: usize::try_from(seed % 1_024).unwrap_or_default(),
            last_contact: None,
            last_tick: None,
            confirmation: ConfirmationProgress::default(),
            options,
        }
    }

    /// Joins the service with the entry of this agent's host, and announces it.
    pub fn join(&mut self, now: Time, entry: HostEntry) {
        self.replica.merge_host(now, entry.clone());
        self.entry = Some(entry);
        self.schedule_announcements(now);
    }

    /// Returns the entry of this agent's host, or `None` before it joined.
    #[must_use]
    pub const fn entry(&self) -> Option<&HostEntry> {
        self.entry.as_ref()
    }

    /// Returns the known hosts of the service.
    #[must_use]
    pub const fn hosts(&self) -> &HostTable {
        self.replica.hosts()
    }

    /// Returns the replica of the agent: the configuration and the hosts of its service.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the control sockets of the balancers that the host is announced to.
    #[must_use]
    pub fn assigned_balancers(&self) -> &[SocketAddr] {
        &self.assigned_balancers
    }

    /// Sets the balancers to contact while none is assigned or all are unresponsive.
    pub fn set_fallback_balancers(&mut self, fallback_balancers: Vec<SocketAddr>) {
        self.fallback_balancers = fallback_balancers;
    }

    /// Returns whether the agent has had no contact with balancers for so long that it needs
    /// fallback balancers from the store or the settings.
    #[must_use]
    pub fn has_no_peers(&self, now: Time) -> bool {
        self.last_contact
            .is_none_or(|last_contact| now.since(last_contact) > self.options.no_peers_span)
    }

    /// Sets the version of the candidate table that announcements contain.
    pub const fn set_table(&mut self, table_version: TableVersion) {
        self.table_version = table_version;
    }

    /// Returns whether the known hosts changed since the last call, and resets this flag.
    pub const fn take_hosts_changed(&mut self) -> bool {
        self.replica.take_hosts_changed()
    }

    /// Returns the objects that changed since the last call.
    pub fn take_changed_objects(&mut self) -> Vec<Object> {
        self.replica.take_changed_objects()
    }

    /// Merges a list of some objects under `prefix` from the store.
    pub fn on_store_list(&mut self, prefix: &str, list: &ObjectList) {
        self.replica.merge_store_list(prefix, list, false);
    }

    /// Asks the assigned balancers to confirm that the versions of this agent are current.
    /// [`Self::confirmation`] returns the result.
    pub fn confirm_versions(&mut self, now: Time) {
        self.confirmation
            .start(now, self.assigned_balancers.len().min(2));
        for schedule in &mut self.heartbeats {
            schedule.next_at = now;
        }
    }

    /// Returns whether balancers have confirmed the versions of this agent.
    #[must_use]
    pub const fn confirmation(&self) -> Confirmation {
        self.confirmation.state()
    }

    /// Changes the state of this agent's host and announces it at the next tick.
    pub fn set_state(&mut self, now: Time, state: HostState) {
        let Some(entry) = self.entry.as_mut() else {
            return;
        };
        if entry.state == state {
            return;
        }
        // Within one incarnation a host only moves to later states. Returning to an earlier state
        // requires a new incarnation.
        if state < entry.state {
            entry.incarnation = Incarnation(entry.incarnation.0 + 1);
        }
        entry.state = state;
        self.publish_entry(now);
    }

    fn publish_entry(&mut self, now: Time) {
        if let Some(entry) = self.entry.clone() {
            self.replica.merge_host(now, entry);
        }
        self.schedule_announcements(now);
    }

    /// Schedules an announcement to every assigned balancer for the next tick.
    fn schedule_announcements(&mut self, now: Time) {
        for schedule in &mut self.heartbeats {
            schedule.next_at = now;
            schedule.is_announcement = true;
        }
    }

    /// Processes a control message from a balancer and returns the replies.
    pub fn on_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: &Message,
    ) -> Vec<OutgoingMessage> {
        match message {
            Message::Hosts { entries, .. } => self.on_hosts(now, entries),
            Message::Objects(objects) => {
                self.replica.merge_wire_objects(objects);
            }
            Message::LivenessRecords(records) => self.on_liveness_records(records),
            Message::Assignment { balancers, spares } => {
                self.spares.clone_from(spares);
                self.spares.truncate(MAX_SPARES);
                self.on_assignment(now, balancers);
            }
            Message::HeartbeatAnswer {
                config_digest,
                wants_entry,
                ..
            } => self.on_heartbeat_answer(now, from, *config_digest, *wants_entry),
            Message::Probe => {
                // A probe from another balancer is no contact with the assigned ones, which may all
                // be dead.
                if self.assigned_balancers.contains(&from) {
                    self.last_contact = Some(now);
                }
                return vec![OutgoingMessage {
                    to: from,
                    message: Message::ProbeAnswer,
                }];
            }
            _ => return Vec::new(),
        }
        self.last_contact = Some(now);
        Vec::new()
    }

    fn on_hosts(&mut self, now: Time, entries: &[HostEntry]) {
        let Some(own_entry) = self.entry.clone() else {
            return;
        };
        for entry in entries {
            if entry.host == own_entry.host {
                self.refute(now, entry);
            } else if entry.service == own_entry.service {
                self.replica.merge_host(now, entry.clone());
            }
        }
    }

    /// Announces this host with a higher incarnation when another process has a later state or
    /// incarnation of it.
    fn refute(&mut self, now: Time, claimed_entry: &HostEntry) {
        if let Some(entry) = self.entry.as_mut()
            && claimed_entry.supersedes(entry)
        {
            entry.incarnation = Incarnation(claimed_entry.incarnation.0 + 1);
            self.publish_entry(now);
        }
    }

    fn on_liveness_records(&mut self, records: &[LivenessRecord]) {
        for record in records {
            self.replica.merge_liveness_record(record);
        }
    }

    fn on_assignment(&mut self, now: Time, balancers: &[SocketAddr]) {
        let max_count = crate::dissemination::rendezvous::OBSERVERS_PER_HOST;
        let balancers = &balancers[..balancers.len().min(max_count)];
        if balancers == self.assigned_balancers || balancers.is_empty() {
            return;
        }
        self.assigned_balancers = balancers.to_vec();
        let interval = self.options.heartbeat_interval.0;
        let count = balancers.len() as u64;
        let heartbeats = balancers.iter().enumerate().map(|(index, to)| {
            let existing = self.heartbeats.iter().find(|schedule| schedule.to == *to);
            // Heartbeats to different balancers are spread over the interval, so that two observers
            // detect soon after one another that the host is gone.
            let next_at = now + Span(interval * index as u64 / count);
            existing.copied().unwrap_or(HeartbeatSchedule {
                to: *to,
                next_at,
                sent_count: 0,
                is_announcement: true,
            })
        });
        self.heartbeats = heartbeats.collect();
    }

    fn on_heartbeat_answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        config_digest: u32,
        wants_entry: bool,
    ) {
        let own_digest = self.digests().1;
        if !wants_entry {
            self.confirmation
                .on_answer(from, own_digest == config_digest);
        }
        if wants_entry
            && let Some(schedule) = self
                .heartbeats
                .iter_mut()
                .find(|schedule| schedule.to == from)
            && !schedule.is_announcement
        {
            schedule.is_announcement = true;
            schedule.next_at = schedule.next_at.min(now + REQUEST_INTERVAL);
        }
    }

    /// Returns the digests of the hosts of the service and of the agent's configuration.
    fn digests(&self) -> (u32, u32) {
        let hosts = self
            .entry
            .as_ref()
            .map_or(0, |entry| self.replica.service_digest(entry.service));
        let key = format!("{SERVICES_PREFIX}{}", self.service);
        let service = self.replica.objects().get(&key);
        let config =
            self.replica.config_digest(service) ^ assignment_digest(&self.assigned_balancers);
        (hosts, config)
    }

    /// Processes timers and returns the messages to send. Must be called every 50 to 100 ms.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let previous_tick = self.last_tick.replace(now).unwrap_or(now);
        if now.since(previous_tick) >= MIN_PAUSE_SPAN {
            self.confirm_versions(now);
        }
        self.replica.remove_expired(now);
        let mut messages: Vec<OutgoingMessage> = self.request_config(now).into_iter().collect();
        self.confirmation.on_tick(now);
        messages.extend(self.due_heartbeats(now));
        messages
    }

    /// Returns a request for configuration to the next balancer in turn while the agent has not
    /// joined, has no assigned balancers or has no peers.
    fn request_config(&mut self, now: Time) -> Option<OutgoingMessage> {
        let has_no_peers = self.has_no_peers(now);
        let is_configured =
            self.entry.is_some() && !self.assigned_balancers.is_empty() && !has_no_peers;
        // Assigned balancers answer with the configuration, others with the assigned balancers.
        let candidates = if has_no_peers || self.assigned_balancers.is_empty() {
            [self.spares.as_slice(), &self.fallback_balancers].concat()
        } else {
            self.assigned_balancers.clone()
        };
        if is_configured || now < self.next_request || candidates.is_empty() {
            return None;
        }
        self.next_request = now + REQUEST_INTERVAL;
        self.next_balancer = self.next_balancer.wrapping_add(1);
        Some(OutgoingMessage {
            to: candidates[self.next_balancer % candidates.len()],
            message: Message::ConfigRequest {
                service: self.service.clone(),
                domain: self.domain.clone(),
            },
        })
    }

    fn due_heartbeats(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let Some(entry) = self.entry.clone() else {
            return Vec::new();
        };
        let (hosts_digest, config_digest) = self.digests();
        let is_confirming = self.confirmation.state() != Confirmation::Confirmed;
        // While all digests are equal, only answers show that the balancers are alive.
        let needs_answer = self
            .last_contact
            .is_none_or(|last_contact| now.since(last_contact) > ANSWER_REQUEST_SPAN);
        let (options, table) = (self.options, self.table_version);
        let mut messages = Vec::new();
        for schedule in &mut self.heartbeats {
            if now < schedule.next_at {
                continue;
            }
            let is_announcement = schedule.is_announcement
                || schedule.sent_count % options.heartbeats_per_announcement == 0;
            if is_announcement {
                messages.push(OutgoingMessage {
                    to: schedule.to,
                    message: Message::Announce {
                        entry: entry.clone(),
                        table,
                    },
                });
            }
            // After the announcement of a change, a heartbeat with digests follows soon.
            if !is_announcement || is_confirming {
                messages.push(OutgoingMessage {
                    to: schedule.to,
                    message: Message::Heartbeat(Heartbeat {
                        host: entry.host,
                        incarnation: entry.incarnation,
                        hosts_digest,
                        config_digest,
                        wants_answer: is_confirming || needs_answer,
                    }),
                });
            }
            schedule.next_at = now
                + if schedule.is_announcement || is_confirming {
                    REQUEST_INTERVAL
                } else {
                    options.heartbeat_interval
                };
            schedule.is_announcement = false;
            schedule.sent_count = schedule.sent_count.wrapping_add(1);
        }
        messages
    }
}
