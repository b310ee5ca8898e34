//! Parsing of callers' IP packets, and the reset packets sent to callers.

use {
    etherparse::{IpSlice, TcpHeaderSlice},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        net::{IpAddr, SocketAddr},
    },
};

/// Result of parsing a packet.
pub type Result<T> = std::result::Result<T, DropCause>;

/// Identifies a TCP flow by the addresses and ports of its caller-to-service packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddr,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}->{}", self.caller, self.service)
    }
}

/// Why a packet was dropped; the names are the `cause` labels of the drop counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropCause {
    /// The encapsulation header is truncated or unsupported.
    BadEncapsulation,
    /// The forward header is truncated, has an unsupported version or a wrong tag.
    BadForwardHeader,
    /// The IP packet is truncated or malformed.
    MalformedIp,
    /// The IP packet is a fragment.
    Fragment,
    /// The IP payload is not TCP.
    NotTcp,
    /// The TCP header is truncated or malformed.
    MalformedTcp,
    /// The destination address and port belong to no service.
    UnknownAddress,
    /// The service has no host that can receive the packet.
    NoCandidate,
    /// The packet belongs to a service other than this agent's.
    WrongService,
    /// The packet visited all candidates without reaching an owner, and its owner may be elsewhere
    /// because processes still have different candidate tables.
    Settling,
    /// No agent is known to own the flow, but that is not confirmed well enough to send a reset.
    UnknownFlow,
    /// The failure domain of this process is out of service.
    DomainOut,
    /// The packet reached the limit of hops.
    HopLimit,
    /// A queue or table is full.
    LimitExceeded,
    /// The process was paused and has not yet confirmed its configuration.
    Stale,
    /// The socket did not accept the datagram.
    SendFailed,
}

impl DropCause {
    /// All causes, in declaration order.
    pub const ALL: [Self; 16] = [
        Self::BadEncapsulation,
        Self::BadForwardHeader,
        Self::MalformedIp,
        Self::Fragment,
        Self::NotTcp,
        Self::MalformedTcp,
        Self::UnknownAddress,
        Self::NoCandidate,
        Self::WrongService,
        Self::Settling,
        Self::UnknownFlow,
        Self::DomainOut,
        Self::HopLimit,
        Self::LimitExceeded,
        Self::Stale,
        Self::SendFailed,
    ];

    /// Returns the value of the `cause` label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadEncapsulation => "bad_encapsulation",
            Self::BadForwardHeader => "bad_forward_header",
            Self::MalformedIp => "malformed_ip",
            Self::Fragment => "fragment",
            Self::NotTcp => "not_tcp",
            Self::MalformedTcp => "malformed_tcp",
            Self::UnknownAddress => "unknown_address",
            Self::NoCandidate => "no_candidate",
            Self::WrongService => "wrong_service",
            Self::Settling => "settling",
            Self::UnknownFlow => "unknown_flow",
            Self::DomainOut => "domain_out",
            Self::HopLimit => "hop_limit",
            Self::LimitExceeded => "limit_exceeded",
            Self::Stale => "stale",
            Self::SendFailed => "send_failed",
        }
    }
}

impl fmt::Display for DropCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// The fields of a TCP packet that decide its placement and the owner of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketMeta {
    /// Flow that the packet belongs to.
    pub flow: FlowKey,
    /// TCP sequence number.
    pub sequence: u32,
    /// TCP acknowledgement number, if the ACK flag is set.
    pub acknowledgement: Option<u32>,
    /// SYN flag.
    pub syn: bool,
    /// FIN flag.
    pub fin: bool,
    /// RST flag.
    pub rst: bool,
    /// Bytes of TCP payload.
    pub payload_bytes: usize,
}

impl PacketMeta {
    /// Returns whether the packet opens a flow: SYN without ACK or RST.
    #[must_use]
    pub const fn opens_flow(&self) -> bool {
        self.syn && self.acknowledgement.is_none() && !self.rst
    }

    /// Returns the length of the segment in sequence space, RFC 9293 section 3.4.
    #[must_use]
    pub fn sequence_length(&self) -> u32 {
        let payload = u32::try_from(self.payload_bytes).unwrap_or(u32::MAX);
        payload
            .wrapping_add(u32::from(self.syn))
            .wrapping_add(u32::from(self.fin))
    }
}

/// Parses an IPv4 or IPv6 packet that carries TCP.
///
/// # Errors
///
/// Returns the cause to drop and count the packet under.
pub fn parse(packet: &[u8]) -> Result<PacketMeta> {
    let ip = IpSlice::from_slice(packet).map_err(|_| DropCause::MalformedIp)?;
    if ip.is_fragmenting_payload() {
        return Err(DropCause::Fragment);
    }
    let payload = ip.payload();
    if payload.ip_number != etherparse::IpNumber::TCP {
        return Err(DropCause::NotTcp);
    }
    let tcp = TcpHeaderSlice::from_slice(payload.payload).map_err(|_| DropCause::MalformedTcp)?;
    let (source, destination) = (ip.source_addr(), ip.destination_addr());
    if !is_unicast(source) || !is_unicast(destination) {
        return Err(DropCause::MalformedIp);
    }
    Ok(PacketMeta {
        flow: FlowKey {
            caller: SocketAddr::new(source, tcp.source_port()),
            service: SocketAddr::new(destination, tcp.destination_port()),
        },
        sequence: tcp.sequence_number(),
        acknowledgement: tcp.ack().then(|| tcp.acknowledgment_number()),
        syn: tcp.syn(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        payload_bytes: payload.payload.len() - tcp.slice().len(),
    })
}

fn is_unicast(address: IpAddr) -> bool {
    !address.is_multicast() && !address.is_unspecified()
}

/// Builds the reset in response to a segment of a nonexistent flow, RFC 9293 section 3.10.7.1.
///
/// Returns `None` for a segment that is itself a reset, which gets no response, and for addresses
/// of different IP versions.
#[must_use]
pub fn reset_for(meta: &PacketMeta) -> Option<Vec<u8>> {
    if meta.rst {
        return None;
    }
    let (caller, service) = (meta.flow.caller, meta.flow.service);
    let builder = match (service.ip(), caller.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            etherparse::PacketBuilder::ipv4(from.octets(), to.octets(), RESET_HOP_LIMIT)
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            etherparse::PacketBuilder::ipv6(from.octets(), to.octets(), RESET_HOP_LIMIT)
        }
        _ => return None,
    };
    let sequence = meta.acknowledgement.unwrap_or(0);
    let tcp = builder
        .tcp(service.port(), caller.port(), sequence, 0)
        .rst();
    let tcp = if meta.acknowledgement.is_some() {
        tcp
    } else {
        tcp.ack(meta.sequence.wrapping_add(meta.sequence_length()))
    };
    let mut packet = Vec::with_capacity(tcp.size(0));
    tcp.write(&mut packet, &[]).ok()?;
    Some(packet)
}

const RESET_HOP_LIMIT: u8 = 64;
