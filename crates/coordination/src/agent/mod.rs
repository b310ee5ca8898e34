//! The agent: decides for each packet, terminates its own flows and splices them to the backend
//! server.

mod placing;
mod splice;

use {
    crate::{
        admission::{Admission, Attempt, ConnectOutcome, ConnectionGuard, Rejection},
        ownership::{Decision, FlowId, Hop, Ownership, Phase},
        termination::{TerminatedFlow, TerminationOptions},
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::{
        forward::ForwardHeader,
        packet::{self, DropCause, PacketMeta},
    },
    smoltcp::socket::tcp::State,
    std::{
        collections::{BTreeSet, HashMap},
        io,
    },
};

/// Result of a call to the backend server.
pub type Result<T> = io::Result<T>;

/// What the agent needs from sockets; the packet loop and the tests implement it.
pub trait AgentIo {
    /// Sends an IP packet to its caller.
    fn send_to_caller(&mut self, packet: &[u8]);

    /// Sends an IP packet to another agent.
    fn forward(&mut self, hop: &Hop, packet: &[u8]);

    /// Starts to connect to the backend server; the outcome is reported to the agent later.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be created.
    fn connect(&mut self, flow: FlowId) -> Result<()>;

    /// Writes bytes to the backend server without blocking.
    ///
    /// # Errors
    ///
    /// Fails with `WouldBlock` when nothing can be written now, or with the socket's error.
    fn write(&mut self, flow: FlowId, bytes: &[u8]) -> Result<usize>;

    /// Reads bytes from the backend server without blocking; 0 means end of stream.
    ///
    /// # Errors
    ///
    /// Fails with `WouldBlock` when nothing can be read now, or with the socket's error.
    fn read(&mut self, flow: FlowId, buffer: &mut [u8]) -> Result<usize>;

    /// Tells the backend server that the caller sends no more.
    fn shutdown_write(&mut self, flow: FlowId);

    /// Closes the connection to the backend server, with a reset when `reset` is set.
    fn close(&mut self, flow: FlowId, reset: bool);

    /// Counts a dropped packet.
    fn count_drop(&mut self, cause: DropCause);
}

/// Time after which a connect counts as failed, so that the flow is placed elsewhere before its
/// caller gives up. Callers usually repeat the opening packet after 1 s and 3 s.
const CONNECT_DEADLINE: Span = Span::from_millis(1_500);

struct Flow {
    meta: PacketMeta,
    /// Time of the opening packet.
    opened: Time,
    /// Opening packet and its header, kept until the backend server accepted.
    opening: Option<(ForwardHeader, Vec<u8>)>,
    tcp: Option<Box<TerminatedFlow>>,
    /// Held while the connection to the backend server is open.
    admitted: Option<ConnectionGuard>,
    server: splice::ServerSide,
    next_poll: Option<Time>,
    /// Sequence number after the caller's end of stream, once it was seen.
    caller_end: u32,
}

/// Counters of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Flows that were opened towards the backend server.
    pub opened: u64,
    /// Flows that were placed on another host.
    pub redirected: u64,
    /// Packets forwarded to another agent, redirects included.
    pub forwarded: u64,
    /// Flows refused with a reset.
    pub refused: u64,
    /// Opening packets refused with a reset, because no candidate took the flow.
    pub refused_syns: u64,
    /// Flows that ended.
    pub closed: u64,
    /// Attempts to connect that the backend server refused.
    pub connect_failures: u64,
}

/// State of an agent.
pub struct Agent {
    ownership: Ownership,
    admission: Box<dyn Admission>,
    options: TerminationOptions,
    flows: HashMap<FlowId, Flow>,
    timers: BTreeSet<(Time, FlowId)>,
    seed: u64,
    counters: AgentCounters,
}

impl Agent {
    /// Creates an agent; `seed` feeds the initial sequence numbers.
    #[must_use]
    pub fn new(
        ownership: Ownership,
        admission: Box<dyn Admission>,
        options: TerminationOptions,
        seed: u64,
    ) -> Self {
        Self {
            ownership,
            admission,
            options,
            flows: HashMap::new(),
            timers: BTreeSet::new(),
            seed,
            counters: AgentCounters::default(),
        }
    }

    /// Returns the ownership table.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the ownership table for configuration changes.
    pub const fn ownership_mut(&mut self) -> &mut Ownership {
        &mut self.ownership
    }

    /// Returns the admission.
    #[must_use]
    pub fn admission(&self) -> &dyn Admission {
        self.admission.as_ref()
    }

    /// Returns the admission for observations and changes of configuration.
    pub fn admission_mut(&mut self) -> &mut dyn Admission {
        self.admission.as_mut()
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the number of flows.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Processes a packet that a balancer or another agent sent.
    pub fn on_packet(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        packet: &[u8],
        io: &mut dyn AgentIo,
    ) {
        let meta = match packet::parse(packet) {
            Ok(meta) => meta,
            Err(cause) => return io.count_drop(cause),
        };
        match self.ownership.decide(now, header, &meta) {
            Decision::Open => self.open(now, header, packet, meta, io),
            decision => self.carry_out(now, decision, packet, &meta, io),
        }
    }

    fn carry_out(
        &mut self,
        now: Time,
        decision: Decision,
        packet: &[u8],
        meta: &PacketMeta,
        io: &mut dyn AgentIo,
    ) {
        match decision {
            Decision::Deliver(flow) => self.deliver(now, flow, packet, meta, io),
            Decision::DeliverAndForward(flow, hop) => {
                self.counters.forwarded += 1;
                io.forward(&hop, packet);
                self.deliver(now, flow, packet, meta, io);
            }
            Decision::Forward(hop) => {
                self.counters.forwarded += 1;
                io.forward(&hop, packet);
            }
            Decision::ForwardBoth(first, second) => {
                self.counters.forwarded += 2;
                io.forward(&first, packet);
                io.forward(&second, packet);
            }
            Decision::ReplaceSyn(flow) => self.reopen(flow, packet, meta),
            Decision::Refuse => {
                self.counters.refused += 1;
                self.counters.refused_syns += u64::from(meta.opens_flow());
                if let Some(reset) = packet::reset_for(meta) {
                    io.send_to_caller(&reset);
                }
            }
            Decision::Drop(cause) => io.count_drop(cause),
            Decision::IgnoreRetransmission | Decision::Open => {}
        }
    }

    fn open(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        packet: &[u8],
        meta: PacketMeta,
        io: &mut dyn AgentIo,
    ) {
        // The caller gave up an earlier flow of the same 5-tuple.
        if let Some(earlier) = self.ownership.flow_of(&meta.flow) {
            let ended = self
                .flows
                .get(&earlier)
                .is_some_and(|flow| flow.server.ended_cleanly());
            self.finish(earlier, !ended, io);
        }
        let attempt = Attempt {
            has_other: placing::has_other(&self.ownership, header),
        };
        let admitted = match self.admission.admit(now, attempt) {
            Ok(admitted) => admitted,
            Err(reason) => return self.place_elsewhere(now, header, packet, &meta, reason, io),
        };
        let Some(id) = self.ownership.insert(&meta) else {
            return io.count_drop(DropCause::LimitExceeded);
        };
        let flow = Flow {
            meta,
            opened: now,
            opening: Some((*header, packet.to_vec())),
            tcp: None,
            admitted: Some(admitted),
            server: splice::ServerSide::default(),
            next_poll: Some(now + CONNECT_DEADLINE),
            caller_end: 0,
        };
        self.flows.insert(id, flow);
        self.timers.insert((now + CONNECT_DEADLINE, id));
        if io.connect(id).is_err() {
            self.on_connect_failed(now, id, io);
        }
    }

    /// Answers the newest opening packet once the backend server accepts.
    fn reopen(&mut self, id: FlowId, packet: &[u8], meta: &PacketMeta) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if let Some((_, opening)) = flow.opening.as_mut() {
            *opening = packet.to_vec();
            flow.meta = *meta;
            self.ownership.replace_syn(id, meta);
        }
    }

    fn place_elsewhere(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        packet: &[u8],
        meta: &PacketMeta,
        reason: Rejection,
        io: &mut dyn AgentIo,
    ) {
        let mut decision = self.ownership.redirect(now, header, meta.flow, reason);
        if decision == Decision::Refuse
            && let Some(hop) = placing::way_back(&self.ownership, header)
        {
            decision = Decision::Forward(hop);
        }
        if matches!(decision, Decision::Forward(_)) {
            self.counters.redirected += 1;
        }
        self.carry_out(now, decision, packet, meta, io);
    }

    /// Learns that the backend server accepted the connection of a flow.
    pub fn on_connected(&mut self, now: Time, id: FlowId, io: &mut dyn AgentIo) {
        let seed = self.next_seed();
        let Some(flow) = self.flows.get_mut(&id) else {
            return io.close(id, true);
        };
        if let Some(admitted) = flow.admitted.as_mut() {
            admitted.set_connected();
        }
        let Some((_, packet)) = flow.opening.take() else {
            return;
        };
        let latency = now.since(flow.opened);
        self.admission
            .observe_connect(now, ConnectOutcome::Accepted { latency });
        let Ok(mut tcp) = TerminatedFlow::new(now, &flow.meta.flow, seed, &self.options) else {
            return self.finish(id, true, io);
        };
        let mut local_isn = None;
        tcp.receive(now, &packet, &mut |answer| {
            local_isn = sequence_of(answer).or(local_isn);
            io.send_to_caller(answer);
        });
        flow.tcp = Some(Box::new(tcp));
        let Some(local_isn) = local_isn else {
            return self.finish(id, true, io);
        };
        self.counters.opened += 1;
        self.ownership.set_phase(id, Phase::HalfOpen { local_isn });
        self.reschedule(now, id);
    }

    /// Learns that the backend server refused the connection of a flow. No byte was sent, so the
    /// flow can still be placed elsewhere.
    pub fn on_connect_failed(&mut self, now: Time, id: FlowId, io: &mut dyn AgentIo) {
        self.admission.observe_connect(now, ConnectOutcome::Refused);
        self.counters.connect_failures += 1;
        let Some(flow) = self.flows.remove(&id) else {
            return;
        };
        if let Some(due) = flow.next_poll {
            self.timers.remove(&(due, id));
        }
        self.ownership.remove(id);
        io.close(id, false);
        if let Some((header, packet)) = flow.opening {
            if !self.admission.withdraw_retry(now) {
                return self.carry_out(now, Decision::Refuse, &packet, &flow.meta, io);
            }
            self.place_elsewhere(
                now,
                &header,
                &packet,
                &flow.meta,
                Rejection::NotAccepting,
                io,
            );
        }
    }

    /// Learns that the connection to the backend server can be read or written.
    pub fn on_server_ready(&mut self, now: Time, id: FlowId, io: &mut dyn AgentIo) {
        self.advance(now, id, None, io);
    }

    /// Polls the flows whose timers are due.
    pub fn on_timer(&mut self, now: Time, io: &mut dyn AgentIo) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > now {
                break;
            }
            self.timers.remove(&(due, id));
            let Some(flow) = self.flows.get_mut(&id) else {
                continue;
            };
            flow.next_poll = None;
            if flow.opening.is_some() {
                self.on_connect_failed(now, id, io);
            } else {
                self.advance(now, id, None, io);
            }
        }
    }

    /// Returns when [`Agent::on_timer`] is next due.
    #[must_use]
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Gives up all flows, used when operators take the failure domain out.
    pub fn close_all(&mut self, io: &mut dyn AgentIo) {
        let ids: Vec<FlowId> = self.flows.keys().copied().collect();
        for id in ids {
            self.finish(id, true, io);
        }
    }

    fn deliver(
        &mut self,
        now: Time,
        id: FlowId,
        packet: &[u8],
        meta: &PacketMeta,
        io: &mut dyn AgentIo,
    ) {
        if meta.fin
            && let Some(flow) = self.flows.get_mut(&id)
        {
            flow.caller_end = meta.sequence.wrapping_add(meta.sequence_length());
        }
        self.advance(now, id, Some(packet), io);
    }

    fn advance(&mut self, now: Time, id: FlowId, packet: Option<&[u8]>, io: &mut dyn AgentIo) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let Some(tcp) = flow.tcp.as_mut() else { return };
        if let Some(packet) = packet {
            tcp.receive(now, packet, &mut |answer| io.send_to_caller(answer));
        } else {
            tcp.poll(now, &mut |answer| io.send_to_caller(answer));
        }
        let outcome = flow.server.splice(id, tcp.socket_mut(), io);
        // The caller's side may stay in TIME-WAIT long after the backend server is done.
        if flow.server.ended_cleanly() && flow.admitted.take().is_some() {
            io.close(id, false);
        }
        tcp.poll(now, &mut |answer| io.send_to_caller(answer));
        let state = tcp.socket().state();
        match (outcome, state) {
            (splice::Outcome::ServerFailed, _) => {
                if !flow.server.server_ended() {
                    self.admission.observe_reset(now);
                }
                tcp.socket_mut().abort();
                tcp.poll(now, &mut |answer| io.send_to_caller(answer));
                self.finish(id, true, io);
            }
            (_, State::Closed) => {
                let reset = !flow.server.ended_cleanly();
                self.finish(id, reset, io);
            }
            (_, State::Listen | State::SynReceived | State::SynSent) => self.reschedule(now, id),
            (_, State::TimeWait | State::LastAck | State::Closing) => {
                let caller_end = flow.caller_end;
                self.ownership.set_phase(id, Phase::Closing { caller_end });
                self.reschedule(now, id);
            }
            _ => {
                self.ownership.set_phase(id, Phase::Established);
                self.reschedule(now, id);
            }
        }
    }

    fn finish(&mut self, id: FlowId, reset: bool, io: &mut dyn AgentIo) {
        if let Some(flow) = self.flows.remove(&id) {
            if let Some(due) = flow.next_poll {
                self.timers.remove(&(due, id));
            }
            self.counters.closed += 1;
        }
        self.ownership.remove(id);
        io.close(id, reset);
    }

    fn reschedule(&mut self, now: Time, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let next = flow.tcp.as_mut().and_then(|tcp| tcp.next_poll(now));
        if next == flow.next_poll {
            return;
        }
        if let Some(due) = flow.next_poll {
            self.timers.remove(&(due, id));
        }
        if let Some(due) = next {
            self.timers.insert((due, id));
        }
        flow.next_poll = next;
    }

    /// Advances the generator of seeds by one step of a Weyl sequence.
    const fn next_seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.seed
    }
}

/// Returns the sequence number of a packet that the agent sends.
fn sequence_of(answer: &[u8]) -> Option<u32> {
    packet::parse(answer).ok().map(|meta| meta.sequence)
}
