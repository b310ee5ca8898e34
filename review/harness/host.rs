//! A host: accepts flows, answers requests, and sends heartbeats to the node beside it.

use crate::{
    http::{self, Answer},
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
};
use std::{
    collections::HashMap,
    io::Result,
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// First interval between two transmissions of a packet; it doubles up to [`LAST_RETRY`].
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_millis(1_600);

/// Retransmissions after which a host gives up.
const MAX_RETRIES: u32 = 8;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// What a host is and where it runs.
#[derive(Clone)]
pub struct HostPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Where the host receives packets and health checks.
    pub app: SocketAddrV4,
    /// Where the host sends its packets.
    pub outbound: SocketAddrV4,
    /// Where the host sends its heartbeats.
    pub control_plane: SocketAddrV4,
    pub heartbeat: Duration,
}

/// What a host saw, for the rules.
#[derive(Default)]
pub struct Seen {
    /// Packets of each client end, with the time of each.
    pub packets: HashMap<SocketAddrV4, Vec<Instant>>,
    /// Arrival of the first SYN of each client end.
    pub openings: HashMap<SocketAddrV4, Instant>,
    /// Client ends whose flow is open here.
    pub open: HashMap<SocketAddrV4, bool>,
    /// Requests that ran, by the client end and the first line.
    pub runs: Vec<String>,
    /// Client ends to which the host sent a reset.
    pub resets: Vec<SocketAddrV4>,
    /// Packets that their sender did not write so.
    pub forged: usize,
}

/// A running host. It ends when it is dropped.
pub struct Host {
    pub plan: HostPlan,
    pub seen: Arc<Mutex<Seen>>,
    /// Time of the last heartbeat that was acknowledged.
    pub acknowledged: Arc<Mutex<Option<Instant>>>,
    /// Heartbeats that were refused.
    pub refused: Arc<AtomicU64>,
    is_running: Arc<AtomicBool>,
}

struct Sent {
    packet: Packet,
    next: Instant,
    interval: Duration,
    retries: u32,
}

struct Flow {
    isn: u32,
    expected: u32,
    next: u32,
    is_open: bool,
    is_ended: bool,
    unacknowledged: Option<Sent>,
    work: Option<(Instant, String)>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.is_running.store(false, Ordering::SeqCst);
    }
}

impl Host {
    /// Starts the host.
    pub fn start(plan: HostPlan, record: &Record) -> Result<Self> {
        let socket = UdpSocket::bind(plan.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        http::serve(TcpListener::bind(plan.app)?, |_| Answer {
            status: 200,
            headers: String::new(),
            body: "{}".into(),
        });
        let host = Self {
            seen: Arc::default(),
            acknowledged: Arc::default(),
            refused: Arc::default(),
            is_running: Arc::new(AtomicBool::new(true)),
            plan,
        };
        let loop_state = PacketLoop {
            plan: host.plan.clone(),
            socket,
            seen: host.seen.clone(),
            record: record.clone(),
            flows: HashMap::new(),
            random: u64::from(u32::from(*host.plan.app.ip())) ^ unix_ms(),
        };
        let is_running = host.is_running.clone();
        thread::spawn(move || loop_state.run(&is_running));
        host.send_heartbeats();
        Ok(host)
    }

    fn send_heartbeats(&self) {
        let (plan, is_running) = (self.plan.clone(), self.is_running.clone());
        let (acknowledged, refused) = (self.acknowledged.clone(), self.refused.clone());
        let born = unix_ms();
        thread::spawn(move || {
            let mut seq = 0;
            while is_running.load(Ordering::SeqCst) {
                seq += 1;
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"slots\":4,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":{seq},\
                     \"born\":{born}}}",
                    plan.service, plan.app, plan.zone
                );
                let path = format!("/cardamomloom/instances/{}", plan.id);
                match http::call(plan.control_plane, "PUT", &path, &body) {
                    200..300 => {
                        *acknowledged.lock().expect("no panics") = Some(Instant::now());
                    }
                    0 => {}
                    _ => {
                        refused.fetch_add(1, Ordering::SeqCst);
                    }
                }
                thread::sleep(plan.heartbeat);
            }
        });
    }
}

struct PacketLoop {
    plan: HostPlan,
    socket: UdpSocket,
    seen: Arc<Mutex<Seen>>,
    record: Record,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    random: u64,
}

impl PacketLoop {
    fn run(mut self, is_running: &AtomicBool) {
        let mut buffer = [0; 2_048];
        while is_running.load(Ordering::SeqCst) {
            // A time-out only lets the timers run.
            if let Ok(length) = self.socket.recv(&mut buffer) {
                if let Some(packet) = Packet::decode(&buffer[..length]) {
                    self.on_packet(&packet, &buffer[..length]);
                } else {
                    self.forged("malformed");
                }
            }
            self.on_timer();
        }
    }

    fn forged(&self, what: &str) {
        self.seen.lock().expect("no panics").forged += 1;
        self.record
            .line(&format!("{} got a forged packet: {what}", self.plan.id));
    }

    fn send(&self, bytes: &[u8]) {
        // A packet that cannot be sent is lost, as on a network.
        let _ = self.socket.send_to(bytes, self.plan.outbound);
    }

    fn on_packet(&mut self, packet: &Packet, bytes: &[u8]) {
        if !packet.is_genuine() || packet.has(BOUNCED) || packet.has(SYN | ACK) {
            self.forged(&format!("{packet:?}"));
            return;
        }
        let now = Instant::now();
        let client = packet.src;
        let mut seen = self.seen.lock().expect("no panics");
        seen.packets.entry(client).or_default().push(now);
        if packet.has(SYN) {
            seen.openings.entry(client).or_insert(now);
        }
        drop(seen);
        let key = (packet.src, packet.dst);
        if packet.has(SYN) {
            self.on_syn(key, packet);
            return;
        }
        let holds = self.flows.get(&key).is_some_and(|flow| {
            flow.is_open || flow.is_ended || packet.ack == flow.isn.wrapping_add(1)
        });
        if !holds {
            let mut returned = bytes.to_vec();
            returned[4] |= BOUNCED;
            returned[5] = 0;
            self.send(&returned);
            return;
        }
        let answers = self.on_flow_packet(now, key, packet);
        for answer in answers {
            self.send(&answer.encode());
        }
    }

    fn on_syn(&mut self, key: (SocketAddrV4, SocketAddrV4), packet: &Packet) {
        let isn = self.next_random();
        let flow = self.flows.entry(key).or_insert(Flow {
            isn,
            expected: packet.next_seq(),
            next: isn.wrapping_add(1),
            is_open: false,
            is_ended: false,
            unacknowledged: None,
            work: None,
        });
        if !flow.is_open && !flow.is_ended {
            let numbers = (flow.isn, flow.expected);
            let answer = Packet::new(key.1, key.0, SYN | ACK, numbers, &[]);
            self.send(&answer.encode());
        }
    }

    fn on_flow_packet(
        &mut self,
        now: Instant,
        key: (SocketAddrV4, SocketAddrV4),
        packet: &Packet,
    ) -> Vec<Packet> {
        let flow = self.flows.get_mut(&key).expect("the caller found it");
        if flow.is_ended {
            let numbers = (flow.next, packet.next_seq());
            return if packet.has(FIN) {
                vec![Packet::new(key.1, key.0, ACK, numbers, &[])]
            } else if packet.data.is_empty() {
                Vec::new()
            } else {
                self.seen.lock().expect("no panics").resets.push(key.0);
                vec![Packet::new(key.1, key.0, RST, (flow.next, 0), &[])]
            };
        }
        if !flow.is_open {
            flow.is_open = true;
            self.seen
                .lock()
                .expect("no panics")
                .open
                .insert(key.0, true);
            let line = format!("{} opened the flow of {}", self.plan.id, key.0);
            self.record.line(&line);
        }
        if let Some(sent) = &flow.unacknowledged
            && packet.ack == sent.packet.next_seq()
        {
            flow.unacknowledged = None;
        }
        if packet.has(RST) || packet.has(FIN) {
            flow.is_ended = true;
            flow.unacknowledged = None;
            self.seen
                .lock()
                .expect("no panics")
                .open
                .insert(key.0, false);
            if packet.has(RST) {
                return Vec::new();
            }
            let numbers = (flow.next, packet.next_seq());
            flow.next = flow.next.wrapping_add(1);
            return vec![Packet::new(key.1, key.0, ACK | FIN, numbers, &[])];
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        if packet.seq == flow.expected {
            flow.expected = packet.next_seq();
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let line = text.lines().next().unwrap_or_default().to_owned();
            let run = format!("{} ran {line} of {}", self.plan.id, key.0);
            self.record.line(&run);
            self.seen.lock().expect("no panics").runs.push(run);
            flow.work = Some((now + WORK, line));
        }
        vec![Packet::new(
            key.1,
            key.0,
            ACK,
            (flow.next, flow.expected),
            &[],
        )]
    }

    fn on_timer(&mut self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        for ((client, service), flow) in &mut self.flows {
            if let Some((_, line)) = flow.work.take_if(|(end, _)| *end <= now) {
                let body = format!("{{\"host\":\"{}\",\"of\":\"{line}\"}}", self.plan.id);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Response-Signature: s\r\n\r\n{body}",
                    body.len()
                );
                let numbers = (flow.next, flow.expected);
                let packet = Packet::new(*service, *client, ACK, numbers, answer.as_bytes());
                flow.next = packet.next_seq();
                flow.unacknowledged = Some(Sent {
                    packet,
                    next: now,
                    interval: FIRST_RETRY,
                    retries: 0,
                });
            }
            if let Some(sent) = &mut flow.unacknowledged
                && sent.next <= now
            {
                if sent.retries > MAX_RETRIES {
                    flow.unacknowledged = None;
                    continue;
                }
                packets.push(sent.packet.encode());
                sent.next = now + sent.interval;
                sent.interval = (sent.interval * 2).min(LAST_RETRY);
                sent.retries += 1;
            }
        }
        for packet in packets {
            self.send(&packet);
        }
    }

    fn next_random(&mut self) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        u32::try_from(self.random >> 32).expect("32 bits")
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0)
}
