//! TCP listener that refuses, delays and resets connections according to the server's behaviour.

use {
    super::Backend,
    axum::serve::Listener,
    std::{
        future::Future,
        io::{self, ErrorKind, IoSlice},
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

/// Interval at which the listener reads the behaviour again while it accepts no connection.
const BEHAVIOUR_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Listener of a backend server.
///
/// While the server refuses connects, the listening socket is closed, so that the kernel answers a
/// SYN with a reset.
pub struct FaultyListener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    backend: Backend,
}

impl FaultyListener {
    /// Wraps a listening socket; its address is bound again after each period of refusal.
    ///
    /// # Errors
    ///
    /// Fails when the address of the socket cannot be read.
    pub fn new(listener: TcpListener, backend: Backend) -> io::Result<Self> {
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            backend,
        })
    }

    /// Listens on the original address again.
    fn bind(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        // Without this, bind fails while connections from before the refusal are in TIME-WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(BACKLOG)
    }

    /// Waits at most [`BEHAVIOUR_POLL_INTERVAL`] for a connection.
    ///
    /// Returns `None` when none arrives or the server refuses connects, so that [`Self::accept`]
    /// reads the behaviour again.
    async fn accept_or_timeout(&mut self) -> Option<(TcpStream, SocketAddr)> {
        if self.backend.state().is_refusing(Instant::now()) {
            self.listener = None;
            sleep(BEHAVIOUR_POLL_INTERVAL).await;
            return None;
        }
        if self.listener.is_none() {
            self.listener = self.bind().ok();
        }
        let Some(listener) = &self.listener else {
            sleep(BEHAVIOUR_POLL_INTERVAL).await;
            return None;
        };
        let accepted = timeout(BEHAVIOUR_POLL_INTERVAL, listener.accept()).await;
        accepted.ok()?.ok()
    }
}

impl Listener for FaultyListener {
    type Io = FaultyStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (FaultyStream, SocketAddr) {
        loop {
            let delay_ms = self.backend.state().behaviour.accept_delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            let Some((stream, caller)) = self.accept_or_timeout().await else {
                continue;
            };
            let stream = FaultyStream::new(stream, self.backend.clone());
            if self.backend.state().on_accepted(Instant::now()) {
                return (stream, caller);
            }
            drop(stream);
            self.backend.reset_connections();
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

/// Connection that is reset when its server fails.
pub struct FaultyStream {
    stream: TcpStream,
    reset: Pin<Box<dyn Future<Output = ()> + Send>>,
    backend: Backend,
}

impl FaultyStream {
    fn new(stream: TcpStream, backend: Backend) -> Self {
        let mut reset_events = backend.subscribe_resets();
        let reset = Box::pin(async move {
            // `changed` cannot fail: the stream holds the server, which owns the sender.
            let _ = reset_events.changed().await;
        });
        Self {
            stream,
            reset,
            backend,
        }
    }

    /// Returns an error once the server has failed, and makes closing the socket send a reset.
    fn check_reset(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.reset.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        self.reset = Box::pin(std::future::ready(()));
        // A linger time of zero makes close send a reset, as the kernel of a crashed server does.
        let _ = self.stream.set_zero_linger();
        Err(ErrorKind::ConnectionReset.into())
    }
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        self.backend.state().on_closed();
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Err(error) = self.check_reset(cx) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.check_reset(cx) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.check_reset(cx) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
