//! Packet loop of a balancer: receives a batch of packets, routes each one and sends the batch.

use {
    super::refusals::{PublishedRefusals, Refusals},
    crate::freshness::Lease,
    arc_swap::ArcSwap,
    cardamomloom_coordination::balancer::{Route, route},
    cardamomloom_core::error::{Error, io},
    cardamomloom_protocol::{forward::DatagramKey, packet::DropCause},
    cardamomloom_state::routing::RoutingTable,
    cardamomloom_transport::{
        clock::MonotonicClock,
        udp::{self, DATAGRAMS_PER_BATCH, OutgoingDatagram, ReceiveBatch, ReceiveMode, SendBatch},
    },
    log::warn,
    metrics::Counter,
    std::{
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Result of starting the packet loop.
pub type Result<T> = std::result::Result<T, Error>;

/// Longest wait for a packet, after which the loop checks its stop flag.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

/// Metric counters of dropped packets, one per cause.
pub struct DropCounters(Vec<Counter>);

impl Default for DropCounters {
    fn default() -> Self {
        let counter = |cause: DropCause| metrics::counter!("cardamomloom_dropped_packets_total", "cause" => cause.label());
        Self(DropCause::ALL.into_iter().map(counter).collect())
    }
}

impl DropCounters {
    /// Adds `count` dropped packets to the counter of `cause`.
    pub fn add(&self, cause: DropCause, count: u64) {
        if let Some(counter) = self.0.get(cause as usize) {
            counter.increment(count);
        }
    }
}

/// Socket and shared state for [`forward_packets`].
pub struct PacketLoopOptions {
    /// Packet socket. It must have a receive timeout, after which the loop checks its stop flag;
    /// [`spawn`] sets one.
    pub socket: UdpSocket,
    /// Routing table, which the control thread replaces.
    pub routing: Arc<ArcSwap<RoutingTable>>,
    /// Time until which packets may be forwarded.
    pub lease: Lease,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Key of datagrams between processes.
    pub key: DatagramKey,
    /// Totals of new flows without a candidate, for the burn report.
    pub published_refusals: PublishedRefusals,
}

/// Starts the packet loop.
///
/// # Errors
///
/// Fails with kind `io` when the socket or the thread cannot be set up.
pub fn spawn(options: PacketLoopOptions, stop: Arc<AtomicBool>) -> Result<thread::JoinHandle<()>> {
    udp::set_receive_timeout(&options.socket, RECEIVE_TIMEOUT)?;
    thread::Builder::new()
        .name("packets".to_owned())
        .spawn(move || {
            forward_packets(options, &stop);
        })
        .map_err(|error| io(format!("packet loop: cannot start a thread: {error}")))
}

/// Forwards packets until `stop` is set and the socket is empty, and returns the number of packets
/// sent.
pub fn forward_packets(options: PacketLoopOptions, stop: &AtomicBool) -> u64 {
    let PacketLoopOptions {
        socket,
        routing,
        lease,
        clock,
        key,
        published_refusals,
    } = options;
    let mut total = 0;
    let forwarded = metrics::counter!("cardamomloom_forwarded_packets_total");
    let drops = DropCounters::default();
    let mut refusals = Refusals::new(published_refusals);
    let mut received = ReceiveBatch::default();
    let mut sender = SendBatch::default();
    loop {
        refusals.publish();
        match received.receive(&socket, ReceiveMode::WaitForOne) {
            // The loop ends only when the socket is empty, so that no packet is lost that the
            // fabric has already delivered.
            Ok(0) if stop.load(Ordering::Relaxed) => return total,
            Ok(0) => continue,
            Ok(_) => {}
            Err(error) => {
                warn!(event = "receive_failed"; "cannot receive packets: {error}");
                continue;
            }
        }
        let forward_until = lease.until();
        let table = routing.load();
        let mut routes: [Option<Route<'_>>; DATAGRAMS_PER_BATCH] =
            [const { None }; DATAGRAMS_PER_BATCH];
        let mut count = 0;
        for (datagram, _) in received.datagrams() {
            match route(&table, key, datagram) {
                Ok(route) => {
                    routes[count] = Some(route);
                    count += 1;
                }
                Err(cause) => {
                    drops.add(cause, 1);
                    if cause == DropCause::NoCandidate {
                        refusals.add(&table, datagram);
                    }
                }
            }
        }
        let outgoing: [OutgoingDatagram<'_>; DATAGRAMS_PER_BATCH] =
            std::array::from_fn(|index| to_outgoing(routes[index].as_ref()));
        // Checked directly before sending, so that a pause of the process up to here is detected.
        if clock.now() >= forward_until {
            drops.add(DropCause::Stale, count as u64);
            continue;
        }
        let sent = sender.send(&socket, &outgoing[..count]);
        forwarded.increment(sent as u64);
        total += sent as u64;
        drops.add(DropCause::SendFailed, (count - sent) as u64);
    }
}

fn to_outgoing<'a>(route: Option<&'a Route<'a>>) -> OutgoingDatagram<'a> {
    match route {
        Some(route) => OutgoingDatagram {
            to: route.to,
            prefix: &route.header,
            body: route.packet,
        },
        // Fills the positions after the last route, which are not sent.
        None => OutgoingDatagram {
            to: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            prefix: &[],
            body: &[],
        },
    }
}
