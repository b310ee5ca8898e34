//! A caller that opens one flow and sends requests on it, one after the other.

use {
    super::host::FAILURE,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, Segment, SegmentFlags},
};

/// How a caller uses its flow.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// Requests on the flow.
    pub requests: u32,
    /// Pause between an answer and the next request.
    pub pause: Span,
    /// Time for each request, the first with the opening of the flow.
    pub request_timeout: Span,
}

impl Default for CallerOptions {
    fn default() -> Self {
        Self {
            requests: 1,
            pause: Span::ZERO,
            request_timeout: Span::from_millis(2_000),
        }
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// All requests were answered.
    Served,
    /// No answer to the opening packet and its copies.
    NotOpened,
    /// The flow was reset before it opened.
    Refused,
    /// The flow was reset after it opened.
    Reset,
    /// A request was not answered in time.
    TimedOut,
    /// The backend server answered that a request failed.
    Failed,
    /// An answer belongs to another request.
    WrongAnswer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Opening { copies: u32 },
    Waiting,
    Pausing,
    Done(CallerOutcome),
}

/// State of a caller.
#[derive(Debug)]
pub struct Caller {
    options: CallerOptions,
    flow: FlowId,
    phase: Phase,
    first: u32,
    sequence: u32,
    expected: u32,
    number: u64,
    answered: u32,
    asked: Time,
    due: Time,
    interval: Span,
    /// Longest time from a request to its answer.
    pub max_response_time: Span,
}

/// Times of the copies of an opening packet and of its end, after the first one.
const COPIES: [Span; 2] = [Span::from_millis(200), Span::from_millis(600)];
const OPENING_TIMEOUT: Span = Span::from_millis(1_400);
const FIRST_REPEAT: Span = Span::from_millis(200);
const LAST_REPEAT: Span = Span::from_millis(1_600);
const REQUEST_BYTES: u16 = 8;

impl Caller {
    /// Creates a caller and returns it with its opening packet. `number` is that of its first
    /// request.
    #[must_use]
    pub fn open(now: Time, flow: FlowId, number: u64, options: CallerOptions) -> (Self, Segment) {
        let [.., a, b, c, d] = (number >> 16).to_be_bytes();
        let first = u32::from_be_bytes([a, b, c, d]).wrapping_mul(0x85eb_ca6b);
        let caller = Self {
            options,
            flow,
            phase: Phase::Opening { copies: 0 },
            first,
            sequence: first.wrapping_add(1),
            expected: 0,
            number,
            answered: 0,
            asked: now,
            due: now + COPIES[0],
            interval: FIRST_REPEAT,
            max_response_time: Span::ZERO,
        };
        let opening = caller.opening(0);
        (caller, opening)
    }

    /// Returns the flow.
    #[must_use]
    pub const fn flow(&self) -> FlowId {
        self.flow
    }

    /// Returns how the flow ended, if it did.
    #[must_use]
    pub const fn outcome(&self) -> Option<CallerOutcome> {
        match self.phase {
            Phase::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Tells whether the flow is open.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Pausing)
    }

    /// Returns the time of the next timer.
    #[must_use]
    pub const fn next_timer(&self) -> Time {
        self.due
    }

    /// Processes a packet and returns the packets to send.
    pub fn on_packet(
        &mut self,
        now: Time,
        segment: &Segment,
        payload: &[u8],
    ) -> Vec<(Segment, Vec<u8>)> {
        if segment.flags.is_rst {
            match self.phase {
                Phase::Opening { .. } => self.phase = Phase::Done(CallerOutcome::Refused),
                Phase::Waiting | Phase::Pausing => self.phase = Phase::Done(CallerOutcome::Reset),
                Phase::Done(_) => {}
            }
            return Vec::new();
        }
        match self.phase {
            Phase::Opening { .. } if segment.flags.is_syn => {
                self.expected = segment.sequence.wrapping_add(1);
                self.send_request(now)
            }
            Phase::Waiting if segment.payload_bytes > 0 && segment.sequence == self.expected => {
                self.on_answer(now, payload)
            }
            _ => Vec::new(),
        }
    }

    /// Does what is due and returns the packets to send.
    pub fn on_timer(&mut self, now: Time) -> Vec<(Segment, Vec<u8>)> {
        if now < self.due {
            return Vec::new();
        }
        match self.phase {
            Phase::Opening { copies } => {
                let since = now.since(self.asked);
                if since >= OPENING_TIMEOUT || since >= self.options.request_timeout {
                    self.phase = Phase::Done(CallerOutcome::NotOpened);
                    return Vec::new();
                }
                let copies = copies + 1;
                self.phase = Phase::Opening { copies };
                let next = COPIES.get(copies as usize).copied();
                self.due = self.asked + next.unwrap_or(OPENING_TIMEOUT);
                vec![(self.opening(copies), Vec::new())]
            }
            Phase::Waiting if now.since(self.asked) >= self.options.request_timeout => {
                self.phase = Phase::Done(CallerOutcome::TimedOut);
                Vec::new()
            }
            Phase::Waiting => {
                self.interval = Span((self.interval.0 * 2).min(LAST_REPEAT.0));
                self.due = now + self.interval;
                vec![self.request()]
            }
            Phase::Pausing => {
                self.asked = now;
                self.send_request(now)
            }
            Phase::Done(_) => Vec::new(),
        }
    }

    fn send_request(&mut self, now: Time) -> Vec<(Segment, Vec<u8>)> {
        self.phase = Phase::Waiting;
        self.interval = FIRST_REPEAT;
        self.due = now + self.interval;
        vec![self.request()]
    }

    fn on_answer(&mut self, now: Time, payload: &[u8]) -> Vec<(Segment, Vec<u8>)> {
        if payload == (self.number | FAILURE).to_be_bytes() {
            self.phase = Phase::Done(CallerOutcome::Failed);
            return Vec::new();
        }
        if payload != self.number.to_be_bytes() {
            self.phase = Phase::Done(CallerOutcome::WrongAnswer);
            return Vec::new();
        }
        self.max_response_time = self.max_response_time.max(now.since(self.asked));
        self.expected = self.expected.wrapping_add(u32::from(REQUEST_BYTES));
        self.sequence = self.sequence.wrapping_add(u32::from(REQUEST_BYTES));
        self.answered += 1;
        self.number += 1;
        if self.answered < self.options.requests {
            self.phase = Phase::Pausing;
            self.due = now + self.options.pause;
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
        let segment = self.segment(flags, self.sequence, REQUEST_BYTES);
        (segment, self.number.to_be_bytes().to_vec())
    }

    fn opening(&self, copies: u32) -> Segment {
        let flags = SegmentFlags {
            is_syn: true,
            ..SegmentFlags::default()
        };
        Segment {
            acknowledgment: copies,
            ..self.segment(flags, self.first, 0)
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
