//! Actor of an agent with pass-through delivery: connects the agent state machine to sockets,
//! timers, metrics and the log.

mod action_log;

use {
    super::{
        Result, explanation,
        load_metrics::publish_host_load,
        log_limit::LogRateLimiter,
        node::{Event, NodeRuntime, TICK, run_loop},
        registry, rejections,
        server_check::is_server_absent,
        sockets::{Outbox, PacketSocket},
    },
    crate::settings::{PassThroughAgentSettings, PassThroughSettings},
    cardamomloom_coordination::passthrough::{
        agent::{Action, Agent, AgentIdentity, AgentOptions, DropReason},
        balancer::SnapshotContent,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_platform::packet::PlatformPackets,
    cardamomloom_protocol::{
        forward::DatagramKey,
        passthrough::{FlowId, FlowOwner, PacketFormat, PeerMessage, RelayHeader, RunId, Segment},
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

/// Runs an agent until it has received a stop request and its flows have ended or its stop timeout
/// has passed.
///
/// # Errors
///
/// Fails with kind `io` when the socket for packets of the backend server cannot be bound, and
/// with `invalid_argument` when the datagram key is malformed.
pub async fn run(
    settings: &PassThroughSettings,
    agent: &PassThroughAgentSettings,
    runtime: NodeRuntime,
    mut inbox: Receiver<Event>,
) -> Result<()> {
    let (data, control) = (runtime.data.clone(), runtime.control.clone());
    let server_socket = Rc::new(PacketSocket::bind(agent.from_server_address)?);
    let mut stakker = Stakker::new(Instant::now());
    let identity = AgentIdentity {
        address: settings.address(),
        process_run: RunId(RandomState::new().hash_one(settings.address()) | 1),
        service: agent.service.clone(),
        domain: settings.domain.clone(),
        server: agent.server_address,
    };
    let started = runtime.clock.now();
    let mut state = Agent::new(
        AgentOptions {
            load_control: settings.load_control.options(),
            ..AgentOptions::default()
        },
        identity,
        &settings.seed_addresses(),
        started,
    );
    if is_server_absent(agent.server_address).await {
        // No flow is open yet, so that there is nothing to reset.
        state.on_server_absent(started, &mut Vec::new());
    }
    let node = AgentNode {
        agent: state,
        io: PacketIo {
            key: settings.key()?,
            data_port: settings.data_address.port(),
            server: agent.server_address,
            own_address: settings.data_address,
            server_socket: server_socket.clone(),
            format: Box::new(PlatformPackets),
            sender: SendBatch::default(),
            to_network: Outbox::default(),
            to_server: Outbox::default(),
            caller_visible_log: LogRateLimiter::caller_visible(),
            sample_log: LogRateLimiter::samples(),
        },
        runtime,
        received: ReceiveBatch::default(),
        actions: Vec::new(),
        is_syn_timer_armed: false,
    };
    let actor = actor!(stakker, AgentNode::init(node), ret_shutdown!(stakker));
    let handler = fwd_to!([actor], on_event() as (Event));
    run_loop(
        &mut stakker,
        &handler,
        &data,
        &control,
        Some(&server_socket),
        &mut inbox,
    )
    .await;
    Ok(())
}

struct AgentNode {
    agent: Agent,
    io: PacketIo,
    runtime: NodeRuntime,
    received: ReceiveBatch,
    actions: Vec<Action>,
    is_syn_timer_armed: bool,
}

/// Executes the actions of the agent: queues datagrams for the network and for the backend server,
/// and logs the decisions.
struct PacketIo {
    key: DatagramKey,
    data_port: u16,
    server: SocketAddrV4,
    own_address: SocketAddrV4,
    server_socket: Rc<PacketSocket>,
    format: Box<dyn PacketFormat>,
    sender: SendBatch,
    to_network: Outbox,
    to_server: Outbox,
    caller_visible_log: LogRateLimiter,
    sample_log: LogRateLimiter,
}

impl AgentNode {
    fn init(cx: CX![], node: Self) -> Option<Self> {
        after!(Duration::ZERO, [cx], on_tick());
        Some(node)
    }

    fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.runtime.clock.now();
        match event {
            Event::PacketsReady => self.on_packets(cx, now),
            Event::ServerPacketsReady => self.on_server_packets(now),
            Event::ControlReady => {
                for message in self.runtime.control.receive(&mut self.received) {
                    let answers = self.agent.on_message(now, message, &mut self.actions);
                    self.runtime.control.send(answers);
                }
                self.execute_actions(now, &[]);
                self.update_runtime(now);
            }
            Event::Catalogue(document) => self.agent.on_catalogue(now, document),
            Event::DomainStatus(status) => self.agent.on_domain_status(now, status),
            Event::RegisteredBalancers(registrations) => {
                let balancers = registrations.iter().map(|entry| entry.address);
                self.agent.add_balancers(now, balancers);
                self.send_control_messages(now);
            }
            Event::StoreConfirmed => self.agent.on_store_confirmed(now),
            Event::SnapshotFetched(snapshot) => {
                self.runtime.peers.finish_snapshot();
                if let Some(snapshot) = snapshot {
                    self.agent.on_snapshot(now, *snapshot);
                    self.update_runtime(now);
                }
            }
            // Agents serve no snapshots.
            Event::SnapshotRequest { reply, .. } => drop(reply),
            Event::CopyFetched(peer, outcome) => {
                self.agent.on_copy(now, peer, &outcome);
                self.update_runtime(now);
            }
            Event::CopyRequest {
                receiver,
                query,
                reply,
            } => {
                let response = self.agent.copy_for(now, receiver, query);
                NodeRuntime::reply_copy(receiver, response, reply);
            }
            Event::StatusRequest(reply) => {
                let (flows, hosts, balancers) = self.agent.counts();
                // Sending fails when the HTTP client has disconnected.
                let _ = reply.send(json!({
                    "role": "agent", "flows": flows, "hosts": hosts, "balancers": balancers,
                    "catalogue": self.agent.catalogue_version().0,
                    "newest_announced_catalogue": self.agent.newest_announced().map(|version| version.0),
                    "behind_ms": self.agent.behind_for(now).map(Span::as_millis),
                }));
            }
            Event::ExplainRequest(query, reply) => {
                let explanation = self.agent.explain(now, &query);
                let _ = reply.send(explanation::admission_json(&query, &explanation));
            }
            Event::Report(report, reply) => {
                let is_acknowledged = self.agent.on_report(now, &report, &mut self.actions);
                // Sending fails when the backend server has disconnected.
                let _ = reply.send(is_acknowledged);
                self.execute_actions(now, &[]);
                self.send_control_messages(now);
            }
            Event::Departure(instance, reply) => {
                self.agent.on_departure(&instance);
                let _ = reply.send(true);
                self.send_control_messages(now);
            }
            Event::ServerChecked {
                asked_at,
                is_absent,
            } => {
                self.runtime.server_checker.finish();
                if is_absent {
                    self.agent.on_server_absent(asked_at, &mut self.actions);
                    self.execute_actions(now, &[]);
                }
            }
            Event::Seeds(seeds) => self.agent.set_seeds(now, &seeds),
            Event::Stop => {
                info!(
                    event = "stopping";
                    "stop requested: the agent drains and exits when its flows have ended"
                );
                self.agent.stop(now);
                self.send_control_messages(now);
            }
        }
    }

    fn on_tick(&mut self, cx: CX![]) {
        let now = self.runtime.clock.now();
        self.send_control_messages(now);
        self.update_runtime(now);
        self.list_balancers_if_due(now);
        self.publish_metrics(now);
        if self.agent.can_exit(now) {
            let outgoing = self.agent.departure_messages(now);
            self.runtime.control.send(outgoing);
            cx.stop();
            return;
        }
        after!(TICK, [cx], on_tick());
    }

    /// Lists the registered balancers again while none answers.
    fn list_balancers_if_due(&mut self, now: Time) {
        if self.agent.should_list_balancers(now) {
            let (_, _, balancers) = self.agent.counts();
            info!(event = "registry_retry", balancers; "no balancer answers: listing the registered ones again");
            let (store, events) = (self.runtime.store.clone(), self.runtime.events.clone());
            tokio::spawn(async move { registry::list_once(&store, &events).await });
        }
    }

    /// Runs the periodic work of the agent and sends the announcements that are due.
    fn send_control_messages(&mut self, now: Time) {
        let outgoing = self.agent.on_tick(now);
        self.runtime.control.send(outgoing);
    }

    fn on_packets(&mut self, cx: CX![], now: Time) {
        let mut may_have_more = true;
        while may_have_more {
            may_have_more = self.runtime.data.receive(&mut self.received);
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
                if self.actions.is_empty() && self.io.caller_visible_log.try_acquire(now) {
                    info!(
                        event = "opening_held", flow:% = segment.flow_from_caller(),
                        copies_before = segment.acknowledgment, held = self.agent.queued_syns();
                        "SYN queued until the backend server has capacity"
                    );
                }
                self.io
                    .execute(now, &mut self.actions, packet, &self.runtime.control);
            }
            self.io.flush(&self.runtime.data);
        }
        self.process_syn_timeouts(cx, now);
    }

    fn on_server_packets(&mut self, now: Time) {
        let mut may_have_more = true;
        // Packet as its sender wrote it; a returned packet is restored first.
        let mut original = Vec::new();
        while may_have_more {
            may_have_more = self.io.server_socket.clone().receive(&mut self.received);
            for (packet, _) in self.received.datagrams() {
                let Some(segment) = self.io.format.parse(packet) else {
                    count_drop("malformed");
                    continue;
                };
                original.clear();
                original.extend_from_slice(packet);
                if segment.flags.is_returned {
                    self.io.format.restore(&mut original);
                }
                self.agent
                    .on_server_packet(now, &segment, &original, &mut self.actions);
                self.io
                    .execute(now, &mut self.actions, &original, &self.runtime.control);
            }
            self.io.flush(&self.runtime.data);
        }
    }

    fn execute_actions(&mut self, now: Time, packet: &[u8]) {
        self.io
            .execute(now, &mut self.actions, packet, &self.runtime.control);
        self.io.flush(&self.runtime.data);
    }

    /// Forwards SYNs that the backend server has not answered in time to the next candidate, and
    /// arms the timer for the next deadline. Does nothing while the timer is armed.
    fn process_syn_timeouts(&mut self, cx: CX![], now: Time) {
        if self.is_syn_timer_armed {
            return;
        }
        if let Some(deadline) = self.agent.on_syn_timer(now, &mut self.actions) {
            self.is_syn_timer_armed = true;
            after!(deadline.since(now).to_duration(), [cx], on_syn_timer());
        }
        self.execute_actions(now, &[]);
    }

    fn on_syn_timer(&mut self, cx: CX![]) {
        self.is_syn_timer_armed = false;
        let now = self.runtime.clock.now();
        self.process_syn_timeouts(cx, now);
    }

    /// Applies the state of the agent to the runtime: readiness, reading of the store, and fetching
    /// of snapshots from peers.
    fn update_runtime(&mut self, now: Time) {
        self.agent.deliver_queued_syns(now, &mut self.actions);
        self.execute_actions(now, &[]);
        self.runtime.is_ready.store(true, Ordering::Relaxed);
        self.runtime
            .set_store_access(self.agent.store_access(now), self.agent.confirmed_ago(now));
        self.runtime
            .peers
            .fetch_snapshot(SnapshotContent::Membership, || self.agent.snapshot_source());
        if let Some(request) = self.agent.next_copy_request(now) {
            self.runtime.peers.request_copy(request);
        }
        if self.agent.should_check_server(now) {
            self.runtime.server_checker.start(self.io.server);
        }
    }

    fn publish_metrics(&mut self, now: Time) {
        let answer_times = metrics::histogram!("cardamomloom_answer_seconds");
        for span in self.agent.take_response_times() {
            answer_times.record(span.to_duration());
        }
        let (open_flows, _, _) = self.agent.counts();
        NodeRuntime::publish_catalogue_lag(self.agent.behind_for(now));
        metrics::gauge!("cardamomloom_open_flows").set(open_flows as f64);
        metrics::gauge!("cardamomloom_held_openings").set(self.agent.queued_syns() as f64);
        rejections::publish_queue(&self.agent, now);
        let outcomes = self.agent.outcomes();
        super::publish_lookups(self.agent.lookup_outcomes());
        let (answered, failed) = outcomes.totals();
        metrics::counter!("cardamomloom_outcomes_total", "outcome" => "answered")
            .absolute(answered);
        metrics::counter!("cardamomloom_outcomes_total", "outcome" => "failed").absolute(failed);
        metrics::gauge!("cardamomloom_admitted_share").set(outcomes.admitted_share(now));
        publish_host_load(&self.agent, now);
    }
}

impl PacketIo {
    /// Drains the actions that concern `packet` and queues their datagrams until
    /// [`PacketIo::flush`]. Control messages are sent at once.
    fn execute(
        &mut self,
        now: Time,
        actions: &mut Vec<Action>,
        packet: &[u8],
        control: &super::node::ControlSocket,
    ) {
        for action in actions.drain(..) {
            self.log_action(now, &action, packet);
            match action {
                Action::Deliver => self.to_server.push(self.server, &[], packet),
                Action::DeliverBuffered(packet) => self.to_server.push(self.server, &[], &packet),
                Action::ReturnToCaller { caller } => {
                    let to = SocketAddrV4::new(caller, self.data_port);
                    self.to_network.push(to, &[], packet);
                }
                Action::Relay { to, header } => self.relay(to, &header, packet),
                Action::RelayBuffered { to, header, packet } => self.relay(to, &header, &packet),
                Action::AnnounceOwner { to, flow } => control.send_flow_owner(
                    to,
                    FlowOwner {
                        flow,
                        agent: *self.own_address.ip(),
                    },
                ),
                Action::ReportAbsence { to, absence } => {
                    control.send_one(to, PeerMessage::Absence(absence));
                }
                Action::Send { to, message } => control.send_one(to, message),
                Action::Reset { flow, sequence } => {
                    metrics::counter!("cardamomloom_resets_total").increment(1);
                    self.send_reset(&flow, sequence);
                }
                Action::Reject { flow, rejection } => {
                    rejections::count(&rejection);
                    // The flow is not open, so that its caller accepts any sequence number.
                    self.send_reset(&flow, 0);
                }
                Action::Drop(reason) => count_drop(DropReason::label(reason)),
            }
        }
    }

    fn send_reset(&mut self, flow: &FlowId, sequence: u32) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.data_port);
        let reset = self.format.encode(&Segment::reset(flow, sequence), &[]);
        self.to_network.push(to, &reset, &[]);
    }

    fn relay(&mut self, to: std::net::Ipv4Addr, header: &RelayHeader, packet: &[u8]) {
        let header = header.encode(self.key, packet);
        self.to_network
            .push(SocketAddrV4::new(to, self.data_port), &header, packet);
    }

    fn flush(&mut self, data: &PacketSocket) {
        if !self.to_server.is_empty() {
            self.server_socket
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
