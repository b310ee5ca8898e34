//! Reports of the backend server, control messages, and the shutdown of an agent.

use {
    super::{
        Action, Agent, ColdStartBucket, Host, HostReportState, ReportOutcome, host::is_new_run,
        host_list::PartialHostList, registry_retry::RegistryRetry,
    },
    crate::passthrough::{OutgoingMessage, StoreAccess, as_millis_u16, paced_interval, stagger},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            AgentDeparture, AgentHeartbeat, Announcement, BalancerHeartbeat, CatalogueDocument,
            DomainStatus, HostListDigest, HostReport, PeerMessage,
        },
    },
    log::{info, warn},
    std::net::{Ipv4Addr, SocketAddrV4},
};

/// Time after a change of the state in which the full announcement is repeated, so that a lost
/// message does not delay the change. It covers two announcement intervals.
const REPEAT_SPAN: Span = Span::from_millis(600);

/// Admitted share of new flows below which the log reports that the backend server fails requests.
const FAILING_ADMITTED_SHARE: f64 = 0.5;

#[derive(Debug, Default)]
pub(super) struct ControlState {
    pub next_announcement: Time,
    sequence: u64,
    last_announcement: Option<Announcement>,
    /// Time at which the announced state last changed.
    last_change: Time,
    /// Time at which a list of hosts last named other agents than the list before.
    pub agents_changed_at: Time,
    /// Time of the last heartbeat of a balancer.
    pub last_balancer_contact: Option<Time>,
    pub partial_list: PartialHostList,
    /// Digest of the hosts of the service that the agent knows.
    pub hosts_digest: HostListDigest,
    /// Addresses that the host holds flows to and that the catalogue routes to other services.
    pub rerouted_addresses: Vec<SocketAddrV4>,
    /// Whether the agent has received the snapshot of a balancer.
    pub has_snapshot: bool,
    /// An initialized balancer to request a snapshot from.
    pub snapshot_source: Option<Ipv4Addr>,
    pub registry_retry: RegistryRetry,
    stopping_since: Option<Time>,
    last_state: Option<HostState>,
    /// Whether the log last reported that the backend server fails requests.
    is_failing: bool,
}

impl ControlState {
    pub const fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }
}

impl Agent {
    /// Processes a report of the backend server and returns whether to acknowledge it. Reports of
    /// other backend servers and outdated reports are rejected. When the report shows a new run,
    /// resets of the flows of the previous run are appended to `actions`.
    pub fn on_report(&mut self, now: Time, report: &HostReport, actions: &mut Vec<Action>) -> bool {
        if report.service != self.identity.service || report.address != self.identity.server {
            warn!(event = "report_rejected", instance = &*report.instance, service:% = report.service, address:% = report.address; "report rejected: service or address is not that of this agent's backend server");
            return false;
        }
        self.unanswered_since = None;
        self.awaits_report = false;
        let Some(host) = &mut self.host else {
            self.host = Some(Host::new(now, report));
            self.work_times.set_slots(report.slots as usize);
            // The first report of a run shows that no flow is older than this process.
            self.observed_server_start = report.sequence <= 1;
            self.new_server_reported_at = is_new_run(report).then_some(now);
            self.control.next_announcement = Time::ZERO;
            info!(event = "host_known", instance = &*report.instance, sequence = report.sequence, cold_left_ms = report.cold_left_ms; "first report of the backend server accepted");
            return true;
        };
        let previous_report = host.last_report;
        let outcome = host.on_report(now, report, self.options.report_timeout);
        self.work_times.set_slots(host.slots as usize);
        match outcome {
            ReportOutcome::Known => return true,
            ReportOutcome::Outdated => {
                info!(event = "report_outdated", instance = &*report.instance, sequence = report.sequence; "report rejected: older than the latest one, or of an earlier run");
                return false;
            }
            ReportOutcome::NewLife => {
                self.observed_server_start = true;
                self.new_server_reported_at = is_new_run(report).then_some(now);
                self.cold_start_bucket = ColdStartBucket::empty(now);
                self.outcomes.reset();
                self.reset_flows(previous_report, actions);
            }
            ReportOutcome::Changed => {}
        }
        self.control.next_announcement = Time::ZERO;
        info!(event = "host_state", instance = &*report.instance, sequence = report.sequence, state:? = report.state, outcome:? = outcome; "backend server has a new state or run");
        true
    }

    /// Processes the departure of the backend server. It has no effect when another instance
    /// departs.
    pub fn on_departure(&mut self, instance: &str) {
        if let Some(host) = &mut self.host
            && host.is_instance(instance)
        {
            host.state = HostReportState::Gone;
            self.control.next_announcement = Time::ZERO;
            info!(event = "host_gone", instance; "backend server has departed");
        }
    }

    /// Returns whether the process should check now whether the backend server runs at all, which it
    /// does periodically while the server is suspected and holds flows. A check that is refused proves
    /// that these flows are lost.
    pub fn should_check_server(&mut self, now: Time) -> bool {
        let is_due = self.is_suspected(now)
            && self.flows.held() > 0
            && self
                .server_checked_at
                .is_none_or(|at| now.since(at) >= self.options.server_check_interval);
        if is_due {
            self.server_checked_at = Some(now);
        }
        is_due
    }

    /// Processes the proof that no backend server ran at `asked_at`, because its port refused a
    /// connection. Resets of the flows that were opened before are appended to `actions`, and the
    /// host accepts no new ones until the next report. If the backend server has reported since
    /// `asked_at`, it runs again, and its flows are kept.
    pub fn on_server_absent(&mut self, asked_at: Time, actions: &mut Vec<Action>) {
        self.observed_server_start = true;
        if self
            .host
            .as_ref()
            .is_some_and(|host| host.last_report >= asked_at)
        {
            return;
        }
        self.absent_server_at = Some(asked_at);
        self.awaits_report |= self.host.is_some();
        self.reset_flows(asked_at, actions);
    }

    /// Processes expired timers: when the state of the host changed or the interval has elapsed,
    /// removes expired flows and balancers and returns the announcements to send.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let state = self.host_state(now);
        if self.control.last_state != Some(state) {
            self.control.last_state = Some(state);
            self.control.next_announcement = Time::ZERO;
            info!(event = "standing", standing:? = state, open_flows = self.flows.active(); "announced state of the host changed");
        }
        self.log_outcomes(now);
        self.catalogue.log_behind(now);
        if now < self.control.next_announcement {
            return Vec::new();
        }
        self.control.next_announcement = self.peers.next_heartbeat_at(
            now,
            self.announcement_interval(),
            self.options.discovery_interval,
        );
        self.peers.expire(now);
        self.expire_flows(now);
        self.update_rerouted_addresses();
        self.announcements(now)
    }

    /// Processes a control message and returns the messages to send. Resets of flows that no host
    /// holds are appended to `actions`.
    pub fn on_message(
        &mut self,
        now: Time,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) -> Vec<OutgoingMessage> {
        match message {
            PeerMessage::BalancerHeartbeat(heartbeat) => self.on_balancer_heartbeat(now, heartbeat),
            PeerMessage::Owner(owner) => {
                self.on_owner(now, owner.flow, owner.agent);
                Vec::new()
            }
            PeerMessage::Absence(absence) => {
                self.on_absence(now, &absence, actions);
                Vec::new()
            }
            PeerMessage::AgentListRequest(request) => self.on_list_request(now, request),
            PeerMessage::AgentList(list) => {
                self.on_agent_list(now, &list);
                Vec::new()
            }
            PeerMessage::HostListPart(part) => {
                self.on_host_list_part(now, part);
                Vec::new()
            }
            PeerMessage::Departure(departure) => {
                self.agents_listed_at.remove(&departure.agent);
                self.service_hosts
                    .retain(|host| host.agent != departure.agent);
                Vec::new()
            }
            PeerMessage::PeerLoads(loads) => self.on_peer_loads(now, &loads),
            PeerMessage::Announcement(_)
            | PeerMessage::Heartbeat(_)
            | PeerMessage::LoadHeartbeat(_)
            | PeerMessage::ServiceAbsence(_) => Vec::new(),
        }
    }

    /// Applies a catalogue from the store or a balancer.
    pub fn on_catalogue(&mut self, now: Time, document: CatalogueDocument) {
        if self.catalogue.apply_document(now, document) {
            self.control.next_announcement = Time::ZERO;
            self.update_rerouted_addresses();
        }
    }

    /// Applies the status of the failure domains.
    pub fn on_domain_status(&mut self, now: Time, status: DomainStatus) {
        self.catalogue.apply_domain_status(now, status);
    }

    /// Records that the store confirmed the catalogue and the status of the failure domains at
    /// `confirmed_at`.
    pub fn on_store_confirmed(&mut self, confirmed_at: Time) {
        self.catalogue.confirm(confirmed_at);
    }

    /// Returns the time since the store last confirmed the catalogue, or `None` if it never has.
    #[must_use]
    pub fn confirmed_ago(&self, now: Time) -> Option<Span> {
        self.catalogue.confirmed_ago(now)
    }

    /// Chooses how the agent reads the store. It follows the store itself when no balancer has
    /// confirmed its catalogue for long. While balancers are live, the agents of a fleet do so one
    /// after the other, because balancers probably cannot reach the store either.
    #[must_use]
    pub fn store_access(&self, now: Time) -> StoreAccess {
        let options = &self.options;
        let balancers = self.peers.len();
        let confirmed_at = now - self.catalogue.confirmed_ago(now).unwrap_or(Span(now.0));
        let unconfirmed_span = now.since(confirmed_at.max(self.started));
        let spread = if self.peers.live(now).next().is_some() {
            Span(options.store_takeover_spacing.0 * balancers as u64)
        } else {
            Span::ZERO
        };
        let takeover_delay = stagger(self.identity.address, spread);
        let access = if unconfirmed_span <= Span(options.stale_after.0 + takeover_delay.0) {
            StoreAccess::None
        } else {
            StoreAccess::Follow {
                max_backoff: options.store_access.takeover_backoff(balancers),
            }
        };
        let behind_for = self.catalogue.behind_for(now);
        options
            .store_access
            .catch_up(access, self.identity.address, balancers, behind_for)
    }

    /// Starts to stop: the host is announced as draining.
    pub fn stop(&mut self, now: Time) {
        self.control.stopping_since.get_or_insert(now);
        self.control.next_announcement = Time::ZERO;
    }

    /// Returns whether a stopping agent can exit: its flows have ended and `stop_linger` has
    /// elapsed, or `stop_timeout` has.
    #[must_use]
    pub fn can_exit(&self, now: Time) -> bool {
        self.control.stopping_since.is_some_and(|since| {
            let waited = now.since(since);
            waited >= self.options.stop_timeout
                || (waited >= self.options.stop_linger && self.flows.active() == 0)
        })
    }

    /// Returns the messages that announce the exit of the agent. There are none if its host may hold
    /// flows, for which balancers and agents must still look.
    pub fn departure_messages(&mut self, now: Time) -> Vec<OutgoingMessage> {
        if self.flows.held() > 0 || self.may_hold_unknown_flows(now) {
            return Vec::new();
        }
        let own_address = self.identity.address;
        let announcement = PeerMessage::Announcement(Announcement {
            state: HostState::Gone,
            ..self.announcement(now)
        });
        let departure = PeerMessage::Departure(AgentDeparture { agent: own_address });
        let agents: Vec<Ipv4Addr> = self
            .service_hosts
            .iter()
            .map(|host| host.agent)
            .filter(|agent| *agent != own_address)
            .collect();
        info!(event = "departure", agents = agents.len(); "agent exits: its host holds no flows");
        OutgoingMessage::to_each(self.peers.addresses(), &announcement)
            .chain(OutgoingMessage::to_each(agents, &departure))
            .collect()
    }

    /// Applies changed seeds of the settings. If any is new, the next tick announces the host.
    pub fn set_seeds(&mut self, now: Time, seeds: &[Ipv4Addr]) {
        if self.peers.set_seeds(now, seeds) {
            self.control.next_announcement = Time::ZERO;
        }
    }

    /// Returns the numbers of active flows, of known hosts of the service and of known balancers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (
            self.flows.active(),
            self.service_hosts.len(),
            self.peers.len(),
        )
    }

    fn on_balancer_heartbeat(
        &mut self,
        now: Time,
        heartbeat: BalancerHeartbeat,
    ) -> Vec<OutgoingMessage> {
        let added = self.peers.on_heartbeat(now, &heartbeat);
        self.load_balancers
            .on_balancer_heartbeat(heartbeat.balancer);
        self.control.last_balancer_contact = Some(now);
        self.catalogue.compare_with_balancer(now, &heartbeat);
        if heartbeat.is_informed && !self.control.has_snapshot {
            self.control.snapshot_source = Some(heartbeat.balancer);
        }
        if let Some(status) = heartbeat.domain_status {
            self.on_domain_status(now, status);
        }
        if !heartbeat.hosts.is_empty() {
            self.apply_host_list(now, heartbeat.hosts);
        }
        // An answer without a list confirms the present one.
        self.touch_listed_agents(now);
        let mut receivers = added;
        if heartbeat.wants_answer && !receivers.contains(&heartbeat.balancer) {
            receivers.push(heartbeat.balancer);
        }
        let mut outgoing = Vec::from_iter(self.request_balancer_list(now, heartbeat.balancer));
        if !receivers.is_empty() {
            let message = PeerMessage::Announcement(self.announcement(now));
            outgoing.extend(OutgoingMessage::to_each(receivers, &message));
        }
        outgoing
    }

    /// Returns the messages to all balancers: announcements for [`REPEAT_SPAN`] after a change of
    /// the state and while no balancer is live, otherwise heartbeats, which only refer to the
    /// announced state. Each time, another live balancer is asked for the hosts of the service, and
    /// some of those that are not live, which may run and have had no reason to send anything; when
    /// none is live, all balancers are asked.
    fn announcements(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let balancers: Vec<Ipv4Addr> = self.peers.addresses().collect();
        let live: Vec<Ipv4Addr> = self.peers.live(now).collect();
        let announcement = self.announcement(now);
        let load = self.host_load(now);
        let turn = usize::try_from(self.control.sequence).unwrap_or_default();
        let asked_balancer = live.get(turn % live.len().max(1)).copied();
        let interval = self.announcement_interval();
        let asked_silent = self.peers.choose_silent(now, interval);
        let sends_announcement =
            asked_balancer.is_none() || now.since(self.control.last_change) <= REPEAT_SPAN;
        balancers
            .into_iter()
            .map(|to| {
                let is_asked =
                    asked_balancer.is_none_or(|asked| asked == to) || asked_silent.contains(&to);
                let asks_hosts = is_asked.then_some(self.control.hosts_digest);
                let message = if sends_announcement {
                    PeerMessage::Announcement(Announcement {
                        asks_hosts,
                        ..announcement.clone()
                    })
                } else {
                    let heartbeat = AgentHeartbeat {
                        agent: announcement.agent,
                        process: announcement.process,
                        sequence: announcement.sequence,
                        revision: announcement.revision,
                        asks_hosts,
                    };
                    self.heartbeat_to(now, to, heartbeat, load)
                };
                OutgoingMessage { to, message }
            })
            .collect()
    }

    /// Returns the interval of announcements, which grows with the number of balancers.
    pub(super) fn announcement_interval(&self) -> Span {
        let options = &self.options;
        paced_interval(
            options.announcement_interval,
            self.peers.len(),
            options.max_announcements_per_s,
        )
    }

    /// Returns an announcement of the present state with the next sequence number. The revision
    /// increases when the state differs from the last announcement.
    fn announcement(&mut self, now: Time) -> Announcement {
        self.control.sequence += 1;
        let last = self.control.last_announcement.take();
        let revision = last.as_ref().map_or(0, |last| last.revision);
        let mut announcement = Announcement {
            agent: self.identity.address,
            process: self.identity.process_run,
            sequence: self.control.sequence,
            revision,
            service: self.identity.service.clone(),
            domain: self.identity.domain.clone(),
            run: self.host.as_ref().map(|host| host.run).unwrap_or_default(),
            state: self.host_state(now),
            catalogue: self.catalogue.version(),
            interval_ms: as_millis_u16(self.announcement_interval()),
            rerouted_addresses: self.control.rerouted_addresses.clone(),
            asks_hosts: None,
        };
        let is_unchanged = last.is_some_and(|last| {
            last == Announcement {
                sequence: last.sequence,
                ..announcement.clone()
            }
        });
        if !is_unchanged {
            announcement.revision += 1;
            self.control.last_change = now;
        }
        self.control.last_announcement = Some(announcement.clone());
        announcement
    }

    /// Logs when the backend server starts to fail requests, and when it has recovered.
    fn log_outcomes(&mut self, now: Time) {
        let admitted_share = self.outcomes.admitted_share(now);
        let is_change = if self.control.is_failing {
            admitted_share >= 1.0
        } else {
            admitted_share < FAILING_ADMITTED_SHARE
        };
        if !is_change {
            return;
        }
        self.control.is_failing = !self.control.is_failing;
        let (answered, failed) = self.outcomes.totals();
        if self.control.is_failing {
            warn!(event = "host_failing", admitted_share, answered, failed; "backend server is failing requests; most new flows go to other hosts");
        } else {
            info!(event = "host_recovered", answered, failed; "backend server has recovered; it gets its full share of new flows");
        }
    }

    /// Returns the state of the host to announce.
    fn host_state(&self, now: Time) -> HostState {
        let Some(host) = &self.host else {
            // Without a backend server there is no flow to look up here.
            return if self.absent_server_at.is_some() {
                HostState::Gone
            } else {
                HostState::Starting
            };
        };
        match host.state {
            HostReportState::Gone => HostState::Gone,
            HostReportState::Draining => HostState::Draining,
            HostReportState::Ready if self.control.is_stopping() => HostState::Draining,
            HostReportState::Ready if self.is_suspected(now) => HostState::Starting,
            HostReportState::Ready => HostState::Ready,
        }
    }
}
