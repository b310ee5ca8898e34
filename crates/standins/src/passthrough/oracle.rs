//! Checks what callers and backend servers see against the promises.

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

/// Time from the acknowledgement of a drain to its last new flow.
const DRAIN_BOUND: Span = Span::from_secs(3);

/// Time from taking a failure domain out to its last new flow.
const DOMAIN_BOUND: Span = Span::from_secs(5);

/// Time from a change of the catalogue until it is in force.
const CATALOGUE_BOUND: Span = Span::from_secs(3);

/// Time from adding a route until nobody who began to open a flow after it is refused: the bound,
/// and the longest opening.
const REFUSAL_BOUND: Span = Span::from_millis(4_400);

/// Time without any new flow at a service after which its callers may be refused.
const OUTAGE: Span = Span::from_millis(1_500);

/// Time after the return of the store in which changes of operators need not be in force.
const STORE_SETTLES: Span = Span::from_secs(4);

/// New flows of a cold host in any second, as a multiple of its rate and a constant.
const COLD_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub struct FlowCounters {
    /// Flows that callers began to open.
    pub opened: usize,
    /// Flows all of whose requests were answered.
    pub served: usize,
    /// Flows without an answer to their opening.
    pub not_opened: usize,
    /// Flows that were refused.
    pub refused: usize,
    /// Open flows that were reset.
    pub reset: usize,
    /// Open flows with a request that was not answered in time.
    pub timed_out: usize,
    /// Flows with a request that the backend server failed.
    pub failed: usize,
    /// Requests that backend servers shed.
    pub shed: usize,
    /// Longest times of the flows that were served.
    pub response_times: Vec<Span>,
}

impl FlowCounters {
    /// Returns the share of served flows whose requests were all answered within `target`.
    #[must_use]
    pub fn share_within(&self, target: Span) -> f64 {
        let good = self
            .response_times
            .iter()
            .filter(|span| **span <= target)
            .count();
        good as f64 / self.opened.max(1) as f64
    }
}

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When it was seen.
    pub at: Time,
    /// The promise.
    pub guarantee: &'static str,
    /// What was seen.
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
    services: HashSet<ServiceName>,
    /// Time of the latest change and whether the route was there after it.
    changed: Time,
    is_present: bool,
}

/// Collects what is seen and compares it with the promises.
#[derive(Debug, Default)]
pub struct Oracle {
    /// What callers saw.
    pub counters: FlowCounters,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    routes: HashMap<SocketAddrV4, RouteHistory>,
    store_returned: Option<Time>,
    is_store_down: bool,
    drained: HashMap<Ipv4Addr, Time>,
    domains_out: HashMap<DomainName, Time>,
    cold: HashMap<Ipv4Addr, VecDeque<Time>>,
    openings: BTreeMap<Ipv4Addr, usize>,
    /// Time at which a host of each service last took a new flow.
    last_opening: HashMap<ServiceName, Time>,
    requests: HashSet<u64>,
    shed: HashSet<FlowId>,
    opened: HashMap<FlowId, Time>,
}

impl Oracle {
    /// Returns the openings that the backend server beside an agent took.
    #[must_use]
    pub fn accepted_flows(&self, agent: Ipv4Addr) -> usize {
        self.openings.get(&agent).copied().unwrap_or_default()
    }

    /// Notes a change of a route, or its removal.
    pub fn on_route(&mut self, now: Time, address: SocketAddrV4, present: Option<&RouteEntry>) {
        let history = self.routes.entry(address).or_insert_with(|| RouteHistory {
            services: HashSet::new(),
            changed: now,
            is_present: false,
        });
        history.changed = now;
        history.is_present = present.is_some();
        let targets = present.into_iter().flat_map(|route| &route.targets);
        history
            .services
            .extend(targets.map(|target| target.service.clone()));
    }

    /// Notes that a failure domain was taken out or back.
    pub fn on_domain(&mut self, now: Time, domain: &DomainName, is_out: bool) {
        if is_out {
            self.domains_out.entry(domain.clone()).or_insert(now);
        } else {
            self.domains_out.remove(domain);
        }
    }

    /// Notes that the store went away or returned.
    pub fn on_store(&mut self, now: Time, is_up: bool) {
        self.is_store_down = !is_up;
        self.store_returned = Some(now);
    }

    /// Tells whether the bounds of operators' changes hold: the store may have accepted a change
    /// right before it went away, so that nobody could read it.
    fn is_settled(&self, now: Time) -> bool {
        let has_settled = self
            .store_returned
            .is_none_or(|at| now.since(at) > STORE_SETTLES);
        has_settled && !self.is_store_down
    }

    /// Notes that an agent acknowledged a drain.
    pub fn on_drain_acknowledged(&mut self, now: Time, agent: Ipv4Addr) {
        self.drained.entry(agent).or_insert(now);
    }

    /// Notes that a backend server starts.
    pub fn on_server_start(&mut self, agent: Ipv4Addr) {
        self.drained.remove(&agent);
        self.cold.remove(&agent);
    }

    /// Checks a flow that a backend server takes.
    pub fn on_new_flow(
        &mut self,
        now: Time,
        flow: FlowId,
        agent: Ipv4Addr,
        service: &ServiceName,
        domain: &DomainName,
    ) {
        *self.openings.entry(agent).or_default() += 1;
        self.last_opening.insert(service.clone(), now);
        let began = *self.opened.entry(flow).or_insert(now);
        if self
            .drained
            .get(&agent)
            .is_some_and(|at| now.since(*at) > DRAIN_BOUND)
        {
            self.violate(now, "drain", format!("{flow} at {agent}"));
        }
        if self
            .domains_out
            .get(domain)
            .is_some_and(|at| now.since(*at) > DOMAIN_BOUND)
            && self.is_settled(now)
        {
            self.violate(now, "domain out", format!("{flow} at {agent}"));
        }
        let (mut is_other, mut is_dropped) = (false, false);
        if let Some(history) = self.routes.get(&flow.service) {
            is_other = !history.services.contains(service);
            is_dropped = !history.is_present && began.since(history.changed) > CATALOGUE_BOUND;
        }
        if is_other {
            self.violate(now, "service isolation", format!("{flow} at {agent}"));
        }
        if is_dropped && self.is_settled(now) {
            self.violate(
                now,
                "catalogue",
                format!("{flow} on a dropped route at {agent}"),
            );
        }
    }

    /// Checks a flow that a cold backend server takes.
    pub fn on_cold_new_flow(&mut self, now: Time, agent: Ipv4Addr, flows_per_s: f64) {
        let recent = self.cold.entry(agent).or_default();
        recent.push_back(now);
        while recent
            .front()
            .is_some_and(|at| now.since(*at) > Span::from_secs(1))
        {
            recent.pop_front();
        }
        let count = recent.len();
        if count as f64 > flows_per_s * COLD_FACTOR + COLD_SLACK {
            self.violate(
                now,
                "cold host",
                format!("{count} flows in a second at {agent}"),
            );
        }
    }

    /// Checks that a request runs only once.
    pub fn on_request(&mut self, now: Time, number: u64) {
        if !self.requests.insert(number) {
            self.violate(now, "at most once", format!("request {number} ran again"));
        }
    }

    /// Checks the reset of an open flow.
    pub fn on_reset(&mut self, now: Time, flow: FlowId, is_held: bool) {
        if is_held {
            self.violate(now, "established flow", format!("{flow} was reset"));
        }
    }

    /// Notes a request that a backend server shed.
    pub fn on_shed(&mut self, flow: FlowId) {
        self.counters.shed += 1;
        self.shed.insert(flow);
    }

    /// Notes a flow whose backend server holds it and gets none of its packets.
    pub fn on_unreachable(&mut self, now: Time, flow: FlowId, agent: Ipv4Addr) {
        if self.shed.contains(&flow) {
            return;
        }
        self.violate(
            now,
            "established flow",
            format!("{flow} did not reach {agent}"),
        );
    }

    /// Notes how a flow ended.
    pub fn on_outcome(&mut self, now: Time, flow: FlowId, outcome: CallerOutcome, slowest: Span) {
        match outcome {
            CallerOutcome::Served => {
                self.counters.served += 1;
                self.counters.response_times.push(slowest);
            }
            CallerOutcome::NotOpened => self.counters.not_opened += 1,
            CallerOutcome::Refused => self.counters.refused += 1,
            CallerOutcome::Reset => self.counters.reset += 1,
            CallerOutcome::TimedOut => self.counters.timed_out += 1,
            CallerOutcome::Failed => self.counters.failed += 1,
            CallerOutcome::WrongAnswer => {
                self.violate(now, "whole answer", format!("{flow} got another answer"));
            }
        }
        let missing = self.routes.get(&flow.service).is_some_and(|history| {
            let is_served = history.services.iter().any(|service| {
                let last = self.last_opening.get(service);
                last.is_some_and(|last| now.since(*last) <= OUTAGE)
            });
            history.is_present && is_served && now.since(history.changed) > REFUSAL_BOUND
        });
        if missing && self.is_settled(now) && outcome == CallerOutcome::Refused {
            self.violate(
                now,
                "catalogue",
                format!("{flow} refused on a present route"),
            );
        }
    }

    fn violate(&mut self, at: Time, guarantee: &'static str, detail: String) {
        self.violations.push(Violation {
            at,
            guarantee,
            detail,
        });
    }
}
