//! Packet sockets of the one thread.

use {
    super::Result,
    cardamomloom_core::error::io,
    cardamomloom_transport::udp::{self, BATCH, Outgoing, ReceiveBatch, SendBatch, Wait},
    log::warn,
    std::{
        io::ErrorKind,
        net::{SocketAddr, SocketAddrV4, UdpSocket},
        ops::Range,
    },
    tokio::io::Interest,
};

/// A socket that the runtime watches.
#[derive(Debug)]
pub struct Port {
    socket: UdpSocket,
    /// The same socket, for the runtime.
    watched: tokio::net::UdpSocket,
}

impl Port {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the address cannot be bound.
    pub fn bind(address: SocketAddrV4) -> Result<Self> {
        let socket = udp::bind(SocketAddr::V4(address))?;
        let failed = |error| io(format!("udp: cannot watch {address}: {error}"));
        socket.set_nonblocking(true).map_err(failed)?;
        let watched = socket.try_clone().map_err(failed)?;
        let watched = tokio::net::UdpSocket::from_std(watched).map_err(failed)?;
        Ok(Self { socket, watched })
    }

    /// Waits until a datagram may be there. The receiver must then read until
    /// [`Port::receive`] returns false.
    pub async fn ready(&self) {
        if let Err(error) = self.watched.readable().await {
            warn!(event = "socket_failed"; "{error}");
        }
    }

    /// Receives a batch and tells whether more datagrams may wait.
    pub fn receive(&self, batch: &mut ReceiveBatch) -> bool {
        let mut failure = None;
        // The runtime waits for new datagrams after this closure says that none are left.
        let outcome = self.watched.try_io(Interest::READABLE, || {
            match batch.receive(&self.socket, Wait::Never) {
                Ok(BATCH) => Ok(()),
                Ok(_) => Err(ErrorKind::WouldBlock.into()),
                Err(error) => {
                    failure = Some(error);
                    Err(ErrorKind::WouldBlock.into())
                }
            }
        });
        if let Some(error) = failure {
            warn!(event = "receive_failed"; "{error}");
        }
        outcome.is_ok()
    }

    /// Sends one datagram.
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        if let Err(error) = self.socket.send_to(datagram, to) {
            metrics::counter!("cardamomloom_send_failures_total").increment(1);
            log::debug!(event = "send_failed", to:%; "{error}");
        }
    }

    /// Sends what was collected.
    pub fn send_all(&self, sender: &mut SendBatch, outbox: &mut Outbox) {
        let datagrams: Vec<Outgoing<'_>> = outbox
            .datagrams
            .iter()
            .map(|(to, range)| Outgoing {
                to: SocketAddr::V4(*to),
                prefix: &[],
                body: &outbox.bytes[range.clone()],
            })
            .collect();
        let sent = sender.send(&self.socket, &datagrams);
        let lost = datagrams.len() - sent;
        if lost > 0 {
            metrics::counter!("cardamomloom_send_failures_total").increment(lost as u64);
        }
        outbox.clear();
    }
}

/// Datagrams to send together.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: Vec<u8>,
    datagrams: Vec<(SocketAddrV4, Range<usize>)>,
}

impl Outbox {
    /// Adds a datagram in two parts.
    pub fn push(&mut self, to: SocketAddrV4, prefix: &[u8], body: &[u8]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(prefix);
        self.bytes.extend_from_slice(body);
        self.datagrams.push((to, start..self.bytes.len()));
    }

    /// Returns the number of datagrams.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.datagrams.len()
    }

    /// Tells whether there is nothing to send.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.datagrams.is_empty()
    }

    fn clear(&mut self) {
        self.bytes.clear();
        self.datagrams.clear();
    }
}
