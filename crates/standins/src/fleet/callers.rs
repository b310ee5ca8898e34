//! Callers that open flows, keep them for a lifetime and reset them.

use {
    cardamomloom_core::{
        Span, Time,
        error::{Error, malformed},
    },
    cardamomloom_protocol::packet::{FlowKey, PacketMeta},
    std::{
        collections::{BTreeMap, HashMap},
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
};

/// Result of building a packet.
pub type Result<T> = std::result::Result<T, Error>;

/// Time after which an unanswered SYN is retransmitted.
const SYN_RETRANSMIT_INTERVAL: Span = Span::from_secs(1);

/// Maximum number of SYNs of one flow, after which the caller gives up.
const MAX_SYNS: u32 = 3;

/// Number of flows that callers open from one address.
const PORTS_PER_ADDRESS: u32 = 50_000;

/// Numbers of flows by outcome, as callers observed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerCounts {
    /// Flows whose first SYN callers sent.
    pub offered: u64,
    /// Flows that were established.
    pub served: u64,
    /// Flows that were reset before they were established.
    pub refused: u64,
    /// Flows whose SYNs were never answered.
    pub unanswered: u64,
    /// Established flows that were reset.
    pub broken: u64,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Waits for a SYN-ACK; `syns` counts the SYNs so far.
    SynSent { sent_at: Time, syns: u32 },
    /// Established at an agent of the host with this index.
    Open { host: usize },
}

/// TCP segment that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Segment {
    /// A SYN.
    Syn,
    /// The acknowledgement of a SYN-ACK, with its acknowledgement number.
    Acknowledge(u32),
    /// A reset that ends the flow.
    Reset,
}

/// State of all callers of a service.
#[derive(Debug)]
pub struct Callers {
    service: SocketAddr,
    /// Phase and lifetime of each flow.
    flows: HashMap<FlowKey, (Phase, Span)>,
    /// Established flows by the end of their lifetime.
    lifetime_ends: BTreeMap<Time, Vec<FlowKey>>,
    /// Flows by the time at which their SYN is retransmitted unless it was answered.
    retransmissions: BTreeMap<Time, Vec<FlowKey>>,
    /// Number of flows that were opened, from which the address and port of the next one follow.
    opened: u32,
    /// Numbers of flows by outcome.
    pub counts: CallerCounts,
}

impl Callers {
    /// Creates callers without flows to a service address.
    #[must_use]
    pub fn new(service: SocketAddr) -> Self {
        Self {
            service,
            flows: HashMap::new(),
            lifetime_ends: BTreeMap::new(),
            retransmissions: BTreeMap::new(),
            opened: 0,
            counts: CallerCounts::default(),
        }
    }

    /// Adds a new flow, which is kept for `lifetime` once it is established. The caller of this
    /// function sends the first SYN.
    pub fn open(&mut self, now: Time, lifetime: Span) -> FlowKey {
        let [.., high, low] = (self.opened / PORTS_PER_ADDRESS).to_be_bytes();
        let port = u16::try_from(10_000 + self.opened % PORTS_PER_ADDRESS).unwrap_or(u16::MAX);
        self.opened += 1;
        let address = IpAddr::V4(Ipv4Addr::new(198, 18, high, low + 1));
        let flow = FlowKey {
            caller: SocketAddr::new(address, port),
            service: self.service,
        };
        let phase = Phase::SynSent {
            sent_at: now,
            syns: 1,
        };
        self.flows.insert(flow, (phase, lifetime));
        self.retransmissions
            .entry(now + SYN_RETRANSMIT_INTERVAL)
            .or_default()
            .push(flow);
        self.counts.offered += 1;
        flow
    }

    /// Processes the timers that have expired and returns the segments to send: resets of flows
    /// whose lifetime is over, and retransmitted SYNs.
    pub fn on_timer(&mut self, now: Time) -> Vec<(FlowKey, Segment)> {
        let mut segments = Vec::new();
        while let Some(entry) = self.lifetime_ends.first_entry()
            && *entry.key() <= now
        {
            for flow in entry.remove() {
                if self.flows.remove(&flow).is_some() {
                    segments.push((flow, Segment::Reset));
                }
            }
        }
        while let Some(entry) = self.retransmissions.first_entry()
            && *entry.key() <= now
        {
            for flow in entry.remove() {
                self.retransmit_syn(now, flow, &mut segments);
            }
        }
        segments
    }

    fn retransmit_syn(&mut self, now: Time, flow: FlowKey, segments: &mut Vec<(FlowKey, Segment)>) {
        let Some((Phase::SynSent { sent_at, syns }, _)) = self.flows.get_mut(&flow) else {
            return;
        };
        if *syns >= MAX_SYNS {
            self.flows.remove(&flow);
            self.counts.unanswered += 1;
            return;
        }
        (*sent_at, *syns) = (now, *syns + 1);
        self.retransmissions
            .entry(now + SYN_RETRANSMIT_INTERVAL)
            .or_default()
            .push(flow);
        segments.push((flow, Segment::Syn));
    }

    /// Processes a packet from a host and returns the segment to send in reply.
    ///
    /// `lifetime_percent` scales the lifetime of a flow that the packet establishes.
    pub fn receive(
        &mut self,
        now: Time,
        host: usize,
        lifetime_percent: u64,
        meta: &PacketMeta,
    ) -> Option<(FlowKey, Segment)> {
        let flow = FlowKey {
            caller: meta.flow.service,
            service: meta.flow.caller,
        };
        let (phase, lifetime) = self.flows.get_mut(&flow)?;
        if meta.rst {
            match phase {
                Phase::SynSent { .. } => self.counts.refused += 1,
                Phase::Open { .. } => self.counts.broken += 1,
            }
            self.flows.remove(&flow);
            return None;
        }
        if !meta.syn {
            return None;
        }
        if matches!(phase, Phase::SynSent { .. }) {
            *phase = Phase::Open { host };
            let end = now + Span(lifetime.0.saturating_mul(lifetime_percent) / 100);
            self.lifetime_ends.entry(end).or_default().push(flow);
            self.counts.served += 1;
        }
        Some((flow, Segment::Acknowledge(meta.sequence.wrapping_add(1))))
    }

    /// Removes the established flows of a host without counting them as broken, and returns their
    /// number.
    pub fn remove_flows_of(&mut self, host: usize) -> usize {
        let previous_len = self.flows.len();
        self.flows.retain(
            |_, (phase, _)| !matches!(phase, Phase::Open { host: owner } if *owner == host),
        );
        previous_len - self.flows.len()
    }
}

/// Initial sequence number of every caller.
const CALLER_ISN: u32 = 1_000;

/// Encodes a segment of a flow as an IPv4 packet.
///
/// # Errors
///
/// Returns an error of kind `malformed` when the flow is not IPv4 or the packet cannot be encoded.
pub fn packet(flow: &FlowKey, segment: Segment) -> Result<Vec<u8>> {
    let (IpAddr::V4(from), IpAddr::V4(to)) = (flow.caller.ip(), flow.service.ip()) else {
        return Err(malformed(format!(
            "fleet: flow from {} to {} is not IPv4",
            flow.caller, flow.service
        )));
    };
    let sequence = if segment == Segment::Syn {
        CALLER_ISN
    } else {
        CALLER_ISN + 1
    };
    let tcp = etherparse::PacketBuilder::ipv4(from.octets(), to.octets(), 64).tcp(
        flow.caller.port(),
        flow.service.port(),
        sequence,
        8_192,
    );
    let tcp = match segment {
        Segment::Syn => tcp.syn(),
        Segment::Acknowledge(next) => tcp.ack(next),
        Segment::Reset => tcp.rst(),
    };
    let mut bytes = Vec::new();
    tcp.write(&mut bytes, &[])
        .map_err(|error| malformed(format!("fleet: cannot encode TCP packet: {error}")))?;
    Ok(bytes)
}
