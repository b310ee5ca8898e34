//! Clients and the platform's routers.

use crate::{
    http,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
};
use std::{
    io::Result,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Distance of the `seq` of a reset of the system from the client's last `ack`, at most.
const RESET_WINDOW: u32 = 76_800;

/// Times after the first SYN at which copies are sent, and the time at which the client gives up.
const SYN_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
const SYN_END: Duration = Duration::from_millis(1_400);

/// Routers of the platform: they send each packet to a node in rotation, by the hash of the flow.
pub struct Routers {
    nodes: Vec<(SocketAddrV4, SocketAddrV4)>,
    misses: Mutex<Vec<u32>>,
}

impl Routers {
    /// Starts the probes of the nodes, each with its address for data and for readiness.
    pub fn start(nodes: Vec<(SocketAddrV4, SocketAddrV4)>, record: &Record) -> Arc<Self> {
        let routers = Arc::new(Self {
            misses: Mutex::new(vec![2; nodes.len()]),
            nodes,
        });
        for (index, (_, readiness)) in routers.nodes.clone().into_iter().enumerate() {
            let (routers, record) = (routers.clone(), record.clone());
            thread::spawn(move || {
                loop {
                    let status = http::call(readiness, "GET", "/cardamomloom/readyz", "");
                    let mut misses = routers.misses.lock().expect("no panics");
                    let was_in = misses[index] < 2;
                    misses[index] = if status == 200 { 0 } else { misses[index] + 1 };
                    let is_in = misses[index] < 2;
                    drop(misses);
                    if was_in != is_in {
                        record.line(&format!("routers: node {index} in rotation: {is_in}"));
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        routers
    }

    /// Returns the number of nodes in rotation.
    pub fn in_rotation(&self) -> usize {
        let misses = self.misses.lock().expect("no panics");
        misses.iter().filter(|misses| **misses < 2).count()
    }

    /// Returns the node for a flow. When fewer than half are in rotation, all are used.
    fn node(&self, src: SocketAddrV4, dst: SocketAddrV4) -> SocketAddrV4 {
        let misses = self.misses.lock().expect("no panics");
        let mut used: Vec<SocketAddrV4> = self
            .nodes
            .iter()
            .zip(misses.iter())
            .filter(|(_, misses)| **misses < 2)
            .map(|((data, _), _)| *data)
            .collect();
        if used.len() * 2 < self.nodes.len() {
            used = self.nodes.iter().map(|(data, _)| *data).collect();
        }
        let mut hash = u64::from(u32::from(*src.ip())) << 16 | u64::from(src.port());
        hash ^= (u64::from(u32::from(*dst.ip())) << 16 | u64::from(dst.port())).rotate_left(17);
        hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let index = usize::try_from(hash).expect("64 bits") % used.len();
        used[index]
    }
}

/// Gives each flow a client address of its own.
pub struct Clients {
    network: u8,
    data_port: u16,
    routers: Arc<Routers>,
    record: Record,
    last: AtomicU32,
}

/// How an attempt to open a flow or a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The flow is open.
    Opened,
    /// The answer to the request came, with this text.
    Answered(String),
    /// The system reset the flow.
    Reset,
    /// The host reset the flow.
    HostReset,
    /// No answer came in time.
    Silence,
}

impl Clients {
    pub fn new(network: u8, data_port: u16, routers: Arc<Routers>, record: &Record) -> Self {
        Self {
            network,
            data_port,
            routers,
            record: record.clone(),
            last: AtomicU32::new(0),
        }
    }

    /// Returns a new client end for a flow to a route.
    pub fn flow(&self, route: SocketAddrV4) -> Result<Flow> {
        let number = self.last.fetch_add(1, Ordering::SeqCst);
        let [_, high, middle, low] = (number * 2 + 2).to_be_bytes();
        let ip = Ipv4Addr::new(127, self.network, 100 + middle + high, low);
        let socket = UdpSocket::bind((ip, self.data_port))?;
        let port = 1_024 + u16::try_from(number % 60_000).expect("16 bits");
        Ok(Flow {
            socket,
            client: SocketAddrV4::new(ip, port),
            route,
            routers: self.routers.clone(),
            record: self.record.clone(),
            seq: number.wrapping_mul(0x9e37_79b9),
            ack: 0,
            request: 0,
        })
    }
}

/// Client end of a flow.
pub struct Flow {
    socket: UdpSocket,
    pub client: SocketAddrV4,
    route: SocketAddrV4,
    routers: Arc<Routers>,
    record: Record,
    seq: u32,
    ack: u32,
    request: u32,
}

impl Flow {
    /// Opens the flow.
    pub fn open(&mut self) -> Outcome {
        let started = Instant::now();
        for copies in 0..SYN_TIMES.len() {
            let number = u32::try_from(copies).expect("three copies");
            self.send(SYN, self.seq, number, &[]);
            let end = SYN_TIMES.get(copies + 1).copied().unwrap_or(SYN_END);
            while let Some(packet) = self.receive(started + end) {
                if packet.has(RST) {
                    self.log("opening was reset");
                    return self.reset_of(&packet);
                }
                if packet.has(SYN | ACK) {
                    self.seq = self.seq.wrapping_add(1);
                    self.ack = packet.next_seq();
                    self.send(ACK, self.seq, self.ack, &[]);
                    return Outcome::Opened;
                }
            }
        }
        self.log("opening was not answered");
        Outcome::Silence
    }

    /// Sends a request on the open flow and waits for its answer.
    pub fn request(&mut self, method: &str, path: &str, deadline: Duration) -> Outcome {
        self.request += 1;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}-{}\r\n\r\n",
            self.route.ip(),
            self.client,
            self.request
        );
        let end = Instant::now() + deadline;
        let mut interval = Duration::from_millis(200);
        let sent_seq = self.seq;
        self.seq = self
            .seq
            .wrapping_add(u32::try_from(text.len()).expect("short requests"));
        let mut is_acknowledged = false;
        self.log(&format!("sends {method} {path}"));
        while Instant::now() < end {
            if !is_acknowledged {
                self.send(ACK, sent_seq, self.ack, text.as_bytes());
            }
            let next = (Instant::now() + interval).min(end);
            interval = (interval * 2).min(Duration::from_millis(1_600));
            while let Some(packet) = self.receive(next) {
                if packet.has(RST) {
                    let outcome = self.reset_of(&packet);
                    self.log(&format!("request {path}: {outcome:?}"));
                    return outcome;
                }
                is_acknowledged |= packet.has(ACK) && packet.ack == self.seq;
                if packet.seq == self.ack && !packet.data.is_empty() {
                    self.ack = packet.next_seq();
                    self.send(ACK, self.seq, self.ack, &[]);
                    let answer = String::from_utf8_lossy(&packet.data).into_owned();
                    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
                    self.log(&format!("request {path}: answered {body}"));
                    return Outcome::Answered(body.into());
                }
            }
        }
        self.log(&format!("request {path}: no answer"));
        Outcome::Silence
    }

    /// Ends the flow.
    pub fn close(&mut self) {
        self.send(ACK | FIN, self.seq, self.ack, &[]);
        let end = Instant::now() + Duration::from_millis(150);
        while let Some(packet) = self.receive(end) {
            if packet.has(FIN) {
                self.seq = self.seq.wrapping_add(1);
                self.send(ACK, self.seq, packet.next_seq(), &[]);
                return;
            }
        }
    }

    fn log(&self, text: &str) {
        self.record.line(&format!("client {}: {text}", self.client));
    }

    fn send(&self, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(self.client, self.route, flags, (seq, ack), data);
        let node = self.routers.node(self.client, self.route);
        // A packet that cannot be sent is lost, as on a network.
        let _ = self.socket.send_to(&packet.encode(), node);
    }

    fn receive(&self, end: Instant) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.socket
                .set_read_timeout(Some(left))
                .expect("the time is not zero");
            let Ok(length) = self.socket.recv(&mut buffer) else {
                continue;
            };
            if let Some(packet) = Packet::decode(&buffer[..length])
                && packet.dst == self.client
                && packet.src == self.route
            {
                return Some(packet);
            }
        }
    }

    /// Tells whose reset it is. One of the system has no sum.
    fn reset_of(&self, packet: &Packet) -> Outcome {
        let is_near =
            packet.seq.wrapping_sub(self.ack).wrapping_add(RESET_WINDOW) <= 2 * RESET_WINDOW;
        if packet.sum == 0 && (is_near || self.ack == 0) {
            Outcome::Reset
        } else {
            Outcome::HostReset
        }
    }
}
