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

/// Datagrams per system call.
pub const DATAGRAMS_PER_BATCH: usize = 32;

/// Largest datagram: an Ethernet frame with room for the own headers.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Kernel buffer of a packet socket; absorbs bursts while the packet loop is not scheduled.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a UDP socket with large kernel buffers.
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
    // The kernel may grant less than asked for; the socket works with any size.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into()).map_err(failed)?;
    Ok(socket.into())
}

/// Sets how long a receive waits for the first datagram.
///
/// # Errors
///
/// Fails with kind `io` when the socket refuses the option.
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
    /// Returns at once.
    NonBlocking,
}

/// Buffers for a batch of received datagrams.
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
    /// Receives what is there, up to [`DATAGRAMS_PER_BATCH`] datagrams, and returns how many.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` on errors other than a timeout, an interruption or an ICMP error of
    /// an earlier send.
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
        let received = recvmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter_mut(),
            flags,
            None,
        );
        match received {
            Ok(messages) => {
                for message in messages {
                    self.lengths[self.count] = message.bytes;
                    self.sources[self.count] = message.address.and_then(to_socket_addr);
                    self.count += 1;
                }
                Ok(self.count)
            }
            Err(Errno::EAGAIN | Errno::EINTR | Errno::ECONNREFUSED) => Ok(0),
            Err(error) => Err(io(format!("udp: receive failed: {error}"))),
        }
    }

    /// Returns the received datagrams with their sources.
    pub fn datagrams(&self) -> impl Iterator<Item = (&[u8], Option<SocketAddr>)> {
        (0..self.count).map(|index| {
            let datagram = &self.buffers[index][..self.lengths[index]];
            (datagram, self.sources[index])
        })
    }
}

/// One datagram to send, as a prefix and a body that need not be adjacent.
#[derive(Clone, Copy)]
pub struct OutgoingDatagram<'a> {
    /// Destination.
    pub to: SocketAddr,
    /// First bytes of the datagram.
    pub prefix: &'a [u8],
    /// Remaining bytes.
    pub body: &'a [u8],
}

/// Sends batches of datagrams.
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
    /// Sends up to [`DATAGRAMS_PER_BATCH`] datagrams and returns how many the kernel took.
    ///
    /// A destination that refuses does not keep the others back: the batch continues after it.
    pub fn send(&mut self, socket: &UdpSocket, datagrams: &[OutgoingDatagram<'_>]) -> usize {
        let mut sent = 0;
        let mut next = 0;
        while next < datagrams.len() {
            let rest = &datagrams[next..datagrams.len().min(next + DATAGRAMS_PER_BATCH)];
            match self.send_once(socket, rest) {
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
        let results = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices[..count].iter(),
            &addresses[..count],
            [],
            MsgFlags::empty(),
        )?;
        Ok(results.count())
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
