//! Callers of the model and the way of their packets through balancers and agents.

use {
    super::{HostState, SERVICE, Simulation, host_of_address},
    cardamomloom_coordination::{
        admission::Rejection,
        ownership::{Decision, FlowId, Phase},
    },
    cardamomloom_protocol::{
        forward::{ForwardHeader, Visited},
        packet::{FlowKey, PacketMeta},
    },
    rand::RngExt,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// State of a flow as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// The caller sent its opening packet and has no answer.
    Opening,
    /// The caller took the answer of one agent.
    Open {
        /// Host of the agent.
        host: usize,
        /// The flow at the agent.
        id: FlowId,
        /// Initial sequence number of the agent.
        local_isn: u32,
    },
    /// The agent that owned the flow was ended on purpose or killed.
    Lost {
        /// Initial sequence number of the agent.
        local_isn: u32,
    },
    /// The flow has ended or was refused.
    Ended,
}

/// One flow of a caller.
pub struct Flow {
    /// The 5-tuple.
    pub key: FlowKey,
    /// Initial sequence number of the caller.
    pub isn: u32,
    /// Present state.
    pub state: FlowState,
    /// Flows of backend servers that took a byte of the request.
    servers: BTreeSet<(usize, FlowId)>,
}

impl Flow {
    /// Marks the flow as lost when its agent runs on a host that ended.
    pub fn mark_lost(&mut self, lost: usize) {
        if let FlowState::Open {
            host, local_isn, ..
        } = self.state
            && host == lost
        {
            self.state = FlowState::Lost { local_isn };
        }
    }
}

/// A connect of an agent to its server.
pub struct Connecting {
    flow: usize,
    id: FlowId,
    header: ForwardHeader,
}

/// What became of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The flow that owns the packet took it.
    pub is_delivered: bool,
    /// The caller was reset.
    pub is_reset: bool,
    /// Agents that passed the delivered packet on.
    pub hops: u8,
}

/// Returns the address of the modelled service.
#[must_use]
pub fn service_address() -> SocketAddr {
    SocketAddr::from(([203, 0, 113, 1], 80))
}

impl Simulation {
    /// Adds a caller that has not sent anything yet.
    pub fn add_flow(&mut self) -> usize {
        let index = self.flows.len();
        let number = u32::try_from(index).unwrap_or(u32::MAX);
        let [_, a, b, c] = (number / 50_000 + 1).to_be_bytes();
        let port = u16::try_from(number % 50_000).unwrap_or_default() + 1_024;
        let key = FlowKey {
            caller: SocketAddr::from(([10, a, b, c], port)),
            service: service_address(),
        };
        let isn = self.rng.random();
        self.flows.push(Flow {
            key,
            isn,
            state: FlowState::Opening,
            servers: BTreeSet::new(),
        });
        index
    }

    /// Sends the opening packet through `balancers`, as retransmissions that cross the answers.
    pub fn send_syn(&mut self, flow: usize, balancers: &[usize]) {
        for balancer in balancers {
            self.send(flow, *balancer, self.packet_meta(flow, true, 0));
        }
    }

    /// Sends the next packet of a flow: its opening packet, or a part of the request.
    pub fn send_next(&mut self, flow: usize, balancer: usize) -> Trace {
        let meta = match self.flows[flow].state {
            FlowState::Opening => self.packet_meta(flow, true, 0),
            FlowState::Open { local_isn, .. } | FlowState::Lost { local_isn } => {
                self.packet_meta(flow, false, local_isn)
            }
            FlowState::Ended => return Trace::default(),
        };
        self.send(flow, balancer, meta)
    }

    /// Ends a flow and opens another one with the same 5-tuple; a packet of the first is late.
    pub fn reuse_five_tuple(&mut self, flow: usize, balancer: usize) {
        let FlowState::Open {
            host,
            id,
            local_isn,
        } = self.flows[flow].state
        else {
            return;
        };
        let late = self.packet_meta(flow, false, local_isn);
        let caller_end = late.sequence.wrapping_add(late.sequence_length());
        let closing = Phase::Closing { caller_end };
        self.hosts[host].ownership.set_phase(id, closing);
        let known = &mut self.flows[flow];
        known.isn = known.isn.wrapping_add(0x0100_0001);
        known.state = FlowState::Opening;
        known.servers.clear();
        self.send_syn(flow, &[balancer]);
        self.send(flow, balancer, late);
    }

    /// The caller ends a flow with a reset without acknowledgement, before it sent anything else.
    pub fn abort(&mut self, flow: usize, balancer: usize) {
        let mut meta = self.packet_meta(flow, false, 0);
        meta.acknowledgement = None;
        meta.rst = true;
        meta.payload_bytes = 0;
        self.flows[flow].state = FlowState::Ended;
        self.send(flow, balancer, meta);
    }

    /// The caller of an unanswered flow gives up and opens it anew from the same port.
    pub fn restart_caller(&mut self, flow: usize, balancer: usize) {
        if self.flows[flow].state == FlowState::Opening {
            self.flows[flow].isn = self.rng.random();
            self.send_syn(flow, &[balancer]);
        }
    }

    /// Ends an open flow.
    pub fn close(&mut self, flow: usize) {
        if let FlowState::Open { host, id, .. } = self.flows[flow].state {
            self.hosts[host].ownership.remove(id);
            self.flows[flow].state = FlowState::Ended;
        }
    }

    /// Returns the opening packet of a flow, or a packet of its request.
    #[must_use]
    pub fn packet_meta(&self, flow: usize, syn: bool, local_isn: u32) -> PacketMeta {
        let flow = &self.flows[flow];
        PacketMeta {
            flow: flow.key,
            sequence: flow.isn.wrapping_add(u32::from(!syn)),
            acknowledgement: (!syn).then(|| local_isn.wrapping_add(1)),
            syn,
            fin: false,
            rst: false,
            payload_bytes: if syn { 0 } else { 100 },
        }
    }

    fn send(&mut self, flow: usize, balancer: usize, meta: PacketMeta) -> Trace {
        let table = self.versions[self.balancers[balancer]].table.clone();
        let bucket = table.bucket_of(&meta.flow);
        let mut trace = Trace::default();
        let Some(first) = table.first(bucket, meta.opens_flow()) else {
            return trace;
        };
        let mut visited = Visited::default();
        visited.push(first.host);
        let header = ForwardHeader {
            service: SERVICE,
            table: table.version(),
            bucket,
            hops: 0,
            visited,
        };
        let mut under_way = vec![(host_of_address(first.data_address), header)];
        while let Some((index, header)) = under_way.pop() {
            let host = &mut self.hosts[index];
            if host.state == HostState::Absent {
                continue;
            }
            let mut decision = host.ownership.decide(self.now, &header, &meta);
            if decision == Decision::Open {
                decision = self.open(flow, index, &header, &meta);
            }
            match decision {
                Decision::Deliver(id) => self.receive(flow, index, id, &meta, &header, &mut trace),
                Decision::DeliverAndForward(id, hop) => {
                    self.receive(flow, index, id, &meta, &header, &mut trace);
                    under_way.push((host_of_address(hop.to), hop.header));
                }
                Decision::Forward(hop) => under_way.push((host_of_address(hop.to), hop.header)),
                Decision::ForwardBoth(first, second) => {
                    for hop in [second, first] {
                        under_way.push((host_of_address(hop.to), hop.header));
                    }
                }
                Decision::ReplaceSyn(id) => {
                    self.hosts[index].ownership.replace_syn(id, &meta);
                }
                Decision::Refuse => {
                    trace.is_reset = true;
                    self.on_reset(flow, &meta);
                }
                _ => {}
            }
        }
        trace
    }

    fn open(
        &mut self,
        flow: usize,
        index: usize,
        header: &ForwardHeader,
        meta: &PacketMeta,
    ) -> Decision {
        let now = self.now;
        let host = &mut self.hosts[index];
        if let Some(earlier) = host.ownership.flow_of(&meta.flow) {
            host.ownership.remove(earlier);
        }
        if host.is_full || host.state == HostState::Draining {
            let reason = Rejection::NotAccepting;
            return host.ownership.redirect(now, header, meta.flow, reason);
        }
        let id = host.ownership.insert(meta).expect("below the flow limit");
        if self.rng.random_ratio(1, 4) {
            self.hosts[index].connecting.push(Connecting {
                flow,
                id,
                header: *header,
            });
        } else {
            self.on_connected(flow, index, id);
        }
        Decision::IgnoreRetransmission
    }

    /// Ends the pending connects: one in eight fails and is placed elsewhere.
    pub(super) fn finish_connects(&mut self) {
        for index in 0..self.hosts.len() {
            for pending in std::mem::take(&mut self.hosts[index].connecting) {
                let (flow, key) = (pending.flow, self.flows[pending.flow].key);
                if self.rng.random_ratio(1, 8) {
                    let now = self.now;
                    let ownership = &mut self.hosts[index].ownership;
                    ownership.remove(pending.id);
                    // The caller repeats its opening packet, which then follows the redirect.
                    let _ = ownership.redirect(now, &pending.header, key, Rejection::Full);
                } else if self.hosts[index].ownership.flow_of(&key) == Some(pending.id) {
                    self.on_connected(flow, index, pending.id);
                }
            }
        }
    }

    fn on_connected(&mut self, flow: usize, index: usize, id: FlowId) {
        let local_isn = self.rng.random();
        let host = &mut self.hosts[index];
        host.ownership.set_phase(id, Phase::HalfOpen { local_isn });
        let record = host.ownership.record_of(id).expect("the flow was inserted");
        let caller_isn = record.caller_isn;
        host.initial_sequences.insert(id, (caller_isn, local_isn));
        self.answer_caller(flow, index, id);
    }

    /// The caller takes the first answer to its present opening packet.
    fn answer_caller(&mut self, flow: usize, host: usize, id: FlowId) {
        let Some((caller_isn, local_isn)) = self.hosts[host].initial_sequences.get(&id).copied()
        else {
            return;
        };
        let known = &mut self.flows[flow];
        if known.state == FlowState::Opening && known.isn == caller_isn {
            self.opened += 1;
            known.state = FlowState::Open {
                host,
                id,
                local_isn,
            };
        }
    }

    fn receive(
        &mut self,
        flow: usize,
        host: usize,
        id: FlowId,
        meta: &PacketMeta,
        header: &ForwardHeader,
        trace: &mut Trace,
    ) {
        if meta.opens_flow() {
            return self.answer_caller(flow, host, id);
        }
        if meta.rst {
            self.hosts[host].ownership.remove(id);
            return;
        }
        let expected = self.hosts[host].initial_sequences.get(&id).copied();
        let is_valid = expected.is_some_and(|(caller_isn, local_isn)| {
            meta.sequence == caller_isn.wrapping_add(1)
                && meta.acknowledgement == Some(local_isn.wrapping_add(1))
        });
        let is_half_open = self.hosts[host]
            .ownership
            .record_of(id)
            .is_some_and(|record| matches!(record.phase, Phase::HalfOpen { .. }));
        if !is_valid {
            // TCP discards it, but a half-open flow must not see it at all.
            self.violations.misdelivered += usize::from(is_half_open);
            return;
        }
        trace.is_delivered = true;
        trace.hops = header.hops;
        if is_half_open {
            self.hosts[host].ownership.set_phase(id, Phase::Established);
        }
        let known = &mut self.flows[flow];
        if meta.sequence != known.isn.wrapping_add(1) {
            // A late packet of the earlier flow reached the flow that it belongs to.
            return;
        }
        let is_owner = matches!(known.state, FlowState::Open { host: owner, id: own, .. } if (owner, own) == (host, id));
        self.violations.misdelivered += usize::from(!is_owner);
        known.servers.insert((host, id));
        self.violations.duplicated += usize::from(known.servers.len() > 1);
    }

    fn on_reset(&mut self, flow: usize, meta: &PacketMeta) {
        self.resets += 1;
        let known = &mut self.flows[flow];
        match known.state {
            FlowState::Open { .. } if !meta.opens_flow() => self.violations.broken += 1,
            FlowState::Opening if meta.opens_flow() => known.state = FlowState::Ended,
            _ => {}
        }
    }
}
