//! Control actor of an agent: catalogue, membership, and orders to the packet loop.

use {
    super::packet_loop::{Command, CommandSender},
    crate::{
        control::{ControlSender, Event, StoreAnswer},
        freshness::{Confirmer, FreshnessGate, Lease},
        inspect::DaemonInspect,
        runtime::StoreUse,
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

const TICK: Duration = Duration::from_millis(50);

/// Least time between the announcement of draining and the end, so that every balancer and
/// agent that still sends packets here learns better ways first.
const MIN_DRAIN: Span = Span::from_millis(1_500);

/// Time after the announcement of the end during which stray packets are still passed on.
const LINGER: Span = Span::from_millis(1_000);

/// Time for which seeds are tried before the store is asked for balancers.
const SEED_SPAN: Span = Span::from_millis(1_000);

/// What the control actor works with.
pub struct ControlOptions {
    /// Own host.
    pub host: HostId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Share in placement.
    pub weight: Weight,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Address of the packet socket.
    pub data_address: SocketAddr,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Control sockets of balancers from the settings.
    pub seeds: Vec<SocketAddr>,
    /// What the process asks of the store: the balancers, while it has contact with none.
    pub store_use: watch::Sender<StoreUse>,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Sender of control messages.
    pub sender: ControlSender,
    /// Orders to the packet loop.
    pub commands: CommandSender,
    /// Permission of the packet loop to forward.
    pub lease: Lease,
    /// Asks which versions are current.
    pub confirmer: Confirmer,
    /// Readiness and status.
    pub inspect: Arc<DaemonInspect>,
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    No,
    Draining { since: Time, until: Time },
    Lingering { until: Time },
}

/// Control actor of an agent.
pub struct AgentControl {
    options: ControlOptions,
    gate: FreshnessGate,
    catalogue: Catalogue,
    nodes: BTreeMap<Arc<str>, SocketAddr>,
    membership: AgentMembership,
    loads: Option<LoadExchange>,
    spec: Option<Arc<ServiceSpec>>,
    domain_out: bool,
    table: TableVersion,
    open_flows: usize,
    admission: AdmissionStatus,
    handover: HandoverStatus,
    stopping: Stopping,
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
            nodes: BTreeMap::new(),
            membership,
            loads: None,
            spec: None,
            domain_out: false,
            table: TableVersion::default(),
            open_flows: 0,
            admission: AdmissionStatus::default(),
            handover: HandoverStatus::default(),
            stopping: Stopping::No,
        })
    }

    /// Processes an event.
    pub fn on_event(&mut self, cx: CX![], event: Event) {
        let now = self.options.clock.now();
        self.gate.on_step(now);
        match event {
            Event::Objects(answer) => {
                self.on_store(now, &answer);
                self.gate.on_heard(now);
            }
            Event::Confirmed { asked } => self.gate.on_confirmed(now, asked),
            Event::Datagram { message, .. } if is_handover(&message) => {
                self.gate.on_heard(now);
                self.options.commands.send(Command::Handover(message));
            }
            Event::Datagram { from, message, .. } => {
                self.gate.on_heard(now);
                for outgoing in self.membership.on_message(now, from, &message) {
                    self.options.sender.send(outgoing.to, &outgoing.message);
                }
                if let Some(loads) = self.loads.as_mut() {
                    loads.on_message(now, &message);
                }
                self.apply_objects(now);
                self.update_table(false);
            }
            Event::Flows {
                open,
                admission,
                handover,
            } => {
                self.open_flows = open;
                self.admission = admission;
                self.handover = handover;
            }
            Event::ServerReport(report) => {
                self.options.commands.send(Command::ServerReport(report));
            }
            // Agents serve no catch-ups.
            Event::SyncRequest { .. } | Event::Synced(_) => {}
            Event::Stop => self.start_drain(now),
        }
        self.advance_stop(cx, now);
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        let now = self.options.clock.now();
        self.gate.on_step(now);
        for outgoing in self.membership.on_tick(now) {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
        self.choose_store_use(now);
        self.exchange_loads(now);
        self.publish_status();
        self.advance_stop(cx, now);
    }

    /// Tells peers the own load and the packet loop the mean of the service.
    fn exchange_loads(&mut self, now: Time) {
        let Some(loads) = self.loads.as_mut() else {
            return;
        };
        let (hosts, own) = (self.membership.hosts(), self.admission.open_connections);
        let due = loads.on_tick(now, own, hosts);
        if due.is_empty() {
            return;
        }
        for outgoing in due {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
        let takes_flows = |host| {
            hosts.get(host).is_some_and(|entry| {
                entry.state == HostState::Ready && !self.catalogue.is_domain_out(&entry.domain)
            })
        };
        if let Some(mean) = loads.mean(now, own, takes_flows) {
            self.options.commands.send(Command::Mean(mean));
        }
    }

    /// Lists the balancers of the store while none of those known answers.
    fn choose_store_use(&self, now: Time) {
        let is_needed = self.membership.has_no_peers(now)
            && (self.options.seeds.is_empty() || now.since(Time::ZERO) > SEED_SPAN);
        let wanted = if is_needed {
            StoreUse::Watch
        } else {
            StoreUse::Idle
        };
        self.options
            .store_use
            .send_if_modified(|present| std::mem::replace(present, wanted) != wanted);
    }

    fn on_store(&mut self, now: Time, answer: &StoreAnswer) {
        if answer.prefix != NODES_PREFIX {
            self.membership.on_store_list(answer.prefix, &answer.list);
            self.apply_objects(now);
            return;
        }
        if answer.is_complete {
            self.nodes.clear();
        }
        for object in &answer.list.objects {
            self.on_node(object);
        }
        self.update_contacts();
    }

    /// Takes up the objects that balancers told.
    fn apply_objects(&mut self, now: Time) {
        let mut changed = false;
        for object in self.membership.take_changed_objects() {
            match self.catalogue.apply(&object) {
                Ok(applied) => changed |= applied == Applied::Changed,
                Err(error) => {
                    metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
                    warn!(event = "object_invalid", key = object.key; "{error}");
                }
            }
        }
        metrics::gauge!("cardamomloom_objects_invalid")
            .set(self.catalogue.rejected().count() as f64);
        if changed {
            self.on_catalogue(now);
        }
    }

    fn on_node(&mut self, object: &Object) {
        let Some(value) = &object.value else {
            self.nodes.remove(&object.key);
            return;
        };
        match object::decode::<NodeSpec>(&object.key, value) {
            Ok(spec) => {
                self.nodes.insert(object.key.clone(), spec.control_address);
            }
            Err(error) => warn!(event = "object_invalid", key = object.key; "{error}"),
        }
    }

    fn update_contacts(&mut self) {
        let mut contacts: Vec<SocketAddr> = self.nodes.values().copied().collect();
        contacts.extend(&self.options.seeds);
        contacts.sort_unstable();
        contacts.dedup();
        self.membership.set_fallback_balancers(contacts);
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
        self.spec = Some(spec);
        let out = self.catalogue.is_domain_out(&self.options.domain);
        if out != self.domain_out {
            self.domain_out = out;
            self.options.commands.send(Command::DomainOut(out));
        }
        if self.stopping == Stopping::No {
            self.membership.set_state(now, HostState::Ready);
            self.options.inspect.set_ready(true);
        }
        self.update_table(true);
    }

    /// Returns the service of the host. While the catalogue has none that is usable, the last one
    /// stays, so that changes of the failure domain still take effect.
    fn usable_service(&self) -> Option<Arc<ServiceSpec>> {
        match self.catalogue.service_named(&self.options.service) {
            Some(spec) if self.catalogue.claims().has_id(spec) => return Some(spec.clone()),
            Some(spec) => {
                warn!(event = "claim_not_in_force", service:% = spec.name; "another service has id {}; the last valid state stays", spec.id);
            }
            None => {
                warn!(event = "service_unknown", service:% = self.options.service; "the catalogue has no such service");
            }
        }
        self.spec.clone()
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
        info!(event = "joined", host:% = entry.host, service:% = spec.name; "agent serves the service");
        self.loads = Some(LoadExchange::new(
            entry.host,
            entry.service,
            entry.weight,
            LoadExchangeOptions::default(),
        ));
        self.membership.join(now, entry);
    }

    fn update_table(&mut self, force: bool) {
        let Some(spec) = self.spec.as_ref() else {
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
                self.table = table.version();
                self.membership.set_table(self.table);
                self.options
                    .commands
                    .send(Command::Table(Arc::new(table), members));
            }
            Err(error) => warn!(event = "table_rejected"; "{error}"),
        }
    }

    fn start_drain(&mut self, now: Time) {
        if self.stopping != Stopping::No {
            return;
        }
        let timeout = self
            .spec
            .as_ref()
            .map_or(Span::ZERO, |spec| Span::from_millis(spec.drain_timeout_ms));
        info!(event = "draining", open_flows = self.open_flows, timeout:%; "agent drains");
        self.options.inspect.set_ready(false);
        self.options.commands.send(Command::Accepting(false));
        self.membership.set_state(now, HostState::Draining);
        self.update_table(false);
        self.stopping = Stopping::Draining {
            since: now,
            until: now + timeout,
        };
    }

    fn advance_stop(&mut self, cx: CX![], now: Time) {
        match self.stopping {
            Stopping::Draining { since, until } => {
                let flows_ended = self.open_flows == 0 && now.since(since) >= MIN_DRAIN;
                if flows_ended || now >= until.max(since + MIN_DRAIN) {
                    self.announce_gone(now);
                }
            }
            Stopping::Lingering { until } if now >= until => cx.stop(),
            Stopping::No | Stopping::Lingering { .. } => {}
        }
    }

    fn announce_gone(&mut self, now: Time) {
        info!(event = "drained", open_flows = self.open_flows; "agent announces its end");
        self.membership.set_state(now, HostState::Gone);
        self.update_table(false);
        self.stopping = Stopping::Lingering {
            until: now + LINGER,
        };
    }

    fn publish_status(&self) {
        let entry = self.membership.entry();
        self.options.inspect.set_status(json!({
            "role": "agent",
            "host": entry,
            "balancers": self.membership.assigned_balancers(),
            "confirmation": format!("{:?}", self.membership.confirmation()),
            "table": self.table.to_string(),
            "open_flows": self.open_flows,
            "admission": self.admission,
            "standing": self.gate.standing(),
            "handover": {
                "directory_entries": self.handover.directory_entries,
                "authoritative": self.handover.is_authoritative,
                "confirmed": self.handover.is_confirmed,
            },
            "domain_out": self.domain_out,
            "objects": self
                .catalogue
                .versions()
                .map(|(key, version)| json!({"key": key, "version": version}))
                .collect::<Vec<_>>(),
            "objects_invalid": self.catalogue.rejected().collect::<Vec<_>>(),
            "stopping": format!("{:?}", self.stopping),
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
