//! One flow of a caller: connect, send requests, check answers, close.

use {
    super::{CallerOptions, http},
    cardamomloom_coordination::termination::device::{PacketDevice, PacketSink},
    cardamomloom_core::{Span, Time},
    smoltcp::{
        iface::{Config, Interface, SocketHandle, SocketSet},
        socket::tcp::{self, State},
        time::Instant,
        wire::{HardwareAddress, IpAddress, IpCidr},
    },
    std::net::SocketAddr,
};

/// Result of opening a flow.
pub type Result<T> = std::result::Result<T, tcp::ConnectError>;

const BUFFER_BYTES: usize = 8_192;
const MTU_BYTES: usize = 1_400;

/// What happened to a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowReport {
    /// Requests that were sent.
    pub requests: u32,
    /// Requests with a complete and correct answer.
    pub ok: u32,
    /// The flow was established and then reset, ended early or timed out.
    pub broken: bool,
    /// The flow was refused before it was established.
    pub refused: bool,
    /// An answer was of another service or to another request.
    pub misdelivered: bool,
}

/// One flow.
pub struct CallerFlow {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    index: usize,
    service: std::sync::Arc<str>,
    requests_per_flow: u32,
    interval: Span,
    timeout: Span,
    deadline: Time,
    next_request: Time,
    awaiting: Option<String>,
    received: Vec<u8>,
    established: bool,
    closing: bool,
    report: FlowReport,
    seed: u64,
}

impl CallerFlow {
    /// Opens a flow from `local`.
    pub fn connect(
        now: Time,
        index: usize,
        local: SocketAddr,
        options: &CallerOptions,
    ) -> Result<Self> {
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = options.seed.wrapping_add(index as u64);
        let mut discard = |_: &[u8]| {};
        let mut device = PacketDevice::new(None, &mut discard, MTU_BYTES);
        let mut interface = Interface::new(config, &mut device, to_instant(now));
        let address = IpAddress::from(local.ip());
        interface.update_ip_addrs(|addresses| {
            let _ = addresses.push(IpCidr::new(address, 32));
        });
        if let IpAddress::Ipv4(gateway) = address {
            let _ = interface.routes_mut().add_default_ipv4_route(gateway);
        }
        let mut socket = tcp::Socket::new(
            tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]),
            tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]),
        );
        socket.connect(interface.context(), options.target, local)?;
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        let timeout = Span::from_millis(options.timeout_ms);
        Ok(Self {
            interface,
            sockets,
            handle,
            index,
            service: options.service.clone(),
            requests_per_flow: options.requests_per_flow,
            interval: Span::from_millis(options.interval_ms),
            timeout,
            deadline: now + timeout,
            next_request: now,
            awaiting: None,
            received: Vec::new(),
            established: false,
            closing: false,
            report: FlowReport::default(),
            seed: options.seed,
        })
    }

    /// Processes a packet, if any, and does what is due.
    pub fn advance(&mut self, now: Time, packet: Option<&[u8]>, sink: PacketSink<'_>) {
        let mut device = PacketDevice::new(packet, &mut *sink, MTU_BYTES);
        self.interface
            .poll(to_instant(now), &mut device, &mut self.sockets);
        self.exchange(now);
        let mut device = PacketDevice::new(None, sink, MTU_BYTES);
        self.interface
            .poll(to_instant(now), &mut device, &mut self.sockets);
    }

    fn exchange(&mut self, now: Time) {
        let state = self.sockets.get::<tcp::Socket<'_>>(self.handle).state();
        if state == State::Established {
            self.established = true;
        }
        self.read(now);
        let is_idle = self.awaiting.is_none() && !self.closing && self.established;
        if !is_idle || now < self.next_request {
            return;
        }
        if self.report.requests < self.requests_per_flow {
            self.send_request(now);
        } else {
            self.closing = true;
            self.sockets.get_mut::<tcp::Socket<'_>>(self.handle).close();
        }
    }

    fn send_request(&mut self, now: Time) {
        let id = format!("{:x}-{}-{}", self.seed, self.index, self.report.requests);
        let bytes = http::request(&self.service, &id);
        let socket = self.sockets.get_mut::<tcp::Socket<'_>>(self.handle);
        if socket.send_slice(&bytes) == Ok(bytes.len()) {
            self.report.requests += 1;
            self.awaiting = Some(id);
            self.deadline = now + self.timeout;
        }
    }

    fn read(&mut self, now: Time) {
        let socket = self.sockets.get_mut::<tcp::Socket<'_>>(self.handle);
        while socket.can_recv() {
            let received = &mut self.received;
            let _ = socket.recv(|bytes| {
                received.extend_from_slice(bytes);
                (bytes.len(), ())
            });
        }
        let Some(expected) = &self.awaiting else {
            return;
        };
        match http::answer(&self.received) {
            Ok(None) => {}
            Ok(Some((answer, length))) => {
                let is_own = answer.service == self.service && *answer.request == **expected;
                if is_own {
                    self.report.ok += 1;
                } else {
                    self.report.misdelivered = true;
                }
                self.received.drain(..length);
                self.awaiting = None;
                self.next_request = now + self.interval;
            }
            Err(http::BadAnswer) => {
                self.report.misdelivered = true;
                self.awaiting = None;
                self.next_request = now;
            }
        }
    }

    /// Returns the report once the flow has ended.
    pub fn report(&mut self, now: Time) -> Option<FlowReport> {
        let state = self.sockets.get::<tcp::Socket<'_>>(self.handle).state();
        let timed_out = now >= self.deadline && (self.awaiting.is_some() || !self.established);
        let server_ended = matches!(state, State::CloseWait | State::LastAck) && !self.closing;
        let is_over = matches!(state, State::Closed | State::TimeWait);
        if self.closing && (is_over || now >= self.deadline + self.timeout) {
            return Some(self.report);
        }
        if !is_over && !timed_out && !server_ended {
            return None;
        }
        if self.established {
            self.report.broken = true;
        } else {
            self.report.refused = true;
        }
        Some(self.report)
    }

    /// Returns when the flow wants to be advanced next.
    pub fn next_poll(&mut self, now: Time) -> Time {
        let tcp = self.interface.poll_at(to_instant(now), &self.sockets);
        let tcp = tcp.map(|at| Time(u64::try_from(at.total_micros()).unwrap_or_default()));
        let own = if self.awaiting.is_none() && !self.closing && self.established {
            self.next_request
        } else if self.closing {
            self.deadline + self.timeout
        } else {
            self.deadline
        };
        tcp.map_or(own, |tcp| tcp.min(own)).max(now)
    }
}

fn to_instant(time: Time) -> Instant {
    Instant::from_micros(i64::try_from(time.0).unwrap_or(i64::MAX))
}
