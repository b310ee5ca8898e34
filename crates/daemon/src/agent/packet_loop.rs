//! Packet loop of an agent: processes packets of callers and connections to the backend server in
//! one thread.

use {
    super::metrics::AgentMetrics,
    crate::{
        balancer::DropCounters,
        burn::{AgentTotals, ConnectionTotals},
        control::{ControlSender, Event},
        freshness::Lease,
    },
    cardamomloom_coordination::{
        admission::{AdaptiveLimitOptions, AdmissionPolicy, Limits, MeanLoad, ServerReport},
        agent::{Agent, AgentIo},
        handover::Members,
        ownership::{FlowId, Hop, Ownership, OwnershipOptions},
        termination::TerminationOptions,
    },
    cardamomloom_core::{
        HostId, ServiceId, Span, Time,
        error::{Error, io},
    },
    cardamomloom_protocol::{
        control::Message,
        forward::{DatagramKey, ForwardHeader},
        gue,
        packet::DropCause,
    },
    cardamomloom_state::candidates::CandidateTable,
    cardamomloom_transport::{
        clock::MonotonicClock,
        streams::{Readiness, ServerStreams},
        udp::{DATAGRAMS_PER_BATCH, ReceiveBatch, ReceiveMode},
    },
    log::{info, warn},
    mio::{Events, Interest, Poll, Token, Waker, unix::SourceFd},
    std::{
        collections::BTreeSet,
        io::Result as IoResult,
        net::{SocketAddr, UdpSocket},
        os::fd::AsRawFd,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc::{Receiver, Sender, SyncSender, channel},
        },
        thread,
        time::Duration,
    },
};

/// Result of starting the packet loop.
pub type Result<T> = std::result::Result<T, Error>;

const PACKET_TOKEN: Token = Token(usize::MAX - 1);
const WAKE_TOKEN: Token = Token(usize::MAX - 2);
const EVENTS_PER_POLL: usize = 1_024;

/// Longest wait of one poll, after which the loop checks its stop flag.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Interval at which metrics, burn totals and the status for the control thread are updated.
const REPORT_INTERVAL: Span = Span::from_millis(100);

/// Identity, addresses and shared state for the packet loop.
pub struct PacketLoopOptions {
    /// Identity of the backend server with this agent.
    pub host: HostId,
    /// Time until which packets may be forwarded and delivered.
    pub lease: Lease,
    /// Key of datagrams between processes.
    pub key: DatagramKey,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
    /// Address to which encapsulated packets for callers are sent.
    pub return_address: SocketAddr,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Seed for initial sequence numbers.
    pub seed: u64,
    /// Sender of handover messages.
    pub control: ControlSender,
    /// Totals of good and bad connections, for the burn report.
    pub burn: Arc<AgentTotals>,
}

/// Message from the control thread to the packet loop.
#[derive(Debug)]
pub enum Command {
    /// Sets the service of the host. The first one creates the agent; other commands before it are
    /// ignored.
    Service {
        /// Identifier of the service.
        id: ServiceId,
        /// Addresses at which callers reach the service.
        addresses: Vec<SocketAddr>,
        /// Connection limits of the host.
        limits: Limits,
    },
    /// Replaces the candidate table and the agents of its candidates.
    Table(Arc<CandidateTable>, Members),
    /// Passes on a handover message of another agent.
    Handover(Message),
    /// Sets whether operators have taken the failure domain of the host out.
    DomainOut(bool),
    /// Sets whether new flows are accepted.
    Accepting(bool),
    /// Updates the mean load of the hosts of the service.
    Mean(MeanLoad),
    /// Passes on a load report of the backend server.
    ServerReport(ServerReport),
}

/// Sends commands to the packet loop and wakes its poll.
pub struct CommandSender {
    sender: Sender<Command>,
    waker: Waker,
}

impl CommandSender {
    /// Sends a command. Has no effect when the packet loop has ended.
    pub fn send(&self, command: Command) {
        if self.sender.send(command).is_ok() {
            // Without the wake-up the command is delayed by at most one poll timeout.
            let _ = self.waker.wake();
        }
    }
}

/// Starts the packet loop on its own thread, which runs until `stop` is set.
///
/// # Errors
///
/// Fails with kind `io` when the poll, a socket or the thread cannot be set up.
pub fn spawn(
    socket: UdpSocket,
    options: PacketLoopOptions,
    events: SyncSender<Event>,
    stop: Arc<AtomicBool>,
) -> Result<(thread::JoinHandle<()>, CommandSender)> {
    let failed = |error: std::io::Error| io(format!("packet loop: {error}"));
    let poll = Poll::new().map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    poll.registry()
        .register(
            &mut SourceFd(&socket.as_raw_fd()),
            PACKET_TOKEN,
            Interest::READABLE,
        )
        .map_err(failed)?;
    let waker = Waker::new(poll.registry(), WAKE_TOKEN).map_err(failed)?;
    let registry = poll.registry().try_clone().map_err(failed)?;
    let (sender, commands) = channel();
    let thread = thread::Builder::new()
        .name("packets".to_owned())
        .spawn(move || {
            let streams = ServerStreams::new(registry, options.backend_address);
            PacketLoop::new(socket, streams, options, events, commands).run(poll, &stop);
        })
        .map_err(failed)?;
    Ok((thread, CommandSender { sender, waker }))
}

struct PacketLoop {
    socket: UdpSocket,
    io: PacketLoopIo,
    agent: Option<Agent>,
    options: PacketLoopOptions,
    events: SyncSender<Event>,
    commands: Receiver<Command>,
    /// Time until which packets may be processed. Read from the lease before the commands of a
    /// wake-up are applied.
    forward_until: Time,
    /// Flows whose connection events are deferred until the configuration is confirmed. The poll is
    /// edge-triggered and reports an event only once.
    deferred_flows: BTreeSet<u64>,
    next_report_at: Time,
    metrics: AgentMetrics,
}

impl PacketLoop {
    fn new(
        socket: UdpSocket,
        streams: ServerStreams,
        options: PacketLoopOptions,
        events: SyncSender<Event>,
        commands: Receiver<Command>,
    ) -> Self {
        let sender = socket.try_clone().ok();
        let io = PacketLoopIo {
            socket: sender,
            streams,
            key: options.key,
            return_address: options.return_address,
            buffer: Vec::with_capacity(2_048),
            drops: DropCounters::default(),
        };
        Self {
            socket,
            io,
            agent: None,
            options,
            events,
            commands,
            forward_until: Time::ZERO,
            deferred_flows: BTreeSet::new(),
            next_report_at: Time::ZERO,
            metrics: AgentMetrics::default(),
        }
    }

    fn run(mut self, mut poll: Poll, stop: &AtomicBool) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        let mut received = ReceiveBatch::default();
        while !stop.load(Ordering::Relaxed) {
            let timeout = self.poll_timeout();
            if let Err(error) = poll.poll(&mut events, Some(timeout))
                && error.kind() != std::io::ErrorKind::Interrupted
            {
                warn!(event = "poll_failed"; "cannot poll sockets: {error}");
            }
            self.forward_until = self.options.lease.until();
            self.apply_commands();
            for event in &events {
                match event.token() {
                    PACKET_TOKEN => self.receive_packets(&mut received),
                    WAKE_TOKEN => {}
                    Token(flow) => {
                        self.deferred_flows.insert(flow as u64);
                    }
                }
            }
            self.process_streams();
            self.report(self.options.clock.now());
        }
    }

    /// Processes connection events and expired timers while the lease is valid.
    fn process_streams(&mut self) {
        let now = self.options.clock.now();
        if now >= self.forward_until {
            return;
        }
        for flow in std::mem::take(&mut self.deferred_flows) {
            self.on_stream_event(flow);
        }
        if let Some(agent) = self.agent.as_mut() {
            agent.on_timer(now, &mut self.io);
            for outgoing in agent.ownership_mut().on_tick(now) {
                self.options.control.send(outgoing.to, &outgoing.message);
            }
        }
    }

    fn poll_timeout(&self) -> Duration {
        let now = self.options.clock.now();
        // Without a valid lease expired timers are not processed. A renewed lease does not wake the
        // poll.
        let may_run = now < self.options.lease.until();
        self.agent
            .as_ref()
            .filter(|_| may_run)
            .and_then(Agent::next_timer)
            .map_or(MAX_WAIT, |expiry| {
                expiry.since(now).to_duration().min(MAX_WAIT)
            })
    }

    /// Receives until the socket is empty, because the poll is edge-triggered.
    fn receive_packets(&mut self, received: &mut ReceiveBatch) {
        loop {
            let count = match received.receive(&self.socket, ReceiveMode::NonBlocking) {
                Ok(count) => count,
                Err(error) => {
                    warn!(event = "receive_failed"; "cannot receive packets: {error}");
                    return;
                }
            };
            let now = self.options.clock.now();
            if now >= self.forward_until {
                self.io.drops.add(DropCause::Stale, count as u64);
            } else {
                for (datagram, _) in received.datagrams() {
                    self.on_datagram(now, datagram);
                }
            }
            if count < DATAGRAMS_PER_BATCH {
                return;
            }
        }
    }

    fn on_datagram(&mut self, now: Time, datagram: &[u8]) {
        let Ok((header, packet)) = ForwardHeader::decode(self.options.key, datagram) else {
            self.io.drops.add(DropCause::BadForwardHeader, 1);
            return;
        };
        match self.agent.as_mut() {
            Some(agent) => agent.on_packet(now, &header, packet, &mut self.io),
            None => self.io.drops.add(DropCause::Settling, 1),
        }
    }

    fn on_stream_event(&mut self, flow: u64) {
        let now = self.options.clock.now();
        let Some(agent) = self.agent.as_mut() else {
            return;
        };
        let id = FlowId(flow);
        match self.io.streams.on_event(flow) {
            Readiness::Pending => {}
            Readiness::Connected => {
                agent.on_connected(now, id, &mut self.io);
                agent.on_server_ready(now, id, &mut self.io);
            }
            Readiness::Failed => agent.on_connect_failed(now, id, &mut self.io),
            Readiness::Ready => agent.on_server_ready(now, id, &mut self.io),
        }
    }

    fn apply_commands(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            let now = self.options.clock.now();
            self.apply(now, command);
        }
    }

    fn apply(&mut self, now: Time, command: Command) {
        if let Command::Service {
            id,
            addresses,
            limits,
        } = command
        {
            self.options.burn.set_service(id);
            let (host, seed) = (self.options.host, self.options.seed);
            let agent = self
                .agent
                .get_or_insert_with(|| new_agent(host, id, limits, seed));
            agent.admission_mut().set_limits(limits);
            agent.ownership_mut().set_addresses(addresses);
            return;
        }
        let Some(agent) = self.agent.as_mut() else {
            warn!(
                event = "command_early";
                "command ignored because the service is not known yet: {command:?}"
            );
            return;
        };
        match command {
            Command::Table(table, members) => {
                agent.ownership_mut().set_table(now, table, members);
            }
            Command::Handover(message) => {
                if let Some(answer) = agent.ownership_mut().on_message(now, &message) {
                    self.options.control.send(answer.to, &answer.message);
                }
            }
            Command::DomainOut(is_out) => {
                agent.ownership_mut().set_domain_out(is_out);
                if is_out {
                    info!(event = "domain_out"; "failure domain was taken out; closing all flows");
                    agent.close_all(&mut self.io);
                } else {
                    // The backend server was idle while its failure domain was out.
                    agent.admission_mut().restart_slow_start(now);
                }
            }
            Command::Accepting(is_accepting) => agent.admission_mut().set_accepting(is_accepting),
            Command::Mean(mean) => agent.admission_mut().observe_mean(now, mean),
            Command::ServerReport(report) => agent.admission_mut().observe_report(now, report),
            Command::Service { .. } => {}
        }
    }

    fn report(&mut self, now: Time) {
        if now < self.next_report_at {
            return;
        }
        self.next_report_at = now + REPORT_INTERVAL;
        let Some(agent) = self.agent.as_ref() else {
            return;
        };
        let counters = agent.counters();
        self.options.burn.set(ConnectionTotals {
            good: counters.opened,
            bad: counters.refused_syns,
        });
        let (open_flows, admission) = (agent.flow_count(), agent.admission().status());
        let handover = agent.ownership().handover().status();
        self.metrics.publish(agent, &admission, &handover);
        // When the queue is full, the control thread gets the status of the next report.
        let _ = self.events.try_send(Event::PacketLoopStatus {
            open_flows,
            admission,
            handover,
        });
    }
}

fn new_agent(host: HostId, service: ServiceId, limits: Limits, seed: u64) -> Agent {
    Agent::new(
        Ownership::new(host, service, OwnershipOptions::default()),
        Box::new(AdmissionPolicy::new(
            limits,
            AdaptiveLimitOptions::default(),
        )),
        TerminationOptions::default(),
        seed,
    )
}

/// Sockets through which the agent sends packets and uses connections to the backend server.
struct PacketLoopIo {
    socket: Option<UdpSocket>,
    streams: ServerStreams,
    key: DatagramKey,
    return_address: SocketAddr,
    buffer: Vec<u8>,
    drops: DropCounters,
}

impl PacketLoopIo {
    /// Sends the buffer. When the socket buffer is full, the packet is counted as dropped and TCP
    /// retransmits it.
    fn send_buffer(&mut self, to: SocketAddr) {
        let sent = self
            .socket
            .as_ref()
            .is_some_and(|socket| socket.send_to(&self.buffer, to).is_ok());
        if !sent {
            self.drops.add(DropCause::SendFailed, 1);
        }
    }
}

impl AgentIo for PacketLoopIo {
    fn send_to_caller(&mut self, packet: &[u8]) {
        self.buffer.clear();
        self.buffer.extend_from_slice(&gue::header_for(packet));
        self.buffer.extend_from_slice(packet);
        self.send_buffer(self.return_address);
    }

    fn forward(&mut self, hop: &Hop, packet: &[u8]) {
        self.buffer.clear();
        self.buffer
            .extend_from_slice(&hop.header.encode(self.key, packet));
        self.buffer.extend_from_slice(packet);
        self.send_buffer(hop.to);
    }

    fn connect(&mut self, flow: FlowId) -> IoResult<()> {
        self.streams.connect(flow.0)
    }

    fn write(&mut self, flow: FlowId, bytes: &[u8]) -> IoResult<usize> {
        self.streams.write(flow.0, bytes)
    }

    fn read(&mut self, flow: FlowId, buffer: &mut [u8]) -> IoResult<usize> {
        self.streams.read(flow.0, buffer)
    }

    fn shutdown_write(&mut self, flow: FlowId) {
        self.streams.shutdown_write(flow.0);
    }

    fn close(&mut self, flow: FlowId, reset: bool) {
        self.streams.close(flow.0, reset);
    }

    fn count_drop(&mut self, cause: DropCause) {
        self.drops.add(cause, 1);
    }
}
