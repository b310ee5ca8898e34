//! Moves bytes between a terminated flow and the connection to the backend server.

use {
    super::AgentIo,
    crate::ownership::FlowId,
    smoltcp::socket::tcp::{Socket, State},
    std::io::ErrorKind,
};

/// Bytes read from the backend server at once.
const READ_BYTES: usize = 4_096;

/// What has ended on the connection to the backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerSide {
    /// The caller's end of stream was passed on.
    write_ended: bool,
    /// The backend server's end of stream was seen.
    read_ended: bool,
}

/// How a splice ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All that could be moved now was moved.
    Progress,
    /// The connection to the backend server failed.
    ServerFailed,
}

impl ServerSide {
    /// Tells whether both directions ended with an end of stream.
    pub const fn ended_cleanly(self) -> bool {
        self.write_ended && self.read_ended
    }

    /// Tells whether the backend server ended its stream, after which a reset is no failure.
    pub const fn server_ended(self) -> bool {
        self.read_ended
    }

    /// Moves what can be moved now in both directions.
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
        // The half-close is passed on once all bytes before it were written.
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

    fn copy_to_caller(
        &mut self,
        id: FlowId,
        socket: &mut Socket<'static>,
        io: &mut dyn AgentIo,
    ) -> bool {
        let mut buffer = [0; READ_BYTES];
        while !self.read_ended && socket.can_send() {
            let room = (socket.send_capacity() - socket.send_queue()).min(READ_BYTES);
            match io.read(id, &mut buffer[..room]) {
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
