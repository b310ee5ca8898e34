//! Load of the host as its agent tells it to balancers, and the loads of other hosts of the service as
//! balancers tell them to the agent.

use {
    super::{Agent, LocalFlow},
    crate::passthrough::OutgoingMessage,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        AgentHeartbeat, FlowId, HostLoad, LoadHeartbeat, PeerLoad, PeerLoads, PeerMessage,
        RelayHeader, RelayKind, Segment,
    },
    std::{collections::BTreeMap, net::Ipv4Addr, time::Duration},
};

/// Time after its last sign that it accepts load heartbeats for which a balancer gets them. A balancer
/// of the previous release at the same address drops them.
const ACCEPTS_LOAD_SPAN: Span = Span::from_secs(10);

/// Maximum number of balancers that get load heartbeats; with more than 240, loads are too old on
/// arrival.
const MAX_LOAD_BALANCERS: usize = 512;

/// Age from which the load of another host is unknown.
const MAX_PEER_LOAD_AGE: Span = Span::from_secs(3);

/// Maximum number of other hosts whose loads are kept.
const MAX_KNOWN_PEERS: usize = 512;

/// Wait of a host that fails all requests: a caller notices the failure and starts again in it. A host
/// with a lower share of failures states a part of it.
const FAILING_WAIT: Span = Span::from_secs(1);

/// First status code of server errors (RFC 9110, section 15.6).
const STATUS_SERVER_ERRORS: u16 = 500;

/// Load of the host for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLoadSummary {
    /// Expected wait of a new request, or `None` if the host takes no new flows.
    pub wait: Option<Span>,
    /// Mean work time, or `None` if it is unknown.
    pub work: Option<Span>,
    /// Callers that wait for the backend server.
    pub callers_in_progress: usize,
}

/// A balancer that accepts load heartbeats.
#[derive(Clone, Copy, Debug)]
struct LoadBalancer {
    accepted_at: Time,
    /// Measured round trip that the balancer has not been told.
    round_trip: Option<Span>,
}

/// The last load heartbeat that asked for hosts, until its answer.
#[derive(Clone, Copy, Debug)]
struct Question {
    balancer: Ipv4Addr,
    asked_at: Time,
    /// Whether a heartbeat of the balancer has arrived since. It may be the first part of the answer,
    /// but balancers also send heartbeats unasked.
    is_heartbeat_received: bool,
}

/// Balancers that accept load heartbeats, and the round trips to them.
#[derive(Debug, Default)]
pub(super) struct LoadBalancers {
    balancers: BTreeMap<Ipv4Addr, LoadBalancer>,
    question: Option<Question>,
}

impl LoadBalancers {
    fn accept(&mut self, now: Time, balancer: Ipv4Addr) {
        if let Some(known) = self.balancers.get_mut(&balancer) {
            known.accepted_at = now;
        } else if self.balancers.len() < MAX_LOAD_BALANCERS {
            let accepted = LoadBalancer {
                accepted_at: now,
                round_trip: None,
            };
            self.balancers.insert(balancer, accepted);
        }
    }

    fn expire(&mut self, now: Time) {
        self.balancers
            .retain(|_, balancer| now.since(balancer.accepted_at) <= ACCEPTS_LOAD_SPAN);
    }

    /// Records a heartbeat of a balancer.
    pub fn on_balancer_heartbeat(&mut self, balancer: Ipv4Addr) {
        if let Some(question) = &mut self.question {
            question.is_heartbeat_received |= question.balancer == balancer;
        }
    }

    /// Records the loads of hosts, which a balancer sends only as an answer and after its heartbeat.
    /// They do not name their sender, which is known only if the asked balancer has sent a heartbeat.
    fn on_answer(&mut self, now: Time) {
        let Some(question) = self.question.filter(|asked| asked.is_heartbeat_received) else {
            return;
        };
        self.question = None;
        self.accept(now, question.balancer);
        if let Some(balancer) = self.balancers.get_mut(&question.balancer) {
            balancer.round_trip = Some(now.since(question.asked_at));
        }
    }
}

/// Loads of other hosts of the service by their agents, with the times of their arrival.
#[derive(Debug, Default)]
pub(super) struct PeerLoadTable {
    loads: BTreeMap<Ipv4Addr, (Time, PeerLoad)>,
}

impl PeerLoadTable {
    fn record(&mut self, now: Time, loads: &[PeerLoad]) {
        self.loads
            .retain(|_, (arrived, _)| now.since(*arrived) <= MAX_PEER_LOAD_AGE);
        for load in loads {
            if self.loads.len() < MAX_KNOWN_PEERS || self.loads.contains_key(&load.agent) {
                self.loads.insert(load.agent, (now, *load));
            }
        }
    }
}

impl Agent {
    /// Returns the load of the host as the agent estimates it from the packets of its flows.
    #[must_use]
    pub fn host_load(&self, now: Time) -> HostLoad {
        let slots = self.host.as_ref().map_or(0, |host| host.slots);
        let wait = self.expected_wait(now);
        let work_ms = self.work_times.current_work_time(now).map_or(0, |work| {
            let rounded_ms = (work.0 + 500) / 1_000;
            u16::try_from(rounded_ms.max(1)).unwrap_or(u16::MAX)
        });
        HostLoad {
            wait_ms: wait.map_or(HostLoad::TAKES_NO_FLOWS, |wait| {
                let wait_ms = u16::try_from(wait.as_millis()).unwrap_or(u16::MAX);
                wait_ms.min(HostLoad::TAKES_NO_FLOWS - 1)
            }),
            work_ms,
            slots: u16::try_from(slots).unwrap_or(u16::MAX),
        }
    }

    /// Returns the load of another host of the service as a balancer told it last, or `None` if it is
    /// unknown.
    #[must_use]
    pub fn peer_load(&self, now: Time, agent: Ipv4Addr) -> Option<PeerLoad> {
        let (arrived, load) = self.peer_loads.loads.get(&agent)?;
        (now.since(*arrived) <= MAX_PEER_LOAD_AGE).then_some(*load)
    }

    /// Returns the load of the host for metrics, or `None` if load control is off.
    #[must_use]
    pub fn load_summary(&self, now: Time) -> Option<HostLoadSummary> {
        self.tracks_load().then(|| HostLoadSummary {
            wait: self.expected_wait(now),
            work: self.work_times.current_work_time(now),
            callers_in_progress: self.flows.waiting(),
        })
    }

    /// Returns the expected time that the request of a new flow waits for a slot, or `None` if the host
    /// takes no new flows.
    fn expected_wait(&self, now: Time) -> Option<Span> {
        if !self.accepts_flows(now) {
            return None;
        }
        let callers_ahead = self.flows.waiting() + self.syn_queue.len();
        let mut wait = self.work_times.current_wait(now, callers_ahead);
        if !self.is_within_cold_rate(now) {
            wait = wait.max(self.wait_for_cold_rate()?);
        }
        let failing_share = 1.0 - self.outcomes.admitted_share(now);
        let failing_wait = Span::from(FAILING_WAIT.to_duration().mul_f64(failing_share));
        Some(Span(wait.0 + failing_wait.0))
    }

    /// Returns the time until a cold host without a token has admitted the queued SYNs and one more, or
    /// `None` while its limit is not known.
    fn wait_for_cold_rate(&self) -> Option<Span> {
        let limits = self.catalogue.service(&self.identity.service)?;
        let flows_ahead = self.syn_queue.len() + 1;
        let wait_s = flows_ahead as f64 / limits.cold_flows_per_s;
        // Fails for the infinite wait of a limit of 0.
        Duration::try_from_secs_f64(wait_s).ok().map(Span::from)
    }

    pub(super) const fn tracks_load(&self) -> bool {
        self.options.load_control.uses_loads()
    }

    /// Records whether the balancer of a relayed packet accepts load heartbeats. Agents of the previous
    /// release relay packets without the bit, so that only its absence in a packet that came from the
    /// balancer itself shows that it does not.
    pub(super) fn track_balancer(&mut self, now: Time, header: &RelayHeader) {
        if !self.tracks_load() {
            return;
        }
        if header.accepts_load {
            self.load_balancers.accept(now, header.balancer);
        } else if header.kind == RelayKind::Forward {
            self.load_balancers.balancers.remove(&header.balancer);
        }
    }

    /// Records a packet that is delivered to the backend server on a flow that it holds.
    pub(super) fn track_request(&mut self, now: Time, flow: &FlowId, segment: &Segment) {
        if !self.tracks_load() {
            return;
        }
        if segment.flags.is_rst {
            self.work_times.remove(now, flow);
        } else if segment.payload_bytes > 0 {
            let is_new = self.flows.update(flow, |entry| entry.advance(segment));
            if is_new == Some(true) {
                self.work_times.on_request(now, *flow);
            }
        }
    }

    /// Records a packet of the backend server on a flow that it holds. Failures take less time than
    /// responses, and are not part of the estimate.
    pub(super) fn track_response(&mut self, now: Time, flow: &FlowId, segment: &Segment) {
        if !self.tracks_load() {
            return;
        }
        let acknowledged = self
            .flows
            .get(flow)
            .and_then(|entry| entry.caller_acknowledgment);
        let is_failure = segment
            .response_status
            .is_some_and(|status| status >= STATUS_SERVER_ERRORS);
        if segment.payload_bytes == 0 {
            if segment.flags.is_rst || segment.flags.is_fin {
                self.work_times.remove(now, flow);
            }
        } else if acknowledged.is_some_and(|next| is_before(segment.sequence, next)) {
            // A retransmission of the response before.
        } else if is_failure {
            self.work_times.remove(now, flow);
        } else {
            self.work_times.on_response(now, flow);
        }
    }

    /// Removes the requests of flows that have ended or become dormant, and of callers that have given
    /// up.
    pub(super) fn expire_requests(&mut self, now: Time) {
        let flows = &self.flows;
        self.work_times.retain(now, |flow| {
            flows
                .get(flow)
                .is_some_and(|entry| entry.is_active() && !entry.is_dormant && entry.is_waiting)
        });
        self.load_balancers.expire(now);
    }

    /// Returns the heartbeat for a balancer, with `load` if the balancer accepts it.
    pub(super) fn heartbeat_to(
        &mut self,
        now: Time,
        to: Ipv4Addr,
        heartbeat: AgentHeartbeat,
        load: HostLoad,
    ) -> PeerMessage {
        let Some(balancer) = self.load_balancers.balancers.get_mut(&to) else {
            return PeerMessage::Heartbeat(heartbeat);
        };
        if heartbeat.asks_hosts.is_some() {
            self.load_balancers.question = Some(Question {
                balancer: to,
                asked_at: now,
                is_heartbeat_received: false,
            });
        }
        let round_trip = balancer.round_trip.take().unwrap_or(Span::ZERO);
        PeerMessage::LoadHeartbeat(LoadHeartbeat {
            heartbeat,
            load,
            round_trip_us: u32::try_from(round_trip.0).unwrap_or(u32::MAX),
        })
    }

    /// Stores the loads of other hosts that a balancer sent.
    pub(super) fn on_peer_loads(&mut self, now: Time, loads: &PeerLoads) -> Vec<OutgoingMessage> {
        if self.tracks_load() {
            self.load_balancers.on_answer(now);
            self.peer_loads.record(now, &loads.loads);
        }
        Vec::new()
    }
}

impl LocalFlow {
    /// Records the data of a caller. Returns whether it is new and no retransmission.
    fn advance(&mut self, segment: &Segment) -> bool {
        let next = segment
            .sequence
            .wrapping_add(u32::from(segment.payload_bytes));
        let is_new = self
            .caller_sequence
            .is_none_or(|expected| !is_before(segment.sequence, expected));
        if is_new {
            self.caller_sequence = Some(next);
        }
        is_new
    }
}

/// Returns whether a sequence number precedes another one, modulo 2^32.
const fn is_before(sequence: u32, other: u32) -> bool {
    other.wrapping_sub(sequence).wrapping_sub(1) < 1 << 31
}
