//! Termination of the TCP flows of callers in user space.

pub mod device;

use {
    cardamomloom_core::{
        Time,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::packet::FlowKey,
    device::{PacketDevice, PacketSink},
    smoltcp::{
        iface::{Config, Interface, SocketHandle, SocketSet},
        socket::tcp,
        time::{Duration, Instant},
        wire::{HardwareAddress, IpAddress, IpCidr, IpListenEndpoint},
    },
    std::net::IpAddr,
};

/// Result of creating a terminated flow.
pub type Result<T> = std::result::Result<T, Error>;

/// Buffer sizes and timeouts of a terminated flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminationOptions {
    /// Size of the buffer for bytes from the caller, which is also the largest receive window.
    pub receive_buffer_bytes: usize,
    /// Size of the buffer for bytes to the caller.
    pub send_buffer_bytes: usize,
    /// Time without an answer from the caller after which the flow is aborted.
    pub user_timeout_ms: u64,
    /// Idle time after which a TCP keep-alive probe is sent to the caller.
    pub keep_alive_ms: u64,
    /// Size of the largest IP packet that is sent to the caller.
    pub mtu_bytes: usize,
}

impl Default for TerminationOptions {
    fn default() -> Self {
        Self {
            // The two buffers take most of the memory of an idle flow, whose budget is 8 KB.
            receive_buffer_bytes: 2_048,
            send_buffer_bytes: 4_096,
            user_timeout_ms: 60_000,
            // Below the user timeout, so that an idle caller that is alive answers in time.
            keep_alive_ms: 45_000,
            mtu_bytes: 1_400,
        }
    }
}

/// One terminated TCP flow with its own network interface.
///
/// An interface per flow keeps the cost of a packet independent of the number of flows. A single
/// interface with all sockets would search them linearly.
pub struct TerminatedFlow {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    mtu_bytes: usize,
}

impl std::fmt::Debug for TerminatedFlow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TerminatedFlow")
            .field("state", &self.socket().state())
            .finish_non_exhaustive()
    }
}

impl TerminatedFlow {
    /// Creates a flow that listens for the SYN of `key`; `seed` determines its initial sequence
    /// number.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the service address cannot be listened on.
    pub fn new(now: Time, key: &FlowKey, seed: u64, options: &TerminationOptions) -> Result<Self> {
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut discard = |_: &[u8]| {};
        let mut device = PacketDevice::new(None, &mut discard, options.mtu_bytes);
        let mut interface = Interface::new(config, &mut device, to_instant(now));
        let address = IpAddress::from(key.service.ip());
        let prefix_bits = match key.service.ip() {
            IpAddr::V4(_) => 32,
            IpAddr::V6(_) => 128,
        };
        interface.update_ip_addrs(|addresses| {
            // The push cannot fail: the list holds two addresses and is empty.
            let _ = addresses.push(IpCidr::new(address, prefix_bits));
        });
        add_default_route(&mut interface, address);
        let mut socket = tcp::Socket::new(
            tcp::SocketBuffer::new(vec![0; options.receive_buffer_bytes]),
            tcp::SocketBuffer::new(vec![0; options.send_buffer_bytes]),
        );
        socket.set_nagle_enabled(false);
        socket.set_ack_delay(None);
        socket.set_timeout(Some(Duration::from_millis(options.user_timeout_ms)));
        socket.set_keep_alive(Some(Duration::from_millis(options.keep_alive_ms)));
        socket
            .listen(IpListenEndpoint {
                addr: Some(address),
                port: key.service.port(),
            })
            .map_err(|error| {
                Error::new(
                    ErrorKind::InvalidArgument,
                    format!(
                        "termination: cannot listen on {} for the flow from {}: {error}",
                        key.service, key.caller
                    ),
                )
            })?;
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Ok(Self {
            interface,
            sockets,
            handle,
            mtu_bytes: options.mtu_bytes,
        })
    }

    /// Processes an IP packet of the caller and sends the packets that are due.
    pub fn receive(&mut self, now: Time, packet: &[u8], sink: PacketSink<'_>) {
        self.poll_with(now, Some(packet), sink);
    }

    /// Sends the packets that are due: data, acknowledgements and retransmissions.
    pub fn poll(&mut self, now: Time, sink: PacketSink<'_>) {
        self.poll_with(now, None, sink);
    }

    fn poll_with(&mut self, now: Time, packet: Option<&[u8]>, sink: PacketSink<'_>) {
        let mut device = PacketDevice::new(packet, sink, self.mtu_bytes);
        self.interface
            .poll(to_instant(now), &mut device, &mut self.sockets);
    }

    /// Returns when [`TerminatedFlow::poll`] is next due, not before `now`; `None` when no timer is
    /// set.
    #[must_use]
    pub fn next_poll(&mut self, now: Time) -> Option<Time> {
        let at = self.interface.poll_at(to_instant(now), &self.sockets)?;
        Some(Time(u64::try_from(at.total_micros()).unwrap_or_default()).max(now))
    }

    /// Returns the TCP socket.
    #[must_use]
    pub fn socket(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.handle)
    }

    /// Returns the TCP socket, to read, write, close or abort it.
    pub fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }
}

/// Adds a default route, so that packets to any caller go to the local link: the packet sink.
fn add_default_route(interface: &mut Interface, address: IpAddress) {
    match address {
        IpAddress::Ipv4(gateway) => {
            let _ = interface.routes_mut().add_default_ipv4_route(gateway);
        }
        IpAddress::Ipv6(gateway) => {
            let _ = interface.routes_mut().add_default_ipv6_route(gateway);
        }
    }
}

fn to_instant(time: Time) -> Instant {
    Instant::from_micros(i64::try_from(time.0).unwrap_or(i64::MAX))
}
