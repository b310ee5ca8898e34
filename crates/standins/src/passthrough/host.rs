//! A backend server that keeps the state of its flows and works on one request per slot.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, Segment, SegmentFlags},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{HashMap, VecDeque},
};

/// Limits of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct HostOptions {
    /// Requests that it works on at the same time.
    pub slots: usize,
    /// Requests that may wait; more are dropped, as by a server that sheds load.
    pub queue_capacity: usize,
    /// Work of one request.
    pub service_time: Span,
}

impl Default for HostOptions {
    fn default() -> Self {
        Self {
            slots: 4,
            queue_capacity: 16,
            service_time: Span::from_millis(22),
        }
    }
}

/// What a backend server took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// The opening packet of a flow.
    NewFlow(FlowId),
    /// A request, by its number.
    Request(FlowId, u64),
    /// A request that found no slot and no place to wait.
    Shed(FlowId, u64),
}

#[derive(Debug)]
struct HostFlow {
    sequence: u32,
    expected: u32,
    is_open: bool,
    is_ended: bool,
    /// Sequence number and content of the latest answer.
    answer: Option<(u32, u64)>,
}

/// State of a backend server.
#[derive(Debug)]
pub struct HostModel {
    options: HostOptions,
    flows: HashMap<FlowId, HostFlow>,
    running: Vec<(Time, FlowId, u64)>,
    waiting: VecDeque<(FlowId, u64)>,
    /// Gives the first sequence numbers of flows.
    random: ChaCha8Rng,
    /// Share of requests that it fails.
    failing: f64,
    /// Time until which it resets packets of flows that it does not hold, in place of returning
    /// them.
    starts_until: Time,
    /// What it took since this was last cleared.
    pub events: Vec<ServerEvent>,
}

/// Bytes of a request and of an answer: its number.
const MESSAGE_BYTES: u16 = 8;

/// Marks the number in an answer that says that the request failed.
pub(super) const FAILURE: u64 = 1 << 63;

impl HostModel {
    /// Creates a backend server; `seed` makes its sequence numbers differ from those of others, and
    /// it is starting until `starts_until`.
    #[must_use]
    pub fn new(options: HostOptions, seed: u64, starts_until: Time) -> Self {
        Self {
            options,
            flows: HashMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            failing: 0.0,
            starts_until,
            events: Vec::new(),
        }
    }

    /// Sets the share of requests that it fails.
    pub const fn set_failure_ratio(&mut self, share: f64) {
        self.failing = share;
    }

    /// Tells whether it holds an open flow.
    #[must_use]
    pub fn has_open_flow(&self, flow: &FlowId) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|held| held.is_open && !held.is_ended)
    }

    /// Returns the number of open flows.
    #[must_use]
    pub fn open_flows(&self) -> usize {
        self.flows
            .values()
            .filter(|flow| flow.is_open && !flow.is_ended)
            .count()
    }

    /// Processes a packet of a caller and returns the packets to send.
    pub fn on_packet(
        &mut self,
        now: Time,
        segment: &Segment,
        payload: &[u8],
    ) -> Vec<(Segment, Vec<u8>)> {
        let flow = segment.flow_from_caller();
        if segment.is_syn_without_ack() {
            return vec![self.open(&flow, segment)];
        }
        let Some(held) = self.flows.get_mut(&flow) else {
            if now < self.starts_until {
                let reset = Segment::reset(&flow, segment.acknowledgment);
                return vec![(reset, Vec::new())];
            }
            return vec![bounced(segment, payload)];
        };
        if held.is_ended {
            return match (segment.flags.is_fin, segment.payload_bytes) {
                (true, _) => vec![answer(
                    segment,
                    held,
                    SegmentFlags {
                        is_ack: true,
                        ..SegmentFlags::default()
                    },
                )],
                (false, 0) => Vec::new(),
                (false, _) => vec![(Segment::reset(&flow, segment.acknowledgment), Vec::new())],
            };
        }
        if !held.is_open {
            if segment.acknowledgment != held.sequence {
                return vec![bounced(segment, payload)];
            }
            held.is_open = true;
        }
        if segment.flags.is_rst {
            held.is_ended = true;
            return Vec::new();
        }
        if segment.flags.is_fin {
            held.is_ended = true;
            let flags = SegmentFlags {
                is_ack: true,
                is_fin: true,
                ..SegmentFlags::default()
            };
            return vec![answer(segment, held, flags)];
        }
        let Ok(number) = <[u8; 8]>::try_from(payload) else {
            return Vec::new();
        };
        let number = u64::from_be_bytes(number);
        if segment.sequence == held.expected {
            held.expected = held.expected.wrapping_add(u32::from(MESSAGE_BYTES));
            held.answer = None;
            self.request(now, flow, number);
            return Vec::new();
        }
        let repeated = held
            .answer
            .map(|(sequence, number)| data(&flow, sequence, held.expected, number));
        repeated.into_iter().collect()
    }

    /// Ends the work that is done and returns the answers.
    pub fn on_timer(&mut self, now: Time) -> Vec<(Segment, Vec<u8>)> {
        let mut answers = Vec::new();
        while let Some(index) = self.running.iter().position(|(due, _, _)| *due <= now) {
            let (_, flow, number) = self.running.swap_remove(index);
            if let Some(held) = self.flows.get_mut(&flow).filter(|held| !held.is_ended) {
                held.answer = Some((held.sequence, number));
                answers.push(data(&flow, held.sequence, held.expected, number));
                held.sequence = held.sequence.wrapping_add(u32::from(MESSAGE_BYTES));
            }
            if let Some((flow, number)) = self.waiting.pop_front() {
                self.running
                    .push((now + self.options.service_time, flow, number));
            }
        }
        answers
    }

    /// Returns the time of the next end of work.
    #[must_use]
    pub fn next_timer(&self) -> Option<Time> {
        self.running.iter().map(|(due, _, _)| *due).min()
    }

    fn open(&mut self, flow: &FlowId, segment: &Segment) -> (Segment, Vec<u8>) {
        let sequence: u32 = self.random.random();
        let is_new = self.flows.get(flow).is_none_or(|held| held.is_ended);
        if is_new {
            self.events.push(ServerEvent::NewFlow(*flow));
            self.flows.insert(
                *flow,
                HostFlow {
                    sequence: sequence.wrapping_add(1),
                    expected: segment.sequence.wrapping_add(1),
                    is_open: false,
                    is_ended: false,
                    answer: None,
                },
            );
        }
        let first = self
            .flows
            .get(flow)
            .map_or(sequence, |held| held.sequence.wrapping_sub(1));
        let opening = Segment {
            source: flow.service,
            destination: flow.caller,
            flags: SegmentFlags {
                is_syn: true,
                is_ack: true,
                ..SegmentFlags::default()
            },
            sequence: first,
            acknowledgment: segment.sequence.wrapping_add(1),
            payload_bytes: 0,
            response_status: None,
        };
        (opening, Vec::new())
    }

    fn request(&mut self, now: Time, flow: FlowId, number: u64) {
        if self.failing > 0.0 && self.random.random_bool(self.failing) {
            self.running.push((now, flow, number | FAILURE));
        } else if self.running.len() < self.options.slots {
            self.running
                .push((now + self.options.service_time, flow, number));
        } else if self.waiting.len() < self.options.queue_capacity {
            self.waiting.push_back((flow, number));
        } else {
            self.events.push(ServerEvent::Shed(flow, number));
            return;
        }
        self.events.push(ServerEvent::Request(flow, number));
    }
}

fn bounced(segment: &Segment, payload: &[u8]) -> (Segment, Vec<u8>) {
    let mut returned = *segment;
    returned.flags.is_returned = true;
    (returned, payload.to_vec())
}

fn answer(segment: &Segment, held: &HostFlow, flags: SegmentFlags) -> (Segment, Vec<u8>) {
    let answer = Segment {
        source: segment.destination,
        destination: segment.source,
        flags,
        sequence: held.sequence,
        acknowledgment: segment.sequence.wrapping_add(1),
        payload_bytes: 0,
        response_status: None,
    };
    (answer, Vec::new())
}

fn data(flow: &FlowId, sequence: u32, acknowledgment: u32, number: u64) -> (Segment, Vec<u8>) {
    let segment = Segment {
        source: flow.service,
        destination: flow.caller,
        flags: SegmentFlags {
            is_ack: true,
            ..SegmentFlags::default()
        },
        sequence,
        acknowledgment,
        payload_bytes: MESSAGE_BYTES,
        response_status: Some(status_of(number)),
    };
    (segment, number.to_be_bytes().to_vec())
}

/// Returns the status code that the number in an answer stands for.
pub(super) const fn status_of(number: u64) -> u16 {
    if number & FAILURE == 0 { 200 } else { 500 }
}
