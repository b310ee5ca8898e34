//! Agents that may hold flows of the service: those that balancers list, those that were listed a
//! short time ago, and those that other agents name.

use {
    super::{Action, Agent},
    crate::passthrough::OutgoingMessage,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentList, AgentListRequest, AgentSetDigest, ListedAgent, MAX_LISTED_AGENTS, PeerMessage,
    },
    log::debug,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
    },
};

/// Maximum number of lists of other agents that are kept.
const MAX_LISTS: usize = 16;

/// Least time between two requests for a list, so that a burst of lookups sends few of them.
const REQUEST_INTERVAL: Span = Span::from_millis(20);

/// Least time for which the statement of a balancer about the age of the fleet is valid.
const FLEET_AGE_VALIDITY: Span = Span::from_secs(5);

/// Least time between two questions to balancers while such a statement is valid, and otherwise.
const FLEET_AGE_INTERVAL: Span = Span::from_secs(2);
const FIRST_FLEET_AGE_INTERVAL: Span = Span::from_millis(200);

/// Least time between two requests for the list of the same agent.
const SAME_AGENT_INTERVAL: Span = Span::from_millis(500);

/// Agents that are asked in a lookup.
#[derive(Clone, Debug)]
pub(super) struct AskedAgents {
    pub agents: BTreeSet<Ipv4Addr>,
    /// Digest of the present list of the agent that asks. The previous release sends the digest of
    /// this list in its statements.
    pub list: AgentSetDigest,
}

/// Lists of other agents of the service.
#[derive(Debug, Default)]
pub(super) struct KnownLists {
    /// Agents of the lists by digest, with the time of arrival.
    lists: BTreeMap<AgentSetDigest, (Time, BTreeSet<Ipv4Addr>)>,
    /// Whether an agent that has run for long enough has named all agents that may own flows.
    has_complete_list: bool,
    /// Time at which a balancer last stated that all processes have started a short time ago.
    fleet_new_at: Option<Time>,
    /// Whether this process started with all others, so that every flow was opened since then.
    has_started_with_fleet: bool,
    requested_at: BTreeMap<Ipv4Addr, Time>,
    balancer_asked_at: Option<Time>,
    last_request: Option<Time>,
}

impl KnownLists {
    /// Returns whether the agents that `agent` knows, of which it sent the digest, were all asked. This
    /// is known of lists that equal the asked agents or the present list here, except for one agent
    /// that the other one does not know or for itself, and of lists that have arrived.
    pub fn covers(&self, asked: &AskedAgents, agent: Ipv4Addr, digest: AgentSetDigest) -> bool {
        if digest == asked.list {
            return true;
        }
        let all_asked: AgentSetDigest = asked.agents.iter().copied().collect();
        let is_near = [all_asked, asked.list].into_iter().any(|list| {
            digest == list
                || digest.0 == list.0.wrapping_add(digest_of(agent))
                || asked
                    .agents
                    .iter()
                    .any(|other| list.0 == digest.0.wrapping_add(digest_of(*other)))
        });
        is_near
            || self
                .lists
                .get(&digest)
                .is_some_and(|(_, agents)| agents.is_subset(&asked.agents))
    }

    /// Returns whether the list of an agent may be requested now, and records the request.
    fn should_request(&mut self, now: Time, agent: Ipv4Addr) -> bool {
        let is_recent = |at: Option<&Time>, span: Span| at.is_some_and(|at| now.since(*at) < span);
        if is_recent(self.last_request.as_ref(), REQUEST_INTERVAL)
            || is_recent(self.requested_at.get(&agent), SAME_AGENT_INTERVAL)
        {
            return false;
        }
        self.requested_at
            .retain(|_, at| now.since(*at) < SAME_AGENT_INTERVAL);
        self.requested_at.insert(agent, now);
        self.last_request = Some(now);
        true
    }

    fn insert(&mut self, now: Time, agents: BTreeSet<Ipv4Addr>) {
        let digest = agents.iter().copied().collect();
        if self.lists.len() >= MAX_LISTS
            && let Some(oldest) = self.lists.iter().min_by_key(|(_, (at, _))| *at)
        {
            let oldest = *oldest.0;
            self.lists.remove(&oldest);
        }
        self.lists.insert(digest, (now, agents));
    }
}

fn digest_of(agent: Ipv4Addr) -> u32 {
    AgentSetDigest::from_iter([agent]).0
}

impl Agent {
    /// Returns the agents whose hosts may hold flows of the service: those that are listed, in the
    /// order of the list, and those that were listed a short time ago.
    pub(super) fn possible_owners(&self) -> Vec<Ipv4Addr> {
        let mut agents: Vec<Ipv4Addr> = self.service_hosts.iter().map(|host| host.agent).collect();
        let listed: BTreeSet<Ipv4Addr> = agents.iter().copied().collect();
        let former = self.agents_listed_at.keys();
        agents.extend(former.filter(|agent| !listed.contains(agent)));
        agents
    }

    /// Returns the agents whose statements are needed to prove that no host holds a flow.
    pub(super) fn asked_agents(&self) -> AskedAgents {
        let own_address = self.identity.address;
        let listed = self.service_hosts.iter().map(|host| host.agent);
        let present: BTreeSet<Ipv4Addr> = listed.chain([own_address]).collect();
        let agents = self.possible_owners().into_iter();
        AskedAgents {
            agents: agents.chain([own_address]).collect(),
            list: present.into_iter().collect(),
        }
    }

    /// Returns whether this process knows every agent that was listed within `agent_retention`,
    /// because it has run for longer, or has the list of an agent that has.
    pub(super) fn knows_former_agents(&self, now: Time) -> bool {
        now.since(self.started) > self.options.agent_retention || self.known_lists.has_complete_list
    }

    /// Returns whether a balancer has found a short time ago that no process of the fleet is older than
    /// this one.
    pub(super) fn is_fleet_new(&self, now: Time) -> bool {
        let validity = FLEET_AGE_VALIDITY.max(Span(3 * self.announcement_interval().0));
        self.known_lists
            .fleet_new_at
            .is_some_and(|at| now.since(at) <= validity)
    }

    /// Returns whether this process knows every former target of a route whose flows may still be open:
    /// it has run for longer than any flow, or every flow was opened since it started.
    pub(super) fn knows_former_targets(&self, now: Time) -> bool {
        self.known_lists.has_started_with_fleet
            || now.since(self.started) > self.options.max_flow_duration
    }

    /// Asks a balancer for the agents of the service, and for the age of the fleet, while this process
    /// does not know the agents that were listed before it started.
    pub(super) fn request_balancer_list(
        &mut self,
        now: Time,
        balancer: Ipv4Addr,
    ) -> Option<OutgoingMessage> {
        let interval = if self.is_fleet_new(now) {
            FLEET_AGE_INTERVAL
        } else {
            FIRST_FLEET_AGE_INTERVAL
        };
        let is_due = self
            .known_lists
            .balancer_asked_at
            .is_none_or(|at| now.since(at) >= interval);
        let is_requested = !self.knows_former_agents(now)
            && is_due
            && self.known_lists.should_request(now, balancer);
        if is_requested {
            self.known_lists.balancer_asked_at = Some(now);
        }
        is_requested.then_some(OutgoingMessage {
            to: balancer,
            message: PeerMessage::AgentListRequest(AgentListRequest {
                agent: self.identity.address,
            }),
        })
    }

    /// Returns the request for the list of an agent whose statement ended a lookup.
    pub(super) fn request_list(&mut self, now: Time, agent: Ipv4Addr) -> Option<Action> {
        let is_requested =
            agent != self.identity.address && self.known_lists.should_request(now, agent);
        let request = AgentListRequest {
            agent: self.identity.address,
        };
        is_requested.then_some(Action::Send {
            to: agent,
            message: PeerMessage::AgentListRequest(request),
        })
    }

    /// Returns the request for the list of an agent of the service whose list was not requested a short
    /// time ago.
    pub(super) fn request_any_list(&mut self, now: Time) -> Option<Action> {
        let agents: Vec<Ipv4Addr> = self.service_hosts.iter().map(|host| host.agent).collect();
        agents
            .into_iter()
            .find_map(|agent| self.request_list(now, agent))
    }

    /// Returns the answer to a request for the agents that this agent knows. A list that does not fit a
    /// datagram is not sent.
    pub(super) fn on_list_request(
        &self,
        now: Time,
        request: AgentListRequest,
    ) -> Vec<OutgoingMessage> {
        let agents: Vec<ListedAgent> = self
            .agents_listed_at
            .iter()
            .map(|(agent, listed_at)| ListedAgent {
                agent: *agent,
                listed_ago_ms: u16::try_from(now.since(*listed_at).as_millis()).unwrap_or(u16::MAX),
            })
            .collect();
        if agents.len() > MAX_LISTED_AGENTS {
            return Vec::new();
        }
        let is_same_service = self.agents_listed_at.contains_key(&request.agent);
        let agents = if is_same_service { agents } else { Vec::new() };
        let message = PeerMessage::AgentList(AgentList {
            agent: self.identity.address,
            service: self.tag,
            is_complete: self.knows_former_agents(now) && self.has_recent_contact(now),
            is_fleet_new: false,
            agents,
        });
        OutgoingMessage::to_each([request.agent], &message).collect()
    }

    /// Adds the agents that another agent of the service knows to those that are asked in lookups.
    pub(super) fn on_agent_list(&mut self, now: Time, list: &AgentList) {
        if list.service != self.tag || list.agents.len() > MAX_LISTED_AGENTS {
            return;
        }
        let retention = self.options.agent_retention;
        for entry in &list.agents {
            let listed_ago = Span::from_millis(u64::from(entry.listed_ago_ms));
            if listed_ago > retention {
                continue;
            }
            let listed_at = self.agents_listed_at.entry(entry.agent).or_default();
            *listed_at = (*listed_at).max(now - listed_ago);
        }
        let agents = list.agents.iter().map(|entry| entry.agent);
        self.known_lists
            .insert(now, agents.chain([list.agent]).collect());
        self.known_lists.has_complete_list |= list.is_complete;
        if list.is_fleet_new {
            self.known_lists.fleet_new_at = Some(now);
        }
        if now.since(self.started) <= retention {
            self.known_lists.has_started_with_fleet |= list.is_fleet_new;
            self.known_lists.has_started_with_fleet &= !self.known_lists.has_complete_list;
        }
        debug!(
            event = "agent_list", agent:% = list.agent, agents = list.agents.len(),
            is_complete = list.is_complete;
            "list of agents of another agent accepted"
        );
    }
}
