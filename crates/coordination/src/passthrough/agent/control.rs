//! Reports of the backend server, control messages, and the end of an agent.

use {
    super::{Action, Agent, ColdBucket, Host, HostReportState, Phase, ReportOutcome},
    crate::passthrough::{OutgoingMessage, as_millis_u16, paced_interval},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        control::HostState,
        passthrough::{
            AgentHeartbeat, Announcement, BalancerHeartbeat, CatalogueDocument, DomainStatus,
            HostListDigest, HostReport, PeerMessage, Snapshot,
        },
    },
    log::{info, warn},
    std::net::Ipv4Addr,
};

/// Time after a change of the state in which it is repeated, so that a lost message does not delay
/// it: two intervals.
const REPEAT_SPAN: Span = Span::from_millis(600);

/// Share of new flows below which the log says that the backend server fails requests.
const FAILING_SHARE: f64 = 0.5;

#[derive(Debug, Default)]
pub(super) struct ControlState {
    next_announcement: Time,
    sequence: u64,
    /// State that was announced last.
    announced: Option<Announcement>,
    /// Time at which the state last changed.
    changed: Time,
    /// Digest of the hosts that the agent knows.
    hosts_digest: HostListDigest,
    stopping_since: Option<Time>,
    /// A balancer that has a newer catalogue.
    ahead: Option<Ipv4Addr>,
    last_standing: Option<HostState>,
    /// Whether the log says that the backend server fails requests.
    is_failing: bool,
}

impl ControlState {
    pub const fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }
}

impl Agent {
    /// Processes a report of the backend server; tells whether it is acknowledged. Flows of an
    /// earlier life are reset.
    pub fn on_report(&mut self, now: Time, report: &HostReport, actions: &mut Vec<Action>) -> bool {
        if report.service != self.identity.service || report.address != self.identity.server {
            warn!(event = "report_rejected", instance = &*report.instance, service:% = report.service, address:% = report.address; "report of another backend server");
            return false;
        }
        self.unanswered_since = None;
        self.needs_report = false;
        let Some(host) = &mut self.host else {
            self.host = Some(Host::new(now, report));
            // The first report of a life says that no flow is older than this process.
            self.saw_birth = report.sequence <= 1;
            self.control.next_announcement = Time::ZERO;
            info!(event = "host_known", instance = &*report.instance, sequence = report.sequence, cold_left_ms = report.cold_left_ms; "backend server reported");
            return true;
        };
        let last_report = host.reported;
        let outcome = host.on_report(now, report, self.options.report_timeout);
        match outcome {
            ReportOutcome::Known => return true,
            ReportOutcome::Outdated => {
                info!(event = "report_outdated", instance = &*report.instance, sequence = report.sequence; "report is older than the latest one");
                return false;
            }
            ReportOutcome::NewLife => {
                self.saw_birth = true;
                self.bucket = ColdBucket::empty(now);
                self.outcomes.restart();
                self.reset_flows(last_report, actions);
            }
            ReportOutcome::Changed => {}
        }
        self.control.next_announcement = Time::ZERO;
        info!(event = "host_state", instance = &*report.instance, sequence = report.sequence, state:? = report.state, outcome:? = outcome; "backend server changed");
        true
    }

    /// Processes the departure of the backend server.
    pub fn on_departure(&mut self, instance: &str) {
        if let Some(host) = &mut self.host
            && host.is_instance(instance)
        {
            host.state = HostReportState::Gone;
            self.control.next_announcement = Time::ZERO;
            info!(event = "host_gone", instance; "backend server left");
        }
    }

    /// Does what is due and returns the messages to send.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let standing = self.standing(now);
        if self.control.last_standing != Some(standing) {
            self.control.last_standing = Some(standing);
            self.control.next_announcement = Time::ZERO;
            info!(event = "standing", standing:? = standing, open_flows = self.flows.active(); "state of the host as announced");
        }
        self.log_outcomes(now);
        if now < self.control.next_announcement {
            return Vec::new();
        }
        self.control.next_announcement =
            self.peers
                .next_sign(now, self.announce_interval(), self.options.search_interval);
        self.peers.expire(now);
        let options = self.options;
        self.flows.expire(|entry| {
            let idle = now.since(entry.used);
            match entry.phase {
                Phase::Open if entry.caller_acknowledgment.is_some() => {
                    idle > options.keep_idle_for
                }
                _ => idle > options.keep_ended_for,
            }
        });
        self.announcements(now)
    }

    /// Processes a control message and returns the answers.
    pub fn on_message(&mut self, now: Time, message: PeerMessage) -> Vec<OutgoingMessage> {
        match message {
            PeerMessage::BalancerHeartbeat(view) => self.on_view(now, view),
            PeerMessage::Owner(owner) => {
                self.on_owner(now, owner.flow, owner.agent);
                Vec::new()
            }
            PeerMessage::Announcement(_) | PeerMessage::Heartbeat(_) => Vec::new(),
        }
    }

    /// Takes over a catalogue.
    pub fn on_catalogue(&mut self, document: CatalogueDocument) {
        if self.catalogue.apply_document(document) {
            self.control.next_announcement = Time::ZERO;
        }
    }

    /// Takes over which failure domains are out.
    pub fn on_domain_status(&mut self, standing: DomainStatus) {
        self.catalogue.apply_standing(standing);
    }

    /// Notes that the store confirmed catalogue and failure domains at a time.
    pub fn on_store_confirmed(&mut self, asked: Time) {
        self.catalogue.confirm(asked);
    }

    /// Takes over what a balancer knows.
    pub fn on_snapshot(&mut self, now: Time, snapshot: Snapshot) {
        self.control.ahead = None;
        if let Some(document) = snapshot.catalogue {
            self.on_catalogue(document);
        }
        if let Some(standing) = snapshot.domain_status {
            self.on_domain_status(standing);
        }
        self.peers.add_all(now, snapshot.balancers);
    }

    /// Returns the balancer to copy from, if it has what this agent lacks.
    #[must_use]
    pub const fn snapshot_source(&mut self) -> Option<Ipv4Addr> {
        self.control.ahead.take()
    }

    /// Tells whether the agent has to read the store itself, because no balancer confirms its
    /// catalogue.
    #[must_use]
    pub fn should_read_store(&self, now: Time) -> bool {
        now.since(self.started) > self.options.stale_after
            && self
                .catalogue
                .confirmed_ago(now)
                .is_none_or(|ago| ago > self.options.stale_after)
    }

    /// Begins to stop.
    pub fn stop(&mut self, now: Time) {
        self.control.stopping_since.get_or_insert(now);
        self.control.next_announcement = Time::ZERO;
    }

    /// Tells whether a stopping agent may end.
    #[must_use]
    pub fn can_exit(&self, now: Time) -> bool {
        self.control.stopping_since.is_some_and(|since| {
            let waited = now.since(since);
            waited >= self.options.stop_timeout
                || (waited >= self.options.stop_linger && self.flows.active() == 0)
        })
    }

    /// Adds processes that may be balancers, and announces the host to new ones at once.
    pub fn add_balancers(&mut self, now: Time, balancers: impl IntoIterator<Item = Ipv4Addr>) {
        if self.peers.add_all(now, balancers) {
            self.control.next_announcement = Time::ZERO;
        }
    }

    /// Returns the number of active flows, hosts and balancers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.flows.active(), self.others.len(), self.peers.len())
    }

    fn on_view(&mut self, now: Time, view: BalancerHeartbeat) -> Vec<OutgoingMessage> {
        let added = self.peers.on_view(now, &view);
        if self.catalogue.compare(now, &view) {
            self.control.ahead = Some(view.balancer);
        }
        if let Some(standing) = view.domain_status {
            self.on_domain_status(standing);
        }
        if !view.hosts.is_empty() {
            self.control.hosts_digest = HostListDigest::of(&view.hosts);
            self.others = view.hosts;
        }
        let mut receivers = added;
        if view.wants_answer && !receivers.contains(&view.balancer) {
            receivers.push(view.balancer);
        }
        if receivers.is_empty() {
            return Vec::new();
        }
        let message = PeerMessage::Announcement(self.announcement(now));
        OutgoingMessage::to_each(receivers, &message).collect()
    }

    /// Resets the flows that were open before the last report of an earlier life. Later ones may
    /// belong to the present life; the backend server returns their packets if they do not.
    fn reset_flows(&mut self, last_report: Time, actions: &mut Vec<Action>) {
        let lost = self
            .flows
            .take(|entry| entry.is_active() && entry.opened < last_report);
        let resets = lost.into_iter().filter_map(|(flow, entry)| {
            matches!(entry.phase, Phase::Open)
                .then_some(entry.caller_acknowledgment)
                .flatten()
                .map(|sequence| Action::Reset { flow, sequence })
        });
        actions.extend(resets);
    }

    /// Tells all balancers the state for a while after it has changed, and otherwise only that it
    /// is the same. One balancer at a time, in turn, is asked for the hosts of the service.
    fn announcements(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let balancers: Vec<Ipv4Addr> = self.peers.addresses().collect();
        let live: Vec<Ipv4Addr> = self.peers.live(now).collect();
        let announcement = self.announcement(now);
        let turn = usize::try_from(self.control.sequence).unwrap_or_default();
        let asked = live.get(turn % live.len().max(1)).copied();
        let tells_state = asked.is_none() || now.since(self.control.changed) <= REPEAT_SPAN;
        balancers
            .into_iter()
            .map(|to| {
                let asks_hosts = asked
                    .is_none_or(|asked| asked == to)
                    .then_some(self.control.hosts_digest);
                let message = if tells_state {
                    PeerMessage::Announcement(Announcement {
                        asks_hosts,
                        ..announcement.clone()
                    })
                } else {
                    PeerMessage::Heartbeat(AgentHeartbeat {
                        agent: announcement.agent,
                        process: announcement.process,
                        sequence: announcement.sequence,
                        revision: announcement.revision,
                        asks_hosts,
                    })
                };
                OutgoingMessage { to, message }
            })
            .collect()
    }

    fn announce_interval(&self) -> Span {
        let options = &self.options;
        paced_interval(
            options.announce_interval,
            self.peers.len(),
            options.announcements_per_s,
        )
    }

    /// Returns the present state with the next number.
    fn announcement(&mut self, now: Time) -> Announcement {
        self.control.sequence += 1;
        let last = self.control.announced.take();
        let revision = last.as_ref().map_or(0, |last| last.revision);
        let mut announcement = Announcement {
            agent: self.identity.address,
            process: self.identity.process_run,
            sequence: self.control.sequence,
            revision,
            service: self.identity.service.clone(),
            domain: self.identity.domain.clone(),
            run: self.host.as_ref().map(|host| host.life).unwrap_or_default(),
            state: self.standing(now),
            catalogue: self.catalogue.version(),
            interval_ms: as_millis_u16(self.announce_interval()),
            asks_hosts: None,
        };
        let is_same = last.is_some_and(|last| {
            last == Announcement {
                sequence: last.sequence,
                ..announcement.clone()
            }
        });
        if !is_same {
            announcement.revision += 1;
            self.control.changed = now;
        }
        self.control.announced = Some(announcement.clone());
        announcement
    }

    /// Logs when the backend server begins to fail requests, and when it has recovered.
    fn log_outcomes(&mut self, now: Time) {
        let admitted_share = self.outcomes.admitted_share(now);
        let is_change = if self.control.is_failing {
            admitted_share >= 1.0
        } else {
            admitted_share < FAILING_SHARE
        };
        if !is_change {
            return;
        }
        self.control.is_failing = !self.control.is_failing;
        let (answered, failed) = self.outcomes.totals();
        if self.control.is_failing {
            warn!(event = "host_failing", admitted_share, answered, failed; "backend server fails requests; most new flows go to other hosts");
        } else {
            info!(event = "host_recovered", answered, failed; "backend server answers again");
        }
    }

    fn standing(&self, now: Time) -> HostState {
        let Some(host) = &self.host else {
            return HostState::Starting;
        };
        match host.state {
            HostReportState::Gone => HostState::Gone,
            HostReportState::Draining => HostState::Draining,
            HostReportState::Ready if self.control.is_stopping() => HostState::Draining,
            HostReportState::Ready if self.is_silent(now) => HostState::Starting,
            HostReportState::Ready => HostState::Ready,
        }
    }
}
