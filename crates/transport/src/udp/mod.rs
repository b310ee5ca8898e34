//! UDP sockets that receive and send many datagrams with one system call.

use {
    cardamomloom_core::error::{Error, io},
    nix::{
        errno::Errno,
        sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, recvmmsg, sendmmsg},
    },
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io::{IoSlice, IoSliceMut},
        net::{SocketAddr, SocketAddrV4, SocketAddrV6, UdpSocket},
        os::fd::AsRawFd,
        time::Duration,
    },
};

/// Result of a socket call.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of datagrams in one system call.
pub const DATAGRAMS_PER_BATCH: usize = 32;

/// Maximum size of a datagram: the payload of an Ethernet frame and the headers that this system
/// adds.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Requested size of the kernel's buffer in each direction; absorbs bursts while the packet loop is
/// not scheduled.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a UDP socket and requests kernel buffers of 4 MiB in each direction.
///
/// # Errors
///
/// Fails with kind `io` when the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<UdpSocket> {
    let failed = |error: std::io::Error| io(format!("udp: cannot bind {address}: {error}"));
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )
    .map_err(failed)?;
    // Ignores errors: the kernel may grant a smaller buffer, and the socket works with any size.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into()).map_err(failed)?;
    Ok(socket.into())
}

/// Sets how long a receive in mode [`ReceiveMode::WaitForOne`] waits for the first datagram.
///
/// # Errors
///
/// Fails with kind `io` when the option cannot be set.
pub fn set_receive_timeout(socket: &UdpSocket, timeout: Duration) -> Result<()> {
    socket
        .set_read_timeout(Some(timeout))
        .map_err(|error| io(format!("udp: cannot set the receive timeout: {error}")))
}

/// Whether a receive waits for the first datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveMode {
    /// Waits up to the receive timeout of the socket.
    WaitForOne,
    /// Returns at once when no datagram is queued.
    NonBlocking,
}

/// Receives batches of datagrams into reused buffers.
pub struct ReceiveBatch {
    buffers: Vec<[u8; MAX_DATAGRAM_BYTES]>,
    lengths: [usize; DATAGRAMS_PER_BATCH],
    sources: [Option<SocketAddr>; DATAGRAMS_PER_BATCH],
    count: usize,
    headers: MultiHeaders<SockaddrStorage>,
}

impl Default for ReceiveBatch {
    fn default() -> Self {
        Self {
            buffers: vec![[0; MAX_DATAGRAM_BYTES]; DATAGRAMS_PER_BATCH],
            lengths: [0; DATAGRAMS_PER_BATCH],
            sources: [None; DATAGRAMS_PER_BATCH],
            count: 0,
            headers: MultiHeaders::preallocate(DATAGRAMS_PER_BATCH, None),
        }
    }
}

impl ReceiveBatch {
    /// Receives the queued datagrams, up to [`DATAGRAMS_PER_BATCH`], and returns their number. They
    /// replace those of the previous call.
    ///
    /// Returns 0 after a timeout, an interruption, or an ICMP error caused by an earlier send.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` on any other socket error.
    pub fn receive(&mut self, socket: &UdpSocket, mode: ReceiveMode) -> Result<usize> {
        self.count = 0;
        let flags = match mode {
            ReceiveMode::WaitForOne => MsgFlags::MSG_WAITFORONE,
            ReceiveMode::NonBlocking => MsgFlags::MSG_DONTWAIT,
        };
        let mut buffers = self.buffers.iter_mut();
        let mut slices: [[IoSliceMut<'_>; 1]; DATAGRAMS_PER_BATCH] = std::array::from_fn(|_| {
            let buffer = buffers.next().map_or(&mut [][..], |buffer| &mut buffer[..]);
            [IoSliceMut::new(buffer)]
        });
        let result = recvmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter_mut(),
            flags,
            None,
        );
        match result {
            Ok(messages) => {
                for message in messages {
                    self.lengths[self.count] = message.bytes;
                    self.sources[self.count] = message.address.and_then(to_socket_addr);
                    self.count += 1;
                }
                Ok(self.count)
            }
            Err(Errno::EAGAIN | Errno::EINTR | Errno::ECONNREFUSED) => Ok(0),
            Err(error) => Err(io(format!("udp: cannot receive datagrams: {error}"))),
        }
    }

    /// Returns the datagrams of the last receive with their source addresses.
    pub fn datagrams(&self) -> impl Iterator<Item = (&[u8], Option<SocketAddr>)> {
        (0..self.count).map(|index| {
            let datagram = &self.buffers[index][..self.lengths[index]];
            (datagram, self.sources[index])
        })
    }
}

/// Datagram to send, in two parts that need not be adjacent in memory.
#[derive(Clone, Copy)]
pub struct OutgoingDatagram<'a> {
    /// Destination address.
    pub to: SocketAddr,
    /// First bytes of the datagram.
    pub prefix: &'a [u8],
    /// Remaining bytes.
    pub body: &'a [u8],
}

/// Sends batches of datagrams with reused message headers.
pub struct SendBatch {
    headers: MultiHeaders<SockaddrStorage>,
}

impl Default for SendBatch {
    fn default() -> Self {
        Self {
            headers: MultiHeaders::preallocate(DATAGRAMS_PER_BATCH, None),
        }
    }
}

impl SendBatch {
    /// Sends datagrams, at most [`DATAGRAMS_PER_BATCH`] in one system call, and returns how many
    /// the kernel accepted.
    ///
    /// A datagram that cannot be sent is skipped, so that a failing destination does not block the
    /// others. Sending ends early when the send buffer is full; the remaining datagrams are
    /// dropped.
    pub fn send(&mut self, socket: &UdpSocket, datagrams: &[OutgoingDatagram<'_>]) -> usize {
        let mut sent = 0;
        let mut next = 0;
        while next < datagrams.len() {
            let batch = &datagrams[next..datagrams.len().min(next + DATAGRAMS_PER_BATCH)];
            match self.send_once(socket, batch) {
                Ok(0) | Err(Errno::EAGAIN) => break,
                Ok(count) => {
                    sent += count;
                    next += count;
                }
                Err(Errno::EINTR) => {}
                Err(_) => next += 1,
            }
        }
        sent
    }

    fn send_once(
        &mut self,
        socket: &UdpSocket,
        datagrams: &[OutgoingDatagram<'_>],
    ) -> std::result::Result<usize, Errno> {
        let count = datagrams.len();
        let empty: &[u8] = &[];
        let mut slices = [[IoSlice::new(empty), IoSlice::new(empty)]; DATAGRAMS_PER_BATCH];
        let mut addresses = [None; DATAGRAMS_PER_BATCH];
        for (index, datagram) in datagrams.iter().enumerate() {
            slices[index] = [IoSlice::new(datagram.prefix), IoSlice::new(datagram.body)];
            addresses[index] = Some(to_storage(datagram.to));
        }
        let sent = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices[..count].iter(),
            &addresses[..count],
            [],
            MsgFlags::empty(),
        )?;
        Ok(sent.count())
    }
}

fn to_socket_addr(storage: SockaddrStorage) -> Option<SocketAddr> {
    if let Some(address) = storage.as_sockaddr_in() {
        return Some(SocketAddr::V4(SocketAddrV4::from(*address)));
    }
    storage
        .as_sockaddr_in6()
        .map(|address| SocketAddr::V6(SocketAddrV6::from(*address)))
}

fn to_storage(address: SocketAddr) -> SockaddrStorage {
    match address {
        SocketAddr::V4(address) => SockaddrStorage::from(address),
        SocketAddr::V6(address) => SockaddrStorage::from(address),
    }
}
