//! One flow of a caller: connects, sends requests one at a time, checks the responses and closes.

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

/// Result of starting the TCP handshake of a flow.
pub type Result<T> = std::result::Result<T, tcp::ConnectError>;

/// Size of the receive buffer, and of the send buffer, of a flow.
const BUFFER_BYTES: usize = 8_192;
const MTU_BYTES: usize = 1_400;

/// Outcome of a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowReport {
    /// Requests that were sent.
    pub requests: u32,
    /// Requests with a complete and correct response.
    pub ok: u32,
    /// Whether the flow was established and then reset, closed early by the server or timed out.
    pub broken: bool,
    /// Whether the flow was reset or timed out before it was established.
    pub refused: bool,
    /// Whether a response was invalid, came from another service or belonged to another request.
    pub misdelivered: bool,
}

/// TCP connection of a caller, with a TCP stack that sends and receives raw IP packets.
pub struct CallerFlow {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    index: usize,
    service: std::sync::Arc<str>,
    requests_per_flow: u32,
    interval: Span,
    timeout: Span,
    /// End of the wait for the handshake or for the response to the last request.
    deadline: Time,
    /// Earliest time of the next request.
    next_request: Time,
    /// Id of the request whose response is outstanding.
    pending_request: Option<String>,
    received: Vec<u8>,
    established: bool,
    closing: bool,
    report: FlowReport,
    seed: u64,
}

impl CallerFlow {
    /// Starts to connect from `local` to the target of `options`.
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
            pending_request: None,
            received: Vec::new(),
            established: false,
            closing: false,
            report: FlowReport::default(),
            seed: options.seed,
        })
    }

    /// Processes an incoming packet, if any, and expired timers, and sends the next request when it
    /// is due. Outgoing packets go to `sink`.
    pub fn advance(&mut self, now: Time, packet: Option<&[u8]>, sink: PacketSink<'_>) {
        let mut device = PacketDevice::new(packet, &mut *sink, MTU_BYTES);
        self.interface
            .poll(to_instant(now), &mut device, &mut self.sockets);
        self.advance_requests(now);
        let mut device = PacketDevice::new(None, sink, MTU_BYTES);
        self.interface
            .poll(to_instant(now), &mut device, &mut self.sockets);
    }

    /// Reads the outstanding response, and sends the next request or closes after the last one.
    fn advance_requests(&mut self, now: Time) {
        let state = self.sockets.get::<tcp::Socket<'_>>(self.handle).state();
        if state == State::Established {
            self.established = true;
        }
        self.read_response(now);
        let is_idle = self.pending_request.is_none() && !self.closing && self.established;
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
        let request = http::encode_request(&self.service, &id);
        let socket = self.sockets.get_mut::<tcp::Socket<'_>>(self.handle);
        if socket.send_slice(&request) == Ok(request.len()) {
            self.report.requests += 1;
            self.pending_request = Some(id);
            self.deadline = now + self.timeout;
        }
    }

    fn read_response(&mut self, now: Time) {
        let socket = self.sockets.get_mut::<tcp::Socket<'_>>(self.handle);
        while socket.can_recv() {
            let received = &mut self.received;
            let _ = socket.recv(|bytes| {
                received.extend_from_slice(bytes);
                (bytes.len(), ())
            });
        }
        let Some(expected) = &self.pending_request else {
            return;
        };
        match http::parse_response(&self.received) {
            Ok(None) => {}
            Ok(Some((response, length))) => {
                let matches_request =
                    response.service == self.service && *response.request == **expected;
                if matches_request {
                    self.report.ok += 1;
                } else {
                    self.report.misdelivered = true;
                }
                self.received.drain(..length);
                self.pending_request = None;
                self.next_request = now + self.interval;
            }
            Err(http::InvalidResponse) => {
                self.report.misdelivered = true;
                self.pending_request = None;
                self.next_request = now;
            }
        }
    }

    /// Returns the outcome once the flow has ended, and `None` while it is open.
    pub fn report(&mut self, now: Time) -> Option<FlowReport> {
        let state = self.sockets.get::<tcp::Socket<'_>>(self.handle).state();
        let timed_out =
            now >= self.deadline && (self.pending_request.is_some() || !self.established);
        let server_closed = matches!(state, State::CloseWait | State::LastAck) && !self.closing;
        let is_closed = matches!(state, State::Closed | State::TimeWait);
        if self.closing && (is_closed || now >= self.deadline + self.timeout) {
            return Some(self.report);
        }
        if !is_closed && !timed_out && !server_closed {
            return None;
        }
        if self.established {
            self.report.broken = true;
        } else {
            self.report.refused = true;
        }
        Some(self.report)
    }

    /// Returns the time at which [`Self::advance`] must run next if no packet arrives earlier.
    pub fn next_poll(&mut self, now: Time) -> Time {
        let tcp_timer = self.interface.poll_at(to_instant(now), &self.sockets);
        let tcp_timer =
            tcp_timer.map(|at| Time(u64::try_from(at.total_micros()).unwrap_or_default()));
        let flow_timer = if self.pending_request.is_none() && !self.closing && self.established {
            self.next_request
        } else if self.closing {
            self.deadline + self.timeout
        } else {
            self.deadline
        };
        tcp_timer
            .map_or(flow_timer, |at| at.min(flow_timer))
            .max(now)
    }
}

/// Converts a time to the clock of the TCP stack.
fn to_instant(time: Time) -> Instant {
    Instant::from_micros(i64::try_from(time.0).unwrap_or(i64::MAX))
}
