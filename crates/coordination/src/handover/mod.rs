//! Handover of flow ownership information between the agents of a service.
//!
//! After a table change a flow may hash to a bucket whose first candidate is not the agent that
//! owns the flow. Every agent therefore reports the 5-tuples of its open flows to their first
//! candidates. The first candidate keeps them in a directory, with which it forwards packets to the
//! owners.

mod directory;
mod flow_list;
mod verification;

pub use directory::Owners;

use {
    crate::membership::OutgoingMessage,
    cardamomloom_core::{HostId, Incarnation, ServiceId, Span, Time},
    cardamomloom_protocol::{
        control::Message,
        forward::ForwardHeader,
        packet::{FlowKey, PacketMeta},
    },
    cardamomloom_state::candidates::CandidateTable,
    directory::{Directory, PartId},
    flow_list::FlowLists,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    verification::Verification,
};

/// Another live agent of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Host id of the agent.
    pub host: HostId,
    /// Incarnation of the agent. An agent with a new incarnation has lost its directory.
    pub incarnation: Incarnation,
    /// Address of the control socket of the agent.
    pub control_address: SocketAddr,
}

/// The agents that belong to a candidate table of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Incarnation of this agent.
    pub incarnation: Incarnation,
    /// Agents of the candidates in the table. This agent may be among them and is ignored.
    pub peers: Vec<Peer>,
}

/// Timing and limits of the handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverOptions {
    /// Time after which an unconfirmed part is retransmitted.
    pub retry_interval: Span,
    /// Time after which the flow lists are built anew and sent again completely.
    pub refresh_interval: Span,
    /// Time to live of a directory entry since it was last received. It spans several refreshes.
    pub entry_ttl: Span,
    /// Minimum time between two bursts of parts.
    pub burst_interval: Span,
    /// Maximum number of parts in one burst.
    pub parts_per_burst: usize,
    /// Maximum number of entries in the directory.
    pub max_entries: usize,
    /// Time for which a flow must have been unknown before its packets are answered with a reset.
    /// It exceeds the 3 s within which a change of a host reaches every balancer and agent.
    pub settle_span: Span,
    /// Time after which an unanswered query is retransmitted.
    pub query_retry_interval: Span,
    /// Minimum time between the starts of two query rounds. It bounds the number of queries
    /// whatever the rate of packets of unknown flows.
    pub query_round_interval: Span,
    /// Time for which no flow is reset after an agent left the table without draining. The agent
    /// may be paused or partitioned and still hold its flows. Its restart ends the wait.
    pub vanished_hold_span: Span,
    /// Time after which a record of an unknown flow is removed. It exceeds `settle_span` by the
    /// time of several retransmissions of a caller.
    pub unknown_flow_ttl: Span,
    /// Maximum number of recorded unknown flows.
    pub max_unknown_flows: usize,
}

impl Default for HandoverOptions {
    fn default() -> Self {
        Self {
            retry_interval: Span::from_millis(250),
            refresh_interval: Span::from_secs(60),
            entry_ttl: Span::from_secs(180),
            burst_interval: Span::from_millis(10),
            parts_per_burst: 16,
            max_entries: 200_000,
            settle_span: Span::from_secs(10),
            query_retry_interval: Span::from_millis(500),
            query_round_interval: Span::from_secs(5),
            vanished_hold_span: Span::from_secs(60),
            unknown_flow_ttl: Span::from_secs(120),
            max_unknown_flows: 4_096,
        }
    }
}

/// Progress of the handover at one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverStatus {
    /// Number of flows of other agents in the directory.
    pub directory_entries: usize,
    /// Whether the flow list of every other candidate of the current table was received completely.
    pub is_authoritative: bool,
    /// Whether all other agents have confirmed every part of this agent's flow lists.
    pub is_confirmed: bool,
}

/// Action for a packet whose flow is neither in the agent's own flow table nor in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownFlowAction {
    /// Forward the packet to the next candidate, because another agent may own the flow.
    TryNextCandidate,
    /// Drop the packet: no agent has reported the flow, but the reports may be out of date.
    Drop,
    /// Answer with a reset: every live agent has confirmed that it does not own the flow.
    Reset,
}

/// State machine for both sides of the handover at one agent: the owner side reports this agent's
/// flows, the receiver side collects the reports of other agents.
#[derive(Debug)]
pub struct Handover {
    host: HostId,
    service: ServiceId,
    incarnation: Incarnation,
    table: Option<Arc<CandidateTable>>,
    peers: BTreeMap<HostId, Peer>,
    flow_lists: FlowLists,
    directory: Directory,
    verification: Verification,
    /// Agents that left the table without draining, with the time at which they did.
    vanished: BTreeMap<HostId, Time>,
    is_authoritative: bool,
    options: HandoverOptions,
}

impl Handover {
    /// Creates the state of an agent that has no table yet.
    #[must_use]
    pub fn new(host: HostId, service: ServiceId, options: HandoverOptions) -> Self {
        Self {
            host,
            service,
            incarnation: Incarnation::default(),
            table: None,
            peers: BTreeMap::new(),
            flow_lists: FlowLists::new(options),
            directory: Directory::new(options),
            verification: Verification::new(options),
            vanished: BTreeMap::new(),
            is_authoritative: false,
            options,
        }
    }

    /// Installs a table with its agents and starts the flow lists that it requires. `flows` are the
    /// open flows of this agent.
    pub fn set_table<'a>(
        &mut self,
        now: Time,
        table: &Arc<CandidateTable>,
        members: Members,
        flows: impl Iterator<Item = &'a FlowKey>,
    ) {
        let mut peers: BTreeMap<HostId, Peer> = members
            .peers
            .into_iter()
            .map(|peer| (peer.host, peer))
            .collect();
        peers.remove(&self.host);
        let is_same_table = self
            .table
            .as_ref()
            .is_some_and(|current| current.version() == table.version());
        if !is_same_table || members.incarnation != self.incarnation {
            self.flow_lists.restart(now);
        }
        if !is_same_table {
            self.verification.restart();
        }
        self.update_vanished(now, table);
        self.table = Some(table.clone());
        self.incarnation = members.incarnation;
        self.peers = peers;
        self.flow_lists.rebuild(&self.peers, table, flows);
        self.update_authoritative();
    }

    fn update_vanished(&mut self, now: Time, new_table: &CandidateTable) {
        if let Some(table) = &self.table {
            for candidate in table.hosts() {
                if candidate.accepts_new && new_table.host(candidate.host).is_none() {
                    self.vanished.insert(candidate.host, now);
                }
            }
        }
        let hold_span = self.options.vanished_hold_span;
        self.vanished.retain(|host, vanished_at| {
            new_table.host(*host).is_none() && now.since(*vanished_at) < hold_span
        });
    }

    /// Adds a flow whose SYN this agent is about to answer to the list of the flow's first
    /// candidate.
    pub fn on_flow_opened(&mut self, flow: FlowKey) {
        if let Some(table) = &self.table
            && let Some(first) = table.first(table.bucket_of(&flow), false)
        {
            self.flow_lists.add(first.host, flow);
        }
    }

    /// Removes the record of a flow as unknown, because its caller sent a new SYN.
    pub fn on_syn(&mut self, flow: &FlowKey) {
        self.verification.forget(flow);
    }

    /// Returns the agents that may own a flow according to the directory, latest claim first.
    #[must_use]
    pub fn owners_of(&self, now: Time, flow: &FlowKey) -> Owners {
        self.directory.owners_of(now, flow)
    }

    /// Returns the progress of the handover.
    #[must_use]
    pub fn status(&self) -> HandoverStatus {
        HandoverStatus {
            directory_entries: self.directory.len(),
            is_authoritative: self.is_authoritative,
            is_confirmed: self.flow_lists.is_confirmed(),
        }
    }

    /// Returns the action for a packet of an unknown flow and records the flow when this agent may
    /// have to reset it.
    pub fn on_unknown_flow(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        meta: &PacketMeta,
    ) -> UnknownFlowAction {
        let Some(table) = &self.table else {
            return UnknownFlowAction::TryNextCandidate;
        };
        // Owners report flows to the first candidate, but a draining host accepts no new flows, so
        // that reports to it may still be missing. A sender with another table may know an agent
        // that this one does not know.
        let first_candidate = table.first(table.bucket_of(&meta.flow), false);
        let is_first =
            first_candidate.is_some_and(|first| first.host == self.host && first.accepts_new);
        if !is_first || !self.is_authoritative || header.table != table.version() {
            return UnknownFlowAction::TryNextCandidate;
        }
        let may_still_own = self
            .vanished
            .values()
            .any(|vanished_at| now.since(*vanished_at) < self.options.vanished_hold_span);
        if self.verification.record_unknown(now, meta) && !may_still_own {
            UnknownFlowAction::Reset
        } else {
            UnknownFlowAction::Drop
        }
    }

    /// Processes a control message and returns the reply, if there is one.
    pub fn on_message(&mut self, now: Time, message: &Message) -> Option<OutgoingMessage> {
        match message {
            Message::Handover { from, service, .. } if *service == self.service => {
                let reply = self.on_handover(now, message);
                self.update_authoritative();
                self.reply(*from, reply?)
            }
            Message::HandoverConfirm {
                from,
                incarnation,
                owner_incarnation,
                generation,
                part,
            } if *owner_incarnation == self.incarnation => {
                self.flow_lists
                    .on_confirm(*from, *incarnation, *generation, *part);
                None
            }
            Message::HandoverQuery {
                from,
                service,
                round,
            } if *service == self.service => {
                let (generation, parts) = self.flow_lists.version_of(*from)?;
                let state = Message::HandoverState {
                    from: self.host,
                    incarnation: self.incarnation,
                    table: self.table.as_ref()?.version(),
                    generation,
                    parts,
                    round: *round,
                };
                self.reply(*from, state)
            }
            Message::HandoverState { from, round, .. } => {
                if self.is_complete(message) {
                    self.verification.on_complete_answer(*round, *from);
                }
                None
            }
            _ => None,
        }
    }

    fn reply(&self, to: HostId, message: Message) -> Option<OutgoingMessage> {
        let to = self.peers.get(&to)?.control_address;
        Some(OutgoingMessage { to, message })
    }

    fn on_handover(&mut self, now: Time, message: &Message) -> Option<Message> {
        let Message::Handover {
            from,
            incarnation,
            table,
            generation,
            part,
            parts,
            flows,
            ..
        } = message
        else {
            return None;
        };
        let part_id = PartId {
            incarnation: *incarnation,
            generation: *generation,
            table: *table,
            index: *part,
            parts: *parts,
        };
        if !self.directory.insert(now, *from, part_id, flows) {
            return None;
        }
        for flow in flows {
            self.verification.forget(flow);
        }
        Some(Message::HandoverConfirm {
            from: self.host,
            incarnation: self.incarnation,
            owner_incarnation: *incarnation,
            generation: *generation,
            part: *part,
        })
    }

    /// Returns whether the directory has the complete flow list that a state message describes, for
    /// the table that this agent uses.
    fn is_complete(&self, message: &Message) -> bool {
        let Message::HandoverState {
            from,
            incarnation,
            table,
            generation,
            parts,
            ..
        } = message
        else {
            return false;
        };
        let own_version = self.table.as_ref().map(|table| table.version());
        own_version == Some(*table)
            && self
                .directory
                .is_complete(*from, *incarnation, *table, Some((*generation, *parts)))
    }

    fn update_authoritative(&mut self) {
        self.is_authoritative = self.table.as_ref().is_some_and(|table| {
            table
                .hosts()
                .iter()
                .filter(|candidate| candidate.host != self.host)
                .all(|candidate| {
                    self.peers.get(&candidate.host).is_some_and(|peer| {
                        self.directory.is_complete(
                            peer.host,
                            peer.incarnation,
                            table.version(),
                            None,
                        )
                    })
                })
        });
    }

    /// Returns the messages to send now; `flows` are the open flows of this agent.
    pub fn on_tick<'a>(
        &mut self,
        now: Time,
        flows: impl Iterator<Item = &'a FlowKey>,
    ) -> Vec<OutgoingMessage> {
        let Some(table) = self.table.clone() else {
            return Vec::new();
        };
        if self.flow_lists.needs_refresh(now) {
            self.flow_lists.restart(now);
            self.flow_lists.rebuild(&self.peers, &table, flows);
            self.directory.expire(now);
        }
        let mut messages = self
            .flow_lists
            .take_sendable(now, |part| Message::Handover {
                from: self.host,
                incarnation: self.incarnation,
                service: self.service,
                table: table.version(),
                generation: part.generation,
                part: part.index,
                parts: part.parts,
                flows: part.flows.to_vec(),
            });
        if self.is_authoritative
            && let Some((round, hosts)) = self.verification.next_queries(now, self.peers.keys())
        {
            let peers = hosts.iter().filter_map(|host| self.peers.get(host));
            messages.extend(peers.map(|peer| OutgoingMessage {
                to: peer.control_address,
                message: Message::HandoverQuery {
                    from: self.host,
                    service: self.service,
                    round,
                },
            }));
        }
        messages
    }
}
