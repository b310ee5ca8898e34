//! The parts of a packet that decisions need, and the trait that reads them from the wire.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddrV4},
};

/// Identifies a flow by the addresses of its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}->{}", self.caller, self.service)
    }
}

/// Control bits of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentFlags {
    /// Opens a flow.
    pub is_syn: bool,
    /// The acknowledgment number is valid.
    pub is_ack: bool,
    /// The sender has no more data.
    pub is_fin: bool,
    /// The sender aborts the flow.
    pub is_rst: bool,
    /// The backend server returned a packet that it does not take.
    pub is_returned: bool,
}

/// The header fields of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Sender's end of the flow.
    pub source: SocketAddrV4,
    /// Receiver's end of the flow.
    pub destination: SocketAddrV4,
    /// Control bits.
    pub flags: SegmentFlags,
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Next sequence number that the sender expects. In an opening packet of a caller, the number
    /// of copies sent before this one.
    pub acknowledgment: u32,
    /// Bytes of data.
    pub payload_bytes: u16,
    /// Status code of the answer, as in HTTP, if the data look like the beginning of one.
    pub response_status: Option<u16>,
}

impl Segment {
    /// Returns the flow of a packet that a caller sent.
    #[must_use]
    pub const fn flow_from_caller(&self) -> FlowId {
        FlowId {
            caller: self.source,
            service: self.destination,
        }
    }

    /// Returns the flow of a packet that a backend server sent.
    #[must_use]
    pub const fn flow_from_server(&self) -> FlowId {
        FlowId {
            caller: self.destination,
            service: self.source,
        }
    }

    /// Returns the packet that aborts a flow towards its caller. `sequence` is the next sequence
    /// number that the caller expects.
    #[must_use]
    pub const fn reset(flow: &FlowId, sequence: u32) -> Self {
        Self {
            source: flow.service,
            destination: flow.caller,
            flags: SegmentFlags {
                is_rst: true,
                is_syn: false,
                is_ack: false,
                is_fin: false,
                is_returned: false,
            },
            sequence,
            acknowledgment: 0,
            payload_bytes: 0,
            response_status: None,
        }
    }

    /// Returns the data of the packet that this is the header of.
    #[must_use]
    pub fn payload<'a>(&self, packet: &'a [u8]) -> &'a [u8] {
        &packet[packet.len() - usize::from(self.payload_bytes)..]
    }

    /// Tells whether this packet opens a flow.
    #[must_use]
    pub const fn is_syn_without_ack(&self) -> bool {
        self.flags.is_syn && !self.flags.is_ack
    }
}

/// Reads and writes packets of callers and backend servers.
pub trait PacketFormat: Send + Sync {
    /// Reads the header of a packet; `None` when it is malformed.
    fn parse(&self, packet: &[u8]) -> Option<Segment>;

    /// Restores a bounced packet to what its sender wrote.
    fn restore(&self, packet: &mut [u8]);

    /// Returns a packet of the system's own, which carries `segment.payload_bytes` of `payload`.
    fn encode(&self, segment: &Segment, payload: &[u8]) -> Vec<u8>;
}
