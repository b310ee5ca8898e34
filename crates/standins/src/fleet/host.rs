//! Simulated host: a real agent with a modelled backend server.

use {
    super::server::ModelServer,
    cardamomloom_coordination::{
        admission::{
            AdaptiveLimitOptions, Admission, AdmissionPolicy, FixedLimit, Limits, LoadExchange,
            LoadExchangeOptions, ServerReport,
        },
        agent::{Agent, AgentIo, Result},
        ownership::{FlowId, Hop, Ownership, OwnershipOptions},
        termination::TerminationOptions,
    },
    cardamomloom_core::Time,
    cardamomloom_protocol::{
        control::HostEntry, forward::ForwardHeader, object::ServiceSpec, packet::DropCause,
    },
    std::{
        collections::VecDeque,
        io::ErrorKind,
        net::{IpAddr, SocketAddr},
    },
};

/// Admission that the agents use: the policy of the load balancer or a baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// The admission policy of the load balancer, which compares the load with the mean of the
    /// service.
    #[default]
    Adaptive,
    /// The admission policy without the mean load of the service.
    WithoutMean,
    /// The connection limit of the catalogue, which does not adapt.
    FixedLimit,
}

/// Packet in transit.
#[derive(Debug)]
pub enum InTransit {
    /// A packet to a caller from the host with this index.
    ToCaller(usize, Vec<u8>),
    /// A forwarded packet to the agent with this address.
    ToAgent(SocketAddr, Box<ForwardHeader>, Vec<u8>),
}

/// State of a simulated host.
pub struct ModelHost {
    /// Entry of the host in the host table.
    pub entry: HostEntry,
    /// The agent.
    pub agent: Agent,
    /// Exchange of loads with other agents.
    pub loads: LoadExchange,
    /// The backend server.
    pub server: ModelServer,
    /// Load report of the backend server, or `None` when it sends none.
    pub report: Option<ServerReport>,
    /// Factor on the lifetime of flows, in percent; a slow backend server has more than 100.
    pub lifetime_percent: u64,
}

impl ModelHost {
    /// Creates a host with a cold backend server and the limits of the service.
    #[must_use]
    pub fn new(
        entry: HostEntry,
        spec: &ServiceSpec,
        server: ModelServer,
        mode: AdmissionMode,
    ) -> Self {
        let limits = Limits::of(spec, entry.weight);
        let admission: Box<dyn Admission> = match mode {
            AdmissionMode::FixedLimit => Box::new(FixedLimit::new(limits.connections())),
            _ => Box::new(AdmissionPolicy::new(
                limits,
                AdaptiveLimitOptions::default(),
            )),
        };
        let options = OwnershipOptions::default();
        let mut ownership = Ownership::new(entry.host, entry.service, options);
        let address = |ip: &IpAddr| SocketAddr::new(*ip, spec.port);
        ownership.set_addresses(spec.addresses.iter().map(address).collect());
        // Small buffers let tens of thousands of flows fit into the memory of a test.
        let options = TerminationOptions {
            receive_buffer_bytes: 64,
            send_buffer_bytes: 64,
            ..TerminationOptions::default()
        };
        let seed = u64::from(entry.host.0);
        let loads = LoadExchange::new(
            entry.host,
            entry.service,
            entry.weight,
            LoadExchangeOptions::default(),
        );
        Self {
            entry,
            agent: Agent::new(ownership, admission, options, seed),
            loads,
            server,
            report: None,
            lifetime_percent: 100,
        }
    }

    /// Passes a forwarded packet to the agent.
    pub fn receive(
        &mut self,
        now: Time,
        index: usize,
        header: &ForwardHeader,
        packet: &[u8],
        in_transit: &mut VecDeque<InTransit>,
    ) {
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            in_transit,
        };
        self.agent.on_packet(now, header, packet, &mut io);
    }

    /// Advances the backend server to `now`, passes its events to the agent and runs the agent's
    /// timers.
    pub fn step(&mut self, now: Time, index: usize, in_transit: &mut VecDeque<InTransit>) {
        let events = self.server.step(now);
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            in_transit,
        };
        for flow in events.accepted {
            self.agent.on_connected(now, flow, &mut io);
        }
        for flow in events.refused {
            self.agent.on_connect_failed(now, flow, &mut io);
        }
        self.agent.on_timer(now, &mut io);
        self.reset(now, index, &events.reset, in_transit);
    }

    /// Makes the agent observe that the backend server reset connections.
    pub fn reset(
        &mut self,
        now: Time,
        index: usize,
        flows: &[FlowId],
        in_transit: &mut VecDeque<InTransit>,
    ) {
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            in_transit,
        };
        for flow in flows {
            // A connection that is reset before its handshake has completed fails like a connect.
            self.agent.on_connected(now, *flow, &mut io);
            self.agent.on_server_ready(now, *flow, &mut io);
        }
    }

    /// Takes the failure domain of the host out of service, which closes all its flows, or returns
    /// it, with a cold backend server and in slow start.
    pub fn set_domain_out(
        &mut self,
        now: Time,
        index: usize,
        out: bool,
        in_transit: &mut VecDeque<InTransit>,
    ) {
        self.agent.ownership_mut().set_domain_out(out);
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            in_transit,
        };
        if out {
            self.agent.close_all(&mut io);
        } else {
            self.server.reset_warmup();
            self.agent.admission_mut().restart_slow_start(now);
        }
    }
}

struct ModelIo<'a> {
    now: Time,
    index: usize,
    server: &'a mut ModelServer,
    in_transit: &'a mut VecDeque<InTransit>,
}

impl AgentIo for ModelIo<'_> {
    fn send_to_caller(&mut self, packet: &[u8]) {
        self.in_transit
            .push_back(InTransit::ToCaller(self.index, packet.to_vec()));
    }

    fn forward(&mut self, hop: &Hop, packet: &[u8]) {
        let header = Box::new(hop.header);
        self.in_transit
            .push_back(InTransit::ToAgent(hop.to, header, packet.to_vec()));
    }

    fn connect(&mut self, flow: FlowId) -> Result<()> {
        self.server.connect(self.now, flow);
        Ok(())
    }

    fn write(&mut self, _flow: FlowId, bytes: &[u8]) -> Result<usize> {
        Ok(bytes.len())
    }

    fn read(&mut self, flow: FlowId, _buffer: &mut [u8]) -> Result<usize> {
        let kind = if self.server.has_connection(flow) {
            ErrorKind::WouldBlock
        } else {
            ErrorKind::ConnectionReset
        };
        Err(kind.into())
    }

    fn shutdown_write(&mut self, _flow: FlowId) {}

    fn close(&mut self, flow: FlowId, _reset: bool) {
        self.server.close(flow);
    }

    fn count_drop(&mut self, _cause: DropCause) {}
}
