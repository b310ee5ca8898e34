//! Control actor of an agent: catalogue, membership, and orders to the packet loop.

use {
    super::packet_loop::{Command, CommandSender},
    crate::{
        control::{ControlSender, Event},
        freshness::{Confirmer, FreshnessGate, Lease},
        inspect::DaemonInspect,
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
        store_api::{Object, ObjectList},
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
};

const TICK: Duration = Duration::from_millis(50);

/// Least time between the announcement of draining and the end, so that every balancer and
/// agent that still sends packets here learns better ways first.
const MIN_DRAIN: Span = Span::from_millis(1_500);

/// Time after the announcement of the end during which stray packets are still passed on.
const LINGER: Span = Span::from_millis(1_000);

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
    /// Exists once the service is known.
    membership: Option<AgentMembership>,
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
        Some(Self {
            gate,
            options,
            catalogue: Catalogue::default(),
            nodes: BTreeMap::new(),
            membership: None,
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
            Event::Objects(list) => {
                self.on_objects(now, &list);
                self.gate.on_heard(now);
            }
            Event::Confirmed { asked } => self.gate.on_confirmed(now, asked),
            Event::Datagram { message, .. } if is_handover(&message) => {
                self.gate.on_heard(now);
                self.options.commands.send(Command::Handover(message));
            }
            Event::Datagram { message, .. } => {
                self.gate.on_heard(now);
                if let Some(membership) = self.membership.as_mut() {
                    membership.on_message(now, &message);
                }
                if let Some(loads) = self.loads.as_mut() {
                    loads.on_message(now, &message);
                }
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
            Event::Stop => self.start_drain(now),
        }
        self.advance_stop(cx, now);
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        let now = self.options.clock.now();
        self.gate.on_step(now);
        if let Some(membership) = self.membership.as_mut() {
            for outgoing in membership.on_tick(now) {
                self.options.sender.send(outgoing.to, &outgoing.message);
            }
        }
        self.exchange_loads(now);
        self.publish_status();
        self.advance_stop(cx, now);
    }

    /// Tells peers the own load and the packet loop the mean of the service.
    fn exchange_loads(&mut self, now: Time) {
        let (Some(loads), Some(membership)) = (self.loads.as_mut(), self.membership.as_ref())
        else {
            return;
        };
        let (hosts, own) = (membership.hosts(), self.admission.open_connections);
        let due = loads.on_tick(now, own, hosts);
        if due.is_empty() {
            return;
        }
        for outgoing in due {
            self.options.sender.send(outgoing.to, &outgoing.message);
        }
        let takes_flows = |host| {
            hosts.get(host).is_some_and(|entry| {
                entry.state == HostState::Ready && !self.catalogue.is_out(&entry.domain)
            })
        };
        if let Some(mean) = loads.mean(now, own, takes_flows) {
            self.options.commands.send(Command::Mean(mean));
        }
    }

    fn on_objects(&mut self, now: Time, list: &ObjectList) {
        let mut changed = false;
        for object in &list.objects {
            if object.key.starts_with(NODES_PREFIX) {
                self.on_node(object);
                continue;
            }
            match self.catalogue.apply(object) {
                Ok(applied) => changed |= applied == Applied::Changed,
                Err(error) => warn!(event = "object_invalid", key = object.key; "{error}"),
            }
        }
        if changed {
            self.on_catalogue(now);
        }
        self.update_balancers();
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

    fn update_balancers(&mut self) {
        let mut balancers: Vec<SocketAddr> = self.nodes.values().copied().collect();
        balancers.extend(&self.options.seeds);
        balancers.sort_unstable();
        balancers.dedup();
        if let Some(membership) = self.membership.as_mut() {
            membership.set_balancers(balancers);
        }
    }

    fn on_catalogue(&mut self, now: Time) {
        let Some(spec) = self.catalogue.service_named(&self.options.service).cloned() else {
            warn!(event = "service_unknown", service:% = self.options.service; "the catalogue has no such service");
            return;
        };
        if !self.catalogue.claims().has_id(&spec) {
            warn!(event = "claim_not_in_force", service:% = spec.name; "another service has id {}; the last valid state stays", spec.id);
            return;
        }
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
        if self.membership.is_none() {
            self.join(&spec);
        }
        self.spec = Some(spec);
        let out = self.catalogue.is_out(&self.options.domain);
        if out != self.domain_out {
            self.domain_out = out;
            self.options.commands.send(Command::DomainOut(out));
        }
        if let Some(membership) = self.membership.as_mut()
            && self.stopping == Stopping::No
        {
            membership.set_state(now, HostState::Ready);
            self.options.inspect.set_ready(true);
        }
        self.update_table(true);
    }

    fn join(&mut self, spec: &ServiceSpec) {
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
        self.membership = Some(AgentMembership::new(
            entry,
            AgentMembershipOptions::default(),
        ));
    }

    fn update_table(&mut self, force: bool) {
        let (Some(membership), Some(spec)) = (self.membership.as_mut(), self.spec.as_ref()) else {
            return;
        };
        if !membership.take_changed() && !force {
            return;
        }
        let candidates = candidates_of(spec.id, &self.catalogue, membership.hosts());
        let members = Members {
            incarnation: membership.entry().incarnation,
            peers: candidates
                .iter()
                .filter_map(|candidate| membership.hosts().get(candidate.host))
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
                membership.set_table(self.table);
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
        if let Some(membership) = self.membership.as_mut() {
            membership.set_state(now, HostState::Draining);
        }
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
        if let Some(membership) = self.membership.as_mut() {
            membership.set_state(now, HostState::Gone);
        }
        self.update_table(false);
        self.stopping = Stopping::Lingering {
            until: now + LINGER,
        };
    }

    fn publish_status(&self) {
        let entry = self.membership.as_ref().map(AgentMembership::entry);
        self.options.inspect.set_status(json!({
            "role": "agent",
            "host": entry,
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
