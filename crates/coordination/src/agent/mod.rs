//! Packet path of an agent: decides for each packet, terminates the agent's own flows and splices
//! them to the backend server.

mod redirect;
mod splice;

use {
    crate::{
        admission::{Admission, AdmissionRequest, ConnectOutcome, ConnectionGuard, Rejection},
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

/// Socket operations of an agent; the packet loop and the tests implement them.
pub trait AgentIo {
    /// Sends an IP packet to its caller.
    fn send_to_caller(&mut self, packet: &[u8]);

    /// Sends an IP packet to another agent, behind the header of the hop.
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

    /// Shuts down the write direction to the backend server, after the caller's end of stream.
    fn shutdown_write(&mut self, flow: FlowId);

    /// Closes the connection to the backend server, with a reset when `reset` is set.
    fn close(&mut self, flow: FlowId, reset: bool);

    /// Counts a packet that was dropped for a cause.
    fn count_drop(&mut self, cause: DropCause);
}

/// Time after which a connect counts as failed, so that the flow is redirected to another host
/// before its caller gives up. Callers usually retransmit the SYN after 1 s and 3 s.
const CONNECT_TIMEOUT: Span = Span::from_millis(1_500);

struct Flow {
    meta: PacketMeta,
    /// Arrival time of the first SYN.
    syn_at: Time,
    /// SYN and its forward header, until the backend server accepts; `tcp` is set from then on.
    pending_syn: Option<(ForwardHeader, Vec<u8>)>,
    tcp: Option<Box<TerminatedFlow>>,
    /// Held while the connection to the backend server is open.
    guard: Option<ConnectionGuard>,
    server: splice::ServerSide,
    /// Time of this flow's entry in [`Agent::timers`]; the connect timeout while connecting.
    next_poll: Option<Time>,
    /// Sequence number after the caller's end of stream; 0 until the caller has sent it.
    caller_end: u32,
}

/// Counters of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Flows that were opened towards the backend server.
    pub opened: u64,
    /// New flows that were redirected to another host.
    pub redirected: u64,
    /// Packets forwarded to another agent, redirects included.
    pub forwarded: u64,
    /// Packets refused with a reset.
    pub refused: u64,
    /// SYNs refused with a reset because no candidate admitted the flow; included in `refused`.
    pub refused_syns: u64,
    /// Flows that ended.
    pub closed: u64,
    /// Connects to the backend server that were refused, failed or timed out.
    pub connect_failures: u64,
}

/// Packet path of an agent: ownership, admission and the terminated flows.
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
    /// Creates an agent; the initial sequence numbers of its flows derive from `seed`.
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

    /// Returns the flow table with its handover state.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the flow table, to apply configuration changes and control messages.
    pub const fn ownership_mut(&mut self) -> &mut Ownership {
        &mut self.ownership
    }

    /// Returns the admission control of the backend server.
    #[must_use]
    pub fn admission(&self) -> &dyn Admission {
        self.admission.as_ref()
    }

    /// Returns the admission control, to record observations and apply configuration changes.
    pub fn admission_mut(&mut self) -> &mut dyn Admission {
        self.admission.as_mut()
    }

    /// Returns the counter values since the agent was created.
    #[must_use]
    pub const fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the number of flows that are connecting, open or closing.
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
            decision => self.execute(now, decision, packet, &meta, io),
        }
    }

    fn execute(
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
            Decision::ReplaceSyn(flow) => self.replace_syn(flow, packet, meta),
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

    /// Opens a new flow when admission permits it; otherwise redirects or refuses the flow.
    fn open(
        &mut self,
        now: Time,
        header: &ForwardHeader,
        packet: &[u8],
        meta: PacketMeta,
        io: &mut dyn AgentIo,
    ) {
        // A new SYN of the same 5-tuple: the caller has abandoned the earlier flow.
        if let Some(earlier) = self.ownership.flow_of(&meta.flow) {
            let ended_cleanly = self
                .flows
                .get(&earlier)
                .is_some_and(|flow| flow.server.ended_cleanly());
            self.finish(earlier, !ended_cleanly, io);
        }
        let request = AdmissionRequest {
            has_alternative: redirect::has_alternative(&self.ownership, header),
        };
        let guard = match self.admission.admit(now, request) {
            Ok(guard) => guard,
            Err(reason) => return self.redirect(now, header, packet, &meta, reason, io),
        };
        let Some(id) = self.ownership.insert(&meta) else {
            return io.count_drop(DropCause::LimitExceeded);
        };
        let flow = Flow {
            meta,
            syn_at: now,
            pending_syn: Some((*header, packet.to_vec())),
            tcp: None,
            guard: Some(guard),
            server: splice::ServerSide::default(),
            next_poll: Some(now + CONNECT_TIMEOUT),
            caller_end: 0,
        };
        self.flows.insert(id, flow);
        self.timers.insert((now + CONNECT_TIMEOUT, id));
        if io.connect(id).is_err() {
            self.on_connect_failed(now, id, io);
        }
    }

    /// Replaces the SYN of a connecting flow, so that the newest one is answered later.
    fn replace_syn(&mut self, id: FlowId, packet: &[u8], meta: &PacketMeta) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if let Some((_, syn)) = flow.pending_syn.as_mut() {
            *syn = packet.to_vec();
            flow.meta = *meta;
            self.ownership.replace_syn(id, meta);
        }
    }

    /// Forwards a flow that was not admitted to the next candidate, or refuses it.
    fn redirect(
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
            && let Some(hop) = redirect::second_pass_hop(&self.ownership, header)
        {
            decision = Decision::Forward(hop);
        }
        if matches!(decision, Decision::Forward(_)) {
            self.counters.redirected += 1;
        }
        self.execute(now, decision, packet, meta, io);
    }

    /// Answers the SYN of a flow whose connection the backend server has accepted.
    pub fn on_connected(&mut self, now: Time, id: FlowId, io: &mut dyn AgentIo) {
        let seed = self.next_seed();
        let Some(flow) = self.flows.get_mut(&id) else {
            return io.close(id, true);
        };
        if let Some(guard) = flow.guard.as_mut() {
            guard.set_connected();
        }
        let Some((_, packet)) = flow.pending_syn.take() else {
            return;
        };
        let latency = now.since(flow.syn_at);
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

    /// Processes the failure or timeout of a flow's connect to the backend server. The caller has
    /// not been answered, so the flow can still be redirected to another host.
    pub fn on_connect_failed(&mut self, now: Time, id: FlowId, io: &mut dyn AgentIo) {
        self.admission.observe_connect(now, ConnectOutcome::Failed);
        self.counters.connect_failures += 1;
        let Some(flow) = self.flows.remove(&id) else {
            return;
        };
        if let Some(due) = flow.next_poll {
            self.timers.remove(&(due, id));
        }
        self.ownership.remove(id);
        io.close(id, false);
        if let Some((header, packet)) = flow.pending_syn {
            if !self.admission.withdraw_retry(now) {
                return self.execute(now, Decision::Refuse, &packet, &flow.meta, io);
            }
            self.redirect(
                now,
                &header,
                &packet,
                &flow.meta,
                Rejection::NotAccepting,
                io,
            );
        }
    }

    /// Copies bytes after the connection to the backend server has become readable or writable.
    pub fn on_server_ready(&mut self, now: Time, id: FlowId, io: &mut dyn AgentIo) {
        self.advance(now, id, None, io);
    }

    /// Polls the flows whose timers have expired, and fails the connects that have timed out.
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
            if flow.pending_syn.is_some() {
                self.on_connect_failed(now, id, io);
            } else {
                self.advance(now, id, None, io);
            }
        }
    }

    /// Returns when [`Agent::on_timer`] is next due, or `None` without timers.
    #[must_use]
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Removes all flows with a reset to the server; used when the failure domain is taken out.
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
        // The caller's side may stay in TIME-WAIT long after the backend server has finished.
        if flow.server.ended_cleanly() && flow.guard.take().is_some() {
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

    /// Advances the generator of seeds by one step of a Weyl sequence and returns its state.
    const fn next_seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.seed
    }
}

/// Returns the sequence number of a packet that the agent sends to the caller.
fn sequence_of(answer: &[u8]) -> Option<u32> {
    packet::parse(answer).ok().map(|meta| meta.sequence)
}
