//! Non-blocking TCP connections to the local backend server, identified by token.

use {
    mio::{Interest, Registry, Token, net::TcpStream},
    std::{
        collections::HashMap,
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr},
        time::Duration,
    },
};

/// Result of a call on a connection.
pub type Result<T> = io::Result<T>;

struct Connection {
    stream: TcpStream,
    is_connected: bool,
}

/// Open connections to one backend server, registered for readiness events.
pub struct ServerStreams {
    registry: Registry,
    server: SocketAddr,
    connections: HashMap<u64, Connection>,
}

/// Outcome of a readiness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The connection is still being established, or the token is unknown.
    Pending,
    /// The connection has just been established.
    Connected,
    /// The connection could not be established.
    Failed,
    /// An established connection is readable, writable or closed by the server.
    Ready,
}

impl ServerStreams {
    /// Creates an empty set of connections to the backend server at address `server`; their sockets
    /// are registered with `registry`.
    #[must_use]
    pub fn new(registry: Registry, server: SocketAddr) -> Self {
        Self {
            registry,
            server,
            connections: HashMap::new(),
        }
    }

    /// Starts a connection; later readiness events for `token` report whether it was established.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot be created or registered.
    pub fn connect(&mut self, token: u64) -> Result<()> {
        let mut stream = TcpStream::connect(self.server)?;
        // Disables Nagle's algorithm, which would delay small writes until more bytes follow.
        let _ = stream.set_nodelay(true);
        let index = usize::try_from(token).map_err(io::Error::other)?;
        self.registry.register(
            &mut stream,
            Token(index),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        let connection = Connection {
            stream,
            is_connected: false,
        };
        self.connections.insert(token, connection);
        Ok(())
    }

    /// Classifies a readiness event for `token`.
    pub fn on_event(&mut self, token: u64) -> Readiness {
        let Some(connection) = self.connections.get_mut(&token) else {
            return Readiness::Pending;
        };
        if connection.is_connected {
            return Readiness::Ready;
        }
        if !matches!(connection.stream.take_error(), Ok(None)) {
            return Readiness::Failed;
        }
        match connection.stream.peer_addr() {
            Ok(_) => {
                connection.is_connected = true;
                Readiness::Connected
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Readiness::Pending,
            Err(_) => Readiness::Failed,
        }
    }

    /// Writes without blocking and returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// Fails with the socket's error, `WouldBlock` included.
    pub fn write(&mut self, token: u64, bytes: &[u8]) -> Result<usize> {
        let connection = self.connections.get_mut(&token).ok_or_else(not_connected)?;
        retry_interrupted(|| connection.stream.write(bytes))
    }

    /// Reads without blocking and returns the number of bytes read, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails with the socket's error, `WouldBlock` included.
    pub fn read(&mut self, token: u64, buffer: &mut [u8]) -> Result<usize> {
        let connection = self.connections.get_mut(&token).ok_or_else(not_connected)?;
        retry_interrupted(|| connection.stream.read(buffer))
    }

    /// Closes the sending direction, which the backend server reads as the end of the stream.
    pub fn shutdown_write(&mut self, token: u64) {
        if let Some(connection) = self.connections.get(&token) {
            // Fails only when the connection has ended, which a later read reports.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    /// Closes a connection, with an RST instead of a FIN when `reset` is set.
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

    /// Returns the number of connections, those being established included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no connection, open or being established.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

fn not_connected() -> io::Error {
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
