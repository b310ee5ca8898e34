//! Model of a caller that opens one flow and sends requests on it, one after the other.

use {
    super::host::FAILURE_FLAG,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, Segment, SegmentFlags},
};

/// How a caller uses its flow.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// Number of requests on the flow.
    pub requests: u32,
    /// Pause between a response and the next request.
    pub pause: Span,
    /// Maximum time from a request to its response; that of the first request includes the handshake.
    pub request_timeout: Span,
    /// Number of further flows that the caller opens for its requests after a reset or a timeout.
    pub retries: u32,
}

impl Default for CallerOptions {
    fn default() -> Self {
        Self {
            requests: 1,
            pause: Span::ZERO,
            request_timeout: Span::from_millis(2_000),
            retries: 0,
        }
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// All requests were answered with success.
    Served,
    /// Neither the SYN nor its retransmissions were answered.
    NotOpened,
    /// The flow was reset before it was established.
    Refused,
    /// The flow was reset after it was established.
    Reset,
    /// A request was not answered within its timeout.
    TimedOut,
    /// The backend server answered that a request failed.
    Failed,
    /// A response belongs to another request.
    WrongAnswer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the SYN-ACK.
    SynSent {
        retransmissions: u32,
    },
    /// Waits for a response.
    Waiting,
    /// Waits to send the next request.
    Pausing,
    Done(CallerOutcome),
}

/// State of a modelled caller.
#[derive(Debug)]
pub struct Caller {
    options: CallerOptions,
    flow: FlowId,
    phase: Phase,
    initial_sequence: u32,
    /// Sequence number of the current request.
    sequence: u32,
    /// Sequence number of the next response.
    expected: u32,
    /// Number of the current request.
    request_number: u64,
    answered_requests: u32,
    /// Time of the first SYN, or since the second request the time of the current request.
    requested_at: Time,
    next_timer: Time,
    retransmit_interval: Span,
    /// Longest time from a request to its response so far; that of the first request includes the
    /// handshake.
    pub max_response_time: Span,
    /// Time of each answered request, and the time from it to its response.
    pub responses: Vec<(Time, Span)>,
}

/// Times after the first SYN at which it is retransmitted.
const SYN_RETRANSMISSIONS: [Span; 2] = [Span::from_millis(200), Span::from_millis(600)];
/// Time after the first SYN at which the caller gives up.
const SYN_TIMEOUT: Span = Span::from_millis(1_400);
/// Interval before the first retransmission of a request; it doubles with each one.
const MIN_RETRANSMIT_INTERVAL: Span = Span::from_millis(200);
const MAX_RETRANSMIT_INTERVAL: Span = Span::from_millis(1_600);
/// Length of a request and of a response.
const MESSAGE_BYTES: u16 = 8;

impl Caller {
    /// Creates a caller and returns it with its SYN. The first request has the number
    /// `first_request`, and each further one the next number.
    #[must_use]
    pub fn open(
        now: Time,
        flow: FlowId,
        first_request: u64,
        options: CallerOptions,
    ) -> (Self, Segment) {
        let [.., a, b, c, d] = (first_request >> 16).to_be_bytes();
        let initial_sequence = u32::from_be_bytes([a, b, c, d]).wrapping_mul(0x85eb_ca6b);
        let caller = Self {
            options,
            flow,
            phase: Phase::SynSent { retransmissions: 0 },
            initial_sequence,
            sequence: initial_sequence.wrapping_add(1),
            expected: 0,
            request_number: first_request,
            answered_requests: 0,
            requested_at: now,
            next_timer: now + SYN_RETRANSMISSIONS[0],
            retransmit_interval: MIN_RETRANSMIT_INTERVAL,
            max_response_time: Span::ZERO,
            responses: Vec::new(),
        };
        let syn = caller.syn(0);
        (caller, syn)
    }

    /// Returns the identifier of the flow.
    #[must_use]
    pub const fn flow(&self) -> FlowId {
        self.flow
    }

    /// Returns the time of the first SYN, or of the current request.
    #[must_use]
    pub const fn requested_at(&self) -> Time {
        self.requested_at
    }

    /// Returns how the caller uses a further flow for the requests that were not answered, or `None`
    /// when all were or it opens no further flow.
    #[must_use]
    pub fn retry(&self) -> Option<CallerOptions> {
        let outcome = self.outcome()?;
        (outcome != CallerOutcome::Served && self.options.retries > 0).then(|| CallerOptions {
            requests: self.options.requests - self.answered_requests,
            retries: self.options.retries - 1,
            ..self.options
        })
    }

    /// Returns whether all requests were answered.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.outcome() == Some(CallerOutcome::Served)
    }

    /// Returns how the flow ended, or `None` while it lasts.
    #[must_use]
    pub const fn outcome(&self) -> Option<CallerOutcome> {
        match self.phase {
            Phase::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns whether the flow is established and has not ended.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Pausing)
    }

    /// Returns the time at which [`Self::on_timer`] must run next.
    #[must_use]
    pub const fn next_timer(&self) -> Time {
        self.next_timer
    }

    /// Processes a packet of the backend server and returns the packets to send.
    pub fn on_packet(
        &mut self,
        now: Time,
        segment: &Segment,
        payload: &[u8],
    ) -> Vec<(Segment, Vec<u8>)> {
        if segment.flags.is_rst {
            match self.phase {
                Phase::SynSent { .. } => self.phase = Phase::Done(CallerOutcome::Refused),
                Phase::Waiting | Phase::Pausing => self.phase = Phase::Done(CallerOutcome::Reset),
                Phase::Done(_) => {}
            }
            return Vec::new();
        }
        match self.phase {
            Phase::SynSent { .. } if segment.flags.is_syn => {
                self.expected = segment.sequence.wrapping_add(1);
                self.send_request(now)
            }
            Phase::Waiting if segment.payload_bytes > 0 && segment.sequence == self.expected => {
                self.on_response(now, payload)
            }
            _ => Vec::new(),
        }
    }

    /// Retransmits, sends the next request or gives up if the timer has expired, and returns the
    /// packets to send.
    pub fn on_timer(&mut self, now: Time) -> Vec<(Segment, Vec<u8>)> {
        if now < self.next_timer {
            return Vec::new();
        }
        match self.phase {
            Phase::SynSent { retransmissions } => {
                let elapsed = now.since(self.requested_at);
                if elapsed >= SYN_TIMEOUT || elapsed >= self.options.request_timeout {
                    self.phase = Phase::Done(CallerOutcome::NotOpened);
                    return Vec::new();
                }
                let retransmissions = retransmissions + 1;
                self.phase = Phase::SynSent { retransmissions };
                let next = SYN_RETRANSMISSIONS.get(retransmissions as usize).copied();
                self.next_timer = self.requested_at + next.unwrap_or(SYN_TIMEOUT);
                vec![(self.syn(retransmissions), Vec::new())]
            }
            Phase::Waiting if now.since(self.requested_at) >= self.options.request_timeout => {
                self.phase = Phase::Done(CallerOutcome::TimedOut);
                Vec::new()
            }
            Phase::Waiting => {
                self.retransmit_interval =
                    Span((self.retransmit_interval.0 * 2).min(MAX_RETRANSMIT_INTERVAL.0));
                self.next_timer = now + self.retransmit_interval;
                vec![self.request()]
            }
            Phase::Pausing => {
                self.requested_at = now;
                self.send_request(now)
            }
            Phase::Done(_) => Vec::new(),
        }
    }

    fn send_request(&mut self, now: Time) -> Vec<(Segment, Vec<u8>)> {
        self.phase = Phase::Waiting;
        self.retransmit_interval = MIN_RETRANSMIT_INTERVAL;
        self.next_timer = now + self.retransmit_interval;
        vec![self.request()]
    }

    fn on_response(&mut self, now: Time, payload: &[u8]) -> Vec<(Segment, Vec<u8>)> {
        if payload == (self.request_number | FAILURE_FLAG).to_be_bytes() {
            self.phase = Phase::Done(CallerOutcome::Failed);
            return Vec::new();
        }
        if payload != self.request_number.to_be_bytes() {
            self.phase = Phase::Done(CallerOutcome::WrongAnswer);
            return Vec::new();
        }
        let response_time = now.since(self.requested_at);
        self.max_response_time = self.max_response_time.max(response_time);
        self.responses.push((self.requested_at, response_time));
        self.expected = self.expected.wrapping_add(u32::from(MESSAGE_BYTES));
        self.sequence = self.sequence.wrapping_add(u32::from(MESSAGE_BYTES));
        self.answered_requests += 1;
        self.request_number += 1;
        if self.answered_requests < self.options.requests {
            self.phase = Phase::Pausing;
            self.next_timer = now + self.options.pause;
            return Vec::new();
        }
        self.phase = Phase::Done(CallerOutcome::Served);
        let flags = SegmentFlags {
            is_ack: true,
            is_fin: true,
            ..SegmentFlags::default()
        };
        vec![(self.segment(flags, self.sequence, 0), Vec::new())]
    }

    fn request(&self) -> (Segment, Vec<u8>) {
        let flags = SegmentFlags {
            is_ack: true,
            ..SegmentFlags::default()
        };
        let segment = self.segment(flags, self.sequence, MESSAGE_BYTES);
        (segment, self.request_number.to_be_bytes().to_vec())
    }

    /// Returns the SYN. Its otherwise unused acknowledgment number counts the retransmissions.
    fn syn(&self, retransmissions: u32) -> Segment {
        let flags = SegmentFlags {
            is_syn: true,
            ..SegmentFlags::default()
        };
        Segment {
            acknowledgment: retransmissions,
            ..self.segment(flags, self.initial_sequence, 0)
        }
    }

    fn segment(&self, flags: SegmentFlags, sequence: u32, payload_bytes: u16) -> Segment {
        Segment {
            source: self.flow.caller,
            destination: self.flow.service,
            flags,
            sequence,
            acknowledgment: self.expected,
            payload_bytes,
            response_status: None,
        }
    }
}
