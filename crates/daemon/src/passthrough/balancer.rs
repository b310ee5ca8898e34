//! Actor of a balancer with pass-through delivery: connects the balancer state machine to sockets,
//! timers, metrics and the log.

use {
    super::{
        Result, explanation,
        load_metrics::publish_known_loads,
        log_limit::LogRateLimiter,
        node::{Event, NodeRuntime, TICK, run_loop},
        registry,
        sockets::Outbox,
    },
    crate::settings::PassThroughSettings,
    cardamomloom_coordination::passthrough::{
        FlowExplanation, OutgoingMessage,
        balancer::{
            Balancer, BalancerOptions, DropReason, ForwardingDecision, LostFlow, SnapshotContent,
            StartupQueue,
        },
        load::LoadControlOptions,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_platform::packet::PlatformPackets,
    cardamomloom_protocol::{
        forward::DatagramKey,
        passthrough::{PacketFormat, RELAY_HEADER_BYTES, RelayHeader, Segment},
    },
    cardamomloom_transport::udp::{ReceiveBatch, SendBatch},
    log::info,
    serde_json::json,
    stakker::{CX, Stakker, actor, after, fwd_to, ret_shutdown},
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::Receiver,
};

/// Runs a balancer until it has received a stop request and has forwarded for `linger_ms` more.
///
/// # Errors
///
/// Fails with kind `invalid_argument` when the datagram key is malformed.
pub async fn run(
    settings: &PassThroughSettings,
    linger_ms: u64,
    runtime: NodeRuntime,
    mut inbox: Receiver<Event>,
) -> Result<()> {
    let (data, control) = (runtime.data.clone(), runtime.control.clone());
    let mut stakker = Stakker::new(Instant::now());
    let seeds = settings.seed_addresses();
    let load_control = settings.load_control.options();
    let balancer = Balancer::new(
        BalancerOptions {
            load_control,
            ..BalancerOptions::default()
        },
        settings.address(),
        &seeds,
        runtime.clock.now(),
    )
    .with_domain(settings.domain.clone());
    let node = BalancerNode {
        balancer,
        load_control,
        runtime,
        key: settings.key()?,
        data_port: settings.data_address.port(),
        format: Box::new(PlatformPackets),
        linger: Span::from_millis(linger_ms),
        received: Some(ReceiveBatch::default()),
        sender: SendBatch::default(),
        outbox: Outbox::default(),
        startup_queue: StartupQueue::default(),
        caller_visible_log: LogRateLimiter::caller_visible(),
        sample_log: LogRateLimiter::samples(),
        is_ready: false,
        is_stopping: false,
        next_publication: Time::ZERO,
    };
    let actor = actor!(stakker, BalancerNode::init(node), ret_shutdown!(stakker));
    let handler = fwd_to!([actor], on_event() as (Event));
    run_loop(&mut stakker, &handler, &data, &control, None, &mut inbox).await;
    Ok(())
}

/// Interval of the metrics of placement, which have a gauge for each service.
const METRICS_INTERVAL: Span = Span::from_secs(1);

/// Publishes where new flows go. Without placement by expected wait there is nothing to publish.
fn publish_placement(balancer: &Balancer) {
    for (scope, reason, flows) in balancer.placement_counts().iter() {
        let reason = reason.label();
        metrics::counter!("cardamomloom_placed_flows_total", "scope" => scope, "reason" => reason)
            .absolute(flows);
    }
    for (service, share) in balancer.leaving_shares() {
        metrics::gauge!("cardamomloom_leaving_share", "service" => service.to_string()).set(share);
    }
}

struct BalancerNode {
    balancer: Balancer,
    load_control: LoadControlOptions,
    runtime: NodeRuntime,
    key: DatagramKey,
    data_port: u16,
    format: Box<dyn PacketFormat>,
    /// Time from the stop request to the end of forwarding.
    linger: Span,
    /// Receive buffers; `None` only while [`BalancerNode::on_packets`] uses them.
    received: Option<ReceiveBatch>,
    sender: SendBatch,
    outbox: Outbox,
    startup_queue: StartupQueue,
    caller_visible_log: LogRateLimiter,
    sample_log: LogRateLimiter,
    is_ready: bool,
    is_stopping: bool,
    next_publication: Time,
}

impl BalancerNode {
    fn init(cx: CX![], node: Self) -> Option<Self> {
        after!(Duration::ZERO, [cx], on_tick());
        Some(node)
    }

    fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.runtime.clock.now();
        match event {
            Event::PacketsReady => self.on_packets(now),
            Event::ControlReady => {
                let received = self.received.get_or_insert_default();
                for message in self.runtime.control.receive(received) {
                    let answers = self.balancer.on_message(now, message);
                    self.send(answers);
                }
                self.reset_lost_flows(now);
                self.update_runtime(now);
            }
            Event::Catalogue(document) => {
                let outgoing = self.balancer.on_catalogue(now, document);
                self.send(outgoing);
            }
            Event::DomainStatus(status) => {
                let outgoing = self.balancer.on_domain_status(now, status);
                self.send(outgoing);
            }
            Event::RegisteredBalancers(registrations) => {
                let unresponsive = self.balancer.on_registry(now, &registrations);
                if !unresponsive.is_empty() {
                    let store = self.runtime.store.clone();
                    tokio::spawn(registry::remove_registrations(store, unresponsive));
                }
                let outgoing = self.balancer.on_tick(now);
                self.send(outgoing);
            }
            Event::StoreConfirmed => self.balancer.on_store_confirmed(now),
            Event::SnapshotFetched(snapshot) => {
                self.runtime.peers.finish_snapshot();
                if let Some(snapshot) = snapshot {
                    let outgoing = self.balancer.on_snapshot(now, *snapshot);
                    self.send(outgoing);
                }
                self.update_runtime(now);
            }
            Event::SnapshotRequest { content, reply } => {
                // Sending fails when the HTTP client has disconnected.
                let _ = reply.send(self.balancer.snapshot_of(now, content));
            }
            Event::CopyFetched(peer, outcome) => {
                let outgoing = self.balancer.on_copy(now, peer, &outcome);
                self.send(outgoing);
                self.update_runtime(now);
            }
            Event::CopyRequest {
                receiver,
                query,
                reply,
            } => {
                let response = self.balancer.copy_for(now, receiver, query);
                NodeRuntime::reply_copy(receiver, response, reply);
            }
            Event::StatusRequest(reply) => {
                let _ = reply.send(self.status(now));
            }
            Event::ExplainRequest(query, reply) => {
                let summary = self.balancer.summary(now);
                let options = self.load_control;
                let loads = self.balancer.loads();
                let explanation = FlowExplanation::new(now, &query, options, &summary, loads);
                let _ = reply.send(explanation::placement_json(&query, &explanation));
            }
            Event::Seeds(seeds) => self.balancer.set_seeds(now, &seeds),
            Event::Stop => self.stop(cx, now),
            Event::ServerPacketsReady
            | Event::Report(..)
            | Event::Departure(..)
            | Event::ServerChecked { .. } => {}
        }
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        let now = self.runtime.clock.now();
        let outgoing = self.balancer.on_tick(now);
        self.send(outgoing);
        self.update_runtime(now);
        if now >= self.next_publication {
            self.next_publication = now + METRICS_INTERVAL;
            publish_placement(&self.balancer);
        }
    }

    fn on_packets(&mut self, now: Time) {
        // Moved out of `self`, because `on_packet` borrows `self` mutably.
        let mut received = self.received.take().unwrap_or_default();
        let mut may_have_more = true;
        while may_have_more {
            may_have_more = self.runtime.data.receive(&mut received);
            for (packet, _) in received.datagrams() {
                self.on_packet(now, packet);
            }
            self.flush();
        }
        self.received = Some(received);
    }

    fn on_packet(&mut self, now: Time, packet: &[u8]) {
        let Some(segment) = self.format.parse(packet) else {
            metrics::counter!("cardamomloom_dropped_packets_total", "cause" => "malformed")
                .increment(1);
            return;
        };
        match self.balancer.on_packet(now, &segment) {
            ForwardingDecision::Forward { to, header } => {
                self.log_placement(now, &segment, to, &header);
                self.forward(to, &header, packet);
            }
            ForwardingDecision::ForwardCopies(copies) => {
                metrics::counter!("cardamomloom_copied_packets_total").increment(1);
                self.log_copies(now, &segment, copies.len());
                for (to, header) in copies {
                    self.forward(to, &header, packet);
                }
            }
            ForwardingDecision::Refuse(reason) => self.refuse(now, &segment, reason),
            ForwardingDecision::Drop(DropReason::NoCatalogue | DropReason::NoHost)
                if self.balancer.may_queue(now, &segment)
                    && self.startup_queue.push(now, packet) => {}
            ForwardingDecision::Drop(reason) => self.drop_packet(now, &segment, reason),
        }
    }

    fn forward(&mut self, to: Ipv4Addr, header: &RelayHeader, packet: &[u8]) {
        let header: [u8; RELAY_HEADER_BYTES] = header.encode(self.key, packet);
        let to = SocketAddrV4::new(to, self.data_port);
        self.outbox.push(to, &header, packet);
    }

    fn log_copies(&mut self, now: Time, segment: &Segment, copies: usize) {
        if self.sample_log.try_acquire(now) {
            info!(
                event = "owner_unknown", flow:% = segment.flow_from_caller(), copies;
                "owner of a flow is not known: packet forwarded to each service that may own it"
            );
        }
    }

    /// Forwards the SYNs that were queued while this process knew no catalogue or no host.
    fn drain_startup_queue(&mut self, now: Time) {
        if self.startup_queue.is_empty() || !self.balancer.can_place_flows(now) {
            return;
        }
        let packets = self.startup_queue.drain(now);
        info!(
            event = "early_packets", packets = packets.len();
            "forwarding the SYNs queued during startup"
        );
        for packet in packets {
            self.on_packet(now, &packet);
        }
        self.flush();
    }

    fn flush(&mut self) {
        if self.outbox.is_empty() {
            return;
        }
        metrics::counter!("cardamomloom_forwarded_packets_total")
            .increment(self.outbox.len() as u64);
        self.runtime
            .data
            .send_all(&mut self.sender, &mut self.outbox);
    }

    fn log_placement(&mut self, now: Time, segment: &Segment, to: Ipv4Addr, header: &RelayHeader) {
        if !segment.is_syn_without_ack() || !self.sample_log.try_acquire(now) {
            return;
        }
        info!(
            event = "flow_placed", flow:% = segment.flow_from_caller(),
            copies_before = segment.acknowledgment, agent:% = to, life:% = header.run,
            catalogue:% = header.catalogue, confirmed_ago_ms = self.confirmed_ago_ms(now);
            "new flow placed: SYN forwarded to an agent"
        );
    }

    /// Answers a packet with a reset, which informs the caller that its flow was not opened.
    fn refuse(&mut self, now: Time, segment: &Segment, reason: DropReason) {
        let flow = segment.flow_from_caller();
        metrics::counter!("cardamomloom_refused_flows_total").increment(1);
        if self.caller_visible_log.try_acquire(now) {
            info!(
                event = "flow_refused", flow:%, cause = reason.label(),
                confirmed_ago_ms = self.confirmed_ago_ms(now);
                "new flow refused: reset sent to the caller"
            );
        }
        let to = SocketAddrV4::new(*flow.caller.ip(), self.data_port);
        let reset = self.format.encode(&Segment::reset(&flow, 0), &[]);
        self.outbox.push(to, &reset, &[]);
    }

    /// Resets the flows that no service holds any more.
    fn reset_lost_flows(&mut self, now: Time) {
        for LostFlow { flow, sequence } in self.balancer.take_lost_flows() {
            metrics::counter!("cardamomloom_resets_total").increment(1);
            if self.caller_visible_log.try_acquire(now) {
                info!(
                    event = "flow_reset", flow:%, sequence;
                    "reset sent to the caller: no host of any service holds the flow any more"
                );
            }
            let to = SocketAddrV4::new(*flow.caller.ip(), self.data_port);
            let reset = self.format.encode(&Segment::reset(&flow, sequence), &[]);
            self.outbox.push(to, &reset, &[]);
        }
        self.flush();
    }

    fn drop_packet(&mut self, now: Time, segment: &Segment, reason: DropReason) {
        metrics::counter!("cardamomloom_dropped_packets_total", "cause" => reason.label())
            .increment(1);
        if self.caller_visible_log.try_acquire(now) {
            info!(
                event = "packet_dropped", flow:% = segment.flow_from_caller(),
                cause = reason.label(), opens = segment.is_syn_without_ack(),
                confirmed_ago_ms = self.confirmed_ago_ms(now);
                "packet from a caller dropped"
            );
        }
    }

    fn confirmed_ago_ms(&self, now: Time) -> Option<u64> {
        self.balancer.confirmed_ago(now).map(Span::as_millis)
    }

    fn send(&self, outgoing: Vec<OutgoingMessage>) {
        self.runtime.control.send(outgoing);
    }

    /// Applies the state of the balancer to the runtime: the startup queue, readiness, reading of
    /// the store, and fetching of snapshots from peers.
    fn update_runtime(&mut self, now: Time) {
        self.drain_startup_queue(now);
        let is_ready = self.balancer.is_ready(now);
        if std::mem::replace(&mut self.is_ready, is_ready) != is_ready {
            let (hosts, balancers) = self.balancer.counts();
            info!(event = "readiness", is_ready, hosts, balancers; "readiness changed");
            self.runtime.is_ready.store(is_ready, Ordering::Relaxed);
        }
        let access = self.balancer.store_access(now);
        self.runtime
            .set_store_access(access, self.balancer.confirmed_ago(now));
        self.runtime.set_store_era(self.balancer.store_era());
        NodeRuntime::publish_catalogue_lag(self.balancer.behind_for(now));
        super::publish_lookups(self.balancer.lookup_outcomes());
        publish_known_loads(&self.balancer, now);
        self.runtime
            .peers
            .fetch_snapshot(SnapshotContent::WithoutCatalogue, || {
                self.balancer.snapshot_source(now)
            });
        if let Some(request) = self.balancer.next_copy_request(now) {
            self.runtime.peers.request_copy(request);
        }
    }

    /// Returns the document for `/status`. Its fields are named as in the status of a balancer
    /// whose agents terminate flows.
    fn status(&self, now: Time) -> serde_json::Value {
        let summary = self.balancer.summary(now);
        let hosts: Vec<serde_json::Value> = summary
            .hosts
            .iter()
            .map(|host| {
                json!({
                    "agent": host.announcement.agent,
                    "service": host.announcement.service,
                    "domain": host.announcement.domain,
                    "state": format!("{:?}", host.announcement.state),
                    "accepts_new": host.accepts_new,
                })
            })
            .collect();
        json!({
            "role": "balancer",
            "delivery": "pass_through",
            "ready": self.is_ready,
            "stopping": self.is_stopping,
            "standing": if summary.is_confirmed { "serving" } else { "isolated" },
            "reads_store": summary.is_reader,
            "confirmed_ago_ms": self.confirmed_ago_ms(now),
            "newest_announced_catalogue": self.balancer.newest_announced().map(|version| version.0),
            "behind_ms": self.balancer.behind_for(now).map(Span::as_millis),
            "objects": [
                {"key": "catalogue", "version": summary.catalogue_version.0},
                {
                    "key": "domains",
                    "era": summary.domains_position.era.map(|era| era.0),
                    "version": summary.domains_position.revision.0,
                },
            ],
            "domains_out": summary.domains_out,
            "balancers": summary.balancers,
            "hosts": hosts,
        })
    }

    fn stop(&mut self, cx: CX![], now: Time) {
        if std::mem::replace(&mut self.is_stopping, true) {
            return;
        }
        info!(
            event = "stopping", linger:% = self.linger;
            "stop requested: the balancer forwards until its linger time has passed"
        );
        let outgoing = self.balancer.stop(now);
        self.send(outgoing);
        self.update_runtime(now);
        after!(self.linger.to_duration(), [cx], finish());
    }

    fn finish(&mut self, cx: CX![]) {
        let now = self.runtime.clock.now();
        // Forwards what the routers have already delivered to the socket.
        self.on_packets(now);
        cx.stop();
    }
}
