//! Listener whose connections can be refused, delayed and reset.

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

/// Time between two looks at the behaviour while nobody connects.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

const BACKLOG: u32 = 4_096;

/// Listener of a backend server. While it refuses, no socket listens.
pub struct FieldListener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    backend: Backend,
}

impl FieldListener {
    /// Creates a listener on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails when the socket has no address.
    pub fn new(listener: TcpListener, backend: Backend) -> io::Result<Self> {
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            backend,
        })
    }

    fn bind(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        // The port is taken again at once, although connections from before still linger.
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(BACKLOG)
    }

    /// Returns the next connection, or `None` after a look at the behaviour.
    async fn next(&mut self) -> Option<(TcpStream, SocketAddr)> {
        if self.backend.state().refuses(Instant::now()) {
            self.listener = None;
            sleep(LOOK_INTERVAL).await;
            return None;
        }
        if self.listener.is_none() {
            self.listener = self.bind().ok();
        }
        let Some(listener) = &self.listener else {
            sleep(LOOK_INTERVAL).await;
            return None;
        };
        let accepted = timeout(LOOK_INTERVAL, listener.accept()).await;
        accepted.ok()?.ok()
    }
}

impl Listener for FieldListener {
    type Io = FieldStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (FieldStream, SocketAddr) {
        loop {
            let delay_ms = self.backend.state().behaviour.accept_delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            let Some((stream, caller)) = self.next().await else {
                continue;
            };
            let stream = FieldStream::new(stream, self.backend.clone());
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

/// Connection that ends with a reset when its server fails.
pub struct FieldStream {
    stream: TcpStream,
    reset: Pin<Box<dyn Future<Output = ()> + Send>>,
    backend: Backend,
}

impl FieldStream {
    fn new(stream: TcpStream, backend: Backend) -> Self {
        let mut resets = backend.resets();
        let reset = Box::pin(async move {
            // The sender lives as long as the server.
            let _ = resets.changed().await;
        });
        Self {
            stream,
            reset,
            backend,
        }
    }

    /// Fails once the server has failed.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.reset.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        self.reset = Box::pin(std::future::ready(()));
        // Closing without linger sends a reset, which is what a crashed server shows.
        let _ = self.stream.set_zero_linger();
        Err(ErrorKind::ConnectionReset.into())
    }
}

impl Drop for FieldStream {
    fn drop(&mut self) {
        self.backend.state().on_closed();
    }
}

impl AsyncRead for FieldStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Err(error) = self.check(cx) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for FieldStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.check(cx) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.check(cx) {
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
