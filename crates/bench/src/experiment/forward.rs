//! Packet rate, processor time and latency of the balancer's packet loop, compared with a bare UDP
//! relay.

use {
    super::{
        Experiment, Result, RunOptions,
        fixture::{host_entry, routing_table, segment},
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

const HOST_COUNTS: [u32; 3] = [10, 100, 1_000];
const KEY: DatagramKey = DatagramKey([1; 16]);
const FLOWS: u16 = 1_024;
const PAYLOAD_BYTES: usize = 64;
/// Number of sending threads; together they send more than one packet loop can forward.
const SENDERS: usize = 2;
/// Largest latency that the histogram can hold; longer ones are recorded as this value.
const MAX_LATENCY_NS: u64 = 10_000_000_000;
/// Duration of one round under full load.
const LOAD_DURATION: Duration = Duration::from_millis(300);
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

impl Experiment for Forward {
    fn name(&self) -> &'static str {
        "forward"
    }

    fn summary(&self) -> &'static str {
        "packet rate, processor time and latency of a balancer, compared with a bare UDP relay"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let (rounds, pings) = if options.quick { (1, 500) } else { (7, 5_000) };
        let mut report = Report::new(self.name(), options);
        let mut lines = [const { Vec::new() }; 2];
        for hosts in HOST_COUNTS {
            let testbed = Testbed::new(hosts)?;
            let mut loads = [const { Vec::new() }; 2];
            for _ in 0..rounds {
                for (variant, loads) in VARIANTS.into_iter().zip(&mut loads) {
                    loads.push(testbed.measure_load(variant)?);
                }
            }
            let latencies = [
                testbed.measure_latency(VARIANTS[0], pings)?,
                testbed.measure_latency(VARIANTS[1], pings)?,
            ];
            let [relay, balancer] = loads.each_ref().map(|loads| Load::median(loads));
            let load_pairs = loads[0].iter().zip(&loads[1]);
            let rate_ratio = median(
                load_pairs
                    .clone()
                    .map(|(relay, balancer)| balancer.packets_per_s / relay.packets_per_s),
            );
            let cpu_ratio = median(
                load_pairs
                    .map(|(relay, balancer)| relay.cpu_ns_per_packet / balancer.cpu_ns_per_packet),
            );
            let results = VARIANTS.into_iter().zip([relay, balancer]).zip(latencies);
            for ((variant, load), latency) in results {
                let is_balancer = variant == Variant::Balancer;
                report.add_row(json!({
                    "variant": variant.name(), "hosts": hosts, "packets_per_s": load.packets_per_s,
                    "cpu_ns_per_packet": load.cpu_ns_per_packet, "busy": load.busy_share,
                    "latency_p50_us": quantile_us(&latency, 0.5),
                    "latency_p99_us": quantile_us(&latency, 0.99),
                    "rate_ratio": if is_balancer { rate_ratio } else { 1.0 },
                    "cpu_ratio": if is_balancer { cpu_ratio } else { 1.0 },
                }));
                lines[usize::from(is_balancer)].push((f64::from(hosts), load.cpu_ns_per_packet));
            }
        }
        for (variant, points) in VARIANTS.into_iter().zip(&lines) {
            let quantity = format!("cpu_ns_per_packet ({})", variant.name());
            report.add_slope(&quantity, "hosts", points);
        }
        let axes = Axes {
            title: "Processor time per forwarded packet",
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

/// Forwarder under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// Sends every datagram unchanged to one fixed address.
    BareRelay,
    /// The packet loop of the daemon, which routes each packet.
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

/// Measurements of one round under full load.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Forwarded packets.
    packets_per_s: f64,
    /// Processor time of the loop's thread, user and system.
    cpu_ns_per_packet: f64,
    /// Share of the round in which the loop used a processor. It is below 1 when the senders were
    /// too slow or the thread was not scheduled.
    busy_share: f64,
}

impl Load {
    /// Returns the median of each quantity on its own.
    fn median(loads: &[Self]) -> Self {
        Self {
            packets_per_s: median(loads.iter().map(|load| load.packets_per_s)),
            cpu_ns_per_packet: median(loads.iter().map(|load| load.cpu_ns_per_packet)),
            busy_share: median(loads.iter().map(|load| load.busy_share)),
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn quantile_us(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1e3
}

/// Routing table, packets, and one socket that receives for all agents.
struct Testbed {
    routing: Arc<ArcSwap<RoutingTable>>,
    packets: Arc<Vec<Vec<u8>>>,
    agents: UdpSocket,
    relay_to: SocketAddr,
}

/// Forwarding loop in its own thread.
struct RunningLoop {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    /// Returns the number of forwarded packets and the processor time in ns.
    thread: thread::JoinHandle<(u64, f64)>,
}

impl Testbed {
    fn new(hosts: u32) -> Result<Self> {
        // Every host has its own address in 127/8. A socket bound to the unspecified address
        // receives the packets for all of them.
        let agents = udp::bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
        udp::set_receive_timeout(&agents, RECEIVE_TIMEOUT)?;
        let port = local_address(&agents)?.port();
        let packets = (0..FLOWS)
            .map(|flow| Ok(gue::encode(&segment(10_000 + flow, &[0; PAYLOAD_BYTES])?)))
            .collect::<Result<Vec<_>>>()?;
        Ok(Self {
            routing: Arc::new(ArcSwap::from_pointee(routing_table(hosts, port)?)),
            packets: Arc::new(packets),
            agents,
            relay_to: host_entry(0, 1, port)?.data_address,
        })
    }

    fn start_loop(&self, variant: Variant) -> Result<RunningLoop> {
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
        Ok(RunningLoop {
            address,
            stop,
            thread,
        })
    }

    /// Sends packets without a rate limit for [`LOAD_DURATION`] and measures the loop.
    fn measure_load(&self, variant: Variant) -> Result<Load> {
        let running = self.start_loop(variant)?;
        let done = Arc::new(AtomicBool::new(false));
        let start = Instant::now();
        let mut threads = Vec::new();
        for _ in 0..SENDERS {
            let (packets, done, to) = (self.packets.clone(), done.clone(), running.address);
            let socket = udp::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            threads.push(thread::spawn(move || {
                send_until_done(&socket, to, &packets, &done);
            }));
        }
        let agents = self.agents.try_clone().map_err(socket_error)?;
        let agents_done = done.clone();
        threads.push(thread::spawn(move || {
            discard_until_done(&agents, &agents_done);
        }));
        thread::sleep(LOAD_DURATION);
        done.store(true, Ordering::Relaxed);
        let time_s = start.elapsed().as_secs_f64();
        for thread in threads {
            let _ = thread.join();
        }
        let (packets, cpu_ns) = stop_loop(running)?;
        Ok(Load {
            packets_per_s: packets as f64 / time_s,
            cpu_ns_per_packet: cpu_ns / packets.max(1) as f64,
            busy_share: cpu_ns / 1e9 / time_s,
        })
    }

    /// Sends one packet at a time and measures the time until an agent receives it.
    fn measure_latency(&self, variant: Variant, pings: usize) -> Result<Histogram<u64>> {
        let running = self.start_loop(variant)?;
        let sender = udp::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let mut latency = Histogram::new_with_max(MAX_LATENCY_NS, 3).map_err(|error| {
            io(format!(
                "forward: cannot create the latency histogram: {error}"
            ))
        })?;
        let mut buffer = [0; udp::MAX_DATAGRAM_BYTES];
        // Discards packets that are still queued from the load rounds, which would be taken for the
        // first packets of this measurement.
        while self.agents.recv(&mut buffer).is_ok() {}
        for packet in self.packets.iter().cycle().take(pings) {
            let start = Instant::now();
            sender
                .send_to(packet, running.address)
                .map_err(socket_error)?;
            if self.agents.recv(&mut buffer).is_ok() {
                latency
                    .saturating_record(start.elapsed().as_nanos().try_into().unwrap_or(u64::MAX));
            }
        }
        stop_loop(running)?;
        Ok(latency)
    }
}

/// Stops a loop and returns the number of forwarded packets and the processor time in ns.
fn stop_loop(running: RunningLoop) -> Result<(u64, f64)> {
    running.stop.store(true, Ordering::Relaxed);
    let outcome = running.thread.join();
    outcome.map_err(|_| io("forward: the thread of the forwarding loop panicked"))
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

fn send_until_done(socket: &UdpSocket, to: SocketAddr, packets: &[Vec<u8>], done: &AtomicBool) {
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

fn discard_until_done(agents: &UdpSocket, done: &AtomicBool) {
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
    socket.local_addr().map_err(socket_error)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
fn socket_error(error: std::io::Error) -> cardamomloom_core::error::Error {
    io(format!("forward: a socket operation failed: {error}"))
}
