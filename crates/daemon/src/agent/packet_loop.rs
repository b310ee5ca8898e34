//! Packet loop of an agent: packets of callers and connections to the backend server.

use {
    super::metrics::AgentMetrics,
    crate::{
        balancer::DropCounters,
        burn::{AgentTotals, Totals},
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
        udp::{BATCH, ReceiveBatch, Wait},
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
const MAX_WAIT: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Span = Span::from_millis(100);

/// What the packet loop works with.
pub struct PacketLoopOptions {
    /// Own host.
    pub host: HostId,
    /// Permission to forward and deliver.
    pub lease: Lease,
    /// Key of datagrams between processes.
    pub key: DatagramKey,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
    /// Socket that takes encapsulated packets to callers.
    pub return_address: SocketAddr,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Seed of initial sequence numbers.
    pub seed: u64,
    /// Sender of handover messages.
    pub control: ControlSender,
    /// Good and bad connections, for the burn report.
    pub burn: Arc<AgentTotals>,
}

/// Change of configuration for the packet loop.
#[derive(Debug)]
pub enum Command {
    /// The service of the host, its addresses and limits.
    Service {
        /// Identifier of the service.
        id: ServiceId,
        /// Addresses that callers use.
        addresses: Vec<SocketAddr>,
        /// Limits of the host.
        limits: Limits,
    },
    /// A new candidate table with its agents.
    Table(Arc<CandidateTable>, Members),
    /// A handover message of another agent.
    Handover(Message),
    /// Whether the failure domain of the host is out.
    DomainOut(bool),
    /// Whether new flows are accepted.
    Accepting(bool),
    /// The mean load of the service.
    Mean(MeanLoad),
    /// What the backend server says about itself.
    ServerReport(ServerReport),
}

/// Sends commands to the packet loop and wakes it.
pub struct CommandSender {
    sender: Sender<Command>,
    waker: Waker,
}

impl CommandSender {
    /// Sends a command; without effect when the packet loop has ended.
    pub fn send(&self, command: Command) {
        if self.sender.send(command).is_ok() {
            // A failed wake delays the command by at most one poll timeout.
            let _ = self.waker.wake();
        }
    }
}

/// Starts the packet loop.
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
    io: LoopIo,
    agent: Option<Agent>,
    options: PacketLoopOptions,
    events: SyncSender<Event>,
    commands: Receiver<Command>,
    /// Time until which packets are processed, read before the commands of a wake-up are taken.
    forward_until: Time,
    /// Connections whose events wait until the configuration is confirmed; an event is reported
    /// only once.
    deferred: BTreeSet<u64>,
    next_report: Time,
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
        let io = LoopIo {
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
            deferred: BTreeSet::new(),
            next_report: Time::ZERO,
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
                warn!(event = "poll_failed"; "{error}");
            }
            self.forward_until = self.options.lease.until();
            self.take_commands();
            for event in &events {
                match event.token() {
                    PACKET_TOKEN => self.receive_packets(&mut received),
                    WAKE_TOKEN => {}
                    Token(flow) => {
                        self.deferred.insert(flow as u64);
                    }
                }
            }
            self.process_streams();
            self.report(self.options.clock.now());
        }
    }

    /// Processes connections and timers while the configuration is known to be current.
    fn process_streams(&mut self) {
        let now = self.options.clock.now();
        if now >= self.forward_until {
            return;
        }
        for flow in std::mem::take(&mut self.deferred) {
            self.on_stream_event(flow);
        }
        if let Some(agent) = self.agent.as_mut() {
            agent.on_timer(now, &mut self.io);
            for due in agent.ownership_mut().on_tick(now) {
                self.options.control.send(due.to, &due.message);
            }
        }
    }

    fn poll_timeout(&self) -> Duration {
        let now = self.options.clock.now();
        // Timers that are due wait for the confirmation, which the waker does not report.
        let may_run = now < self.options.lease.until();
        self.agent
            .as_ref()
            .filter(|_| may_run)
            .and_then(Agent::next_timer)
            .map_or(MAX_WAIT, |due| due.since(now).to_duration().min(MAX_WAIT))
    }

    /// Receives until the socket is empty, because the poll reports only changes.
    fn receive_packets(&mut self, received: &mut ReceiveBatch) {
        loop {
            let count = match received.receive(&self.socket, Wait::Never) {
                Ok(count) => count,
                Err(error) => {
                    warn!(event = "receive_failed"; "{error}");
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
            if count < BATCH {
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

    fn take_commands(&mut self) {
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
            warn!(event = "command_early"; "command before the service is known: {command:?}");
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
            Command::DomainOut(out) => {
                agent.ownership_mut().set_domain_out(out);
                if out {
                    info!(event = "domain_out"; "failure domain is out; flows are given up");
                    agent.close_all(&mut self.io);
                } else {
                    // The backend server had no load while the failure domain was out.
                    agent.admission_mut().restart_slow_start(now);
                }
            }
            Command::Accepting(accepting) => agent.admission_mut().set_accepting(accepting),
            Command::Mean(mean) => agent.admission_mut().observe_mean(now, mean),
            Command::ServerReport(report) => agent.admission_mut().observe_report(now, report),
            Command::Service { .. } => {}
        }
    }

    fn report(&mut self, now: Time) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let Some(agent) = self.agent.as_ref() else {
            return;
        };
        let counters = agent.counters();
        self.options.burn.set(Totals {
            good: counters.opened,
            bad: counters.refused_syns,
        });
        let (open, admission) = (agent.flow_count(), agent.admission().status());
        let handover = agent.ownership().handover().status();
        self.metrics.publish(agent, &admission, &handover);
        // A full queue only delays the next report.
        let _ = self.events.try_send(Event::Flows {
            open,
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

/// Sockets of the packet loop as the agent uses them.
struct LoopIo {
    socket: Option<UdpSocket>,
    streams: ServerStreams,
    key: DatagramKey,
    return_address: SocketAddr,
    buffer: Vec<u8>,
    drops: DropCounters,
}

impl LoopIo {
    /// Sends the buffer; TCP repeats what a full socket buffer loses.
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

impl AgentIo for LoopIo {
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
