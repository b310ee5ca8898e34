//! Actor of an agent.

use {
    super::{
        Result,
        decisions::LineBudget,
        node::{Event, Shell, TICK, run_loop},
        sockets::{Outbox, Port},
    },
    crate::settings::{PassThroughAgentSettings, PassThroughSettings},
    cardamomloom_coordination::passthrough::agent::{
        Action, Agent, AgentIdentity, AgentOptions, DropReason,
    },
    cardamomloom_core::Time,
    cardamomloom_platform::packet::PlatformPackets,
    cardamomloom_protocol::{
        forward::DatagramKey,
        passthrough::{FlowOwner, PacketFormat, RelayHeader, RelayKind, RunId, Segment},
    },
    cardamomloom_transport::udp::{ReceiveBatch, SendBatch},
    log::info,
    serde_json::json,
    stakker::{CX, Stakker, actor, after, fwd_to, ret_shutdown},
    std::{
        hash::{BuildHasher, RandomState},
        net::SocketAddrV4,
        rc::Rc,
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::Receiver,
};

/// Runs an agent until it is asked to stop and its flows have ended.
pub async fn run(
    settings: &PassThroughSettings,
    agent: &PassThroughAgentSettings,
    shell: Shell,
    mut inbox: Receiver<Event>,
) -> Result<()> {
    let (data, control) = (shell.data.clone(), shell.control.clone());
    let from_server = Rc::new(Port::bind(agent.from_server_address)?);
    let mut stakker = Stakker::new(Instant::now());
    let identity = AgentIdentity {
        address: settings.address(),
        process_run: RunId(RandomState::new().hash_one(settings.address()) | 1),
        service: agent.service.clone(),
        domain: settings.domain.clone(),
        server: agent.server_address,
    };
    let node = AgentNode {
        agent: Agent::new(
            AgentOptions::default(),
            identity,
            &settings.seed_addresses(),
            shell.clock.now(),
        ),
        io: PacketIo {
            key: settings.key()?,
            data_port: settings.data_address.port(),
            server: agent.server_address,
            own: settings.data_address,
            from_server: from_server.clone(),
            format: Box::new(PlatformPackets),
            sender: SendBatch::default(),
            to_network: Outbox::default(),
            to_server: Outbox::default(),
            notable: LineBudget::notable(),
            samples: LineBudget::samples(),
        },
        shell,
        received: ReceiveBatch::default(),
        actions: Vec::new(),
        has_timer: false,
    };
    let actor = actor!(stakker, AgentNode::init(node), ret_shutdown!(stakker));
    let handler = fwd_to!([actor], on_event() as (Event));
    run_loop(
        &mut stakker,
        &handler,
        &data,
        &control,
        Some(&from_server),
        &mut inbox,
    )
    .await;
    Ok(())
}

struct AgentNode {
    agent: Agent,
    io: PacketIo,
    shell: Shell,
    received: ReceiveBatch,
    actions: Vec<Action>,
    has_timer: bool,
}

/// Sockets and buffers that actions go to.
struct PacketIo {
    key: DatagramKey,
    data_port: u16,
    server: SocketAddrV4,
    own: SocketAddrV4,
    from_server: Rc<Port>,
    format: Box<dyn PacketFormat>,
    sender: SendBatch,
    to_network: Outbox,
    to_server: Outbox,
    notable: LineBudget,
    samples: LineBudget,
}

impl AgentNode {
    fn init(cx: CX![], node: Self) -> Option<Self> {
        after!(Duration::ZERO, [cx], on_tick());
        Some(node)
    }

    fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.shell.clock.now();
        match event {
            Event::PacketsReady => self.on_packets(cx, now),
            Event::ServerPacketsReady => self.on_server_packets(now),
            Event::ControlReady => {
                for message in self.shell.control.receive(&mut self.received) {
                    let answers = self.agent.on_message(now, message);
                    self.shell.control.send(answers);
                }
                self.update(now);
            }
            Event::Catalogue(document) => self.agent.on_catalogue(document),
            Event::Standing(standing) => self.agent.on_domain_status(standing),
            Event::Registry(registrations) => {
                let balancers = registrations.iter().map(|entry| entry.address);
                self.agent.add_balancers(now, balancers);
                self.announce(now);
            }
            Event::StoreConfirmed => self.agent.on_store_confirmed(now),
            Event::Copied(snapshot) => {
                self.shell.copier.finish();
                if let Some(snapshot) = snapshot {
                    self.agent.on_snapshot(now, *snapshot);
                }
            }
            Event::SnapshotRequest(reply) => drop(reply),
            Event::StatusRequest(reply) => {
                let (flows, hosts, balancers) = self.agent.counts();
                // The asker may have given up.
                let _ = reply.send(json!({
                    "role": "agent", "flows": flows, "hosts": hosts, "balancers": balancers,
                }));
            }
            Event::Report(report, reply) => {
                let is_acknowledged = self.agent.on_report(now, &report, &mut self.actions);
                // The backend server may have given up.
                let _ = reply.send(is_acknowledged);
                self.perform(now, &[]);
                self.announce(now);
            }
            Event::Departure(instance, reply) => {
                self.agent.on_departure(&instance);
                let _ = reply.send(true);
                self.announce(now);
            }
            Event::Seeds(seeds) => self.agent.add_balancers(now, seeds),
            Event::Stop => {
                info!(event = "stopping"; "agent stops when its flows have ended");
                self.agent.stop(now);
                self.announce(now);
            }
        }
    }

    fn on_tick(&mut self, cx: CX![]) {
        let now = self.shell.clock.now();
        self.announce(now);
        self.update(now);
        self.publish_metrics(now);
        if self.agent.can_exit(now) {
            cx.stop();
            return;
        }
        after!(TICK, [cx], on_tick());
    }

    fn announce(&mut self, now: Time) {
        let outgoing = self.agent.on_tick(now);
        self.shell.control.send(outgoing);
    }

    fn on_packets(&mut self, cx: CX![], now: Time) {
        let mut may_have_more = true;
        while may_have_more {
            may_have_more = self.shell.data.receive(&mut self.received);
            for (datagram, _) in self.received.datagrams() {
                let decoded =
                    RelayHeader::decode(self.io.key, datagram)
                        .ok()
                        .and_then(|(header, packet)| {
                            Some((header, self.io.format.parse(packet)?, packet))
                        });
                let Some((header, segment, packet)) = decoded else {
                    count_drop("malformed");
                    continue;
                };
                self.agent
                    .on_relayed(now, &header, &segment, packet, &mut self.actions);
                if self.actions.is_empty() && self.io.notable.take(now) {
                    info!(
                        event = "opening_held", flow:% = segment.flow_from_caller(),
                        copies_before = segment.acknowledgment, held = self.agent.queued_syns();
                        "opening packet waits for room at the backend server"
                    );
                }
                self.io
                    .perform(now, &mut self.actions, packet, &self.shell.control);
            }
            self.io.flush(&self.shell.data);
        }
        self.start_timer(cx, now);
    }

    fn on_server_packets(&mut self, now: Time) {
        let mut may_have_more = true;
        let mut restored = Vec::new();
        while may_have_more {
            may_have_more = self.io.from_server.clone().receive(&mut self.received);
            for (packet, _) in self.received.datagrams() {
                let Some(segment) = self.io.format.parse(packet) else {
                    count_drop("malformed");
                    continue;
                };
                restored.clear();
                restored.extend_from_slice(packet);
                if segment.flags.is_returned {
                    self.io.format.restore(&mut restored);
                }
                self.agent
                    .on_server_packet(now, &segment, &restored, &mut self.actions);
                self.io
                    .perform(now, &mut self.actions, &restored, &self.shell.control);
            }
            self.io.flush(&self.shell.data);
        }
    }

    fn perform(&mut self, now: Time, packet: &[u8]) {
        self.io
            .perform(now, &mut self.actions, packet, &self.shell.control);
        self.io.flush(&self.shell.data);
    }

    /// Looks after openings that the backend server does not answer.
    fn start_timer(&mut self, cx: CX![], now: Time) {
        if self.has_timer {
            return;
        }
        if let Some(due) = self.agent.on_syn_timer(now, &mut self.actions) {
            self.has_timer = true;
            after!(due.since(now).to_duration(), [cx], on_opening_timer());
        }
        self.perform(now, &[]);
    }

    fn on_opening_timer(&mut self, cx: CX![]) {
        self.has_timer = false;
        let now = self.shell.clock.now();
        self.start_timer(cx, now);
    }

    /// Brings reading and copying in line with the state.
    fn update(&mut self, now: Time) {
        self.shell.is_ready.store(true, Ordering::Relaxed);
        self.shell.set_reading(self.agent.should_read_store(now));
        self.shell.copier.start(|| self.agent.snapshot_source());
    }

    fn publish_metrics(&mut self, now: Time) {
        let answer_times = metrics::histogram!("cardamomloom_answer_seconds");
        for span in self.agent.take_response_times() {
            answer_times.record(span.to_duration());
        }
        let (open_flows, _, _) = self.agent.counts();
        metrics::gauge!("cardamomloom_open_flows").set(open_flows as f64);
        metrics::gauge!("cardamomloom_held_openings").set(self.agent.queued_syns() as f64);
        let outcomes = self.agent.outcomes();
        let (answered, failed) = outcomes.totals();
        metrics::counter!("cardamomloom_outcomes_total", "outcome" => "answered")
            .absolute(answered);
        metrics::counter!("cardamomloom_outcomes_total", "outcome" => "failed").absolute(failed);
        metrics::gauge!("cardamomloom_admitted_share").set(outcomes.admitted_share(now));
    }
}

impl PacketIo {
    /// Collects the datagrams of actions about a packet.
    fn perform(
        &mut self,
        now: Time,
        actions: &mut Vec<Action>,
        packet: &[u8],
        control: &super::node::ControlPort,
    ) {
        for action in actions.drain(..) {
            self.log(now, &action, packet);
            match action {
                Action::Deliver => self.to_server.push(self.server, &[], packet),
                Action::DeliverBuffered(packet) => self.to_server.push(self.server, &[], &packet),
                Action::ReturnToCaller { caller } => {
                    let to = SocketAddrV4::new(caller, self.data_port);
                    self.to_network.push(to, &[], packet);
                }
                Action::Relay { to, header } => self.relay(to, &header, packet),
                Action::RelayBuffered { to, header, packet } => self.relay(to, &header, &packet),
                Action::AnnounceOwner { to, flow } => control.send_owner(
                    to,
                    FlowOwner {
                        flow,
                        agent: *self.own.ip(),
                    },
                ),
                Action::Reset { flow, sequence } => {
                    metrics::counter!("cardamomloom_resets_total").increment(1);
                    let to = SocketAddrV4::new(*flow.caller.ip(), self.data_port);
                    let reset = self.format.encode(&Segment::reset(&flow, sequence), &[]);
                    self.to_network.push(to, &reset, &[]);
                }
                Action::Drop(reason) => count_drop(DropReason::label(reason)),
            }
        }
    }

    /// Logs a decision: all that a caller feels, and samples of the usual path.
    fn log(&mut self, now: Time, action: &Action, packet: &[u8]) {
        let budget = match action {
            Action::ReturnToCaller { .. } | Action::AnnounceOwner { .. } => return,
            // A search reaches every agent of a service, and at most one owns the flow.
            Action::Deliver | Action::DeliverBuffered(_) | Action::Drop(DropReason::NotOwner) => {
                &mut self.samples
            }
            Action::Relay { header, .. } if header.kind != RelayKind::Search => &mut self.samples,
            _ => &mut self.notable,
        };
        if !budget.take(now) {
            return;
        }
        let packet = match action {
            Action::RelayBuffered { packet, .. } | Action::DeliverBuffered(packet) => packet,
            _ => packet,
        };
        let segment = self.format.parse(packet);
        let flow = segment.map(|segment| segment.flow_from_caller().to_string());
        let opens = segment.is_some_and(|segment| segment.is_syn_without_ack());
        match action {
            Action::Deliver | Action::DeliverBuffered(_) => {
                info!(event = "packet_delivered", flow, opens; "packet goes to the backend server");
            }
            Action::Relay { to, header } | Action::RelayBuffered { to, header, .. } => info!(
                event = "packet_relayed", flow, opens, kind:? = header.kind, to:%,
                balancer:% = header.balancer, catalogue:% = header.catalogue,
                visited = header.visited().len();
                "packet goes to another agent"
            ),
            Action::Reset { flow, sequence } => info!(
                event = "flow_reset", flow:%, sequence;
                "backend server no longer holds the flow"
            ),
            Action::Drop(reason) => info!(
                event = "packet_dropped", flow, opens, cause = reason.label();
                "packet is dropped"
            ),
            Action::ReturnToCaller { .. } | Action::AnnounceOwner { .. } => {}
        }
    }

    fn relay(&mut self, to: std::net::Ipv4Addr, header: &RelayHeader, packet: &[u8]) {
        let header = header.encode(self.key, packet);
        self.to_network
            .push(SocketAddrV4::new(to, self.data_port), &header, packet);
    }

    fn flush(&mut self, data: &Port) {
        if !self.to_server.is_empty() {
            self.from_server
                .send_all(&mut self.sender, &mut self.to_server);
        }
        if !self.to_network.is_empty() {
            data.send_all(&mut self.sender, &mut self.to_network);
        }
    }
}

fn count_drop(cause: &'static str) {
    metrics::counter!("cardamomloom_dropped_packets_total", "cause" => cause).increment(1);
}
