//! Handover directory: owners tell each new first candidate which of their flows now hash to it.

mod directory;
mod outbox;
mod verification;

pub use directory::Owners;

use {
    crate::membership::Outgoing,
    cardamomloom_core::{HostId, Incarnation, ServiceId, Span, Time},
    cardamomloom_protocol::{
        control::Message,
        forward::ForwardHeader,
        packet::{FlowKey, PacketMeta},
    },
    cardamomloom_state::candidates::CandidateTable,
    directory::{Directory, Part},
    outbox::Outboxes,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    verification::Verification,
};

/// A live agent of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identity of the host.
    pub host: HostId,
    /// Life of the agent; a new one has lost its directory.
    pub incarnation: Incarnation,
    /// Control socket of the agent.
    pub control_address: SocketAddr,
}

/// The agents of a service at the time of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Life of the own agent.
    pub incarnation: Incarnation,
    /// The other agents of the table.
    pub peers: Vec<Peer>,
}

/// Limits and times of the handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverOptions {
    /// Time after which an unconfirmed part is sent again.
    pub retry_span: Span,
    /// Time after which the whole list is sent again.
    pub refresh_interval: Span,
    /// Time after which an entry that was not sent again is forgotten; several refreshes.
    pub entry_ttl: Span,
    /// Least time between two bursts of parts.
    pub burst_interval: Span,
    /// Most parts in one burst.
    pub parts_per_burst: usize,
    /// Most entries of the directory.
    pub max_entries: usize,
    /// Time for which a flow stays unknown here before its packets are answered with a reset.
    /// It exceeds the 3 s within which a change of a host reaches every balancer and agent.
    pub settle_span: Span,
    /// Time after which an unanswered query is repeated.
    pub query_interval: Span,
    /// Least time between the starts of two rounds, so that unknown packets at any rate cause few
    /// queries.
    pub round_interval: Span,
    /// Time for which no flow is reset after an agent vanished without draining: it may be paused
    /// or cut off and still hold its flows. A restart of the agent ends the wait.
    pub vanished_span: Span,
    /// Time for which an unknown flow is remembered. It exceeds the settling time by several
    /// retransmissions of a caller.
    pub sighting_span: Span,
    /// Most unknown flows that are remembered.
    pub max_sightings: usize,
}

impl Default for HandoverOptions {
    fn default() -> Self {
        Self {
            retry_span: Span::from_millis(250),
            refresh_interval: Span::from_secs(60),
            entry_ttl: Span::from_secs(180),
            burst_interval: Span::from_millis(10),
            parts_per_burst: 16,
            max_entries: 200_000,
            settle_span: Span::from_secs(10),
            query_interval: Span::from_millis(500),
            round_interval: Span::from_secs(5),
            vanished_span: Span::from_secs(60),
            sighting_span: Span::from_secs(120),
            max_sightings: 4_096,
        }
    }
}

/// How far the handover of an agent has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverStatus {
    /// Flows of other agents in the directory.
    pub directory_entries: usize,
    /// Whether every live agent has confirmed its flows for the present table.
    pub is_authoritative: bool,
    /// Whether every other agent has confirmed the own flows.
    pub is_confirmed: bool,
}

/// What to do with a packet whose flow is neither here nor in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownFlowAction {
    /// Another agent may own the flow.
    TryNextCandidate,
    /// No agent owns the flow as far as confirmed, which may be out of date.
    Drop,
    /// Every live agent confirmed that it does not own the flow.
    Reset,
}

/// Owner and receiver side of the handover at one agent.
#[derive(Debug)]
pub struct Handover {
    host: HostId,
    service: ServiceId,
    incarnation: Incarnation,
    table: Option<Arc<CandidateTable>>,
    peers: BTreeMap<HostId, Peer>,
    outboxes: Outboxes,
    directory: Directory,
    verification: Verification,
    /// Agents that left the table without draining, and when.
    vanished: BTreeMap<HostId, Time>,
    authoritative: bool,
    options: HandoverOptions,
}

impl Handover {
    /// Creates the handover of an agent.
    #[must_use]
    pub fn new(host: HostId, service: ServiceId, options: HandoverOptions) -> Self {
        Self {
            host,
            service,
            incarnation: Incarnation::default(),
            table: None,
            peers: BTreeMap::new(),
            outboxes: Outboxes::new(options),
            directory: Directory::new(options),
            verification: Verification::new(options),
            vanished: BTreeMap::new(),
            authoritative: false,
            options,
        }
    }

    /// Takes up a table with its agents; `flows` are the open flows of this agent.
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
        let same_table = self
            .table
            .as_ref()
            .is_some_and(|known| known.version() == table.version());
        if !same_table || members.incarnation != self.incarnation {
            self.outboxes.restart(now);
        }
        if !same_table {
            self.verification.restart();
        }
        self.note_vanished(now, table);
        self.table = Some(table.clone());
        self.incarnation = members.incarnation;
        self.peers = peers;
        self.outboxes.rebuild(&self.peers, table, flows);
        self.update_authority();
    }

    fn note_vanished(&mut self, now: Time, next: &CandidateTable) {
        if let Some(table) = &self.table {
            for candidate in table.hosts() {
                if candidate.accepts_new && next.host(candidate.host).is_none() {
                    self.vanished.insert(candidate.host, now);
                }
            }
        }
        let span = self.options.vanished_span;
        self.vanished
            .retain(|host, since| next.host(*host).is_none() && now.since(*since) < span);
    }

    /// Learns that the own agent is about to answer the opening packet of a flow.
    pub fn on_flow_opened(&mut self, flow: FlowKey) {
        if let Some(table) = &self.table
            && let Some(first) = table.first(table.bucket_of(&flow), false)
        {
            self.outboxes.add(first.host, flow);
        }
    }

    /// Learns that a caller opens a flow anew, so that earlier unknown packets do not count.
    pub fn on_syn(&mut self, flow: &FlowKey) {
        self.verification.forget(flow);
    }

    /// Returns the agents that may own a flow as the directory has it, latest first.
    #[must_use]
    pub fn owners_of(&self, now: Time, flow: &FlowKey) -> Owners {
        self.directory.owners_of(now, flow)
    }

    /// Returns how far the handover has come.
    #[must_use]
    pub fn status(&self) -> HandoverStatus {
        HandoverStatus {
            directory_entries: self.directory.len(),
            is_authoritative: self.authoritative,
            is_confirmed: self.outboxes.is_confirmed(),
        }
    }

    /// Decides about a packet of an unknown flow.
    pub fn on_unknown_flow(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        meta: &PacketMeta,
    ) -> UnknownFlowAction {
        let Some(table) = &self.table else {
            return UnknownFlowAction::TryNextCandidate;
        };
        // A draining host takes no new flows, so that owners elsewhere may not have told it yet.
        // A sender with another table may know of an agent that this one does not know.
        let first = table.first(table.bucket_of(&meta.flow), false);
        let is_first = first.is_some_and(|first| first.host == self.host && first.accepts_new);
        if !is_first || !self.authoritative || header.table != table.version() {
            return UnknownFlowAction::TryNextCandidate;
        }
        let may_return = self
            .vanished
            .values()
            .any(|since| now.since(*since) < self.options.vanished_span);
        if self.verification.on_unknown(now, meta) && !may_return {
            UnknownFlowAction::Reset
        } else {
            UnknownFlowAction::Drop
        }
    }

    /// Processes a control message and returns the answer.
    pub fn on_message(&mut self, now: Time, message: &Message) -> Option<Outgoing> {
        match message {
            Message::Handover { from, service, .. } if *service == self.service => {
                let answer = self.on_handover(now, message);
                self.update_authority();
                self.answer(*from, answer?)
            }
            Message::HandoverConfirm {
                from,
                incarnation,
                owner_incarnation,
                generation,
                part,
            } if *owner_incarnation == self.incarnation => {
                self.outboxes
                    .on_confirm(*from, *incarnation, *generation, *part);
                None
            }
            Message::HandoverQuery {
                from,
                service,
                round,
            } if *service == self.service => {
                let (generation, parts) = self.outboxes.list_of(*from)?;
                let state = Message::HandoverState {
                    from: self.host,
                    incarnation: self.incarnation,
                    table: self.table.as_ref()?.version(),
                    generation,
                    parts,
                    round: *round,
                };
                self.answer(*from, state)
            }
            Message::HandoverState { from, round, .. } => {
                if self.is_complete(message) {
                    self.verification.on_state(*round, *from);
                }
                None
            }
            _ => None,
        }
    }

    fn answer(&self, to: HostId, message: Message) -> Option<Outgoing> {
        let to = self.peers.get(&to)?.control_address;
        Some(Outgoing { to, message })
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
        let received = Part {
            incarnation: *incarnation,
            generation: *generation,
            table: *table,
            index: *part,
            parts: *parts,
        };
        if !self.directory.take(now, *from, received, flows) {
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

    /// Tells whether the directory holds the whole list that a state message describes.
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
        let own = self.table.as_ref().map(|own| own.version());
        own == Some(*table)
            && self
                .directory
                .is_complete(*from, *incarnation, *table, Some((*generation, *parts)))
    }

    fn update_authority(&mut self) {
        self.authoritative = self.table.as_ref().is_some_and(|table| {
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

    /// Returns the messages that are due; `flows` are the open flows of this agent.
    pub fn on_tick<'a>(
        &mut self,
        now: Time,
        flows: impl Iterator<Item = &'a FlowKey>,
    ) -> Vec<Outgoing> {
        let Some(table) = self.table.clone() else {
            return Vec::new();
        };
        if self.outboxes.refresh_is_due(now) {
            self.outboxes.restart(now);
            self.outboxes.rebuild(&self.peers, &table, flows);
            self.directory.expire(now);
        }
        let mut due = self.outboxes.take_due(now, |part| Message::Handover {
            from: self.host,
            incarnation: self.incarnation,
            service: self.service,
            table: table.version(),
            generation: part.generation,
            part: part.index,
            parts: part.parts,
            flows: part.flows.to_vec(),
        });
        if self.authoritative
            && let Some((round, hosts)) = self.verification.due_queries(now, self.peers.keys())
        {
            let peers = hosts.iter().filter_map(|host| self.peers.get(host));
            due.extend(peers.map(|peer| Outgoing {
                to: peer.control_address,
                message: Message::HandoverQuery {
                    from: self.host,
                    service: self.service,
                    round,
                },
            }));
        }
        due
    }
}
