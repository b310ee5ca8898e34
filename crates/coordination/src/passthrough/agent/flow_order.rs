//! Order of the new flows of routes with a latency goal, and the rejection of those that no host of
//! the service can answer.

use {
    super::{Action, Agent, GoalPosition, QueueRoom, QueuedSyn, admission::FAILING_OVERLOAD_SCORE},
    crate::passthrough::load::{
        FlowDecision, HostState, HostTimes, MAX_HANDSHAKE, NewFlow, RejectionCause, overload_score,
        syn_age,
    },
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader, Segment, ServiceWait},
    std::sync::Arc,
};

/// Age up to which a first SYN that leaves the queue is reset. Its caller sends the next copy 200 ms
/// after it, and another host may accept that one before a later reset arrives.
const MAX_REJECTED_AGE: Span = Span::from_millis(185);

/// The SYN of a new flow as it arrived.
#[derive(Clone, Copy)]
pub(super) struct Arrival<'a> {
    pub header: &'a RelayHeader,
    pub segment: &'a Segment,
    pub packet: &'a [u8],
    /// Whether the SYN may be relayed to another host because this one is busy.
    pub may_relay: bool,
}

/// Why a flow was rejected, with the inputs of the decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowRejection {
    /// Cause.
    pub cause: RejectionCause,
    /// Name of the route.
    pub route: Arc<str>,
    /// Time for which the SYN was queued.
    pub age: Span,
    /// Latency goal of the route.
    pub goal: Span,
    /// Timeout of the route.
    pub timeout: Option<Span>,
    /// Expected wait at this host.
    pub wait: Span,
    /// Least expected wait among the hosts of the service.
    pub service_wait: ServiceWait,
}

impl Agent {
    /// Returns what is known of a flow that is to be opened, or `None` if its route has no latency goal
    /// or new flows are not ordered by it, which is so before the first response of the backend server.
    pub(super) fn new_flow(
        &self,
        flow: &FlowId,
        header: &RelayHeader,
        retransmissions: u32,
    ) -> Option<NewFlow> {
        let is_enabled = self.options.load_control.rejects_late_flows;
        let route = self
            .catalogue
            .route(flow.service)
            .filter(|route| is_enabled && route.response_goal_ms > 0)?;
        self.host_times()?;
        Some(NewFlow {
            age: syn_age(retransmissions),
            goal: Span::from_millis(route.response_goal_ms),
            timeout: (route.timeout_ms > 0).then(|| Span::from_millis(route.timeout_ms)),
            is_undelivered: retransmissions == 0 && self.flows.get(flow).is_none(),
            service_wait: header.service_wait,
        })
    }

    /// Appends the actions for the SYN of a flow whose route has a latency goal.
    pub(super) fn order_flow(
        &mut self,
        now: Time,
        new_flow: &NewFlow,
        arrival: Arrival<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Arrival {
            header,
            segment,
            packet,
            may_relay,
        } = arrival;
        let flow = segment.flow_from_caller();
        let Some(mut state) = self.state_for(now, &flow) else {
            return;
        };
        state.may_relay = may_relay;
        let mut decision = new_flow.decide(&state);
        let has_place = matches!(
            decision,
            FlowDecision::Accept { .. } | FlowDecision::QueueInGoal
        );
        if !has_place && new_flow.is_fresh(&state.times) {
            self.slot_demand.on_turned_away(now);
        }
        if decision == FlowDecision::Relay {
            let score = overload_score(state.wait, FAILING_OVERLOAD_SCORE);
            if let Some(relay) = self.relay_overloaded(now, header, &flow, score) {
                actions.push(relay);
                return;
            }
            // This host is the best one of those that the SYN has visited.
            state.may_relay = false;
            decision = new_flow.decide(&state);
        }
        match decision {
            FlowDecision::Accept { is_late } => {
                self.accept_flow(now, flow, header, packet);
                self.count_demand(now, is_late);
                actions.push(Action::Deliver);
            }
            FlowDecision::QueueInGoal | FlowDecision::QueueLate | FlowDecision::Relay => {
                let is_late = decision != FlowDecision::QueueInGoal;
                let goal = self.goal_position(now, new_flow, is_late);
                self.queue_syn_with_goal(now, flow, header, segment, packet, Some(goal));
                self.reject_discarded(now, actions);
            }
            FlowDecision::Reject(cause) => {
                actions.extend(self.rejection(&flow, new_flow, &state, cause));
            }
        }
    }

    /// Stops counting accepted flows as callers in progress whose first requests are overdue. After an
    /// outage many callers have given up before their SYNs are answered, and their flows would keep the
    /// slots of the host idle. A request that arrives later counts again.
    pub(super) fn release_unused_openings(&mut self, now: Time) {
        while let Some((deadline, flow)) = self.opening_deadlines.front().copied()
            && deadline <= now
        {
            self.opening_deadlines.pop_front();
            self.flows.update(&flow, |entry| {
                let is_unused = entry
                    .syn_delivered_at
                    .is_some_and(|at| now.since(at) >= MAX_HANDSHAKE);
                entry.is_waiting &= !is_unused;
            });
        }
    }

    /// Appends the resets of flows whose SYNs left the queue without being given to the host, where no
    /// host of the service can answer them.
    pub(super) fn reject_discarded(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (queued_at, syn) in self.syn_queue.take_discarded(now) {
            actions.extend(self.discarded_rejection(now, queued_at, &syn));
        }
    }

    fn discarded_rejection(&self, now: Time, queued_at: Time, syn: &QueuedSyn) -> Option<Action> {
        let mut new_flow = self.new_flow(&syn.flow, &syn.header, syn.retransmissions)?;
        new_flow.age = Span(new_flow.age.0 + now.since(queued_at).0);
        let state = self.state_for(now, &syn.flow)?;
        let cause = new_flow
            .rejection(&state)
            .filter(|_| new_flow.age <= MAX_REJECTED_AGE)?;
        self.rejection(&syn.flow, &new_flow, &state, cause)
    }

    fn rejection(
        &self,
        flow: &FlowId,
        new_flow: &NewFlow,
        state: &HostState,
        cause: RejectionCause,
    ) -> Option<Action> {
        let rejection = FlowRejection {
            cause,
            route: self.catalogue.route(flow.service)?.name.clone(),
            age: new_flow.age,
            goal: new_flow.goal,
            timeout: new_flow.timeout,
            wait: state.wait,
            service_wait: new_flow.service_wait,
        };
        Some(Action::Reject {
            flow: *flow,
            rejection: Box::new(rejection),
        })
    }

    /// Returns the expected wait for a slot of a flow of the least urgent route, or `None` before the
    /// first response of the backend server.
    #[must_use]
    pub fn new_flow_wait(&self, now: Time) -> Option<Span> {
        self.host_times()?;
        let callers_ahead = self.flows.waiting() + self.syn_queue.ahead_of(now, u8::MAX);
        Some(self.work_times.expected_wait(callers_ahead))
    }

    /// Returns the position of a SYN in the queue.
    pub(super) fn goal_position(
        &self,
        now: Time,
        new_flow: &NewFlow,
        is_late: bool,
    ) -> GoalPosition {
        let times = self.host_times().filter(|_| !is_late);
        GoalPosition {
            sent_at: now - new_flow.age,
            admit_by: times.map(|times| now + new_flow.max_queue_time(&times)),
        }
    }

    /// Records that a flow was given to the host.
    pub(super) fn count_demand(&mut self, now: Time, is_late: bool) {
        if is_late {
            self.slot_demand.on_late_flow(now);
        } else {
            self.slot_demand.on_request(now);
        }
    }

    /// Returns the classes of queued SYNs for which the host has room.
    pub(super) fn queue_room(&self, now: Time) -> QueueRoom {
        let has_capacity = self.has_waiting_capacity();
        let limit = self.max_waiting();
        let waiting = self.flows.waiting();
        let times = self.host_times();
        let has_room = |limit: fn(&HostTimes, usize) -> usize, max_waiting| {
            times.map_or(has_capacity, |times| waiting < limit(&times, max_waiting))
        };
        QueueRoom {
            in_goal: has_room(HostTimes::max_in_progress, limit),
            late: has_room(HostTimes::max_late_in_progress, limit)
                && !times.is_some_and(|times| self.slot_demand.wants_room(now, &times)),
            without_goal: has_capacity,
        }
    }

    /// Returns the state of the host for a new flow, or `None` before the first response of the
    /// backend server.
    fn state_for(&self, now: Time, flow: &FlowId) -> Option<HostState> {
        let times = self.host_times()?;
        let priority = self.catalogue.priority(flow.service);
        let callers_ahead = self.flows.waiting() + self.syn_queue.ahead_of(now, priority);
        let room = self.queue_room(now);
        let is_queue_empty = self.syn_queue.ahead_of(now, u8::MAX) == 0;
        Some(HostState {
            times,
            wait: self.work_times.expected_wait(callers_ahead),
            has_room: room.in_goal && is_queue_empty,
            has_late_room: room.late && is_queue_empty,
            is_filled_in_goal: self.slot_demand.fills_slots(now, &times),
            may_relay: false,
        })
    }

    /// Returns the times of requests at the host, or `None` before the first response of the backend
    /// server.
    fn host_times(&self) -> Option<HostTimes> {
        Some(HostTimes {
            slots: self.host.as_ref()?.slots as usize,
            work: self.work_times.mean_work_time()?,
            handshake: self.handshakes.mean(),
        })
    }
}
