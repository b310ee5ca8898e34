//! Broken flows and extra hops under overlapping changes, for four ways to find the owner.

use {
    super::{Experiment, Result, RunOptions},
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::{Span, Weight},
    cardamomloom_protocol::packet::FlowKey,
    cardamomloom_standins::model::{FlowState, Simulation, host_of_address},
    serde_json::json,
    std::collections::BTreeSet,
};

/// The experiment `churn`.
pub struct Churn;

const HOSTS: usize = 16;
const BALANCERS: usize = 3;
/// Time after which a change is everywhere (3 s) and lost messages were repeated.
const QUIET: Span = Span::from_millis(4_500);

/// One change of the sequence, applied while the one before may not be everywhere.
type Change = (&'static str, fn(&mut Simulation));

const CHANGES: [Change; 7] = [
    ("domain of 4 returns to 8 hosts", |world| {
        world.join_together(&[8, 9, 10, 11]);
    }),
    ("host joins", |world| world.join(12)),
    ("weight of a host halves", |world| {
        world.hosts[0].weight = Weight(500);
        world.publish();
    }),
    ("2 hosts join, one drains", |world| {
        world.join(13);
        world.join(14);
        world.drain(1);
    }),
    ("hash key changes", |world| {
        world.key += 1;
        world.publish();
    }),
    ("host joins", |world| world.join(15)),
    ("weight of a host doubles", |world| {
        world.hosts[9].weight = Weight(2_000);
        world.publish();
    }),
];

/// How a packet finds the owner of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// The first candidate answers for every flow.
    Rendezvous,
    /// The first candidate passes unknown packets to the one that was first before it.
    Chaining,
    /// Agents pass unknown packets along the candidates.
    Walk,
    /// Agents pass packets to the owner that the directory names, else along the candidates.
    Handover,
}

const METHODS: [Method; 4] = [
    Method::Rendezvous,
    Method::Chaining,
    Method::Walk,
    Method::Handover,
];

impl Method {
    const fn name(self) -> &'static str {
        match self {
            Self::Rendezvous => "rendezvous alone",
            Self::Chaining => "one-level chaining",
            Self::Walk => "candidate walk",
            Self::Handover => "handover directory",
        }
    }
}

impl Experiment for Churn {
    fn name(&self) -> &'static str {
        "churn"
    }

    fn summary(&self) -> &'static str {
        "broken flows and extra hops under overlapping changes, for four ways to find the owner"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let flows = if options.quick { 2_000 } else { 20_000 };
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        for method in METHODS {
            let mut run = Run::new(method, options.seed, flows);
            let mut points = vec![(0.0, 0.0)];
            for (index, (name, change)) in CHANGES.iter().enumerate() {
                let step = run.apply(*change);
                let open = run.open_flows().count();
                let broken_percent = 100.0 * run.broken.len() as f64 / open as f64;
                report.row(json!({
                    "method": method.name(), "change": name, "number": index + 1,
                    "flows": open, "broken": run.broken.len(),
                    "broken_percent": broken_percent,
                    "hops_while_uneven": step.uneven.mean_hops(),
                    "hops_when_quiet": step.quiet.mean_hops(),
                    "most_hops_when_quiet": step.quiet.most_hops,
                    "unanswered": step.uneven.unanswered,
                    "imbalance": run.imbalance(),
                    "control_bytes": step.control_bytes,
                }));
                points.push(((index + 1) as f64, broken_percent));
            }
            let name = method.name().to_owned();
            series.push(Series { name, points });
        }
        let axes = Axes {
            title: "Flows broken by a sequence of planned changes",
            x: "changes",
            y: "broken flows, percent",
        };
        report.set_plot(line_plot(axes, &series)?);
        Ok(report)
    }
}

/// What became of the packets of one check.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    answered: u64,
    unanswered: u64,
    hops: u64,
    most_hops: u8,
}

impl Tally {
    fn mean_hops(&self) -> f64 {
        self.hops as f64 / self.answered.max(1) as f64
    }
}

struct Step {
    uneven: Tally,
    quiet: Tally,
    control_bytes: u64,
}

struct Run {
    method: Method,
    world: Simulation,
    broken: BTreeSet<usize>,
}

impl Run {
    /// Opens all flows on 8 hosts, each at the first candidate of its bucket.
    fn new(method: Method, seed: u64, flows: usize) -> Self {
        let mut world = Simulation::new(seed, HOSTS, BALANCERS, method == Method::Handover);
        // The hash key decides which flows a change moves.
        world.key = u8::try_from(seed % 250).unwrap_or_default();
        world.remove(&(8..HOSTS).collect::<Vec<_>>());
        world.update_all();
        world.advance(QUIET);
        for _ in 0..flows {
            let flow = world.add_flow();
            world.send_syn(flow, &[0]);
        }
        world.advance(QUIET);
        let mut run = Self {
            method,
            world,
            broken: BTreeSet::new(),
        };
        run.check(true);
        run
    }

    fn open_flows(&self) -> impl Iterator<Item = usize> {
        let is_open =
            |flow: &usize| matches!(self.world.flows[*flow].state, FlowState::Open { .. });
        (0..self.world.flows.len()).filter(is_open)
    }

    /// Applies a change; each balancer uses another table before the change is everywhere.
    fn apply(&mut self, change: fn(&mut Simulation)) -> Step {
        let control_bytes = self.world.control_bytes;
        change(&mut self.world);
        let newest = self.world.versions.len() - 1;
        self.world.update_balancer(0, newest);
        self.world.update_balancer(1, newest.saturating_sub(1));
        let uneven = self.check(false);
        self.world.advance(QUIET);
        let quiet = self.check(true);
        Step {
            uneven,
            quiet,
            control_bytes: self.world.control_bytes - control_bytes,
        }
    }

    /// Sends a packet of every flow through every balancer.
    fn check(&mut self, is_quiet: bool) -> Tally {
        let mut tally = Tally::default();
        for flow in self.open_flows().collect::<Vec<_>>() {
            for balancer in 0..BALANCERS {
                let resets = self.world.violations.broken;
                match self.send(flow, balancer) {
                    Some(hops) => {
                        tally.answered += 1;
                        tally.hops += u64::from(hops);
                        tally.most_hops = tally.most_hops.max(hops);
                        continue;
                    }
                    None => tally.unanswered += 1,
                }
                // The first two methods reset at once. With the others TCP repeats the packet,
                // which must be answered once every table is everywhere.
                let resets_at_once = matches!(self.method, Method::Rendezvous | Method::Chaining);
                if resets_at_once || is_quiet || self.world.violations.broken > resets {
                    self.broken.insert(flow);
                }
            }
        }
        tally
    }

    /// Returns the largest share of a host that takes new flows, by weight, relative to the mean.
    /// It is that of the present table and so equal for all methods.
    fn imbalance(&self) -> f64 {
        let Some(version) = self.world.versions.last() else {
            return 0.0;
        };
        let mut flows = [0.0; HOSTS];
        for flow in &self.world.flows {
            let bucket = version.table.bucket_of(&flow.key);
            if let Some(first) = version.table.first(bucket, true) {
                flows[host_of_address(first.data_address)] += 1_000.0 / f64::from(first.weight.0);
            }
        }
        let total: f64 = flows.iter().sum();
        let largest = flows.iter().copied().fold(0.0, f64::max);
        largest * self.world.ready_hosts() as f64 / total
    }

    /// Returns the extra hops of a packet, or `None` when it does not reach its flow.
    fn send(&mut self, flow: usize, balancer: usize) -> Option<u8> {
        let FlowState::Open { host, .. } = self.world.flows[flow].state else {
            return None;
        };
        let version = self.world.balancers[balancer];
        let key = self.world.flows[flow].key;
        match self.method {
            Method::Rendezvous => (self.first(version, &key) == Some(host)).then_some(0),
            Method::Chaining => self.chained(version, &key, host),
            Method::Walk | Method::Handover => {
                let trace = self.world.send_next(flow, balancer);
                trace.is_delivered.then_some(trace.hops)
            }
        }
    }

    fn chained(&self, version: usize, key: &FlowKey, owner: usize) -> Option<u8> {
        let first = self.first(version, key);
        if first == Some(owner) {
            return Some(0);
        }
        let previous = (0..version)
            .rev()
            .map(|earlier| self.first(earlier, key))
            .find(|earlier| *earlier != first)
            .flatten();
        (previous == Some(owner)).then_some(1)
    }

    /// Returns the host that is first for established flows in a version.
    fn first(&self, version: usize, key: &FlowKey) -> Option<usize> {
        let table = &self.world.versions[version].table;
        let first = table.first(table.bucket_of(key), false)?;
        Some(host_of_address(first.data_address))
    }
}
