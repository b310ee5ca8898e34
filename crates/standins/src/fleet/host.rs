//! One modelled host: a real agent with a modelled backend server.

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

/// Which admission the agents use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// The admission policy of the design.
    #[default]
    Adaptive,
    /// The policy without the mean load of the service.
    WithoutMean,
    /// The fixed connection limit of the catalogue.
    FixedLimit,
}

/// A packet on its way.
#[derive(Debug)]
pub enum Sent {
    /// To a caller, from the host with an index.
    ToCaller(usize, Vec<u8>),
    /// To the agent with an address.
    ToAgent(SocketAddr, Box<ForwardHeader>, Vec<u8>),
}

/// A modelled host.
pub struct ModelHost {
    /// Membership entry.
    pub entry: HostEntry,
    /// The agent.
    pub agent: Agent,
    /// Exchange of loads.
    pub loads: LoadExchange,
    /// The backend server.
    pub server: ModelServer,
    /// What the server says about itself.
    pub report: Option<ServerReport>,
    /// Factor on the lifetime of flows in percent; a slow server has more than 100.
    pub lifetime_percent: u64,
}

impl ModelHost {
    /// Creates a host with a cold server.
    #[must_use]
    pub fn new(
        entry: HostEntry,
        spec: &ServiceSpec,
        server: ModelServer,
        mechanism: AdmissionMode,
    ) -> Self {
        let limits = Limits::of(spec, entry.weight);
        let admission: Box<dyn Admission> = match mechanism {
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
        // Small buffers keep tens of thousands of flows within the memory of a test.
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

    /// Hands a packet to the agent.
    pub fn receive(
        &mut self,
        now: Time,
        index: usize,
        header: &ForwardHeader,
        packet: &[u8],
        sent: &mut VecDeque<Sent>,
    ) {
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            sent,
        };
        self.agent.on_packet(now, header, packet, &mut io);
    }

    /// Lets time pass for the server and the agent.
    pub fn step(&mut self, now: Time, index: usize, sent: &mut VecDeque<Sent>) {
        let events = self.server.step(now);
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            sent,
        };
        for flow in events.accepted {
            self.agent.on_connected(now, flow, &mut io);
        }
        for flow in events.refused {
            self.agent.on_connect_failed(now, flow, &mut io);
        }
        self.agent.on_timer(now, &mut io);
        self.reset(now, index, &events.reset, sent);
    }

    /// Lets the agent see that the server reset connections.
    pub fn reset(&mut self, now: Time, index: usize, flows: &[FlowId], sent: &mut VecDeque<Sent>) {
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            sent,
        };
        for flow in flows {
            // A connection that was reset before its handshake ended fails like a connect.
            self.agent.on_connected(now, *flow, &mut io);
            self.agent.on_server_ready(now, *flow, &mut io);
        }
    }

    /// Takes the host's failure domain out or brings it back.
    pub fn set_out(&mut self, now: Time, index: usize, out: bool, sent: &mut VecDeque<Sent>) {
        self.agent.ownership_mut().set_domain_out(out);
        let mut io = ModelIo {
            now,
            index,
            server: &mut self.server,
            sent,
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
    sent: &'a mut VecDeque<Sent>,
}

impl AgentIo for ModelIo<'_> {
    fn send_to_caller(&mut self, packet: &[u8]) {
        self.sent
            .push_back(Sent::ToCaller(self.index, packet.to_vec()));
    }

    fn forward(&mut self, hop: &Hop, packet: &[u8]) {
        let header = Box::new(hop.header);
        self.sent
            .push_back(Sent::ToAgent(hop.to, header, packet.to_vec()));
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
