//! Callers of the simulation, and the path of their packets through balancers and agents.

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

/// State of a flow from the point of view of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// The caller may have sent its SYN and has not received a SYN-ACK.
    Opening,
    /// The caller received the SYN-ACK of an agent.
    Open {
        /// Index of the host of the agent.
        host: usize,
        /// Identifier of the flow at the agent.
        id: FlowId,
        /// Initial sequence number of the agent.
        local_isn: u32,
    },
    /// The agent that owned the flow was terminated, by a planned change or a fault.
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
    /// Current state.
    pub state: FlowState,
    /// Hosts, and flows there, that received bytes of the request.
    servers: BTreeSet<(usize, FlowId)>,
}

impl Flow {
    /// Marks the flow as lost if it is open at an agent on the host `lost`.
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

/// Pending connect of an agent to its backend server.
pub struct Connecting {
    flow: usize,
    id: FlowId,
    header: ForwardHeader,
}

/// Result of sending a packet through a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Whether the packet reached a flow whose sequence numbers it matches.
    pub is_delivered: bool,
    /// Whether the caller received a reset.
    pub is_reset: bool,
    /// Number of agents that forwarded the delivered packet before it arrived.
    pub hops: u8,
}

/// Returns the address of the simulated service.
#[must_use]
pub fn service_address() -> SocketAddr {
    SocketAddr::from(([203, 0, 113, 1], 80))
}

impl Simulation {
    /// Adds a caller that has not sent any packet, and returns the index of its flow.
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

    /// Sends the SYN once through each of `balancers`, as with retransmissions that cross the SYN-ACK.
    pub fn send_syn(&mut self, flow: usize, balancers: &[usize]) {
        for balancer in balancers {
            self.send(flow, *balancer, self.packet_meta(flow, true, 0));
        }
    }

    /// Sends the next packet of a flow: its SYN, or a part of the request.
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

    /// Ends an open flow and opens another one with the same 5-tuple. A packet of the first flow
    /// arrives after the SYN of the second.
    pub fn reuse_five_tuple(&mut self, flow: usize, balancer: usize) {
        let FlowState::Open {
            host,
            id,
            local_isn,
        } = self.flows[flow].state
        else {
            return;
        };
        let late_packet = self.packet_meta(flow, false, local_isn);
        let caller_end = late_packet
            .sequence
            .wrapping_add(late_packet.sequence_length());
        let closing = Phase::Closing { caller_end };
        self.hosts[host].ownership.set_phase(id, closing);
        let caller_flow = &mut self.flows[flow];
        caller_flow.isn = caller_flow.isn.wrapping_add(0x0100_0001);
        caller_flow.state = FlowState::Opening;
        caller_flow.servers.clear();
        self.send_syn(flow, &[balancer]);
        self.send(flow, balancer, late_packet);
    }

    /// Ends a flow with a reset of the caller that has no acknowledgement number, as one that aborts
    /// directly after its SYN sends it.
    pub fn abort(&mut self, flow: usize, balancer: usize) {
        let mut meta = self.packet_meta(flow, false, 0);
        meta.acknowledgement = None;
        meta.rst = true;
        meta.payload_bytes = 0;
        self.flows[flow].state = FlowState::Ended;
        self.send(flow, balancer, meta);
    }

    /// Restarts the caller of a flow that has no SYN-ACK yet: it sends a SYN with a new initial
    /// sequence number from the same port.
    pub fn restart_caller(&mut self, flow: usize, balancer: usize) {
        if self.flows[flow].state == FlowState::Opening {
            self.flows[flow].isn = self.rng.random();
            self.send_syn(flow, &[balancer]);
        }
    }

    /// Ends an open flow without sending packets.
    pub fn close(&mut self, flow: usize) {
        if let FlowState::Open { host, id, .. } = self.flows[flow].state {
            self.hosts[host].ownership.remove(id);
            self.flows[flow].state = FlowState::Ended;
        }
    }

    /// Returns the SYN of a flow, or a packet of its request that acknowledges `local_isn`.
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
        let mut in_transit = vec![(host_of_address(first.data_address), header)];
        while let Some((index, header)) = in_transit.pop() {
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
                    in_transit.push((host_of_address(hop.to), hop.header));
                }
                Decision::Forward(hop) => in_transit.push((host_of_address(hop.to), hop.header)),
                Decision::ForwardBoth(first, second) => {
                    for hop in [second, first] {
                        in_transit.push((host_of_address(hop.to), hop.header));
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
        if let Some(previous) = host.ownership.flow_of(&meta.flow) {
            host.ownership.remove(previous);
        }
        if host.is_full || host.state == HostState::Draining {
            let reason = Rejection::NotAccepting;
            return host.ownership.redirect(now, header, meta.flow, reason);
        }
        let id = host
            .ownership
            .insert(meta)
            .expect("the number of flows is below the limit");
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

    /// Completes the pending connects. One in eight fails, and its flow is redirected to another host.
    pub(super) fn complete_connects(&mut self) {
        for index in 0..self.hosts.len() {
            for pending in std::mem::take(&mut self.hosts[index].connecting) {
                let (flow, key) = (pending.flow, self.flows[pending.flow].key);
                if self.rng.random_ratio(1, 8) {
                    let now = self.now;
                    let ownership = &mut self.hosts[index].ownership;
                    ownership.remove(pending.id);
                    // The result is not needed: the caller retransmits its SYN, which then follows the
                    // redirect.
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
        self.send_syn_ack(flow, index, id);
    }

    /// Delivers a SYN-ACK to the caller, which accepts only the first one for its current SYN.
    fn send_syn_ack(&mut self, flow: usize, host: usize, id: FlowId) {
        let Some((caller_isn, local_isn)) = self.hosts[host].initial_sequences.get(&id).copied()
        else {
            return;
        };
        let flow = &mut self.flows[flow];
        if flow.state == FlowState::Opening && flow.isn == caller_isn {
            self.opened += 1;
            flow.state = FlowState::Open {
                host,
                id,
                local_isn,
            };
        }
    }

    /// Processes a packet at the flow of an agent and checks that this flow owns it.
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
            return self.send_syn_ack(flow, host, id);
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
            // TCP discards the packet, but it must not be delivered to a half-open flow at all.
            self.violations.misdelivered += usize::from(is_half_open);
            return;
        }
        trace.is_delivered = true;
        trace.hops = header.hops;
        if is_half_open {
            self.hosts[host].ownership.set_phase(id, Phase::Established);
        }
        let caller_flow = &mut self.flows[flow];
        if meta.sequence != caller_flow.isn.wrapping_add(1) {
            // A late packet of the previous flow of this 5-tuple reached the flow that owns it.
            return;
        }
        let is_owner = matches!(caller_flow.state, FlowState::Open { host: owner, id: own, .. } if (owner, own) == (host, id));
        self.violations.misdelivered += usize::from(!is_owner);
        caller_flow.servers.insert((host, id));
        self.violations.duplicated += usize::from(caller_flow.servers.len() > 1);
    }

    fn on_reset(&mut self, flow: usize, meta: &PacketMeta) {
        self.resets += 1;
        let flow = &mut self.flows[flow];
        match flow.state {
            FlowState::Open { .. } if !meta.opens_flow() => self.violations.broken += 1,
            FlowState::Opening if meta.opens_flow() => flow.state = FlowState::Ended,
            _ => {}
        }
    }
}
