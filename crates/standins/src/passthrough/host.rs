//! Model of a backend server that keeps the state of its flows and processes one request per slot.

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
    /// Number of requests that it processes at the same time.
    pub slots: usize,
    /// Number of requests that may wait for a slot; further ones are dropped, as by a server that
    /// sheds load.
    pub queue_capacity: usize,
    /// Mean processing time of one request.
    pub service_time: Span,
    /// Largest deviation of the processing time from its mean, as a share of it.
    pub service_time_spread: f64,
}

impl Default for HostOptions {
    fn default() -> Self {
        Self {
            slots: 4,
            queue_capacity: 16,
            service_time: Span::from_millis(22),
            service_time_spread: 0.0,
        }
    }
}

/// Event at a backend server that the oracle checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// The first SYN of a flow arrived.
    NewFlow(FlowId),
    /// A request, identified by its number, was accepted for processing.
    Request(FlowId, u64),
    /// A request, identified by its number, was dropped because all slots and the queue were full.
    Shed(FlowId, u64),
}

/// TCP state of a flow. `is_open` is false while only the SYN has arrived.
#[derive(Debug)]
struct HostFlow {
    /// Sequence number of the next response.
    next_sequence: u32,
    /// Sequence number of the next request.
    next_expected: u32,
    is_open: bool,
    is_ended: bool,
    /// Sequence number and content of the latest response, for retransmissions.
    latest_response: Option<(u32, u64)>,
}

/// State of a modelled backend server.
#[derive(Debug)]
pub struct HostModel {
    options: HostOptions,
    flows: HashMap<FlowId, HostFlow>,
    /// Completion time, flow and number of each request in a slot.
    running: Vec<(Time, FlowId, u64)>,
    /// Flow and number of each request that waits for a slot.
    waiting: VecDeque<(FlowId, u64)>,
    /// Chooses the initial sequence numbers of flows and the requests that fail.
    random: ChaCha8Rng,
    /// Share of requests that fail, from 0 to 1.
    failure_ratio: f64,
    /// End of its startup. Until then it resets unknown flows in place of returning their packets.
    startup_end: Time,
    /// Events since the caller last cleared this list.
    pub events: Vec<ServerEvent>,
}

/// Length of a request and of a response, which carry only the number of the request.
const MESSAGE_BYTES: u16 = 8;

/// Bit that is set in the number of a response when the request failed.
pub(super) const FAILURE_FLAG: u64 = 1 << 63;

impl HostModel {
    /// Creates a backend server without flows that is starting until `startup_end`. Different values
    /// of `seed` give backend servers different sequence numbers.
    #[must_use]
    pub fn new(options: HostOptions, seed: u64, startup_end: Time) -> Self {
        Self {
            options,
            flows: HashMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            failure_ratio: 0.0,
            startup_end,
            events: Vec::new(),
        }
    }

    /// Sets the share of requests that fail, from 0 to 1.
    pub const fn set_failure_ratio(&mut self, ratio: f64) {
        self.failure_ratio = ratio;
    }

    /// Sets the mean processing time of a request.
    pub const fn set_service_time(&mut self, service_time: Span) {
        self.options.service_time = service_time;
    }

    /// Returns whether a flow is open, that is, its handshake is complete and it has not ended.
    #[must_use]
    pub fn has_open_flow(&self, flow: &FlowId) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|state| state.is_open && !state.is_ended)
    }

    /// Returns the number of open flows.
    #[must_use]
    pub fn open_flows(&self) -> usize {
        self.flows
            .values()
            .filter(|state| state.is_open && !state.is_ended)
            .count()
    }

    /// Processes a packet of a caller and returns the packets to send. Packets of unknown flows are
    /// returned as undeliverable.
    pub fn on_packet(
        &mut self,
        now: Time,
        segment: &Segment,
        payload: &[u8],
    ) -> Vec<(Segment, Vec<u8>)> {
        let flow = segment.flow_from_caller();
        if segment.is_syn_without_ack() {
            return vec![self.accept_syn(&flow, segment)];
        }
        let Some(state) = self.flows.get_mut(&flow) else {
            if now < self.startup_end {
                let reset = Segment::reset(&flow, segment.acknowledgment);
                return vec![(reset, Vec::new())];
            }
            return vec![returned(segment, payload)];
        };
        if state.is_ended {
            return match (segment.flags.is_fin, segment.payload_bytes) {
                (true, _) => vec![acknowledgment(
                    segment,
                    state,
                    SegmentFlags {
                        is_ack: true,
                        ..SegmentFlags::default()
                    },
                )],
                (false, 0) => Vec::new(),
                (false, _) => vec![(Segment::reset(&flow, segment.acknowledgment), Vec::new())],
            };
        }
        if !state.is_open {
            if segment.acknowledgment != state.next_sequence {
                return vec![returned(segment, payload)];
            }
            state.is_open = true;
        }
        if segment.flags.is_rst {
            state.is_ended = true;
            return Vec::new();
        }
        if segment.flags.is_fin {
            state.is_ended = true;
            let flags = SegmentFlags {
                is_ack: true,
                is_fin: true,
                ..SegmentFlags::default()
            };
            return vec![acknowledgment(segment, state, flags)];
        }
        let Ok(number) = <[u8; 8]>::try_from(payload) else {
            return Vec::new();
        };
        let number = u64::from_be_bytes(number);
        if segment.sequence == state.next_expected {
            state.next_expected = state.next_expected.wrapping_add(u32::from(MESSAGE_BYTES));
            state.latest_response = None;
            self.accept_request(now, flow, number);
            return Vec::new();
        }
        let retransmission = state
            .latest_response
            .map(|(sequence, number)| response(&flow, sequence, state.next_expected, number));
        retransmission.into_iter().collect()
    }

    /// Completes the requests whose processing time is over, starts waiting ones and returns the
    /// responses.
    pub fn on_timer(&mut self, now: Time) -> Vec<(Segment, Vec<u8>)> {
        let mut responses = Vec::new();
        while let Some(index) = self
            .running
            .iter()
            .position(|(completion, _, _)| *completion <= now)
        {
            let (_, flow, number) = self.running.swap_remove(index);
            if let Some(state) = self.flows.get_mut(&flow).filter(|state| !state.is_ended) {
                state.latest_response = Some((state.next_sequence, number));
                responses.push(response(
                    &flow,
                    state.next_sequence,
                    state.next_expected,
                    number,
                ));
                state.next_sequence = state.next_sequence.wrapping_add(u32::from(MESSAGE_BYTES));
            }
            if let Some((flow, number)) = self.waiting.pop_front() {
                self.start_request(now, flow, number);
            }
        }
        responses
    }

    /// Returns the time at which the next request completes, or `None` when none is in a slot.
    #[must_use]
    pub fn next_timer(&self) -> Option<Time> {
        self.running
            .iter()
            .map(|(completion, _, _)| *completion)
            .min()
    }

    /// Creates the state of a flow, unless it exists and has not ended, and returns the SYN-ACK. A
    /// retransmitted SYN is answered with the same sequence number.
    fn accept_syn(&mut self, flow: &FlowId, segment: &Segment) -> (Segment, Vec<u8>) {
        let sequence: u32 = self.random.random();
        let is_new = self.flows.get(flow).is_none_or(|state| state.is_ended);
        if is_new {
            self.events.push(ServerEvent::NewFlow(*flow));
            self.flows.insert(
                *flow,
                HostFlow {
                    next_sequence: sequence.wrapping_add(1),
                    next_expected: segment.sequence.wrapping_add(1),
                    is_open: false,
                    is_ended: false,
                    latest_response: None,
                },
            );
        }
        let initial_sequence = self
            .flows
            .get(flow)
            .map_or(sequence, |state| state.next_sequence.wrapping_sub(1));
        let syn_ack = Segment {
            source: flow.service,
            destination: flow.caller,
            flags: SegmentFlags {
                is_syn: true,
                is_ack: true,
                ..SegmentFlags::default()
            },
            sequence: initial_sequence,
            acknowledgment: segment.sequence.wrapping_add(1),
            payload_bytes: 0,
            response_status: None,
        };
        (syn_ack, Vec::new())
    }

    fn start_request(&mut self, now: Time, flow: FlowId, number: u64) {
        let HostOptions {
            service_time: Span(mean_us),
            service_time_spread: spread,
            ..
        } = self.options;
        let deviation = if spread > 0.0 {
            self.random.random_range(-spread..=spread)
        } else {
            0.0
        };
        // The deviation is larger than -1, and service times are far below 2^52 microseconds.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let service_time = Span((mean_us as f64 * (1.0 + deviation)) as u64);
        self.running.push((now + service_time, flow, number));
    }

    fn accept_request(&mut self, now: Time, flow: FlowId, number: u64) {
        if self.failure_ratio > 0.0 && self.random.random_bool(self.failure_ratio) {
            self.running.push((now, flow, number | FAILURE_FLAG));
        } else if self.running.len() < self.options.slots {
            self.start_request(now, flow, number);
        } else if self.waiting.len() < self.options.queue_capacity {
            self.waiting.push_back((flow, number));
        } else {
            self.events.push(ServerEvent::Shed(flow, number));
            return;
        }
        self.events.push(ServerEvent::Request(flow, number));
    }
}

/// Returns a packet as undeliverable.
fn returned(segment: &Segment, payload: &[u8]) -> (Segment, Vec<u8>) {
    let mut undeliverable = *segment;
    undeliverable.flags.is_returned = true;
    (undeliverable, payload.to_vec())
}

/// Returns a packet without payload that acknowledges `segment`.
fn acknowledgment(segment: &Segment, state: &HostFlow, flags: SegmentFlags) -> (Segment, Vec<u8>) {
    let acknowledgment = Segment {
        source: segment.destination,
        destination: segment.source,
        flags,
        sequence: state.next_sequence,
        acknowledgment: segment.sequence.wrapping_add(1),
        payload_bytes: 0,
        response_status: None,
    };
    (acknowledgment, Vec::new())
}

/// Returns the response to a request.
fn response(flow: &FlowId, sequence: u32, acknowledgment: u32, number: u64) -> (Segment, Vec<u8>) {
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

/// Returns the HTTP status that the number in a response stands for.
pub(super) const fn status_of(number: u64) -> u16 {
    if number & FAILURE_FLAG == 0 { 200 } else { 500 }
}
