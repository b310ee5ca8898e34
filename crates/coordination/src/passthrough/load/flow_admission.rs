//! Decision on a new flow at the agent of a host: accept, queue, relay or reject.
//!
//! Load pattern: callers open more flows than the hosts can serve. A host that takes all of them
//! answers all of them late. Only as many flows are taken in as can be answered within the latency
//! goals of their routes; the other callers are told at once that there is no room.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::ServiceWait,
    std::fmt,
};

/// Times after the first SYN at which a caller sends each copy of it.
const SYN_SENT_AFTER: [Span; 3] = [Span::ZERO, Span::from_millis(200), Span::from_millis(600)];

/// Handshake time that is assumed before the first one is measured.
const DEFAULT_HANDSHAKE: Span = Span::from_millis(10);
/// Longer times than this between a SYN and the first request are pauses of the caller or
/// retransmissions, or the caller has given up.
pub const MAX_HANDSHAKE: Span = Span::from_millis(100);
/// Weight of the latest handshake in the mean.
const LATEST_WEIGHT: f64 = 0.05;

/// Time constant of the rate at which requests in goal take slots, and time without a late SYN after
/// which these requests alone fill the slots.
const DEMAND_SPAN: Span = Span::from_millis(500);
/// Share of the slots that in-goal demand takes from which it fills them. It is below 1 because
/// slots are idle for moments between requests.
const FULL_SHARE: f64 = 0.8;

/// Number of times that a request of a usual work time fits the latency goal.
const USUAL_WORKS_PER_GOAL: u64 = 8;

/// Expected wait that one unit of an overload score stands for: about that of one caller at a host
/// with 4 slots and a work time of 30 ms, so that scores compare with the counts of callers that
/// agents of earlier releases send.
const WAIT_PER_SCORE: Span = Span::from_millis(8);

/// Returns the time since a caller sent its first SYN, when it has sent this copy of it.
#[must_use]
pub fn syn_age(retransmissions: u32) -> Span {
    let index = usize::try_from(retransmissions).unwrap_or(usize::MAX);
    SYN_SENT_AFTER[index.min(SYN_SENT_AFTER.len() - 1)]
}

/// Returns the overload score of a host with an expected wait, less than `max`.
#[must_use]
pub fn overload_score(wait: Span, max: u8) -> Option<u8> {
    let score = wait.0.div_ceil(WAIT_PER_SCORE.0);
    (score > 0).then(|| u8::try_from(score).unwrap_or(u8::MAX).min(max - 1))
}

/// Mean time between the delivery of a SYN and the first request of its flow.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandshakeEstimator {
    mean_us: Option<f64>,
}

impl HandshakeEstimator {
    /// Records the time between the delivery of a SYN and the first request.
    pub fn record(&mut self, handshake: Span) {
        if handshake <= MAX_HANDSHAKE {
            let latest_us = handshake.0 as f64;
            let mean_us = self.mean_us.unwrap_or(latest_us);
            self.mean_us = Some(mean_us + LATEST_WEIGHT * (latest_us - mean_us));
        }
    }

    /// Returns the mean, or a usual time before the first handshake.
    #[must_use]
    pub fn mean(&self) -> Span {
        // The mean is at most MAX_HANDSHAKE.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.mean_us
            .map_or(DEFAULT_HANDSHAKE, |mean_us| Span(mean_us as u64))
    }
}

/// Times of the requests of new flows at one host.
#[derive(Clone, Copy, Debug)]
pub struct HostTimes {
    /// Requests that the host processes concurrently.
    pub slots: usize,
    /// Mean time that the host works on a request.
    pub work: Span,
    /// Mean time between the delivery of a SYN and the first request: the way to the caller and back.
    pub handshake: Span,
}

impl HostTimes {
    /// Returns the time from a caller's first SYN until it has the response. The SYN reached the agent
    /// when it was `age` old, less the way from the caller, and the flow waits `wait` from now until
    /// a slot is free; its handshake takes place in that time.
    #[must_use]
    pub fn response_time(&self, age: Span, wait: Span) -> Span {
        let parts = [age, self.handshake, wait.max(self.handshake), self.work];
        Span(parts.iter().map(|part| part.0).sum())
    }

    /// Returns the number of callers in progress up to which flows that can be answered in goal are
    /// given to the host, at most `limit`: those in the slots, as many again so that a slot that
    /// becomes free has a request, and those whose handshakes are under way.
    #[must_use]
    pub fn max_in_progress(&self, limit: usize) -> usize {
        (2 * self.slots + self.opening_flows()).min(limit)
    }

    /// Returns the number of callers in progress up to which late flows are given to the host. It
    /// keeps the slots busy, and no queue forms behind them.
    #[must_use]
    pub fn max_late_in_progress(&self, limit: usize) -> usize {
        (self.slots + self.opening_flows()).min(limit)
    }

    /// Returns the number of flows that open while the slots process one request each.
    fn opening_flows(&self) -> usize {
        let flows = (self.slots as u64 * self.handshake.0).div_ceil(self.work.0.max(1));
        usize::try_from(flows).unwrap_or(usize::MAX / 4)
    }
}

/// A flow that is to be opened.
#[derive(Clone, Copy, Debug)]
pub struct NewFlow {
    /// Time since the first SYN of its caller.
    pub age: Span,
    /// Time from the first SYN within which the response has its full value.
    pub goal: Span,
    /// Time from the first SYN after which the caller has given up, if it is known.
    pub timeout: Option<Span>,
    /// Whether the caller has sent no copy of this SYN and no host has received it.
    pub is_undelivered: bool,
    /// Least expected wait among the hosts of the service.
    pub service_wait: ServiceWait,
}

/// State of the host for a flow of a given priority.
#[derive(Clone, Copy, Debug)]
pub struct HostState {
    /// Times at this host.
    pub times: HostTimes,
    /// Expected time that the flow waits for a slot, behind the callers in progress and the queued
    /// SYNs that go before it.
    pub wait: Span,
    /// Whether a flow that can be answered in goal may be given to the host now.
    pub has_room: bool,
    /// Whether a late flow may be given to the host now: no other one wants the room.
    pub has_late_room: bool,
    /// Whether requests that can be answered in goal fill the slots.
    pub is_filled_in_goal: bool,
    /// Whether the SYN may be relayed to further hosts.
    pub may_relay: bool,
}

/// What an agent does with the SYN of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowDecision {
    /// Gives the flow to the host.
    Accept {
        /// Whether the response is expected after the latency goal.
        is_late: bool,
    },
    /// Queues the SYN among those that can be answered in goal.
    QueueInGoal,
    /// Queues the SYN for room that the others do not want.
    QueueLate,
    /// Relays the SYN to another host.
    Relay,
    /// Resets the flow.
    Reject(RejectionCause),
}

/// Why no host of the service can answer a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionCause {
    /// Every host would answer after the timeout of the route.
    BeyondTimeout,
    /// Every host would answer after the latency goal, and requests that can be answered in goal
    /// fill the slots, so that the SYN would wait until its caller gives up.
    FilledInGoal,
}

impl RejectionCause {
    /// Returns the label of the cause in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::BeyondTimeout => "beyond_timeout",
            Self::FilledInGoal => "filled_in_goal",
        }
    }
}

impl fmt::Display for RejectionCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl NewFlow {
    /// Decides what to do with the flow.
    #[must_use]
    pub fn decide(&self, host: &HostState) -> FlowDecision {
        let is_late = !self.is_in_goal(&host.times, host.wait);
        if host.may_relay && self.is_better_elsewhere(host, is_late) {
            FlowDecision::Relay
        } else if host.has_room && (!is_late || host.has_late_room) {
            FlowDecision::Accept { is_late }
        } else if !is_late {
            FlowDecision::QueueInGoal
        } else if let Some(cause) = self.rejection(host) {
            FlowDecision::Reject(cause)
        } else {
            FlowDecision::QueueLate
        }
    }

    /// Returns why no host of the service can answer the flow, or `None` if one may. A flow that may
    /// be open at a host, and one about which too little is known, is never rejected.
    #[must_use]
    pub fn rejection(&self, host: &HostState) -> Option<RejectionCause> {
        let service_wait = self.service_wait.wait()?;
        let timeout = self.timeout.filter(|_| self.is_undelivered)?;
        let (times, age) = (&host.times, self.age);
        // The work time of the best host is unknown. This host may be a slow one, so that its own
        // counts for no more than usual.
        let usual_work = times.work.min(Span(self.goal.0 / USUAL_WORKS_PER_GOAL));
        let best_times = HostTimes {
            work: usual_work,
            ..*times
        };
        if times.response_time(age, host.wait) > timeout
            && best_times.response_time(age, service_wait) > timeout
        {
            return Some(RejectionCause::BeyondTimeout);
        }
        // The hosts fill up to the wait that is in goal and no further, so that the best one is
        // always a little below it. A host within one work time of it has room for few flows, which
        // balancers place there.
        let best_wait = Span(service_wait.0 + usual_work.0);
        let is_full =
            !self.is_in_goal(times, host.wait) && !self.is_in_goal(&best_times, best_wait);
        (is_full && host.is_filled_in_goal).then_some(RejectionCause::FilledInGoal)
    }

    /// Returns whether the response is expected in goal at a host with this wait. The wait counts
    /// twice: work times vary, and a caller that retries has waited before. Under lasting overload a
    /// shorter queue answers as many requests, and each of them earlier.
    #[must_use]
    pub fn is_in_goal(&self, times: &HostTimes, wait: Span) -> bool {
        times.response_time(self.age, Span(2 * wait.0)) <= self.goal
    }

    /// Returns whether an idle host like this one would answer the flow in goal.
    #[must_use]
    pub fn is_fresh(&self, times: &HostTimes) -> bool {
        self.is_in_goal(times, Span::ZERO)
    }

    /// Returns the time for which the SYN may be queued and still be answered in goal, when the host
    /// has as many callers in progress as it is given.
    #[must_use]
    pub fn max_queue_time(&self, times: &HostTimes) -> Span {
        let callers_before = (times.slots + times.opening_flows()) as u64;
        let wait_in_host = times.work.0 * callers_before / times.slots.max(1) as u64;
        let response_time = times.response_time(self.age, Span(wait_in_host));
        Span(self.goal.0.saturating_sub(response_time.0))
    }

    /// Returns whether another host may answer sooner. A host that is as good as the best one of the
    /// service keeps the flow if it can be answered in goal.
    fn is_better_elsewhere(&self, host: &HostState, is_late: bool) -> bool {
        let best_wait = self.service_wait.wait();
        host.wait > Span::ZERO
            && (is_late || best_wait.is_none_or(|best| host.wait.0 > best.0 + host.times.work.0))
    }
}

/// Measures whether requests that can be answered in goal fill the slots of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotDemand {
    /// Requests that took a slot, each with a weight that falls by the factor e in [`DEMAND_SPAN`].
    requests: f64,
    updated: Time,
    /// Latest time at which a late SYN was given to the host.
    late_at: Option<Time>,
    /// Latest time at which the host had no room for a flow that it could have answered in goal if it
    /// had been idle.
    turned_away_at: Option<Time>,
}

impl SlotDemand {
    /// Records a flow that can be answered in goal, or a further request on an open flow.
    pub fn on_request(&mut self, now: Time) {
        self.requests = self.requests_at(now) + 1.0;
        self.updated = now;
    }

    /// Records a late flow that was given to the host.
    pub const fn on_late_flow(&mut self, now: Time) {
        self.late_at = Some(now);
    }

    /// Records a flow that an idle host could have answered in goal and for which there was no room.
    pub const fn on_turned_away(&mut self, now: Time) {
        self.turned_away_at = Some(now);
    }

    /// Returns whether room that is free now is likely to be wanted soon by a flow that can be answered
    /// in goal: such a flow was turned away within the last work time.
    #[must_use]
    pub fn wants_room(&self, now: Time, times: &HostTimes) -> bool {
        self.turned_away_at
            .is_some_and(|at| now.since(at) <= times.work)
    }

    /// Returns whether the requests of the last moments alone fill the slots: there was room for no
    /// late flow.
    #[must_use]
    pub fn fills_slots(&self, now: Time, times: &HostTimes) -> bool {
        let has_late = self.late_at.is_some_and(|at| now.since(at) < DEMAND_SPAN);
        let work_s = times.work.to_duration().as_secs_f64();
        let rate_per_s = self.requests_at(now) / DEMAND_SPAN.to_duration().as_secs_f64();
        !has_late && rate_per_s * work_s >= FULL_SHARE * times.slots as f64
    }

    fn requests_at(&self, now: Time) -> f64 {
        let age_s = now.since(self.updated).to_duration().as_secs_f64();
        self.requests * (-age_s / DEMAND_SPAN.to_duration().as_secs_f64()).exp()
    }
}
