//! Owner lookups in progress, and the proof that no host of the service holds a flow.
//!
//! Load pattern: after a power loss, or a crash of hosts, callers send their next request on flows
//! that no host holds any more. Without an answer each of them waits until its deadline; with a
//! reset it can open another flow at once. Silence of a single agent is no proof: its host may still
//! hold the flow. A process that has started recently does not know the agents that were silent
//! since; it needs the list of an older agent, or to see that all backend servers have started
//! recently too.

use {
    super::agent_lists::{AskedAgents, KnownLists},
    crate::passthrough::{FlowCache, LookupOutcome, LookupOutcomes},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowAbsence, FlowId},
    log::{debug, info},
    std::{collections::BTreeSet, net::Ipv4Addr},
};

/// Maximum number of lookups in progress.
const CAPACITY: usize = 4_096;

/// Time after which a lookup that is not complete is given up. The caller retransmits its packet
/// sooner, which asks the agents again that have not answered.
const TTL: Span = Span::from_millis(1_000);

/// Lookups that an agent starts per second, and in a burst. The hosts of the design scale hold some
/// 2,000 flows each, whose callers send their next requests over several seconds.
const MAX_LOOKUPS_PER_S: u64 = 1_000;

#[derive(Debug)]
struct Lookup {
    acknowledgment: u32,
    asked: AskedAgents,
    /// Agents that have stated that their host does not hold the flow. The statement stays true, so
    /// that it counts for retransmissions of the packet too.
    denied: BTreeSet<Ipv4Addr>,
    requires_new_servers: bool,
    answer_to: Option<Ipv4Addr>,
}

impl Lookup {
    fn silent_agents(&self) -> Vec<Ipv4Addr> {
        let silent = self.asked.agents.difference(&self.denied);
        silent.copied().collect()
    }
}

/// Parameters of an owner lookup.
#[derive(Debug)]
pub(super) struct LookupQuery {
    pub flow: FlowId,
    /// Acknowledgment number of the packet.
    pub acknowledgment: u32,
    /// Agents that may own the flow.
    pub asked: AskedAgents,
    /// Whether the flow can only be lost if all backend servers have started a short time ago.
    pub requires_new_servers: bool,
    /// Balancer that collects the statements of all services, if hosts of other services may hold the
    /// flow.
    pub answer_to: Option<Ipv4Addr>,
}

/// What follows from the statement of an agent.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum LookupStep {
    /// The lookup goes on, or there is none.
    Pending,
    /// No host of the service holds the flow, and no other service can.
    Lost,
    /// No host of the service holds the flow; the balancer is informed.
    ServiceLost(Ipv4Addr),
    /// The lookup ended without a result. The list of the agent may tell what is missing.
    NeedsList,
}

/// Owner lookups that this agent has started.
#[derive(Debug)]
pub(super) struct OwnerLookups {
    lookups: FlowCache<Lookup>,
    pub outcomes: LookupOutcomes,
    /// Theoretical time of the next lookup at the maximum rate (generic cell rate algorithm).
    next_start: Time,
}

impl Default for OwnerLookups {
    fn default() -> Self {
        Self {
            lookups: FlowCache::new(CAPACITY, TTL),
            outcomes: LookupOutcomes::default(),
            next_start: Time::ZERO,
        }
    }
}

impl OwnerLookups {
    /// Starts a lookup. An earlier one of the same packet continues: agents that have answered it are
    /// not needed again.
    pub fn start(&mut self, now: Time, query: LookupQuery) {
        if !self.is_within_rate(now) {
            self.outcomes.record(now, LookupOutcome::Limited);
            return;
        }
        let previous = self
            .lookups
            .touch(now, &query.flow)
            .filter(|lookup| lookup.acknowledgment == query.acknowledgment);
        let mut denied = BTreeSet::new();
        if let Some(previous) = previous {
            denied = std::mem::take(&mut previous.denied);
            let silent: Vec<Ipv4Addr> =
                previous.asked.agents.difference(&denied).copied().collect();
            if self.outcomes.record(now, LookupOutcome::AgentSilent) {
                info!(
                    event = "lookup_undecided", flow:% = query.flow,
                    cause = LookupOutcome::AgentSilent.label(), agents:? = silent;
                    "packet of an unknown flow was retransmitted before all agents answered"
                );
            }
        }
        let lookup = Lookup {
            acknowledgment: query.acknowledgment,
            asked: query.asked,
            denied,
            requires_new_servers: query.requires_new_servers,
            answer_to: query.answer_to,
        };
        self.lookups.insert(now, query.flow, lookup);
    }

    /// Records that a flow is not looked up, because this process does not know the agents that were
    /// listed before it started, and other processes are older.
    pub fn on_older_fleet(&mut self, now: Time, flow: &FlowId) {
        let outcome = LookupOutcome::OlderProcess;
        if self.outcomes.record(now, outcome) {
            info!(
                event = "lookup_undecided", flow:%, cause = outcome.label();
                "agents that were listed before the start of this process are not known yet"
            );
        }
    }

    /// Ends the lookup of a flow, because its owner is known.
    pub fn on_owner(&mut self, now: Time, flow: &FlowId) {
        if self.lookups.touch(now, flow).is_some() {
            self.lookups.remove(flow);
            self.outcomes.record(now, LookupOutcome::OwnerFound);
        }
    }

    /// Records that a host does not hold a flow. An agent that knows agents which were not asked, or
    /// has an old backend server where a new one is required, ends the lookup without a result.
    pub fn on_absence(
        &mut self,
        now: Time,
        absence: &FlowAbsence,
        lists: &KnownLists,
    ) -> LookupStep {
        let Some(lookup) = self
            .lookups
            .touch(now, &absence.flow)
            .filter(|lookup| lookup.acknowledgment == absence.acknowledgment)
        else {
            return LookupStep::Pending;
        };
        let is_covered = lists.covers(&lookup.asked, absence.agent, absence.known_agents);
        if !is_covered || (lookup.requires_new_servers && !absence.is_server_new) {
            self.lookups.remove(&absence.flow);
            let outcome = if is_covered {
                LookupOutcome::OldServer
            } else {
                LookupOutcome::ListsDiffer
            };
            if self.outcomes.record(now, outcome) {
                info!(
                    event = "lookup_undecided", flow:% = absence.flow, cause = outcome.label(),
                    agent:% = absence.agent, their_agents:% = absence.known_agents,
                    is_server_new = absence.is_server_new;
                    "owner lookup ended without a result"
                );
            }
            return LookupStep::NeedsList;
        }
        lookup.denied.insert(absence.agent);
        let pending = lookup.silent_agents();
        debug!(
            event = "flow_denied", flow:% = absence.flow, agent:% = absence.agent, pending:? = pending,
            known_agents:% = absence.known_agents;
            "an agent does not hold the flow that is looked up"
        );
        if !pending.is_empty() {
            return LookupStep::Pending;
        }
        let (answer_to, denied) = (lookup.answer_to, lookup.denied.len());
        let requires_new_servers = lookup.requires_new_servers;
        self.lookups.remove(&absence.flow);
        let outcome = if answer_to.is_some() {
            LookupOutcome::ServiceLost
        } else {
            LookupOutcome::Lost
        };
        if self.outcomes.record(now, outcome) {
            info!(
                event = "lookup_lost", flow:% = absence.flow, outcome = outcome.label(), denied,
                requires_new_servers;
                "no host of the service holds a flow: all its agents have stated so"
            );
        }
        answer_to.map_or(LookupStep::Lost, LookupStep::ServiceLost)
    }

    /// Returns whether another lookup is within the maximum rate, and accounts for it.
    fn is_within_rate(&mut self, now: Time) -> bool {
        let interval = Span::from_micros(1_000_000 / MAX_LOOKUPS_PER_S);
        let earliest = now - Span(interval.0 * MAX_LOOKUPS_PER_S);
        let next_start = self.next_start.max(earliest);
        if next_start > now {
            return false;
        }
        self.next_start = next_start + interval;
        true
    }
}
