//! Cost of the agent's TCP termination, without sockets: memory of idle flows, connection rate and
//! throughput.

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

/// Numbers of flows; 8,000 is a full host with 4 slots of 2,000 connections.
const FLOW_COUNTS: [u32; 3] = [1_000, 8_000, 32_000];
const REQUEST_BYTES: usize = 256;
const ANSWER_CHUNK_BYTES: usize = 64 << 10;
/// Largest segment that the MTU of the agent allows.
const MSS_BYTES: u16 = 1_360;

impl Experiment for AgentFlows {
    fn name(&self) -> &'static str {
        "agent"
    }

    fn summary(&self) -> &'static str {
        "memory per idle flow, connection rate and throughput of the agent's state, compared with direct TCP"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let answer_bytes = if options.quick { 4 << 20 } else { 64 << 20 };
        let mut report = Report::new(self.name(), options);
        let mut points = [const { Vec::new() }; 3];
        for flows in FLOW_COUNTS {
            let [heap, resident, opened_per_s, bytes_per_s] = measure(flows, answer_bytes)?;
            let count = f64::from(flows);
            report.add_row(json!({
                "flows": flows, "heap_bytes_per_flow": heap / count,
                "resident_bytes_per_flow": resident / count, "opened_per_s": opened_per_s,
                "answer_mb_per_s": bytes_per_s / 1e6,
            }));
            points[0].push((count, heap));
            points[1].push((count, resident));
            points[2].push((count, 1e6 / opened_per_s));
        }
        let [opened_per_s, bytes_per_s] = measure_direct(answer_bytes)?;
        report.add_row(json!({
            "direct_opened_per_s": opened_per_s, "direct_answer_mb_per_s": bytes_per_s / 1e6,
        }));
        let names = ["heap_bytes", "resident_bytes", "open_us"];
        for (name, points) in names.iter().zip(&points) {
            report.add_slope(name, "flows", points);
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

/// In-memory I/O of the agent: stands in for the backend server and records what is sent to the
/// caller.
#[derive(Default)]
struct MemoryIo {
    connecting: Option<FlowId>,
    last_segment: Option<PacketMeta>,
    /// Entries as in the agent's map of connections, a file descriptor and a flag, so that the
    /// memory of that map is measured too.
    connections: HashMap<u64, (i32, bool)>,
    received_bytes: usize,
    /// Bytes of the answer that the agent has not read yet.
    unread_answer_bytes: usize,
}

impl AgentIo for MemoryIo {
    fn send_to_caller(&mut self, packet: &[u8]) {
        self.last_segment = packet::parse(packet).ok();
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
        let count = buffer.len().min(self.unread_answer_bytes);
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        buffer[..count].fill(7);
        self.unread_answer_bytes -= count;
        Ok(count)
    }

    fn shutdown_write(&mut self, _flow: FlowId) {}

    fn close(&mut self, flow: FlowId, _reset: bool) {
        self.connections.remove(&flow.0);
    }

    fn count_drop(&mut self, _cause: DropCause) {}
}

/// Agent with in-memory I/O and virtual time.
struct AgentUnderTest {
    agent: Agent,
    io: MemoryIo,
    now: Time,
}

/// Caller of one flow and its TCP state.
struct Caller {
    id: FlowId,
    address: SocketAddr,
    /// Next sequence number to send.
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

impl AgentUnderTest {
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

    /// Passes a segment of a caller to the agent; it is a SYN when `acknowledgement` is `None`.
    fn send_segment(
        &mut self,
        caller: &Caller,
        acknowledgement: Option<u32>,
        payload: &[u8],
    ) -> Result<()> {
        let SocketAddr::V4(from) = caller.address else {
            return Err(malformed("agent: the caller must have an IPv4 address"));
        };
        let builder =
            etherparse::PacketBuilder::ipv4(from.ip().octets(), service_address(1).octets(), 64)
                .tcp(from.port(), SERVICE_PORT, caller.sequence, u16::MAX);
        let failed = |error| malformed(format!("agent: cannot encode a segment: {error}"));
        let builder = match acknowledgement {
            Some(number) => builder.ack(number),
            None => builder
                .syn()
                .options(&[etherparse::TcpOptionElement::MaximumSegmentSize(MSS_BYTES)])
                .map_err(|error| malformed(format!("agent: cannot set the MSS option: {error}")))?,
        };
        let mut packet = Vec::with_capacity(builder.size(payload.len()));
        builder.write(&mut packet, payload).map_err(failed)?;
        self.now = Time(self.now.0 + 1);
        self.agent
            .on_packet(self.now, &header(), &packet, &mut self.io);
        Ok(())
    }

    /// Opens a flow and sends one request, after which the flow is established and idle.
    fn open_flow(&mut self, index: u32) -> Result<Caller> {
        let ip = Ipv4Addr::from_bits(Ipv4Addr::new(10, 0, 0, 0).to_bits() + index / 50_000);
        let port = u16::try_from(10_000 + index % 50_000).unwrap_or_default();
        let mut caller = Caller {
            id: FlowId::default(),
            address: SocketAddr::from((ip, port)),
            sequence: 1,
        };
        self.send_segment(&caller, None, &[])?;
        caller.id = self.io.connecting.take().ok_or_else(not_established)?;
        self.agent.on_connected(self.now, caller.id, &mut self.io);
        caller.sequence = 2;
        let acknowledgement = self.next_acknowledgement().ok_or_else(not_established)?;
        self.send_segment(&caller, Some(acknowledgement), &[5; REQUEST_BYTES])?;
        caller.sequence += u32::try_from(REQUEST_BYTES).unwrap_or_default();
        Ok(caller)
    }

    /// Returns the sequence number that the caller acknowledges: that after the agent's last
    /// segment.
    fn next_acknowledgement(&self) -> Option<u32> {
        let segment = self.io.last_segment?;
        Some(segment.sequence.wrapping_add(segment.sequence_length()))
    }

    /// Lets the backend server send an answer, and acknowledges segments until all of it has
    /// arrived.
    fn transfer_answer(&mut self, caller: &Caller, bytes: usize) -> Result<()> {
        self.io.unread_answer_bytes = bytes;
        while self.io.unread_answer_bytes > 0 {
            let previous_bytes = self.io.unread_answer_bytes;
            self.agent
                .on_server_ready(self.now, caller.id, &mut self.io);
            let acknowledgement = self.next_acknowledgement().ok_or_else(not_established)?;
            self.send_segment(caller, Some(acknowledgement), &[])?;
            if self.io.unread_answer_bytes == previous_bytes {
                return Err(io(format!(
                    "agent: the transfer of the answer stopped with {previous_bytes} of {bytes} bytes left"
                )));
            }
        }
        Ok(())
    }
}

fn not_established() -> cardamomloom_core::error::Error {
    io("agent: the agent did not establish the flow")
}

/// Returns the heap bytes and resident bytes of all idle flows, the flows opened per second, and
/// the bytes per second of an answer on one of the flows.
fn measure(flows: u32, answer_bytes: usize) -> Result<[f64; 4]> {
    let (heap, resident) = (heap_bytes(), resident_bytes());
    let mut agent = AgentUnderTest::new(flows);
    let start = Instant::now();
    let mut last_caller = None;
    for index in 0..flows {
        last_caller = Some(agent.open_flow(index)?);
    }
    let opened_per_s = f64::from(flows) / start.elapsed().as_secs_f64();
    let sent_bytes = flows as usize * REQUEST_BYTES;
    let received_bytes = agent.io.received_bytes;
    if received_bytes != sent_bytes {
        return Err(io(format!(
            "agent: the backend server received {received_bytes} of {sent_bytes} bytes of requests"
        )));
    }
    let (heap, resident) = (heap_bytes() - heap, resident_bytes() - resident);
    let last_caller = last_caller.ok_or_else(not_established)?;
    let start = Instant::now();
    agent.transfer_answer(&last_caller, answer_bytes)?;
    let bytes_per_s = answer_bytes as f64 / start.elapsed().as_secs_f64();
    Ok([heap, resident, opened_per_s, bytes_per_s])
}

/// Returns the connections per second, each with one request, and the bytes per second of an answer
/// on direct TCP connections over loopback.
fn measure_direct(answer_bytes: usize) -> Result<[f64; 2]> {
    const CONNECTIONS: u32 = 1_000;
    let failed =
        |error: std::io::Error| io(format!("agent: direct TCP connection failed: {error}"));
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
