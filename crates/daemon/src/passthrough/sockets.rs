//! Non-blocking UDP sockets with batched receives and sends.

use {
    super::Result,
    cardamomloom_core::error::io,
    cardamomloom_transport::udp::{
        self, DATAGRAMS_PER_BATCH, OutgoingDatagram, ReceiveBatch, ReceiveMode, SendBatch,
    },
    log::warn,
    std::{
        io::ErrorKind,
        net::{SocketAddr, SocketAddrV4, UdpSocket},
        ops::Range,
    },
    tokio::io::Interest,
};

/// A UDP socket whose readiness the `tokio` runtime reports.
#[derive(Debug)]
pub struct PacketSocket {
    socket: UdpSocket,
    /// Duplicate of `socket` that is registered with the runtime.
    registered: tokio::net::UdpSocket,
}

impl PacketSocket {
    /// Binds a socket and registers it with the current runtime.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the address cannot be bound or the socket cannot be registered.
    pub fn bind(address: SocketAddrV4) -> Result<Self> {
        let socket = udp::bind(SocketAddr::V4(address))?;
        let failed = |error| io(format!("udp: cannot watch {address}: {error}"));
        socket.set_nonblocking(true).map_err(failed)?;
        let duplicate = socket.try_clone().map_err(failed)?;
        let registered = tokio::net::UdpSocket::from_std(duplicate).map_err(failed)?;
        Ok(Self { socket, registered })
    }

    /// Waits until a datagram may be available. The caller must then call
    /// [`PacketSocket::receive`] until it returns false.
    pub async fn ready(&self) {
        if let Err(error) = self.registered.readable().await {
            warn!(event = "socket_failed"; "cannot wait for datagrams: {error}");
        }
    }

    /// Receives a batch and returns whether more datagrams may be pending.
    pub fn receive(&self, batch: &mut ReceiveBatch) -> bool {
        let mut failure = None;
        // `WouldBlock` clears the readiness, so that the runtime waits for new datagrams.
        let outcome = self.registered.try_io(Interest::READABLE, || {
            match batch.receive(&self.socket, ReceiveMode::NonBlocking) {
                Ok(DATAGRAMS_PER_BATCH) => Ok(()),
                Ok(_) => Err(ErrorKind::WouldBlock.into()),
                Err(error) => {
                    failure = Some(error);
                    Err(ErrorKind::WouldBlock.into())
                }
            }
        });
        if let Some(error) = failure {
            warn!(event = "receive_failed"; "cannot receive datagrams: {error}");
        }
        outcome.is_ok()
    }

    /// Sends one datagram. A failure is counted, and otherwise ignored.
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        if let Err(error) = self.socket.send_to(datagram, to) {
            metrics::counter!("cardamomloom_send_failures_total").increment(1);
            log::debug!(event = "send_failed", to:%; "cannot send a datagram: {error}");
        }
    }

    /// Sends all datagrams of the outbox and clears it. Datagrams that cannot be sent are counted
    /// and lost.
    pub fn send_all(&self, sender: &mut SendBatch, outbox: &mut Outbox) {
        let datagrams: Vec<OutgoingDatagram<'_>> = outbox
            .datagrams
            .iter()
            .map(|(to, range)| OutgoingDatagram {
                to: SocketAddr::V4(*to),
                prefix: &[],
                body: &outbox.bytes[range.clone()],
            })
            .collect();
        let sent = sender.send(&self.socket, &datagrams);
        let unsent = datagrams.len() - sent;
        if unsent > 0 {
            metrics::counter!("cardamomloom_send_failures_total").increment(unsent as u64);
        }
        outbox.clear();
    }
}

/// Queue of datagrams for one batched send, in one contiguous buffer.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: Vec<u8>,
    datagrams: Vec<(SocketAddrV4, Range<usize>)>,
}

impl Outbox {
    /// Queues a datagram that consists of `prefix` followed by `body`.
    pub fn push(&mut self, to: SocketAddrV4, prefix: &[u8], body: &[u8]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(prefix);
        self.bytes.extend_from_slice(body);
        self.datagrams.push((to, start..self.bytes.len()));
    }

    /// Returns the number of queued datagrams.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.datagrams.len()
    }

    /// Returns whether no datagram is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.datagrams.is_empty()
    }

    fn clear(&mut self) {
        self.bytes.clear();
        self.datagrams.clear();
    }
}
