//! Copies bytes between a terminated flow and the connection to the backend server.

use {
    super::AgentIo,
    crate::ownership::FlowId,
    smoltcp::socket::tcp::{Socket, State},
    std::io::ErrorKind,
};

/// Size of the buffer for one read from the backend server.
const READ_BUFFER_BYTES: usize = 4_096;

/// Half-close state of the connection to the backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerSide {
    /// Whether the caller's end of stream was sent to the backend server.
    write_ended: bool,
    /// Whether the backend server has ended its stream.
    read_ended: bool,
}

/// Outcome of a splice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Both directions were copied as far as possible without blocking.
    Progress,
    /// The connection to the backend server failed.
    ServerFailed,
}

impl ServerSide {
    /// Returns whether both directions ended with an end of stream.
    pub const fn ended_cleanly(self) -> bool {
        self.write_ended && self.read_ended
    }

    /// Returns whether the backend server ended its stream, after which a reset is no failure.
    pub const fn server_ended(self) -> bool {
        self.read_ended
    }

    /// Copies in both directions as far as possible without blocking.
    pub fn splice(
        &mut self,
        id: FlowId,
        socket: &mut Socket<'static>,
        io: &mut dyn AgentIo,
    ) -> Outcome {
        if !self.copy_to_server(id, socket, io) || !self.copy_to_caller(id, socket, io) {
            return Outcome::ServerFailed;
        }
        Outcome::Progress
    }

    /// Copies to the backend server; returns `false` when the connection to it failed.
    fn copy_to_server(
        &mut self,
        id: FlowId,
        socket: &mut Socket<'static>,
        io: &mut dyn AgentIo,
    ) -> bool {
        while socket.can_recv() {
            let written = socket.recv(|bytes| match io.write(id, bytes) {
                Ok(count) => (count, Ok(count)),
                Err(error) => (0, Err(error)),
            });
            match written {
                Ok(Ok(1..)) => {}
                Ok(Err(error)) if error.kind() != ErrorKind::WouldBlock => return false,
                Ok(Ok(0) | Err(_)) => return true,
                Err(_) => break,
            }
        }
        // The half-close is forwarded only after all bytes before it have been written.
        let caller_ended = matches!(
            socket.state(),
            State::CloseWait | State::LastAck | State::Closing | State::TimeWait
        );
        if caller_ended && !self.write_ended && !socket.can_recv() {
            self.write_ended = true;
            io.shutdown_write(id);
        }
        true
    }

    /// Copies to the caller; returns `false` when reading from the backend server failed or the
    /// caller's socket refuses the bytes.
    fn copy_to_caller(
        &mut self,
        id: FlowId,
        socket: &mut Socket<'static>,
        io: &mut dyn AgentIo,
    ) -> bool {
        let mut buffer = [0; READ_BUFFER_BYTES];
        while !self.read_ended && socket.can_send() {
            let free_bytes = (socket.send_capacity() - socket.send_queue()).min(READ_BUFFER_BYTES);
            match io.read(id, &mut buffer[..free_bytes]) {
                Ok(0) => {
                    self.read_ended = true;
                    socket.close();
                }
                Ok(count) => {
                    if socket.send_slice(&buffer[..count]).is_err() {
                        return false;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        true
    }
}
