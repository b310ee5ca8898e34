//! Tests of the agent's TCP termination against a caller with its own TCP stack, over IPv4 and
//! IPv6.

use {
    cardamomloom_coordination::{
        admission::FixedLimit,
        agent::{Agent, AgentIo},
        ownership::{FlowId, Hop, Ownership, OwnershipOptions},
        termination::{TerminationOptions, device::PacketDevice},
    },
    cardamomloom_core::{BucketId, HostId, ServiceId, Span, TableVersion, Time},
    cardamomloom_protocol::{
        forward::{ForwardHeader, Visited},
        packet::DropCause,
    },
    smoltcp::{
        iface::{Config, Interface, SocketHandle, SocketSet},
        socket::tcp,
        time::Instant,
        wire::{HardwareAddress, IpAddress, IpCidr},
    },
    std::{
        io::{Error, ErrorKind, Result},
        net::SocketAddr,
    },
};

const MTU_BYTES: usize = 1_400;

/// Echo server behind the agent; it also records the packets and calls of the agent.
#[derive(Default)]
struct EchoServer {
    /// Packets for the caller that have not been delivered.
    to_caller: Vec<Vec<u8>>,
    /// Received bytes that have not been echoed.
    pending: Vec<u8>,
    /// Flow whose connection to the server is pending.
    connecting: Option<FlowId>,
    /// Whether the agent has shut down the write direction.
    write_ended: bool,
    closed: bool,
    reset: bool,
    dropped: Vec<DropCause>,
}

impl AgentIo for EchoServer {
    fn send_to_caller(&mut self, packet: &[u8]) {
        self.to_caller.push(packet.to_vec());
    }

    fn forward(&mut self, _hop: &Hop, _packet: &[u8]) {}

    fn connect(&mut self, flow: FlowId) -> Result<()> {
        self.connecting = Some(flow);
        Ok(())
    }

    fn write(&mut self, _flow: FlowId, bytes: &[u8]) -> Result<usize> {
        self.pending.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn read(&mut self, _flow: FlowId, buffer: &mut [u8]) -> Result<usize> {
        let count = self.pending.len().min(buffer.len());
        if count == 0 && !self.write_ended {
            return Err(Error::from(ErrorKind::WouldBlock));
        }
        buffer[..count].copy_from_slice(&self.pending[..count]);
        self.pending.drain(..count);
        Ok(count)
    }

    fn shutdown_write(&mut self, _flow: FlowId) {
        self.write_ended = true;
    }

    fn close(&mut self, _flow: FlowId, reset: bool) {
        self.closed = true;
        self.reset |= reset;
    }

    fn count_drop(&mut self, cause: DropCause) {
        self.dropped.push(cause);
    }
}

struct Caller {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
}

impl Caller {
    /// Creates a caller that opens a flow; `seed` determines its initial sequence number.
    fn connect(from: SocketAddr, to: SocketAddr, seed: u64) -> Self {
        let mut discard = |_: &[u8]| {};
        let mut device = PacketDevice::new(None, &mut discard, MTU_BYTES);
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, Instant::ZERO);
        let address = IpAddress::from(from.ip());
        let prefix_bits = if from.is_ipv4() { 32 } else { 128 };
        interface.update_ip_addrs(|addresses| {
            addresses
                .push(IpCidr::new(address, prefix_bits))
                .expect("the address list is empty");
        });
        match address {
            IpAddress::Ipv4(gateway) => {
                let _ = interface.routes_mut().add_default_ipv4_route(gateway);
            }
            IpAddress::Ipv6(gateway) => {
                let _ = interface.routes_mut().add_default_ipv6_route(gateway);
            }
        }
        let buffer = || tcp::SocketBuffer::new(vec![0; 16_384]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket
            .connect(interface.context(), to, from)
            .expect("valid addresses");
        let mut sockets = SocketSet::new(Vec::new());
        let handle = sockets.add(socket);
        Self {
            interface,
            sockets,
            handle,
        }
    }

    fn socket(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    fn poll(&mut self, now: Time, packet: Option<&[u8]>) -> Vec<Vec<u8>> {
        let mut sent = Vec::new();
        let mut sink = |bytes: &[u8]| sent.push(bytes.to_vec());
        let mut device = PacketDevice::new(packet, &mut sink, MTU_BYTES);
        let now = Instant::from_micros(i64::try_from(now.0).expect("small times"));
        self.interface.poll(now, &mut device, &mut self.sockets);
        sent
    }
}

/// A caller, an agent and its echo server, with virtual time.
struct Network {
    agent: Agent,
    server: EchoServer,
    caller: Caller,
    now: Time,
    /// Every n-th packet of the caller is lost; 0 loses none.
    lose_every: usize,
    /// Number of packets that the caller sent.
    packets: usize,
}

impl Network {
    fn new(caller: &str, service: &str, lose_every: usize) -> Self {
        let (caller, service) = (
            caller.parse().expect("valid address"),
            service.parse().expect("valid address"),
        );
        let mut ownership = Ownership::new(HostId(1), ServiceId(1), OwnershipOptions::default());
        ownership.set_addresses(vec![service]);
        let agent = Agent::new(
            ownership,
            Box::new(FixedLimit::new(10)),
            TerminationOptions::default(),
            3,
        );
        Self {
            agent,
            server: EchoServer::default(),
            caller: Caller::connect(caller, service, 7),
            now: Time::ZERO,
            lose_every,
            packets: 0,
        }
    }

    /// Delivers packets and runs timers for a span of virtual time, in steps of 5 ms.
    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            let mut sent = self.caller.poll(self.now, None);
            for packet in std::mem::take(&mut self.server.to_caller) {
                sent.extend(self.caller.poll(self.now, Some(&packet)));
            }
            for packet in sent {
                self.packets += 1;
                let is_lost = self.lose_every > 0 && self.packets.is_multiple_of(self.lose_every);
                if !is_lost {
                    self.agent
                        .on_packet(self.now, &header(), &packet, &mut self.server);
                }
            }
            if let Some(flow) = self.server.connecting.take() {
                self.agent.on_connected(self.now, flow, &mut self.server);
            }
            self.agent.on_timer(self.now, &mut self.server);
            self.now = self.now + Span::from_millis(5);
        }
    }

    /// Replaces the caller by one that opens a new flow with the same 5-tuple.
    fn restart_caller(&mut self) {
        self.server.to_caller.clear();
        let (caller, service) = (
            "198.51.100.1:40000".parse().expect("valid address"),
            "203.0.113.1:80".parse().expect("valid address"),
        );
        self.caller = Caller::connect(caller, service, 8);
    }

    /// Sends `bytes` from the caller and returns the bytes that the server echoed.
    fn exchange(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut received = Vec::new();
        let mut rest = bytes;
        for _ in 0..4_000 {
            if self.caller.socket().can_send() {
                let count = self.caller.socket().send_slice(rest).expect("can send");
                rest = &rest[count..];
            }
            self.run(Span::from_millis(20));
            let socket = self.caller.socket();
            while socket.can_recv() {
                socket
                    .recv(|part| {
                        received.extend_from_slice(part);
                        (part.len(), ())
                    })
                    .expect("can receive");
            }
            if received.len() >= bytes.len() {
                break;
            }
        }
        received
    }
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

fn pattern(length: usize) -> Vec<u8> {
    (0..=u8::MAX).cycle().take(length).collect()
}

/// Guards against bytes that are lost, repeated or reordered between caller and server.
#[test]
fn verify_bytes_pass_unchanged_over_both_ip_versions() {
    for (caller, service) in [
        ("198.51.100.1:40000", "203.0.113.1:80"),
        ("[2001:db8::1]:40000", "[2001:db8:1::1]:80"),
    ] {
        let mut network = Network::new(caller, service, 0);
        assert_eq!(network.exchange(&pattern(100_000)), pattern(100_000));
        assert_eq!(network.server.dropped, []);
    }
}

/// Guards against a flow that does not recover from lost packets.
#[test]
fn verify_bytes_pass_unchanged_under_loss() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 7);
    assert_eq!(network.exchange(&pattern(20_000)), pattern(20_000));
}

/// Guards against an end of stream that is not forwarded, or that loses the bytes before it.
#[test]
fn verify_half_close_is_forwarded_after_all_bytes() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    assert_eq!(network.exchange(b"last words"), b"last words");
    network.caller.socket().close();
    network.run(Span::from_secs(20));
    assert!(network.server.write_ended && network.server.closed && !network.server.reset);
    assert_eq!(network.agent.flow_count(), 0);
    assert_eq!(network.agent.admission_mut().open_connections(), 0);
}

/// Guards against a reset by the caller that leaves the connection to the server open.
#[test]
fn verify_reset_by_the_caller_resets_the_server() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    assert_eq!(network.exchange(b"x"), b"x");
    network.caller.socket().abort();
    network.run(Span::from_secs(1));
    assert!(network.server.reset);
    assert_eq!(network.agent.flow_count(), 0);
}

/// Guards against a caller that disappears while bytes for it are pending, and whose connection to
/// the server stays open forever.
#[test]
fn verify_flow_of_a_lost_caller_times_out() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    assert_eq!(network.exchange(b"x"), b"x");
    network.lose_every = 1;
    network.server.pending = pattern(10);
    let flow = FlowId(1);
    network
        .agent
        .on_server_ready(network.now, flow, &mut network.server);
    network.run(Span::from_secs(70));
    assert_eq!(network.agent.flow_count(), 0);
    assert!(network.server.reset);
}

/// Guards against an idle flow whose caller has disappeared and that stays open forever.
#[test]
fn verify_idle_flow_of_a_lost_caller_times_out() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    assert_eq!(network.exchange(b"x"), b"x");
    network.lose_every = 1;
    network.run(Span::from_secs(200));
    assert_eq!(network.agent.flow_count(), 0);
}

/// Guards against an idle flow that is closed although its caller is alive.
#[test]
fn verify_idle_flow_of_a_live_caller_stays_open() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    assert_eq!(network.exchange(b"x"), b"x");
    network.run(Span::from_secs(600));
    assert_eq!(network.exchange(b"y"), b"y");
}

/// Guards against a SYN of a 5-tuple in use that leaves the earlier half-open flow and its
/// connection to the server open.
#[test]
fn verify_new_syn_replaces_a_half_open_flow() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    network.run(Span::from_millis(5));
    assert_eq!(network.agent.counters().opened, 1);
    network.restart_caller();
    assert_eq!(network.exchange(b"x"), b"x");
    assert_eq!(network.agent.flow_count(), 1);
    assert_eq!(network.agent.admission_mut().open_connections(), 1);
}

/// Guards against an answer to a SYN that its caller has replaced by a newer one.
#[test]
fn verify_new_syn_replaces_the_syn_of_a_connecting_flow() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    for packet in network.caller.poll(network.now, None) {
        network
            .agent
            .on_packet(network.now, &header(), &packet, &mut network.server);
    }
    network.restart_caller();
    assert_eq!(network.exchange(b"x"), b"x");
    assert_eq!(network.agent.counters().opened, 1);
}

/// Guards against a flow in TIME-WAIT whose 5-tuple cannot be reused.
#[test]
fn verify_new_syn_replaces_a_flow_that_has_ended() {
    let mut network = Network::new("198.51.100.1:40000", "203.0.113.1:80", 0);
    assert_eq!(network.exchange(b"x"), b"x");
    network.server.write_ended = true;
    network
        .agent
        .on_server_ready(network.now, FlowId(1), &mut network.server);
    network.run(Span::from_millis(100));
    network.caller.socket().close();
    network.run(Span::from_millis(100));
    assert_eq!(network.agent.flow_count(), 1);
    network.server.write_ended = false;
    network.restart_caller();
    let restarted_at = network.now;
    assert_eq!(network.exchange(b"y"), b"y");
    assert!(network.now.since(restarted_at) < Span::from_secs(1));
    assert_eq!(network.agent.flow_count(), 1);
    assert_eq!(network.agent.admission_mut().open_connections(), 1);
}
