//! Oracle that checks the observations of callers and backend servers against the guarantees of the
//! load balancer.

use {
    super::CallerOutcome,
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, RouteEntry},
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        fmt,
        net::{Ipv4Addr, SocketAddrV4},
    },
};

/// Maximum time from the acknowledgement of a drain to the last new flow at the backend server.
const DRAIN_BOUND: Span = Span::from_secs(3);

/// Maximum time from taking a failure domain out to the last new flow in it.
const DOMAIN_BOUND: Span = Span::from_secs(5);

/// Maximum time from a change of the catalogue until it is in force everywhere.
const CATALOGUE_BOUND: Span = Span::from_secs(3);

/// Time after a route was added from which no flow to it may end as refused: [`CATALOGUE_BOUND`]
/// and the longest handshake, because a flow whose handshake began within the bound may be refused
/// until its end.
const REFUSAL_BOUND: Span = Span::from_millis(4_400);

/// Time without any new flow at a service after which flows to it may be refused.
const SERVICE_OUTAGE: Span = Span::from_millis(1_500);

/// Time after the store went down or returned during which the bounds on operators' changes do not
/// apply.
const STORE_GRACE_PERIOD: Span = Span::from_secs(4);

/// A cold backend server may accept up to its configured rate times this factor, plus
/// [`COLD_SLACK_FLOWS`], in any second.
const COLD_FACTOR: f64 = 1.5;
const COLD_SLACK_FLOWS: f64 = 5.0;

/// Numbers of flows by outcome, as callers observed them.
#[derive(Clone, Debug, Default)]
pub struct FlowCounters {
    /// Flows whose first SYN callers sent.
    pub opened: usize,
    /// Flows whose requests were all answered with success.
    pub served: usize,
    /// Flows whose SYNs were never answered.
    pub not_opened: usize,
    /// Flows that were reset before they were established.
    pub refused: usize,
    /// Established flows that were reset.
    pub reset: usize,
    /// Established flows with a request that was not answered within its timeout.
    pub timed_out: usize,
    /// Flows with a request that the backend server answered as failed.
    pub failed: usize,
    /// Requests that backend servers shed.
    pub shed: usize,
    /// Longest response time of each served flow.
    pub response_times: Vec<Span>,
}

impl FlowCounters {
    /// Returns the share of opened flows that were served with every response time at most `target`.
    #[must_use]
    pub fn share_within(&self, target: Span) -> f64 {
        let fast_flows = self
            .response_times
            .iter()
            .filter(|span| **span <= target)
            .count();
        fast_flows as f64 / self.opened.max(1) as f64
    }
}

/// Observation that contradicts a guarantee. [`fmt::Display`] writes it on one line.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Virtual time of the observation.
    pub at: Time,
    /// Short name of the guarantee.
    pub guarantee: &'static str,
    /// Flow or request and backend server of the observation.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ms {}: {}",
            self.at.as_millis(),
            self.guarantee,
            self.detail
        )
    }
}

#[derive(Clone, Debug)]
struct RouteHistory {
    /// Every service that the route has had as a target.
    services: HashSet<ServiceName>,
    /// Time of the latest change.
    changed_at: Time,
    /// Whether the route exists since the latest change.
    is_present: bool,
}

/// Records observations and collects the violations of guarantees.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Numbers of flows by outcome.
    pub counters: FlowCounters,
    /// Violations in the order of their observation.
    pub violations: Vec<Violation>,
    routes: HashMap<SocketAddrV4, RouteHistory>,
    /// Time at which the store last went down or returned.
    store_changed_at: Option<Time>,
    is_store_down: bool,
    /// Time of the acknowledgement of the drain of the backend server beside each agent.
    drains: HashMap<Ipv4Addr, Time>,
    /// Time at which each failure domain was taken out.
    domains_out: HashMap<DomainName, Time>,
    /// Times of the new flows within the last second at each cold backend server.
    recent_cold_flows: HashMap<Ipv4Addr, VecDeque<Time>>,
    /// Number of flows that the backend server beside each agent accepted.
    accepted_flows: BTreeMap<Ipv4Addr, usize>,
    /// Time at which a host of each service last accepted a new flow.
    last_new_flow: HashMap<ServiceName, Time>,
    /// Numbers of all requests that backend servers accepted.
    requests: HashSet<u64>,
    /// Flows with a request that was shed.
    shed_flows: HashSet<FlowId>,
    /// Time at which each flow first reached a backend server.
    first_seen: HashMap<FlowId, Time>,
}

impl Oracle {
    /// Returns the number of new flows that the backend server beside an agent accepted.
    #[must_use]
    pub fn accepted_flows(&self, agent: Ipv4Addr) -> usize {
        self.accepted_flows.get(&agent).copied().unwrap_or_default()
    }

    /// Records that a route was added or changed, or with `None` that it was removed.
    pub fn on_route(&mut self, now: Time, address: SocketAddrV4, route: Option<&RouteEntry>) {
        let history = self.routes.entry(address).or_insert_with(|| RouteHistory {
            services: HashSet::new(),
            changed_at: now,
            is_present: false,
        });
        history.changed_at = now;
        history.is_present = route.is_some();
        let targets = route.into_iter().flat_map(|route| &route.targets);
        history
            .services
            .extend(targets.map(|target| target.service.clone()));
    }

    /// Records that a failure domain was taken out of service or returned.
    pub fn on_domain(&mut self, now: Time, domain: &DomainName, is_out: bool) {
        if is_out {
            self.domains_out.entry(domain.clone()).or_insert(now);
        } else {
            self.domains_out.remove(domain);
        }
    }

    /// Records that the store went down or returned.
    pub fn on_store(&mut self, now: Time, is_up: bool) {
        self.is_store_down = !is_up;
        self.store_changed_at = Some(now);
    }

    /// Returns whether the bounds on operators' changes apply. They do not while the store is down
    /// or for [`STORE_GRACE_PERIOD`] after, because the store may have accepted a change right
    /// before it went down, so that no process could read it.
    fn change_bounds_apply(&self, now: Time) -> bool {
        let is_grace_over = self
            .store_changed_at
            .is_none_or(|at| now.since(at) > STORE_GRACE_PERIOD);
        is_grace_over && !self.is_store_down
    }

    /// Records that an agent acknowledged the drain of its backend server.
    pub fn on_drain_acknowledged(&mut self, now: Time, agent: Ipv4Addr) {
        self.drains.entry(agent).or_insert(now);
    }

    /// Records the start of the backend server beside an agent, which ends a drain.
    pub fn on_server_start(&mut self, agent: Ipv4Addr) {
        self.drains.remove(&agent);
        self.recent_cold_flows.remove(&agent);
    }

    /// Checks a new flow at a backend server: not long after a drain or in a failure domain that is
    /// out, only of a service that the route names, and not on a route that was removed.
    pub fn on_new_flow(
        &mut self,
        now: Time,
        flow: FlowId,
        agent: Ipv4Addr,
        service: &ServiceName,
        domain: &DomainName,
    ) {
        *self.accepted_flows.entry(agent).or_default() += 1;
        self.last_new_flow.insert(service.clone(), now);
        let first_seen = *self.first_seen.entry(flow).or_insert(now);
        if self
            .drains
            .get(&agent)
            .is_some_and(|at| now.since(*at) > DRAIN_BOUND)
        {
            self.record_violation(now, "drain", format!("{flow} at {agent}"));
        }
        if self
            .domains_out
            .get(domain)
            .is_some_and(|at| now.since(*at) > DOMAIN_BOUND)
            && self.change_bounds_apply(now)
        {
            self.record_violation(now, "domain out", format!("{flow} at {agent}"));
        }
        let (mut is_wrong_service, mut is_removed) = (false, false);
        if let Some(history) = self.routes.get(&flow.service) {
            is_wrong_service = !history.services.contains(service);
            is_removed =
                !history.is_present && first_seen.since(history.changed_at) > CATALOGUE_BOUND;
        }
        if is_wrong_service {
            self.record_violation(now, "service isolation", format!("{flow} at {agent}"));
        }
        if is_removed && self.change_bounds_apply(now) {
            self.record_violation(
                now,
                "catalogue",
                format!("{flow} on a dropped route at {agent}"),
            );
        }
    }

    /// Checks the rate of new flows at a cold backend server.
    pub fn on_cold_new_flow(&mut self, now: Time, agent: Ipv4Addr, flows_per_s: f64) {
        let recent = self.recent_cold_flows.entry(agent).or_default();
        recent.push_back(now);
        while recent
            .front()
            .is_some_and(|at| now.since(*at) > Span::from_secs(1))
        {
            recent.pop_front();
        }
        let count = recent.len();
        if count as f64 > flows_per_s * COLD_FACTOR + COLD_SLACK_FLOWS {
            self.record_violation(
                now,
                "cold host",
                format!("{count} flows in a second at {agent}"),
            );
        }
    }

    /// Checks that a request is executed at most once.
    pub fn on_request(&mut self, now: Time, number: u64) {
        if !self.requests.insert(number) {
            self.record_violation(now, "at most once", format!("request {number} ran again"));
        }
    }

    /// Checks the reset of an established flow, which is a violation when a running backend server
    /// still has the flow open.
    pub fn on_reset(&mut self, now: Time, flow: FlowId, is_open_at_server: bool) {
        if is_open_at_server {
            self.record_violation(now, "established flow", format!("{flow} was reset"));
        }
    }

    /// Records that a backend server shed a request of a flow.
    pub fn on_shed(&mut self, flow: FlowId) {
        self.counters.shed += 1;
        self.shed_flows.insert(flow);
    }

    /// Records a violation for a flow that timed out although it is open at the backend server beside
    /// an agent, unless one of its requests was shed.
    pub fn on_unreachable(&mut self, now: Time, flow: FlowId, agent: Ipv4Addr) {
        if self.shed_flows.contains(&flow) {
            return;
        }
        self.record_violation(
            now,
            "established flow",
            format!("{flow} did not reach {agent}"),
        );
    }

    /// Counts the outcome of a flow and checks it: no answer belongs to another request, and no flow
    /// to a present route with a reachable service is refused.
    pub fn on_outcome(
        &mut self,
        now: Time,
        flow: FlowId,
        outcome: CallerOutcome,
        max_response_time: Span,
    ) {
        match outcome {
            CallerOutcome::Served => {
                self.counters.served += 1;
                self.counters.response_times.push(max_response_time);
            }
            CallerOutcome::NotOpened => self.counters.not_opened += 1,
            CallerOutcome::Refused => self.counters.refused += 1,
            CallerOutcome::Reset => self.counters.reset += 1,
            CallerOutcome::TimedOut => self.counters.timed_out += 1,
            CallerOutcome::Failed => self.counters.failed += 1,
            CallerOutcome::WrongAnswer => {
                self.record_violation(now, "whole answer", format!("{flow} got another answer"));
            }
        }
        let must_be_accepted = self.routes.get(&flow.service).is_some_and(|history| {
            let is_service_available = history.services.iter().any(|service| {
                let last = self.last_new_flow.get(service);
                last.is_some_and(|last| now.since(*last) <= SERVICE_OUTAGE)
            });
            history.is_present
                && is_service_available
                && now.since(history.changed_at) > REFUSAL_BOUND
        });
        if must_be_accepted && self.change_bounds_apply(now) && outcome == CallerOutcome::Refused {
            self.record_violation(
                now,
                "catalogue",
                format!("{flow} refused on a present route"),
            );
        }
    }

    fn record_violation(&mut self, at: Time, guarantee: &'static str, detail: String) {
        self.violations.push(Violation {
            at,
            guarantee,
            detail,
        });
    }
}
