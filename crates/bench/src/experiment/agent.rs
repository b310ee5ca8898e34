//! Cost of the agent's state: memory of idle flows, connection rate and throughput.

use {
    super::{
        Experiment, Result, RunOptions,
        fixture::{SERVICE_PORT, service_address},
        memory::{heap_bytes, resident_bytes},
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_coordination::{
        admission::FixedLimit,
        agent::{Agent, AgentIo},
        ownership::{FlowId, Hop, Ownership, OwnershipOptions},
        termination::TerminationOptions,
    },
    cardamomloom_core::{
        BucketId, HostId, ServiceId, TableVersion, Time,
        error::{io, malformed},
    },
    cardamomloom_protocol::{
        forward::{ForwardHeader, Visited},
        packet::{self, DropCause, PacketMeta},
    },
    serde_json::json,
    std::{
        collections::HashMap,
        io::{ErrorKind, Read, Result as IoResult, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        thread,
        time::Instant,
    },
};

/// The experiment `agent`.
pub struct AgentFlows;

/// The middle size is a full host: 4 slots of 2,000 connections.
const FLOWS: [u32; 3] = [1_000, 8_000, 32_000];
const REQUEST_BYTES: usize = 256;
const ANSWER_CHUNK_BYTES: usize = 64 << 10;
/// Largest segment that fits the MTU of the agent.
const MSS_BYTES: u16 = 1_360;

impl Experiment for AgentFlows {
    fn name(&self) -> &'static str {
        "agent"
    }

    fn summary(&self) -> &'static str {
        "memory per idle flow, connection rate and throughput of the agent's state beside direct TCP"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let answer_bytes = if options.quick { 4 << 20 } else { 64 << 20 };
        let mut report = Report::new(self.name(), options);
        let mut points = [const { Vec::new() }; 3];
        for flows in FLOWS {
            let [heap, resident, opened_per_s, bytes_per_s] = measure(flows, answer_bytes)?;
            let count = f64::from(flows);
            report.row(json!({
                "flows": flows, "heap_bytes_per_flow": heap / count,
                "resident_bytes_per_flow": resident / count, "opened_per_s": opened_per_s,
                "answer_mb_per_s": bytes_per_s / 1e6,
            }));
            points[0].push((count, heap));
            points[1].push((count, resident));
            points[2].push((count, 1e6 / opened_per_s));
        }
        let [opened_per_s, bytes_per_s] = measure_direct(answer_bytes)?;
        report.row(json!({
            "direct_opened_per_s": opened_per_s, "direct_answer_mb_per_s": bytes_per_s / 1e6,
        }));
        let names = ["heap_bytes", "resident_bytes", "open_us"];
        for (name, points) in names.iter().zip(&points) {
            report.slope(name, "flows", points);
        }
        let [heap, resident, _] = points;
        let axes = Axes {
            title: "Memory of idle flows in the agent",
            x: "flows",
            y: "bytes",
        };
        let lines = [("heap", heap), ("resident", resident)].map(|(name, points)| Series {
            name: name.to_owned(),
            points,
        });
        report.set_plot(line_plot(axes, &lines)?);
        Ok(report)
    }
}

/// Backend server in memory and the caller's side of the packets.
#[derive(Default)]
struct MemoryIo {
    connecting: Option<FlowId>,
    last_answer: Option<PacketMeta>,
    /// Same shape as the entries of the agent's connections: a descriptor and a flag.
    connections: HashMap<u64, (i32, bool)>,
    received_bytes: usize,
    answer_bytes: usize,
}

impl AgentIo for MemoryIo {
    fn send_to_caller(&mut self, packet: &[u8]) {
        self.last_answer = packet::parse(packet).ok();
    }

    fn forward(&mut self, _hop: &Hop, _packet: &[u8]) {}

    fn connect(&mut self, flow: FlowId) -> IoResult<()> {
        self.connecting = Some(flow);
        self.connections.insert(flow.0, (0, false));
        Ok(())
    }

    fn write(&mut self, _flow: FlowId, bytes: &[u8]) -> IoResult<usize> {
        self.received_bytes += bytes.len();
        Ok(bytes.len())
    }

    fn read(&mut self, _flow: FlowId, buffer: &mut [u8]) -> IoResult<usize> {
        let count = buffer.len().min(self.answer_bytes);
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        buffer[..count].fill(7);
        self.answer_bytes -= count;
        Ok(count)
    }

    fn shutdown_write(&mut self, _flow: FlowId) {}

    fn close(&mut self, flow: FlowId, _reset: bool) {
        self.connections.remove(&flow.0);
    }

    fn count_drop(&mut self, _cause: DropCause) {}
}

/// An agent with the caller's side of its flows.
struct Subject {
    agent: Agent,
    io: MemoryIo,
    now: Time,
}

/// The caller's side of one flow.
struct Caller {
    id: FlowId,
    address: SocketAddr,
    sequence: u32,
}

fn header() -> ForwardHeader {
    ForwardHeader {
        service: ServiceId(1),
        table: TableVersion(1),
        bucket: BucketId(0),
        hops: 0,
        visited: Visited::default(),
    }
}

impl Subject {
    fn new(flows: u32) -> Self {
        let mut ownership = Ownership::new(HostId(1), ServiceId(1), OwnershipOptions::default());
        ownership.set_addresses(vec![SocketAddr::from((service_address(1), SERVICE_PORT))]);
        let admission = Box::new(FixedLimit::new(flows));
        Self {
            agent: Agent::new(ownership, admission, TerminationOptions::default(), 1),
            io: MemoryIo::default(),
            now: Time::from_millis(1),
        }
    }

    /// Sends a segment of a caller; `acknowledgement` is `None` for the opening one.
    fn send(
        &mut self,
        caller: &Caller,
        acknowledgement: Option<u32>,
        payload: &[u8],
    ) -> Result<()> {
        let SocketAddr::V4(from) = caller.address else {
            return Err(malformed("agent: callers have IPv4 addresses"));
        };
        let builder =
            etherparse::PacketBuilder::ipv4(from.ip().octets(), service_address(1).octets(), 64)
                .tcp(from.port(), SERVICE_PORT, caller.sequence, u16::MAX);
        let failed = |error| malformed(format!("agent: {error}"));
        let builder = match acknowledgement {
            Some(number) => builder.ack(number),
            None => builder
                .syn()
                .options(&[etherparse::TcpOptionElement::MaximumSegmentSize(MSS_BYTES)])
                .map_err(|error| malformed(format!("agent: {error}")))?,
        };
        let mut packet = Vec::with_capacity(builder.size(payload.len()));
        builder.write(&mut packet, payload).map_err(failed)?;
        self.now = Time(self.now.0 + 1);
        self.agent
            .on_packet(self.now, &header(), &packet, &mut self.io);
        Ok(())
    }

    /// Opens a flow with one request, which leaves it established and idle.
    fn open(&mut self, index: u32) -> Result<Caller> {
        let ip = Ipv4Addr::from_bits(Ipv4Addr::new(10, 0, 0, 0).to_bits() + index / 50_000);
        let port = u16::try_from(10_000 + index % 50_000).unwrap_or_default();
        let mut caller = Caller {
            id: FlowId::default(),
            address: SocketAddr::from((ip, port)),
            sequence: 1,
        };
        self.send(&caller, None, &[])?;
        caller.id = self.io.connecting.take().ok_or_else(not_opened)?;
        self.agent.on_connected(self.now, caller.id, &mut self.io);
        caller.sequence = 2;
        let acknowledgement = self.next_expected().ok_or_else(not_opened)?;
        self.send(&caller, Some(acknowledgement), &[5; REQUEST_BYTES])?;
        caller.sequence += u32::try_from(REQUEST_BYTES).unwrap_or_default();
        Ok(caller)
    }

    /// Returns the sequence number after the last segment from the agent.
    fn next_expected(&self) -> Option<u32> {
        let answer = self.io.last_answer?;
        Some(answer.sequence.wrapping_add(answer.sequence_length()))
    }

    /// Lets the backend server answer and acknowledges until all of it has arrived.
    fn answer(&mut self, caller: &Caller, bytes: usize) -> Result<()> {
        self.io.answer_bytes = bytes;
        while self.io.answer_bytes > 0 {
            let left = self.io.answer_bytes;
            self.agent
                .on_server_ready(self.now, caller.id, &mut self.io);
            let acknowledgement = self.next_expected().ok_or_else(not_opened)?;
            self.send(caller, Some(acknowledgement), &[])?;
            if self.io.answer_bytes == left {
                return Err(io("agent: the answer makes no progress"));
            }
        }
        Ok(())
    }
}

fn not_opened() -> cardamomloom_core::error::Error {
    io("agent: the flow was not opened")
}

/// Returns heap and resident bytes of the idle flows, flows opened per second, and answer bytes
/// per second of one flow among them.
fn measure(flows: u32, answer_bytes: usize) -> Result<[f64; 4]> {
    let (heap, resident) = (heap_bytes(), resident_bytes());
    let mut subject = Subject::new(flows);
    let start = Instant::now();
    let mut last = None;
    for index in 0..flows {
        last = Some(subject.open(index)?);
    }
    let opened_per_s = f64::from(flows) / start.elapsed().as_secs_f64();
    if subject.io.received_bytes != flows as usize * REQUEST_BYTES {
        return Err(io("agent: a request did not reach the backend server"));
    }
    let (heap, resident) = (heap_bytes() - heap, resident_bytes() - resident);
    let last = last.ok_or_else(not_opened)?;
    let start = Instant::now();
    subject.answer(&last, answer_bytes)?;
    let bytes_per_s = answer_bytes as f64 / start.elapsed().as_secs_f64();
    Ok([heap, resident, opened_per_s, bytes_per_s])
}

/// Returns connections per second and answer bytes per second of direct connections on loopback.
fn measure_direct(answer_bytes: usize) -> Result<[f64; 2]> {
    const CONNECTIONS: u32 = 1_000;
    let failed = |error: std::io::Error| io(format!("agent: direct connection: {error}"));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let start = Instant::now();
    let mut request = [5; REQUEST_BYTES];
    for _ in 0..CONNECTIONS {
        let mut caller = TcpStream::connect(address).map_err(failed)?;
        let (mut server, _) = listener.accept().map_err(failed)?;
        caller.write_all(&request).map_err(failed)?;
        server.read_exact(&mut request).map_err(failed)?;
    }
    let opened_per_s = f64::from(CONNECTIONS) / start.elapsed().as_secs_f64();
    let mut caller = TcpStream::connect(address).map_err(failed)?;
    let (mut server, _) = listener.accept().map_err(failed)?;
    let start = Instant::now();
    let writer = thread::spawn(move || {
        let chunk = vec![7; ANSWER_CHUNK_BYTES];
        (0..answer_bytes / ANSWER_CHUNK_BYTES).try_for_each(|_| server.write_all(&chunk))
    });
    let mut buffer = vec![0; ANSWER_CHUNK_BYTES];
    while caller.read(&mut buffer).map_err(failed)? > 0 {}
    let bytes_per_s = answer_bytes as f64 / start.elapsed().as_secs_f64();
    let _ = writer.join();
    Ok([opened_per_s, bytes_per_s])
}
