//! Control actor of an agent: applies catalogue and membership changes, and sends the resulting
//! configuration to the packet loop.

use {
    super::packet_loop::{Command, CommandSender},
    crate::{
        control::{ControlSender, Event, StoreAnswer},
        freshness::{Confirmer, FreshnessGate, Lease},
        inspect::DaemonInspect,
        runtime::StoreReadMode,
    },
    cardamomloom_coordination::{
        admission::{AdmissionStatus, Limits, LoadExchange, LoadExchangeOptions},
        handover::{HandoverStatus, Members, Peer},
        membership::{AgentMembership, AgentMembershipOptions},
    },
    cardamomloom_core::{
        DomainName, HostId, Incarnation, ServiceName, Span, TableVersion, Time, Weight,
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState, Message},
        object::{self, NODES_PREFIX, NodeSpec, ServiceSpec},
        store_api::Object,
    },
    cardamomloom_state::{
        candidates::CandidateTable,
        catalogue::{Applied, Catalogue},
        routing::candidates_of,
    },
    cardamomloom_transport::clock::MonotonicClock,
    log::{info, warn},
    serde_json::json,
    stakker::{CX, after},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Interval between ticks of the actor, which runs its periodic work then.
const TICK: Duration = Duration::from_millis(50);

/// Minimum time between the announcement of draining and that of the departure, in which all
/// balancers and agents that still send packets here learn where else to send them.
const MIN_DRAIN_TIME: Span = Span::from_millis(1_500);

/// Time after the announcement of the departure in which late packets are still forwarded.
const LINGER_TIME: Span = Span::from_millis(1_000);

/// Time after the start in which only the seeds are tried, before the balancers are read from the
/// store.
const SEED_TIMEOUT: Span = Span::from_millis(1_000);

/// Identity, clients and shared state for [`AgentControl`].
pub struct ControlOptions {
    /// Identity of the backend server with this agent.
    pub host: HostId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Share in the placement of new flows.
    pub weight: Weight,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address of the packet socket.
    pub data_address: SocketAddr,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Control sockets of balancers from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Controls reading of the store. An agent reads only the registered balancers, while it has
    /// contact with none.
    pub store_read_mode: watch::Sender<StoreReadMode>,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Sender of control messages.
    pub sender: ControlSender,
    /// Sender of configuration changes to the packet loop.
    pub commands: CommandSender,
    /// Time until which the packet loop may forward.
    pub lease: Lease,
    /// Queries the store for the current versions.
    pub confirmer: Confirmer,
    /// Readiness and status.
    pub inspect: Arc<DaemonInspect>,
}

/// Progress of a stop. The status document shows the variants and fields by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopPhase {
    /// No stop was requested.
    No,
    /// No new flows are accepted; open flows may end until the drain timeout.
    Draining { since: Time, until: Time },
    /// The departure is announced; late packets are still forwarded.
    Lingering { until: Time },
}

/// Actor on the control thread of an agent.
pub struct AgentControl {
    options: ControlOptions,
    gate: FreshnessGate,
    catalogue: Catalogue,
    /// Control addresses of the balancers registered in the store, by key.
    registered_balancers: BTreeMap<Arc<str>, SocketAddr>,
    membership: AgentMembership,
    load_exchange: Option<LoadExchange>,
    service_spec: Option<Arc<ServiceSpec>>,
    domain_out: bool,
    table_version: TableVersion,
    open_flows: usize,
    admission_status: AdmissionStatus,
    handover_status: HandoverStatus,
    stop_phase: StopPhase,
}

impl AgentControl {
    /// Creates the actor and starts its timer.
    pub fn init(cx: CX![], options: ControlOptions) -> Option<Self> {
        after!(TICK, [cx], on_tick());
        let gate = FreshnessGate::new(
            options.clock.now(),
            options.lease.clone(),
            options.confirmer.clone(),
        );
        let mut membership = AgentMembership::new(
            options.service.clone(),
            options.domain.clone(),
            options.incarnation.0,
            AgentMembershipOptions::default(),
        );
        membership.set_fallback_balancers(options.seeds.clone());
        Some(Self {
            gate,
            options,
            catalogue: Catalogue::default(),
            registered_balancers: BTreeMap::new(),
            membership,
            load_exchange: None,
            service_spec: None,
            domain_out: false,
            table_version: TableVersion::default(),
            open_flows: 0,
            admission_status: AdmissionStatus::default(),
            handover_status: HandoverStatus::default(),
            stop_phase: StopPhase::No,
        })
    }

    /// Processes an event.
    pub fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.options.clock.now();
        self.gate.on_tick(now);
        match event {
            Event::Objects(answer) => {
                self.on_store_answer(now, &answer);
                self.gate.on_contact(now);
            }
            Event::Confirmed { queried_at } => self.gate.on_confirmed(now, queried_at),
            Event::Datagram { message, .. } if is_handover(&message) => {
                self.gate.on_contact(now);
                self.options.commands.send(Command::Handover(message));
            }
            Event::Datagram { from, message, .. } => {
                self.gate.on_contact(now);
                for outgoing in self.membership.on_message(now, from, &message) {
                    self.options.sender.send(outgoing.to, &outgoing.message);
                }
                if let Some(loads) = self.load_exchange.as_mut() {
                    loads.on_message(now, &message);
                }
                self.apply_objects(now);
                self.update_table(false);
            }
            Event::PacketLoopStatus {
                open_flows,
                admission,
                handover,
            } => {
                self.open_flows = open_flows;
                self.admission_status = admission;
                self.handover_status = handover;
            }
            Event::ServerReport(report) => {
                self.options.commands.send(Command::ServerReport(report));
            }
            // Agents take no part in synchronizations over gRPC.
            Event::SyncRequest { .. } | Event::Synced(_) => {}
            Event::Stop => self.start_drain(now),
        }
        self.advance_stop(cx, now);
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        let now = self.options.clock.now();
        self.gate.on_tick(now);
        for outgoing in self.membership.on_tick(now) {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
        self.update_store_read_mode(now);
        self.exchange_loads(now);
        self.publish_status();
        self.advance_stop(cx, now);
    }

    /// Sends the load of this host to its peers, and the mean load of the service to the packet
    /// loop, when an exchange is due.
    fn exchange_loads(&mut self, now: Time) {
        let Some(loads) = self.load_exchange.as_mut() else {
            return;
        };
        let (hosts, own_connections) = (
            self.membership.hosts(),
            self.admission_status.open_connections,
        );
        let load_messages = loads.on_tick(now, own_connections, hosts);
        if load_messages.is_empty() {
            return;
        }
        for outgoing in load_messages {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
        let accepts_flows = |host| {
            hosts.get(host).is_some_and(|entry| {
                entry.state == HostState::Ready && !self.catalogue.is_domain_out(&entry.domain)
            })
        };
        if let Some(mean) = loads.mean(now, own_connections, accepts_flows) {
            self.options.commands.send(Command::Mean(mean));
        }
    }

    /// Watches the registered balancers in the store while no known balancer responds.
    fn update_store_read_mode(&self, now: Time) {
        let is_needed = self.membership.has_no_peers(now)
            && (self.options.seeds.is_empty() || now.since(Time::ZERO) > SEED_TIMEOUT);
        let wanted = if is_needed {
            StoreReadMode::Watch
        } else {
            StoreReadMode::Idle
        };
        self.options
            .store_read_mode
            .send_if_modified(|current| std::mem::replace(current, wanted) != wanted);
    }

    fn on_store_answer(&mut self, now: Time, answer: &StoreAnswer) {
        if answer.prefix != NODES_PREFIX {
            self.membership.on_store_list(answer.prefix, &answer.list);
            self.apply_objects(now);
            return;
        }
        if answer.is_complete {
            self.registered_balancers.clear();
        }
        for object in &answer.list.objects {
            self.apply_registration(object);
        }
        self.update_fallback_balancers();
    }

    /// Applies objects received from balancers or from the store to the catalogue.
    fn apply_objects(&mut self, now: Time) {
        let mut is_changed = false;
        for object in self.membership.take_changed_objects() {
            match self.catalogue.apply(&object) {
                Ok(applied) => is_changed |= applied == Applied::Changed,
                Err(error) => {
                    metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                    warn!(event = "object_invalid", key = object.key; "object ignored: {error}");
                }
            }
        }
        metrics::gauge!("cardamomloom_objects_invalid")
            .set(self.catalogue.rejected().count() as f64);
        if is_changed {
            self.on_catalogue(now);
        }
    }

    fn apply_registration(&mut self, object: &Object) {
        let Some(value) = &object.value else {
            self.registered_balancers.remove(&object.key);
            return;
        };
        match object::decode::<NodeSpec>(&object.key, value) {
            Ok(spec) => {
                self.registered_balancers
                    .insert(object.key.clone(), spec.control_address);
            }
            Err(error) => {
                warn!(event = "object_invalid", key = object.key; "registration ignored: {error}");
            }
        }
    }

    fn update_fallback_balancers(&mut self) {
        let mut balancers: Vec<SocketAddr> = self.registered_balancers.values().copied().collect();
        balancers.extend(&self.options.seeds);
        balancers.sort_unstable();
        balancers.dedup();
        self.membership.set_fallback_balancers(balancers);
    }

    fn on_catalogue(&mut self, now: Time) {
        let Some(spec) = self.usable_service() else {
            return;
        };
        let addresses = spec
            .addresses
            .iter()
            .map(|address| SocketAddr::new(*address, spec.port))
            .collect();
        self.options.commands.send(Command::Service {
            id: spec.id,
            addresses,
            limits: Limits::of(&spec, self.options.weight),
        });
        if self.membership.entry().is_none() {
            self.join(now, &spec);
        }
        self.service_spec = Some(spec);
        let out = self.catalogue.is_domain_out(&self.options.domain);
        if out != self.domain_out {
            self.domain_out = out;
            self.options.commands.send(Command::DomainOut(out));
        }
        if self.stop_phase == StopPhase::No {
            self.membership.set_state(now, HostState::Ready);
            self.options.inspect.set_ready(true);
        }
        self.update_table(true);
    }

    /// Returns the specification of the service of this host. While the catalogue has no usable
    /// one, this is the last usable one, so that changes of the failure domain still take effect.
    fn usable_service(&self) -> Option<Arc<ServiceSpec>> {
        match self.catalogue.service_named(&self.options.service) {
            Some(spec) if self.catalogue.claims().has_id(spec) => return Some(spec.clone()),
            Some(spec) => {
                warn!(
                    event = "claim_not_in_force", service:% = spec.name;
                    "another service has id {}; the last valid specification stays in effect", spec.id
                );
            }
            None => {
                warn!(
                    event = "service_unknown", service:% = self.options.service;
                    "service is not in the catalogue; any last valid specification stays in effect"
                );
            }
        }
        self.service_spec.clone()
    }

    fn join(&mut self, now: Time, spec: &ServiceSpec) {
        let entry = HostEntry {
            host: self.options.host,
            service: spec.id,
            domain: self.options.domain.clone(),
            data_address: self.options.data_address,
            control_address: self.options.control_address,
            incarnation: self.options.incarnation,
            state: HostState::Starting,
            weight: self.options.weight,
        };
        info!(
            event = "joined", host:% = entry.host, service:% = spec.name;
            "service found in the catalogue; joining it as a host"
        );
        self.load_exchange = Some(LoadExchange::new(
            entry.host,
            entry.service,
            entry.weight,
            LoadExchangeOptions::default(),
        ));
        self.membership.join(now, entry);
    }

    /// Rebuilds the candidate table if the known hosts have changed or `force` is set, and sends it
    /// to the packet loop.
    fn update_table(&mut self, force: bool) {
        let Some(spec) = self.service_spec.as_ref() else {
            return;
        };
        if !self.membership.take_hosts_changed() && !force {
            return;
        }
        let candidates = candidates_of(spec.id, &self.catalogue, self.membership.hosts());
        let members = Members {
            incarnation: self
                .membership
                .entry()
                .map_or(self.options.incarnation, |entry| entry.incarnation),
            peers: candidates
                .iter()
                .filter_map(|candidate| self.membership.hosts().get(candidate.host))
                .map(|entry| Peer {
                    host: entry.host,
                    incarnation: entry.incarnation,
                    control_address: entry.control_address,
                })
                .collect(),
        };
        match CandidateTable::build(spec.id, spec.hash_key_bytes(), candidates) {
            Ok(table) => {
                self.table_version = table.version();
                self.membership.set_table(self.table_version);
                self.options
                    .commands
                    .send(Command::Table(Arc::new(table), members));
            }
            Err(error) => warn!(event = "table_rejected"; "candidate table not replaced: {error}"),
        }
    }

    fn start_drain(&mut self, now: Time) {
        if self.stop_phase != StopPhase::No {
            return;
        }
        let timeout = self
            .service_spec
            .as_ref()
            .map_or(Span::ZERO, |spec| Span::from_millis(spec.drain_timeout_ms));
        info!(
            event = "draining", open_flows = self.open_flows, timeout:%;
            "stop requested: accepting no new flows until open flows have ended"
        );
        self.options.inspect.set_ready(false);
        self.options.commands.send(Command::Accepting(false));
        self.membership.set_state(now, HostState::Draining);
        self.update_table(false);
        self.stop_phase = StopPhase::Draining {
            since: now,
            until: now + timeout,
        };
    }

    fn advance_stop(&mut self, cx: CX![], now: Time) {
        match self.stop_phase {
            StopPhase::Draining { since, until } => {
                let flows_ended = self.open_flows == 0 && now.since(since) >= MIN_DRAIN_TIME;
                if flows_ended || now >= until.max(since + MIN_DRAIN_TIME) {
                    self.announce_departure(now);
                }
            }
            StopPhase::Lingering { until } if now >= until => cx.stop(),
            StopPhase::No | StopPhase::Lingering { .. } => {}
        }
    }

    fn announce_departure(&mut self, now: Time) {
        info!(event = "drained", open_flows = self.open_flows; "drain ended: announcing departure");
        self.membership.set_state(now, HostState::Gone);
        self.update_table(false);
        self.stop_phase = StopPhase::Lingering {
            until: now + LINGER_TIME,
        };
    }

    fn publish_status(&self) {
        let entry = self.membership.entry();
        self.options.inspect.set_status(json!({
            "role": "agent",
            "host": entry,
            "balancers": self.membership.assigned_balancers(),
            "confirmation": format!("{:?}", self.membership.confirmation()),
            "table": self.table_version.to_string(),
            "open_flows": self.open_flows,
            "admission": self.admission_status,
            "standing": self.gate.state(),
            "handover": {
                "directory_entries": self.handover_status.directory_entries,
                "authoritative": self.handover_status.is_authoritative,
                "confirmed": self.handover_status.is_confirmed,
            },
            "domain_out": self.domain_out,
            "objects": self
                .catalogue
                .versions()
                .map(|(key, version)| json!({"key": key, "version": version}))
                .collect::<Vec<_>>(),
            "objects_invalid": self.catalogue.rejected().collect::<Vec<_>>(),
            "stopping": format!("{:?}", self.stop_phase),
        }));
    }
}

fn is_handover(message: &Message) -> bool {
    matches!(
        message,
        Message::Handover { .. }
            | Message::HandoverConfirm { .. }
            | Message::HandoverQuery { .. }
            | Message::HandoverState { .. }
    )
}
