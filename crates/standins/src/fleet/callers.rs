//! Callers in virtual time: they open flows, keep them for a time and close them.

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

/// Time after which an opening packet without an answer is sent again.
const RESEND: Span = Span::from_secs(1);

/// Opening packets of one flow before its caller gives up.
const MAX_OPENINGS: u32 = 3;

const PORTS_PER_ADDRESS: u32 = 50_000;

/// What callers saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerCounts {
    /// Flows that callers tried to open.
    pub offered: u64,
    /// Flows that were established.
    pub served: u64,
    /// Flows that were refused with a reset before any byte.
    pub refused: u64,
    /// Flows whose opening packets were never answered.
    pub unanswered: u64,
    /// Established flows that were reset.
    pub broken: u64,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Opening { sent: Time, openings: u32 },
    Open { host: usize },
}

/// TCP fields of a packet to send for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Opens the flow.
    Open,
    /// Acknowledges the answer to the opening packet.
    Acknowledge(u32),
    /// Ends the flow at once.
    Reset,
}

/// All callers.
#[derive(Debug)]
pub struct Callers {
    service: SocketAddr,
    flows: HashMap<FlowKey, (Phase, Span)>,
    closing: BTreeMap<Time, Vec<FlowKey>>,
    resending: BTreeMap<Time, Vec<FlowKey>>,
    next: u32,
    /// What callers saw.
    pub counts: CallerCounts,
}

impl Callers {
    /// Creates callers of a service address.
    #[must_use]
    pub fn new(service: SocketAddr) -> Self {
        Self {
            service,
            flows: HashMap::new(),
            closing: BTreeMap::new(),
            resending: BTreeMap::new(),
            next: 0,
            counts: CallerCounts::default(),
        }
    }

    /// Enters a new flow that is kept for `lifetime` once it is established.
    pub fn open(&mut self, now: Time, lifetime: Span) -> FlowKey {
        let [.., high, low] = (self.next / PORTS_PER_ADDRESS).to_be_bytes();
        let port = u16::try_from(10_000 + self.next % PORTS_PER_ADDRESS).unwrap_or(u16::MAX);
        self.next += 1;
        let address = IpAddr::V4(Ipv4Addr::new(198, 18, high, low + 1));
        let flow = FlowKey {
            caller: SocketAddr::new(address, port),
            service: self.service,
        };
        let phase = Phase::Opening {
            sent: now,
            openings: 1,
        };
        self.flows.insert(flow, (phase, lifetime));
        self.resending.entry(now + RESEND).or_default().push(flow);
        self.counts.offered += 1;
        flow
    }

    /// Returns the packets that are due without an answer from a host.
    pub fn due(&mut self, now: Time) -> Vec<(FlowKey, Segment)> {
        let mut due = Vec::new();
        while let Some(entry) = self.closing.first_entry()
            && *entry.key() <= now
        {
            for flow in entry.remove() {
                if self.flows.remove(&flow).is_some() {
                    due.push((flow, Segment::Reset));
                }
            }
        }
        while let Some(entry) = self.resending.first_entry()
            && *entry.key() <= now
        {
            for flow in entry.remove() {
                self.resend(now, flow, &mut due);
            }
        }
        due
    }

    fn resend(&mut self, now: Time, flow: FlowKey, due: &mut Vec<(FlowKey, Segment)>) {
        let Some((Phase::Opening { sent, openings }, _)) = self.flows.get_mut(&flow) else {
            return;
        };
        if *openings >= MAX_OPENINGS {
            self.flows.remove(&flow);
            self.counts.unanswered += 1;
            return;
        }
        (*sent, *openings) = (now, *openings + 1);
        self.resending.entry(now + RESEND).or_default().push(flow);
        due.push((flow, Segment::Open));
    }

    /// Processes a packet of a host and returns the answer; `percent` scales the lifetime.
    pub fn receive(
        &mut self,
        now: Time,
        host: usize,
        percent: u64,
        meta: &PacketMeta,
    ) -> Option<(FlowKey, Segment)> {
        let flow = FlowKey {
            caller: meta.flow.service,
            service: meta.flow.caller,
        };
        let (phase, lifetime) = self.flows.get_mut(&flow)?;
        if meta.rst {
            match phase {
                Phase::Opening { .. } => self.counts.refused += 1,
                Phase::Open { .. } => self.counts.broken += 1,
            }
            self.flows.remove(&flow);
            return None;
        }
        if !meta.syn {
            return None;
        }
        if matches!(phase, Phase::Opening { .. }) {
            *phase = Phase::Open { host };
            let end = now + Span(lifetime.0.saturating_mul(percent) / 100);
            self.closing.entry(end).or_default().push(flow);
            self.counts.served += 1;
        }
        Some((flow, Segment::Acknowledge(meta.sequence.wrapping_add(1))))
    }

    /// Forgets the flows of a host that were given up and returns how many there were.
    pub fn give_up(&mut self, host: usize) -> usize {
        let before = self.flows.len();
        self.flows
            .retain(|_, (phase, _)| !matches!(phase, Phase::Open { host: of } if *of == host));
        before - self.flows.len()
    }
}

/// Initial sequence number of every caller.
const CALLER_ISN: u32 = 1_000;

/// Returns the IP packet of a segment.
///
/// # Errors
///
/// Fails with kind `malformed` when the flow is not IPv4 or the packet cannot be written.
pub fn packet(flow: &FlowKey, segment: Segment) -> Result<Vec<u8>> {
    let (IpAddr::V4(from), IpAddr::V4(to)) = (flow.caller.ip(), flow.service.ip()) else {
        return Err(malformed("fleet: flows are IPv4"));
    };
    let sequence = if segment == Segment::Open {
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
        Segment::Open => tcp.syn(),
        Segment::Acknowledge(next) => tcp.ack(next),
        Segment::Reset => tcp.rst(),
    };
    let mut bytes = Vec::new();
    tcp.write(&mut bytes, &[])
        .map_err(|error| malformed(format!("fleet: {error}")))?;
    Ok(bytes)
}
