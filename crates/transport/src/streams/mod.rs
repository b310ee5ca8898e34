//! Non-blocking TCP connections to the local backend server, by token.

use {
    mio::{Interest, Registry, Token, net::TcpStream},
    std::{
        collections::HashMap,
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr},
        time::Duration,
    },
};

/// Result of a stream call.
pub type Result<T> = io::Result<T>;

struct Connection {
    stream: TcpStream,
    connected: bool,
}

/// Connections to one backend server.
pub struct ServerStreams {
    registry: Registry,
    server: SocketAddr,
    connections: HashMap<u64, Connection>,
}

/// Outcome of a readiness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The connection is still being established, or is unknown.
    Pending,
    /// The connection was established by this event.
    Connected,
    /// The attempt to connect failed.
    Failed,
    /// An established connection can be read, written, or has ended.
    Ready,
}

impl ServerStreams {
    /// Creates the set; `server` is the address of the backend server.
    #[must_use]
    pub fn new(registry: Registry, server: SocketAddr) -> Self {
        Self {
            registry,
            server,
            connections: HashMap::new(),
        }
    }

    /// Starts to connect; readiness events for `token` report the outcome.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be created or registered.
    pub fn connect(&mut self, token: u64) -> Result<()> {
        let mut stream = TcpStream::connect(self.server)?;
        // Small answers must not wait for more bytes.
        let _ = stream.set_nodelay(true);
        let index = usize::try_from(token).map_err(io::Error::other)?;
        self.registry.register(
            &mut stream,
            Token(index),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        let connection = Connection {
            stream,
            connected: false,
        };
        self.connections.insert(token, connection);
        Ok(())
    }

    /// Classifies a readiness event.
    pub fn on_event(&mut self, token: u64) -> Readiness {
        let Some(connection) = self.connections.get_mut(&token) else {
            return Readiness::Pending;
        };
        if connection.connected {
            return Readiness::Ready;
        }
        if !matches!(connection.stream.take_error(), Ok(None)) {
            return Readiness::Failed;
        }
        match connection.stream.peer_addr() {
            Ok(_) => {
                connection.connected = true;
                Readiness::Connected
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Readiness::Pending,
            Err(_) => Readiness::Failed,
        }
    }

    /// Writes without blocking.
    ///
    /// # Errors
    ///
    /// Fails with the socket's error, `WouldBlock` included.
    pub fn write(&mut self, token: u64, bytes: &[u8]) -> Result<usize> {
        let connection = self.connections.get_mut(&token).ok_or_else(closed)?;
        retry_interrupted(|| connection.stream.write(bytes))
    }

    /// Reads without blocking.
    ///
    /// # Errors
    ///
    /// Fails with the socket's error, `WouldBlock` included.
    pub fn read(&mut self, token: u64, buffer: &mut [u8]) -> Result<usize> {
        let connection = self.connections.get_mut(&token).ok_or_else(closed)?;
        retry_interrupted(|| connection.stream.read(buffer))
    }

    /// Ends the stream towards the backend server.
    pub fn shutdown_write(&mut self, token: u64) {
        if let Some(connection) = self.connections.get(&token) {
            // Fails only when the connection is gone, which a later read reports.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    /// Closes a connection, with a reset instead of an end of stream when `reset` is set.
    pub fn close(&mut self, token: u64, reset: bool) {
        let Some(mut connection) = self.connections.remove(&token) else {
            return;
        };
        let _ = self.registry.deregister(&mut connection.stream);
        if reset {
            let socket = socket2::SockRef::from(&connection.stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Tells whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

fn closed() -> io::Error {
    io::Error::from(io::ErrorKind::NotConnected)
}

fn retry_interrupted(mut call: impl FnMut() -> Result<usize>) -> Result<usize> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
