//! Stand-in for callers: opens many flows, each with its own user-space TCP stack, through the
//! fabric.

mod flow;
mod http;

pub use flow::FlowReport;

use {
    cardamomloom_core::Time,
    cardamomloom_protocol::{gue, packet},
    flow::CallerFlow,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Result of an operation on the packet socket of the callers.
pub type Result<T> = io::Result<T>;

/// Largest datagram that is received whole; the rest of a longer one is cut off.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Shortest wait for a packet.
const MIN_RECEIVE_WAIT: Duration = Duration::from_micros(200);

/// Longest wait for a packet.
const MAX_RECEIVE_WAIT: Duration = Duration::from_millis(5);

/// Most packets that are received before the timers are checked again.
const MAX_PACKETS_PER_RECEIVE: usize = 64;

/// First source port of each caller address.
const FIRST_PORT: u16 = 10_000;

/// Flows from one caller address, each with its own source port.
const PORTS_PER_ADDRESS: usize = 50_000;

/// Target and traffic pattern of the callers.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Ingress address of the fabric.
    pub fabric: SocketAddr,
    /// Address and port of the service.
    pub target: SocketAddr,
    /// Name of the service, which every response must carry.
    pub service: Arc<str>,
    /// Number of flows.
    pub flows: usize,
    /// Time over which the flows are opened.
    pub open_over_ms: u64,
    /// Number of requests that each flow sends before it closes.
    pub requests_per_flow: u32,
    /// Time from a response to the next request of the flow.
    pub interval_ms: u64,
    /// Longest wait for the handshake and for each response; then the flow counts as refused or
    /// broken.
    pub timeout_ms: u64,
    /// First caller address; flows for which it has no port left use the following addresses.
    pub first_address: Ipv4Addr,
    /// Seed of the initial sequence numbers.
    pub seed: u64,
}

/// Sum of the outcomes of all flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerSummary {
    /// Flows that were opened and have ended.
    pub flows: u64,
    /// Requests that were sent.
    pub requests: u64,
    /// Requests with a complete and correct response.
    pub ok: u64,
    /// Established flows that were reset, closed early by the server or timed out.
    pub broken: u64,
    /// Flows that were reset or timed out before they were established.
    pub refused: u64,
    /// Flows with a response that was invalid, from another service or to another request.
    pub misdelivered: u64,
}

/// Opens the flows, runs them until all have ended and returns the sum of their outcomes.
///
/// # Errors
///
/// Fails when the socket cannot be set up, when sending or receiving fails, or when a flow cannot
/// start to connect.
pub fn run(options: &CallerOptions) -> Result<CallerSummary> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let start = Instant::now();
    let mut callers = Callers::new(options, socket);
    while !callers.is_done() {
        let now = Time::ZERO + start.elapsed().into();
        callers.open_due_flows(now)?;
        callers.advance_due_flows(now)?;
        callers.receive(now, start)?;
    }
    Ok(callers.summary)
}

/// Flows in progress with their timers.
struct Callers<'o> {
    options: &'o CallerOptions,
    socket: UdpSocket,
    /// Flows in the order of opening; `None` once a flow has ended.
    flows: Vec<Option<CallerFlow>>,
    /// Index of each flow by its local address.
    flows_by_address: HashMap<SocketAddr, usize>,
    timers: BTreeSet<(Time, usize)>,
    /// Key of each flow's entry in `timers`.
    next_polls: Vec<Time>,
    started: usize,
    finished: usize,
    summary: CallerSummary,
}

impl<'o> Callers<'o> {
    fn new(options: &'o CallerOptions, socket: UdpSocket) -> Self {
        Self {
            options,
            socket,
            flows: Vec::with_capacity(options.flows),
            flows_by_address: HashMap::with_capacity(options.flows),
            timers: BTreeSet::new(),
            next_polls: Vec::with_capacity(options.flows),
            started: 0,
            finished: 0,
            summary: CallerSummary::default(),
        }
    }

    fn is_done(&self) -> bool {
        self.finished == self.options.flows
    }

    /// Opens the flows that are due; their times are spread evenly over `open_over_ms`.
    fn open_due_flows(&mut self, now: Time) -> Result<()> {
        let flows = self.options.flows as u64;
        let open_over_ms = self.options.open_over_ms.max(1);
        let due_flows = (now.as_millis() * flows / open_over_ms + 1).min(flows);
        while (self.started as u64) < due_flows {
            let index = self.started;
            let local = self.local_address(index);
            let flow =
                CallerFlow::connect(now, index, local, self.options).map_err(io::Error::other)?;
            self.flows.push(Some(flow));
            self.next_polls.push(now);
            self.flows_by_address.insert(local, index);
            self.timers.insert((now, index));
            self.started += 1;
        }
        Ok(())
    }

    /// Returns the caller address and source port of a flow.
    fn local_address(&self, index: usize) -> SocketAddr {
        let first = u32::from(self.options.first_address);
        let offset = u32::try_from(index / PORTS_PER_ADDRESS).unwrap_or_default();
        let port = u16::try_from(index % PORTS_PER_ADDRESS).unwrap_or_default();
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::from(first + offset)),
            FIRST_PORT + port,
        )
    }

    /// Advances the flows whose timers have expired.
    fn advance_due_flows(&mut self, now: Time) -> Result<()> {
        while let Some((due, index)) = self.timers.first().copied() {
            if due > now {
                return Ok(());
            }
            self.timers.remove(&(due, index));
            self.advance(now, index, None)?;
        }
        Ok(())
    }

    /// Advances a flow with a received packet, if any, then sets its next timer or records its end.
    fn advance(&mut self, now: Time, index: usize, packet: Option<&[u8]>) -> Result<()> {
        let (socket, fabric) = (&self.socket, self.options.fabric);
        let Some(flow) = self.flows.get_mut(index).and_then(Option::as_mut) else {
            return Ok(());
        };
        let mut send_result = Ok(());
        flow.advance(now, packet, &mut |outgoing| {
            let result = socket.send_to(&gue::encode(outgoing), fabric);
            if let Err(error) = result {
                send_result = Err(error);
            }
        });
        send_result?;
        self.timers.remove(&(self.next_polls[index], index));
        if let Some(report) = flow.report(now) {
            self.finish(index, report);
            return Ok(());
        }
        let next = flow.next_poll(now);
        self.next_polls[index] = next;
        self.timers.insert((next, index));
        Ok(())
    }

    /// Removes a flow that has ended and adds its outcome to the summary.
    fn finish(&mut self, index: usize, report: FlowReport) {
        self.flows[index] = None;
        self.finished += 1;
        self.summary.flows += 1;
        self.summary.requests += u64::from(report.requests);
        self.summary.ok += u64::from(report.ok);
        self.summary.broken += u64::from(report.broken);
        self.summary.refused += u64::from(report.refused);
        self.summary.misdelivered += u64::from(report.misdelivered);
    }

    /// Waits for packets until the next timer, at most [`MAX_RECEIVE_WAIT`] for each of them, and
    /// passes them to their flows.
    fn receive(&mut self, now: Time, start: Instant) -> Result<()> {
        let next = self.timers.first().map_or(now, |(due, _)| *due);
        let wait = next.since(now).to_duration();
        let wait = wait.clamp(MIN_RECEIVE_WAIT, MAX_RECEIVE_WAIT);
        self.socket.set_read_timeout(Some(wait))?;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_PACKETS_PER_RECEIVE {
            let length = match self.socket.recv_from(&mut buffer) {
                Ok((length, _)) => length,
                Err(error) if is_transient(&error) => return Ok(()),
                Err(error) => return Err(error),
            };
            let Ok(inner) = gue::decode(&buffer[..length]) else {
                continue;
            };
            let Ok(meta) = packet::parse(inner) else {
                continue;
            };
            if let Some(index) = self.flows_by_address.get(&meta.flow.service).copied() {
                let now = Time::ZERO + start.elapsed().into();
                self.advance(now, index, Some(inner))?;
            }
        }
        Ok(())
    }
}

/// Returns whether a receive error leaves the socket usable.
///
/// A refused connection is the ICMP error of a datagram that was sent earlier.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
    )
}
