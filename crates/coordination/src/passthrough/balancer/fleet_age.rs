//! Whether all processes of the fleet have started a short time ago, as after a loss of power.
//!
//! Processes that have all started a short time ago cannot name the agents that existed before. They
//! may conclude that these have lost their flows only if nothing of the fleet has survived; otherwise
//! an agent that is cut off may run on with its host. A balancer that has started recently asks a
//! sample of the agents and balancers, and tells the agents what it found.

use {
    super::Balancer,
    crate::passthrough::{OutgoingMessage, rendezvous_score},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentList, AgentListRequest, ListedAgent, MAX_LISTED_AGENTS, PeerMessage, ServiceTag,
    },
    std::{cmp::Reverse, collections::BTreeSet, net::Ipv4Addr},
};

/// Interval of the samples until enough processes have answered, and afterwards.
const SAMPLE_INTERVAL: Span = Span::from_millis(250);
const REPEATED_SAMPLE_INTERVAL: Span = Span::from_secs(2);

/// Processes in a sample, and answers without which nothing is known of the fleet.
const SAMPLE_LEN: usize = 8;

/// What this process has learned about the age of others since its start.
#[derive(Debug, Default)]
pub(super) struct FleetAge {
    next_sample: Time,
    /// Processes that have answered that they started a short time ago too.
    new_processes: BTreeSet<Ipv4Addr>,
    has_older_process: bool,
    /// Whether this process started with all others, so that every flow was opened since then.
    has_started_with_fleet: bool,
}

impl Balancer {
    /// Returns the questions to the next sample of processes, if this process has started a short time
    /// ago and knows of none that is older.
    pub(super) fn sample_fleet_age(&mut self, now: Time) -> Vec<OutgoingMessage> {
        if self.is_older_than_retention(now)
            || self.fleet_age.has_older_process
            || now < self.fleet_age.next_sample
        {
            return Vec::new();
        }
        let interval = if self.is_fleet_new(now) {
            REPEATED_SAMPLE_INTERVAL
        } else {
            SAMPLE_INTERVAL
        };
        self.fleet_age.next_sample = now + interval;
        let agents = self.hosts.iter().map(|record| record.announcement.agent);
        let mut processes: Vec<Ipv4Addr> = agents.chain(self.peers.live(now)).collect();
        processes.sort_by_cached_key(|process| Reverse(rendezvous_score(now.0, *process)));
        processes.truncate(SAMPLE_LEN);
        let request = AgentListRequest {
            agent: self.own_address,
        };
        OutgoingMessage::to_each(processes, &PeerMessage::AgentListRequest(request)).collect()
    }

    /// Records the answer of a process to a sample.
    pub(super) fn on_agent_list(&mut self, now: Time, list: &AgentList) {
        let fleet_age = &mut self.fleet_age;
        fleet_age.has_older_process |= list.is_complete;
        if fleet_age.new_processes.len() < 4 * SAMPLE_LEN {
            fleet_age.new_processes.insert(list.agent);
        }
        if !self.is_older_than_retention(now) {
            self.fleet_age.has_started_with_fleet = self.is_fleet_new(now);
        }
    }

    /// Answers a process that has started a short time ago: with the hosts of its service if this
    /// process is older, or whether the whole fleet is new.
    pub(super) fn on_list_request(
        &self,
        now: Time,
        request: AgentListRequest,
    ) -> Vec<OutgoingMessage> {
        let record = self.hosts.get(request.agent);
        let service = record.map(|record| &record.announcement.service);
        let is_older = self.is_older_than_retention(now);
        // The receiver knows the list of a young process from its heartbeats.
        let hosts = service
            .into_iter()
            .filter(|_| is_older)
            .flat_map(|service| {
                let hosts = self.hosts.of_service(service);
                hosts.map(|record| record.announcement.agent)
            });
        let agents: BTreeSet<Ipv4Addr> = hosts.collect();
        if agents.len() > MAX_LISTED_AGENTS {
            return Vec::new();
        }
        let message = PeerMessage::AgentList(AgentList {
            agent: self.own_address,
            service: service.map_or(ServiceTag(0), ServiceTag::from),
            is_complete: is_older,
            is_fleet_new: self.is_fleet_new(now),
            agents: agents
                .into_iter()
                .map(|agent| ListedAgent {
                    agent,
                    listed_ago_ms: 0,
                })
                .collect(),
        });
        OutgoingMessage::to_each([request.agent], &message).collect()
    }

    /// Returns whether this process remembers every agent that was silent for as long as one may still
    /// own flows.
    fn is_older_than_retention(&self, now: Time) -> bool {
        now.since(self.started) > self.options.hosts.forget_after
    }

    /// Returns whether this process knows every former target of a route whose flows may still be open:
    /// it has run for longer than any flow, or every flow was opened since it started.
    pub(super) fn knows_former_targets(&self, now: Time) -> bool {
        self.fleet_age.has_started_with_fleet
            || now.since(self.started) > self.options.hosts.max_flow_duration
    }

    /// Returns whether a sample of the fleet consists of new processes only.
    fn is_fleet_new(&self, now: Time) -> bool {
        let required = SAMPLE_LEN.min(self.hosts.len() / 2 + 1);
        !self.is_older_than_retention(now)
            && !self.fleet_age.has_older_process
            && self.fleet_age.new_processes.len() >= required
    }
}
