//! Model of hosts as queues in virtual time, with balancers that place new flows on them. It has no
//! network and no agents, so that it shows the placement alone.

use {
    cardamomloom_coordination::passthrough::{
        load::{Candidate, LoadView, PlacementRequest, Placer},
        rendezvous_score,
    },
    cardamomloom_core::{DomainName, ServiceName, Span, Time, hash::splitmix64},
    cardamomloom_protocol::passthrough::HostLoad,
    std::{collections::VecDeque, net::Ipv4Addr},
};

const SLOTS: usize = 2;
const MEAN_WORK_MS: f64 = 32.0;
const BALANCERS_PER_DOMAIN: usize = 4;

/// Weight of the latest response in the work time that a host tells, and the time after which a
/// response counts more because there was none before.
const LATEST_WEIGHT: f64 = 0.05;
const WORK_WINDOW_MS: f64 = 1_000.0;

/// Rule by which the balancers choose a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRule {
    /// The highest rendezvous score.
    Rendezvous,
    /// Expected wait, without regard to domains.
    AnyDomain,
    /// Expected wait, in the own domain first.
    OwnDomain,
}

/// A host.
#[derive(Debug)]
pub struct QueueHost {
    /// Index of the failure domain.
    pub domain: usize,
    /// Factor of the work time.
    pub slowness: f64,
    /// Whether balancers may place flows on the host.
    pub is_usable: bool,
    /// Whether the host tells its load.
    pub reports: bool,
    /// Whether the host tells that it takes new flows.
    pub takes_flows: bool,
    /// Times at which the slots have finished all requests that they have got.
    slots_ms: [f64; SLOTS],
    /// Requests without a response: time of the response and work time.
    open: VecDeque<(f64, f64)>,
    work_ms: f64,
    last_response_ms: f64,
}

impl QueueHost {
    const fn new(domain: usize) -> Self {
        Self {
            domain,
            slowness: 1.0,
            is_usable: true,
            reports: true,
            takes_flows: true,
            slots_ms: [0.0; SLOTS],
            open: VecDeque::new(),
            work_ms: MEAN_WORK_MS,
            last_response_ms: 0.0,
        }
    }

    /// Adds a request and returns the time of its response.
    fn add(&mut self, now_ms: f64, work_ms: f64) -> f64 {
        let slot = usize::from(self.slots_ms[1] < self.slots_ms[0]);
        let response_ms = self.slots_ms[slot].max(now_ms) + work_ms;
        self.slots_ms[slot] = response_ms;
        let position = self.open.partition_point(|(other, _)| *other < response_ms);
        self.open.insert(position, (response_ms, work_ms));
        response_ms
    }

    /// Learns the work time from the responses up to now, as an agent does.
    fn observe_responses(&mut self, now_ms: f64) {
        while let Some((response_ms, work_ms)) = self.open.front().copied()
            && response_ms <= now_ms
        {
            self.open.pop_front();
            let gap_ms = response_ms - self.last_response_ms;
            let weight = (1.0 - (-gap_ms / WORK_WINDOW_MS).exp()).max(LATEST_WEIGHT);
            self.work_ms += weight * (work_ms - self.work_ms);
            self.last_response_ms = response_ms;
        }
    }

    fn load(&self) -> HostLoad {
        let excess = (self.open.len() + 1).saturating_sub(SLOTS) as f64;
        let wait_ms = whole(self.work_ms * excess / SLOTS as f64).min(60_000);
        let wait_ms = u16::try_from(wait_ms).unwrap_or(u16::MAX);
        HostLoad {
            wait_ms: if self.takes_flows {
                wait_ms
            } else {
                HostLoad::TAKES_NO_FLOWS
            },
            work_ms: u16::try_from(whole(self.work_ms)).unwrap_or(u16::MAX),
            slots: u16::try_from(SLOTS).unwrap_or(u16::MAX),
        }
    }
}

/// A flow with one request.
#[derive(Clone, Copy, Debug)]
pub struct QueuedFlow {
    at_ms: u64,
    /// Index of the caller's failure domain.
    pub domain: usize,
    /// Index of the host.
    pub host: usize,
    /// Whether the host is in another failure domain.
    pub leaves: bool,
    work_ms: f64,
    response_ms: f64,
}

#[derive(Debug)]
struct QueueBalancer {
    domain: usize,
    view: LoadView,
    placer: Placer,
}

/// The model. Hosts have two slots and a mean work time of 32 ms; there are four balancers in each
/// domain.
#[derive(Debug)]
pub struct QueueModel {
    /// Hosts, ordered by domain.
    pub hosts: Vec<QueueHost>,
    /// New flows per second in each domain.
    pub flows_per_s: Vec<f64>,
    /// Delay of the loads, which is part of the measured round trips too.
    pub lag_ms: u64,
    /// Interval at which hosts tell their loads.
    pub interval_ms: u64,
    rule: PlacementRule,
    domains: Vec<DomainName>,
    service: ServiceName,
    /// Positions of the domains; the round trip is the distance.
    positions_ms: Vec<f64>,
    balancers: Vec<QueueBalancer>,
    /// Loads on their way: time of arrival, host and load.
    reports: VecDeque<(u64, usize, HostLoad)>,
    flows: Vec<QueuedFlow>,
    now_ms: u64,
    random: u64,
}

impl QueueModel {
    /// Creates domains with the given numbers of hosts at the given positions.
    ///
    /// # Panics
    ///
    /// Never; the names are valid.
    #[must_use]
    pub fn new(rule: PlacementRule, hosts: &[usize], positions_ms: &[f64], seed: u64) -> Self {
        let domains = 0..hosts.len();
        let balancers = 0..hosts.len() * BALANCERS_PER_DOMAIN;
        Self {
            hosts: domains
                .clone()
                .flat_map(|domain| (0..hosts[domain]).map(move |_| QueueHost::new(domain)))
                .collect(),
            flows_per_s: vec![0.0; hosts.len()],
            lag_ms: 0,
            interval_ms: 250,
            rule,
            domains: domains
                .map(|domain| format!("domain-{domain}").parse().expect("valid name"))
                .collect(),
            service: "service-0".parse().expect("valid name"),
            positions_ms: positions_ms.to_vec(),
            balancers: balancers
                .map(|index| QueueBalancer {
                    domain: index / BALANCERS_PER_DOMAIN,
                    view: LoadView::default(),
                    placer: Placer::default(),
                })
                .collect(),
            reports: VecDeque::new(),
            flows: Vec::new(),
            now_ms: 0,
            random: seed,
        }
    }

    /// Returns the number of flows per second that a number of healthy hosts can serve.
    #[must_use]
    pub fn capacity(hosts: usize) -> f64 {
        (hosts * SLOTS) as f64 * 1_000.0 / MEAN_WORK_MS
    }

    /// Runs for a time.
    pub fn run(&mut self, span_ms: u64) -> &mut Self {
        for _ in 0..span_ms {
            self.now_ms += 1;
            self.send_loads();
            self.receive_loads();
            for domain in 0..self.flows_per_s.len() {
                let mut due = self.flows_per_s[domain] / 1_000.0;
                while due > 0.0 {
                    if self.uniform() < due {
                        self.open_flow(domain);
                    }
                    due -= 1.0;
                }
            }
        }
        self
    }

    /// Discards what the balancers know, as when all of them restart.
    pub fn restart_balancers(&mut self) {
        for balancer in &mut self.balancers {
            balancer.view = LoadView::default();
            balancer.placer = Placer::default();
        }
    }

    /// Returns the flows of the last part of the run.
    pub fn last(&self, span_ms: u64) -> impl Iterator<Item = &QueuedFlow> {
        let since_ms = self.now_ms - span_ms;
        self.flows.iter().filter(move |flow| flow.at_ms > since_ms)
    }

    /// Returns the 99th percentile of the times to the response.
    #[must_use]
    pub fn p99_ms(&self, span_ms: u64) -> f64 {
        let mut times_ms: Vec<f64> = self.last(span_ms).map(|flow| flow.response_ms).collect();
        times_ms.sort_by(f64::total_cmp);
        times_ms
            .get(times_ms.len() * 99 / 100)
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns the maximum over the mean of the work that the hosts got.
    #[must_use]
    pub fn imbalance(&self, span_ms: u64) -> f64 {
        let mut work_ms = vec![0.0; self.hosts.len()];
        for flow in self.last(span_ms) {
            work_ms[flow.host] += flow.work_ms;
        }
        let most_ms = work_ms.iter().copied().fold(0.0, f64::max);
        most_ms * work_ms.len() as f64 / work_ms.iter().sum::<f64>()
    }

    /// Returns the share of the flows for which a predicate holds.
    pub fn share(&self, span_ms: u64, predicate: impl Fn(&QueuedFlow) -> bool) -> f64 {
        let flows = self.last(span_ms).count().max(1);
        self.last(span_ms).filter(|flow| predicate(flow)).count() as f64 / flows as f64
    }

    /// Returns the share of the flows of a domain that leave it.
    #[must_use]
    pub fn leaving(&self, domain: usize, span_ms: u64) -> f64 {
        let flows = self.last(span_ms).filter(|flow| flow.domain == domain);
        let flows = flows.count().max(1);
        let leaving = self
            .last(span_ms)
            .filter(|flow| flow.domain == domain && flow.leaves);
        leaving.count() as f64 / flows as f64
    }

    fn send_loads(&mut self) {
        let now_ms = self.now_ms as f64;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.observe_responses(now_ms);
            let is_due = (self.now_ms + 37 * index as u64).is_multiple_of(self.interval_ms);
            if host.reports && is_due {
                let report = (self.now_ms + self.lag_ms, index, host.load());
                self.reports.push_back(report);
            }
        }
    }

    fn receive_loads(&mut self) {
        let is_due = |report: &mut (u64, usize, HostLoad)| report.0 <= self.now_ms;
        while let Some((_, index, load)) = self.reports.pop_front_if(is_due) {
            let domain = self.hosts[index].domain;
            for balancer in &mut self.balancers {
                let distance_ms = self.positions_ms[balancer.domain] - self.positions_ms[domain];
                let round_trip_ms = distance_ms.abs() + 0.2 + self.lag_ms as f64;
                balancer.view.record(
                    Time::from_millis(self.now_ms),
                    agent(index),
                    &self.domains[domain],
                    load,
                    Some(Span(whole(round_trip_ms * 1_000.0))),
                );
            }
        }
    }

    fn open_flow(&mut self, domain: usize) {
        // Apart from the sequence of random numbers, because the placement uses hashes of the hash.
        let hash = splitmix64(self.next_random().rotate_left(32));
        let work_random = self.uniform();
        let balancer = self.next_random() % BALANCERS_PER_DOMAIN as u64;
        let balancer = domain * BALANCERS_PER_DOMAIN + usize::try_from(balancer).unwrap_or(0);
        let Some(host) = self.choose(balancer, hash) else {
            return;
        };
        let now_ms = self.now_ms as f64;
        let work_ms = -MEAN_WORK_MS * self.hosts[host].slowness * work_random.ln();
        let response_ms = self.hosts[host].add(now_ms, work_ms);
        let there = self.hosts[host].domain;
        let round_trip_ms = (self.positions_ms[domain] - self.positions_ms[there]).abs();
        self.flows.push(QueuedFlow {
            at_ms: self.now_ms,
            domain,
            host,
            leaves: there != domain,
            work_ms,
            response_ms: response_ms - now_ms + 2.0 * round_trip_ms,
        });
    }

    /// Returns the host that a balancer chooses for a flow.
    fn choose(&mut self, balancer: usize, hash: u64) -> Option<usize> {
        let hosts = self.hosts.iter().enumerate();
        let candidates: Vec<Candidate> = hosts
            .filter(|(_, host)| host.is_usable)
            .map(|(index, host)| Candidate {
                agent: agent(index),
                domain: &self.domains[host.domain],
                score: rendezvous_score(hash, agent(index)),
            })
            .collect();
        let balancer = &mut self.balancers[balancer];
        let own_domain = &self.domains[balancer.domain];
        let flow = PlacementRequest {
            service: &self.service,
            hash,
            own_domain: (self.rule == PlacementRule::OwnDomain).then_some(own_domain),
        };
        let chosen = if self.rule == PlacementRule::Rendezvous {
            candidates
                .iter()
                .max_by_key(|candidate| candidate.score)?
                .agent
        } else {
            let now = Time::from_millis(self.now_ms);
            let choice = balancer
                .placer
                .choose(now, &mut balancer.view, &flow, &candidates)?;
            choice.agent
        };
        (0..self.hosts.len()).find(|index| agent(*index) == chosen)
    }

    fn next_random(&mut self) -> u64 {
        self.random = splitmix64(self.random);
        self.random
    }

    /// Returns a random number above 0 and up to 1.
    fn uniform(&mut self) -> f64 {
        (self.next_random() as f64 / u64::MAX as f64).max(f64::MIN_POSITIVE)
    }
}

fn agent(host: usize) -> Ipv4Addr {
    let index = u32::try_from(host).unwrap_or(u32::MAX);
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 1, 0, 1)) + index)
}

/// Returns the whole part of a positive number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a run are positive and far below 2^52"
)]
const fn whole(value: f64) -> u64 {
    value as u64
}
