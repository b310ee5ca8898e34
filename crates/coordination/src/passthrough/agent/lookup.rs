//! Owner lookups in progress, and the proof that no host holds a flow.
//!
//! Load pattern: after a power loss, or a crash of hosts, callers send their next request on flows
//! that no host holds any more. Without an answer each of them waits until its deadline; with a
//! reset it can open another flow at once. Silence of a single agent is no proof: its host may still
//! hold the flow. A process that has started recently does not know the agents that were silent
//! since; it needs to see that all backend servers have started recently too.

use {
    super::Action,
    crate::passthrough::FlowCache,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{AgentSetDigest, FlowAbsence, FlowId},
    log::debug,
    std::{collections::BTreeSet, net::Ipv4Addr},
};

/// Maximum number of lookups in progress.
const CAPACITY: usize = 4_096;

/// Time after which a lookup that is not complete is given up. The caller retransmits its packet
/// sooner, which starts the lookup anew.
const TTL: Span = Span::from_millis(1_000);

#[derive(Debug)]
struct Lookup {
    acknowledgment: u32,
    known_agents: AgentSetDigest,
    /// Agents that have not stated that their host does not hold the flow.
    pending: BTreeSet<Ipv4Addr>,
    requires_new_servers: bool,
}

/// Parameters of an owner lookup.
#[derive(Debug)]
pub(super) struct LookupQuery {
    pub flow: FlowId,
    /// Acknowledgment number of the packet.
    pub acknowledgment: u32,
    /// Agents of the service that this agent knows.
    pub known_agents: AgentSetDigest,
    /// Agents that may own the flow: the known ones, and those that were known a short time ago.
    pub asked_agents: BTreeSet<Ipv4Addr>,
    /// Whether the flow can only be lost if all backend servers have started a short time ago.
    pub requires_new_servers: bool,
}

/// Owner lookups that this agent has started.
#[derive(Debug)]
pub(super) struct OwnerLookups {
    lookups: FlowCache<Lookup>,
}

impl Default for OwnerLookups {
    fn default() -> Self {
        Self {
            lookups: FlowCache::new(CAPACITY, TTL),
        }
    }
}

impl OwnerLookups {
    /// Starts a lookup, in place of an earlier one of the same flow.
    pub fn start(&mut self, now: Time, query: LookupQuery) {
        let lookup = Lookup {
            acknowledgment: query.acknowledgment,
            known_agents: query.known_agents,
            pending: query.asked_agents,
            requires_new_servers: query.requires_new_servers,
        };
        self.lookups.insert(now, query.flow, lookup);
    }

    /// Ends the lookup of a flow, because its owner is known.
    pub fn cancel(&mut self, flow: &FlowId) {
        self.lookups.remove(flow);
    }

    /// Records that a host does not hold a flow. When this was the last host of the service, and all
    /// agents know the same ones, returns the reset that informs the caller. An agent that knows
    /// other agents, or has an old backend server where a new one is required, ends the lookup
    /// without a result.
    pub fn on_absence(&mut self, now: Time, absence: &FlowAbsence) -> Option<Action> {
        let lookup = self
            .lookups
            .touch(now, &absence.flow)
            .filter(|lookup| lookup.acknowledgment == absence.acknowledgment)?;
        if lookup.known_agents != absence.known_agents
            || (lookup.requires_new_servers && !absence.is_server_new)
        {
            debug!(
                event = "lookup_undecided", flow:% = absence.flow, agent:% = absence.agent,
                known_agents:% = lookup.known_agents, their_agents:% = absence.known_agents,
                is_server_new = absence.is_server_new;
                "owner lookup ended without a result"
            );
            self.lookups.remove(&absence.flow);
            return None;
        }
        lookup.pending.remove(&absence.agent);
        debug!(
            event = "flow_denied", flow:% = absence.flow, agent:% = absence.agent,
            pending:? = lookup.pending;
            "an agent does not hold the flow that is looked up"
        );
        if !lookup.pending.is_empty() {
            return None;
        }
        self.lookups.remove(&absence.flow);
        Some(Action::Reset {
            flow: absence.flow,
            sequence: absence.acknowledgment,
        })
    }
}
