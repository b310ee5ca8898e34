//! Stand-in for callers: many flows with a TCP stack of their own, sent through the fabric.

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

/// Result of running callers.
pub type Result<T> = io::Result<T>;

const MAX_DATAGRAM_BYTES: usize = 2_048;
const MAX_WAIT: Duration = Duration::from_millis(5);
const FIRST_PORT: u16 = 10_000;
const PORTS_PER_ADDRESS: usize = 50_000;

/// What the callers do.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Ingress of the fabric.
    pub fabric: SocketAddr,
    /// Address and port of the service.
    pub target: SocketAddr,
    /// Name of the service, which answers must carry.
    pub service: Arc<str>,
    /// Number of flows.
    pub flows: usize,
    /// Time over which the flows are opened.
    pub open_over_ms: u64,
    /// Requests of a flow.
    pub requests_per_flow: u32,
    /// Time between two requests of a flow.
    pub interval_ms: u64,
    /// Time after which an unanswered flow counts as broken.
    pub timeout_ms: u64,
    /// First caller address; flows beyond its ports take the next ones.
    pub first_address: Ipv4Addr,
    /// Seed of initial sequence numbers.
    pub seed: u64,
}

/// What happened to all flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerSummary {
    /// Flows that were started.
    pub flows: u64,
    /// Requests that were sent.
    pub requests: u64,
    /// Requests with a complete and correct answer.
    pub ok: u64,
    /// Established flows that were reset, ended early or timed out.
    pub broken: u64,
    /// Flows that were refused before they were established.
    pub refused: u64,
    /// Answers from another service or to another request.
    pub misdelivered: u64,
}

/// Runs the flows to their end.
///
/// # Errors
///
/// Fails when the socket cannot be set up.
pub fn run(options: &CallerOptions) -> Result<CallerSummary> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let start = Instant::now();
    let mut callers = Callers::new(options, socket);
    while !callers.is_done() {
        let now = Time::ZERO + start.elapsed().into();
        callers.start_due(now)?;
        callers.poll_due(now)?;
        callers.receive(now, start)?;
    }
    Ok(callers.summary)
}

struct Callers<'o> {
    options: &'o CallerOptions,
    socket: UdpSocket,
    flows: Vec<Option<CallerFlow>>,
    by_address: HashMap<SocketAddr, usize>,
    timers: BTreeSet<(Time, usize)>,
    due: Vec<Time>,
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
            by_address: HashMap::with_capacity(options.flows),
            timers: BTreeSet::new(),
            due: Vec::with_capacity(options.flows),
            started: 0,
            finished: 0,
            summary: CallerSummary::default(),
        }
    }

    fn is_done(&self) -> bool {
        self.finished == self.options.flows
    }

    /// Starts the flows whose time has come, evenly over the opening time.
    fn start_due(&mut self, now: Time) -> Result<()> {
        let flows = self.options.flows as u64;
        let open_over_ms = self.options.open_over_ms.max(1);
        let target = (now.as_millis() * flows / open_over_ms + 1).min(flows);
        while (self.started as u64) < target {
            let index = self.started;
            let local = self.local_address(index);
            let flow =
                CallerFlow::connect(now, index, local, self.options).map_err(io::Error::other)?;
            self.flows.push(Some(flow));
            self.due.push(now);
            self.by_address.insert(local, index);
            self.timers.insert((now, index));
            self.started += 1;
        }
        Ok(())
    }

    fn local_address(&self, index: usize) -> SocketAddr {
        let first = u32::from(self.options.first_address);
        let offset = u32::try_from(index / PORTS_PER_ADDRESS).unwrap_or_default();
        let port = u16::try_from(index % PORTS_PER_ADDRESS).unwrap_or_default();
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::from(first + offset)),
            FIRST_PORT + port,
        )
    }

    fn poll_due(&mut self, now: Time) -> Result<()> {
        while let Some((due, index)) = self.timers.first().copied() {
            if due > now {
                return Ok(());
            }
            self.timers.remove(&(due, index));
            self.advance(now, index, None)?;
        }
        Ok(())
    }

    fn advance(&mut self, now: Time, index: usize, packet: Option<&[u8]>) -> Result<()> {
        let (socket, fabric) = (&self.socket, self.options.fabric);
        let Some(flow) = self.flows.get_mut(index).and_then(Option::as_mut) else {
            return Ok(());
        };
        let mut sent = Ok(());
        flow.advance(now, packet, &mut |outgoing| {
            let outcome = socket.send_to(&gue::encode(outgoing), fabric);
            if let Err(error) = outcome {
                sent = Err(error);
            }
        });
        sent?;
        self.timers.remove(&(self.due[index], index));
        if let Some(report) = flow.report(now) {
            self.finish(index, report);
            return Ok(());
        }
        let next = flow.next_poll(now);
        self.due[index] = next;
        self.timers.insert((next, index));
        Ok(())
    }

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

    /// Receives packets until the next timer is due.
    fn receive(&mut self, now: Time, start: Instant) -> Result<()> {
        let next = self.timers.first().map_or(now, |(due, _)| *due);
        let wait = next.since(now).to_duration();
        let wait = wait.clamp(Duration::from_micros(200), MAX_WAIT);
        self.socket.set_read_timeout(Some(wait))?;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..64 {
            let length = match self.socket.recv_from(&mut buffer) {
                Ok((length, _)) => length,
                Err(error) if is_timeout(&error) => return Ok(()),
                Err(error) => return Err(error),
            };
            let Ok(inner) = gue::decode(&buffer[..length]) else {
                continue;
            };
            let Ok(meta) = packet::parse(inner) else {
                continue;
            };
            if let Some(index) = self.by_address.get(&meta.flow.service).copied() {
                let now = Time::ZERO + start.elapsed().into();
                self.advance(now, index, Some(inner))?;
            }
        }
        Ok(())
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
    )
}
