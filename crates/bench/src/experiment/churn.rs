//! Broken flows and extra hops under overlapping changes, for four methods to find the owner of a
//! flow.

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
/// Time after which every process uses a change (3 s) and lost messages have been repeated.
const CONVERGENCE_SPAN: Span = Span::from_millis(4_500);

/// Name of a change and the function that applies it. A change is applied while some processes may
/// not use the previous one yet.
type Change = (&'static str, fn(&mut Simulation));

const CHANGES: [Change; 7] = [
    ("domain of 4 returns to 8 hosts", |simulation| {
        simulation.join_together(&[8, 9, 10, 11]);
    }),
    ("host joins", |simulation| simulation.join(12)),
    ("weight of a host halves", |simulation| {
        simulation.hosts[0].weight = Weight(500);
        simulation.publish();
    }),
    ("2 hosts join, one drains", |simulation| {
        simulation.join(13);
        simulation.join(14);
        simulation.drain(1);
    }),
    ("hash key changes", |simulation| {
        simulation.key += 1;
        simulation.publish();
    }),
    ("host joins", |simulation| simulation.join(15)),
    ("weight of a host doubles", |simulation| {
        simulation.hosts[9].weight = Weight(2_000);
        simulation.publish();
    }),
];

/// Method by which a packet finds the owner of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// The first candidate handles every packet and resets the flows that it does not own.
    Rendezvous,
    /// The first candidate forwards packets of unknown flows to the host that was the first
    /// candidate before it.
    Chaining,
    /// Agents forward packets of unknown flows along the list of candidates.
    Walk,
    /// Agents forward packets of unknown flows to the owner in the handover directory, or else
    /// along the list of candidates.
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
        "broken flows and extra hops under overlapping changes, for four methods to find the owner"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let flows = if options.quick { 2_000 } else { 20_000 };
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        for method in METHODS {
            let mut run = Run::new(method, options.seed, flows);
            let mut points = vec![(0.0, 0.0)];
            for (index, (name, change)) in CHANGES.iter().enumerate() {
                let result = run.apply(*change);
                let open_flows = run.open_flows().count();
                let broken_percent = 100.0 * run.broken.len() as f64 / open_flows as f64;
                report.add_row(json!({
                    "method": method.name(), "change": name, "number": index + 1,
                    "flows": open_flows, "broken": run.broken.len(),
                    "broken_percent": broken_percent,
                    "hops_while_uneven": result.during_change.mean_hops(),
                    "hops_when_quiet": result.after_change.mean_hops(),
                    "most_hops_when_quiet": result.after_change.max_hops,
                    "unanswered": result.during_change.unanswered,
                    "imbalance": run.imbalance(),
                    "control_bytes": result.control_bytes,
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

/// Counters of the packets sent in one check of all flows.
#[derive(Clone, Copy, Debug, Default)]
struct PacketCounters {
    answered: u64,
    unanswered: u64,
    hops: u64,
    max_hops: u8,
}

impl PacketCounters {
    fn mean_hops(&self) -> f64 {
        self.hops as f64 / self.answered.max(1) as f64
    }
}

/// Measurements of one change.
struct ChangeResult {
    /// Packets sent while the balancers use different tables.
    during_change: PacketCounters,
    /// Packets sent once every process uses the change.
    after_change: PacketCounters,
    /// Bytes of control messages that the change caused.
    control_bytes: u64,
}

/// Simulation of one method, with the flows that it has broken.
struct Run {
    method: Method,
    simulation: Simulation,
    broken: BTreeSet<usize>,
}

impl Run {
    /// Opens `flows` flows on 8 hosts, each at the first candidate of its bucket.
    fn new(method: Method, seed: u64, flows: usize) -> Self {
        let mut simulation = Simulation::new(seed, HOSTS, BALANCERS, method == Method::Handover);
        // The hash key determines which flows a change moves, so it depends on the seed.
        simulation.key = u8::try_from(seed % 250).unwrap_or_default();
        simulation.remove(&(8..HOSTS).collect::<Vec<_>>());
        simulation.update_all();
        simulation.advance(CONVERGENCE_SPAN);
        for _ in 0..flows {
            let flow = simulation.add_flow();
            simulation.send_syn(flow, &[0]);
        }
        simulation.advance(CONVERGENCE_SPAN);
        let mut run = Self {
            method,
            simulation,
            broken: BTreeSet::new(),
        };
        run.check(true);
        run
    }

    fn open_flows(&self) -> impl Iterator<Item = usize> {
        let is_open =
            |flow: &usize| matches!(self.simulation.flows[*flow].state, FlowState::Open { .. });
        (0..self.simulation.flows.len()).filter(is_open)
    }

    /// Applies a change and checks all flows twice: while each balancer uses a different table, and
    /// once every process uses the change.
    fn apply(&mut self, change: fn(&mut Simulation)) -> ChangeResult {
        let control_bytes = self.simulation.control_bytes;
        change(&mut self.simulation);
        let newest_version = self.simulation.versions.len() - 1;
        self.simulation.update_balancer(0, newest_version);
        self.simulation
            .update_balancer(1, newest_version.saturating_sub(1));
        let during_change = self.check(false);
        self.simulation.advance(CONVERGENCE_SPAN);
        let after_change = self.check(true);
        ChangeResult {
            during_change,
            after_change,
            control_bytes: self.simulation.control_bytes - control_bytes,
        }
    }

    /// Sends a packet of every open flow through every balancer and records the flows that break.
    fn check(&mut self, is_converged: bool) -> PacketCounters {
        let mut counters = PacketCounters::default();
        for flow in self.open_flows().collect::<Vec<_>>() {
            for balancer in 0..BALANCERS {
                let previous_broken = self.simulation.violations.broken;
                match self.send(flow, balancer) {
                    Some(hops) => {
                        counters.answered += 1;
                        counters.hops += u64::from(hops);
                        counters.max_hops = counters.max_hops.max(hops);
                        continue;
                    }
                    None => counters.unanswered += 1,
                }
                // The first two methods reset a flow at once. With the others, TCP retransmits the
                // packet, which must be answered once every process uses the same table.
                let resets_at_once = matches!(self.method, Method::Rendezvous | Method::Chaining);
                if resets_at_once
                    || is_converged
                    || self.simulation.violations.broken > previous_broken
                {
                    self.broken.insert(flow);
                }
            }
        }
        counters
    }

    /// Returns the largest number of flows of a host relative to its weight, over the mean of the
    /// hosts that accept new flows. It counts the first candidates in the present table, and so is
    /// equal for all methods.
    fn imbalance(&self) -> f64 {
        let Some(version) = self.simulation.versions.last() else {
            return 0.0;
        };
        let mut flows = [0.0; HOSTS];
        for flow in &self.simulation.flows {
            let bucket = version.table.bucket_of(&flow.key);
            if let Some(first) = version.table.first(bucket, true) {
                flows[host_of_address(first.data_address)] += 1_000.0 / f64::from(first.weight.0);
            }
        }
        let total: f64 = flows.iter().sum();
        let largest = flows.iter().copied().fold(0.0, f64::max);
        largest * self.simulation.ready_hosts() as f64 / total
    }

    /// Returns the extra hops of a packet, or `None` when it does not reach its flow.
    fn send(&mut self, flow: usize, balancer: usize) -> Option<u8> {
        let FlowState::Open { host, .. } = self.simulation.flows[flow].state else {
            return None;
        };
        let version = self.simulation.balancers[balancer];
        let key = self.simulation.flows[flow].key;
        match self.method {
            Method::Rendezvous => (self.first_candidate(version, &key) == Some(host)).then_some(0),
            Method::Chaining => self.chaining_hops(version, &key, host),
            Method::Walk | Method::Handover => {
                let trace = self.simulation.send_next(flow, balancer);
                trace.is_delivered.then_some(trace.hops)
            }
        }
    }

    /// Returns the hops when only the present first candidate and the one before it are tried.
    fn chaining_hops(&self, version: usize, key: &FlowKey, owner: usize) -> Option<u8> {
        let first = self.first_candidate(version, key);
        if first == Some(owner) {
            return Some(0);
        }
        let previous = (0..version)
            .rev()
            .map(|earlier| self.first_candidate(earlier, key))
            .find(|earlier| *earlier != first)
            .flatten();
        (previous == Some(owner)).then_some(1)
    }

    /// Returns the first candidate for packets of established flows in a version.
    fn first_candidate(&self, version: usize, key: &FlowKey) -> Option<usize> {
        let table = &self.simulation.versions[version].table;
        let first = table.first(table.bucket_of(key), false)?;
        Some(host_of_address(first.data_address))
    }
}
