//! Packet rate, processor time and latency of the balancer's packet loop beside a bare UDP relay.

use {
    super::{
        Experiment, Result, RunOptions,
        fixture::{host, routing, segment},
    },
    crate::report::{Axes, Report, Series, line_plot},
    arc_swap::ArcSwap,
    cardamomloom_core::error::io,
    cardamomloom_daemon::{
        balancer::{
            packet_loop::{PacketLoopOptions, forward_packets},
            refusals::PublishedRefusals,
        },
        freshness::Lease,
    },
    cardamomloom_protocol::{forward::DatagramKey, gue},
    cardamomloom_state::routing::RoutingTable,
    cardamomloom_transport::{
        clock::MonotonicClock,
        udp::{self, DATAGRAMS_PER_BATCH, OutgoingDatagram, ReceiveBatch, ReceiveMode, SendBatch},
    },
    hdrhistogram::Histogram,
    nix::sys::{
        resource::{UsageWho, getrusage},
        time::TimeValLike,
    },
    serde_json::json,
    std::{
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The experiment `forward`.
pub struct Forward;

const HOSTS: [u32; 3] = [10, 100, 1_000];
const KEY: DatagramKey = DatagramKey([1; 16]);
const FLOWS: u16 = 1_024;
const PAYLOAD_BYTES: usize = 64;
/// Senders that together outrun one packet loop.
const SENDERS: usize = 2;
/// Largest latency that the histogram tells apart.
const MAX_LATENCY_NS: u64 = 10_000_000_000;
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

impl Experiment for Forward {
    fn name(&self) -> &'static str {
        "forward"
    }

    fn summary(&self) -> &'static str {
        "packet rate, processor time and latency of a balancer beside a bare UDP relay"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let (rounds, pings) = if options.quick { (1, 500) } else { (7, 5_000) };
        let mut report = Report::new(self.name(), options);
        let mut lines = [const { Vec::new() }; 2];
        for hosts in HOSTS {
            let subject = Subject::new(hosts)?;
            let mut loads = [const { Vec::new() }; 2];
            for _ in 0..rounds {
                for (variant, loads) in VARIANTS.into_iter().zip(&mut loads) {
                    loads.push(subject.load(variant)?);
                }
            }
            let latencies = [
                subject.latency(VARIANTS[0], pings)?,
                subject.latency(VARIANTS[1], pings)?,
            ];
            let [relay, balancer] = loads.each_ref().map(|loads| Load::median(loads));
            let ratios = loads[0].iter().zip(&loads[1]);
            let rate_ratio = median(ratios.clone().map(|(relay, own)| own.rate / relay.rate));
            let cpu_ratio = median(ratios.map(|(relay, own)| relay.cpu_ns / own.cpu_ns));
            let named = VARIANTS.into_iter().zip([relay, balancer]).zip(latencies);
            for ((variant, load), latency) in named {
                let is_balancer = variant == Variant::Balancer;
                report.row(json!({
                    "variant": variant.name(), "hosts": hosts, "packets_per_s": load.rate,
                    "cpu_ns_per_packet": load.cpu_ns, "busy": load.busy,
                    "latency_p50_us": micros(&latency, 0.5),
                    "latency_p99_us": micros(&latency, 0.99),
                    "rate_ratio": if is_balancer { rate_ratio } else { 1.0 },
                    "cpu_ratio": if is_balancer { cpu_ratio } else { 1.0 },
                }));
                lines[usize::from(is_balancer)].push((f64::from(hosts), load.cpu_ns));
            }
        }
        for (variant, points) in VARIANTS.into_iter().zip(&lines) {
            let quantity = format!("cpu_ns_per_packet ({})", variant.name());
            report.slope(&quantity, "hosts", points);
        }
        let axes = Axes {
            title: "Processor time of a forwarded packet",
            x: "hosts",
            y: "ns per packet",
        };
        let series = VARIANTS
            .into_iter()
            .zip(lines)
            .map(|(variant, points)| Series {
                name: variant.name().to_owned(),
                points,
            });
        report.set_plot(line_plot(axes, &series.collect::<Vec<_>>())?);
        Ok(report)
    }
}

/// What forwards the packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// Sends every datagram unchanged to one address.
    BareRelay,
    /// The packet loop of the daemon.
    Balancer,
}

const VARIANTS: [Variant; 2] = [Variant::BareRelay, Variant::Balancer];

impl Variant {
    const fn name(self) -> &'static str {
        match self {
            Self::BareRelay => "bare relay",
            Self::Balancer => "balancer",
        }
    }
}

/// Outcome of one round under full load.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Packets forwarded per second.
    rate: f64,
    /// Processor time of the loop per packet.
    cpu_ns: f64,
    /// Share of the round in which the loop ran; below 1 when senders or the machine held it up.
    busy: f64,
}

impl Load {
    fn median(loads: &[Self]) -> Self {
        Self {
            rate: median(loads.iter().map(|load| load.rate)),
            cpu_ns: median(loads.iter().map(|load| load.cpu_ns)),
            busy: median(loads.iter().map(|load| load.busy)),
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn micros(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1e3
}

/// Routing table, packets and a socket that plays all agents.
struct Subject {
    routing: Arc<ArcSwap<RoutingTable>>,
    packets: Arc<Vec<Vec<u8>>>,
    agents: UdpSocket,
    relay_to: SocketAddr,
}

/// A running loop.
struct Running {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    /// Returns packets and processor time in ns.
    thread: thread::JoinHandle<(u64, f64)>,
}

impl Subject {
    fn new(hosts: u32) -> Result<Self> {
        // Every host has an address of its own in 127/8; this socket receives for all.
        let agents = udp::bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
        udp::set_receive_timeout(&agents, RECEIVE_TIMEOUT)?;
        let port = local_address(&agents)?.port();
        let packets = (0..FLOWS)
            .map(|flow| Ok(gue::encode(&segment(10_000 + flow, &[0; PAYLOAD_BYTES])?)))
            .collect::<Result<Vec<_>>>()?;
        Ok(Self {
            routing: Arc::new(ArcSwap::from_pointee(routing(hosts, port)?)),
            packets: Arc::new(packets),
            agents,
            relay_to: host(0, 1, port)?.data_address,
        })
    }

    fn start(&self, variant: Variant) -> Result<Running> {
        let socket = udp::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        udp::set_receive_timeout(&socket, RECEIVE_TIMEOUT)?;
        let address = local_address(&socket)?;
        let stop = Arc::new(AtomicBool::new(false));
        let (routing, to, stopped) = (self.routing.clone(), self.relay_to, stop.clone());
        let thread = thread::spawn(move || {
            let packets = match variant {
                Variant::BareRelay => relay_packets(&socket, to, &stopped),
                Variant::Balancer => {
                    let packet_loop = PacketLoopOptions {
                        socket,
                        routing,
                        lease: Lease::unlimited(),
                        clock: MonotonicClock::start(),
                        key: KEY,
                        published_refusals: PublishedRefusals::default(),
                    };
                    forward_packets(packet_loop, &stopped)
                }
            };
            (packets, thread_cpu_ns())
        });
        Ok(Running {
            address,
            stop,
            thread,
        })
    }

    /// Sends as much as the loop takes for a while.
    fn load(&self, variant: Variant) -> Result<Load> {
        let running = self.start(variant)?;
        let done = Arc::new(AtomicBool::new(false));
        let start = Instant::now();
        let mut threads = Vec::new();
        for _ in 0..SENDERS {
            let (packets, done, to) = (self.packets.clone(), done.clone(), running.address);
            let socket = udp::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            threads.push(thread::spawn(move || send(&socket, to, &packets, &done)));
        }
        let agents = self.agents.try_clone().map_err(failed)?;
        let finished = done.clone();
        threads.push(thread::spawn(move || discard(&agents, &finished)));
        thread::sleep(Duration::from_millis(300));
        done.store(true, Ordering::Relaxed);
        let time_s = start.elapsed().as_secs_f64();
        for thread in threads {
            let _ = thread.join();
        }
        let (packets, cpu_ns) = finish(running)?;
        Ok(Load {
            rate: packets as f64 / time_s,
            cpu_ns: cpu_ns / packets.max(1) as f64,
            busy: cpu_ns / 1e9 / time_s,
        })
    }

    /// Sends one packet at a time and measures until an agent has it.
    fn latency(&self, variant: Variant, pings: usize) -> Result<Histogram<u64>> {
        let running = self.start(variant)?;
        let sender = udp::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let mut latency = Histogram::new_with_max(MAX_LATENCY_NS, 3)
            .map_err(|error| io(format!("forward: {error}")))?;
        let mut buffer = [0; udp::MAX_DATAGRAM_BYTES];
        // Packets of the load that are still queued would answer the first pings.
        while self.agents.recv(&mut buffer).is_ok() {}
        for packet in self.packets.iter().cycle().take(pings) {
            let start = Instant::now();
            sender.send_to(packet, running.address).map_err(failed)?;
            if self.agents.recv(&mut buffer).is_ok() {
                latency
                    .saturating_record(start.elapsed().as_nanos().try_into().unwrap_or(u64::MAX));
            }
        }
        finish(running)?;
        Ok(latency)
    }
}

fn finish(running: Running) -> Result<(u64, f64)> {
    running.stop.store(true, Ordering::Relaxed);
    let outcome = running.thread.join();
    outcome.map_err(|_| io("forward: the packet loop ended with a panic"))
}

/// Forwards datagrams unchanged, with the batches and calls of the balancer's packet loop.
fn relay_packets(socket: &UdpSocket, to: SocketAddr, stop: &AtomicBool) -> u64 {
    let mut total = 0;
    let mut received = ReceiveBatch::default();
    let mut sender = SendBatch::default();
    loop {
        match received.receive(socket, ReceiveMode::WaitForOne) {
            Ok(0) if stop.load(Ordering::Relaxed) => return total,
            Ok(0) | Err(_) => continue,
            Ok(_) => {}
        }
        let empty = OutgoingDatagram {
            to,
            prefix: &[],
            body: &[],
        };
        let mut outgoing = [empty; DATAGRAMS_PER_BATCH];
        let mut count = 0;
        for (datagram, _) in received.datagrams() {
            outgoing[count].body = datagram;
            count += 1;
        }
        total += sender.send(socket, &outgoing[..count]) as u64;
    }
}

fn send(socket: &UdpSocket, to: SocketAddr, packets: &[Vec<u8>], done: &AtomicBool) {
    let mut sender = SendBatch::default();
    let outgoing: Vec<_> = packets
        .iter()
        .map(|packet| OutgoingDatagram {
            to,
            prefix: &[],
            body: packet,
        })
        .collect();
    for batch in outgoing.chunks(DATAGRAMS_PER_BATCH).cycle() {
        if done.load(Ordering::Relaxed) {
            return;
        }
        sender.send(socket, batch);
    }
}

fn discard(agents: &UdpSocket, done: &AtomicBool) {
    let mut received = ReceiveBatch::default();
    while !done.load(Ordering::Relaxed) {
        let _ = received.receive(agents, ReceiveMode::WaitForOne);
    }
}

/// Returns the processor time of the calling thread, user and system.
fn thread_cpu_ns() -> f64 {
    getrusage(UsageWho::RUSAGE_THREAD).map_or(0.0, |usage| {
        let time = usage.user_time() + usage.system_time();
        time.num_microseconds() as f64 * 1e3
    })
}

fn local_address(socket: &UdpSocket) -> Result<SocketAddr> {
    socket.local_addr().map_err(failed)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
fn failed(error: std::io::Error) -> cardamomloom_core::error::Error {
    io(format!("forward: socket failed: {error}"))
}
