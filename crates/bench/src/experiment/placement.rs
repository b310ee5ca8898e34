//! Placement of new flows when some hosts are slow, by rendezvous and by expected wait, in virtual time.

use {
    super::{Experiment, Result, RunOptions},
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_standins::passthrough::{PlacementRule, QueueModel},
    serde_json::json,
};

/// The experiment `placement`.
pub struct Placement;

const SIZES: [usize; 3] = [10, 30, 100];

/// Part of the load that the hosts could serve if none was slow.
const LOAD: f64 = 0.8;

/// One host in this number is slow, by this factor.
const HOSTS_PER_SLOW_HOST: usize = 10;
const SLOWNESS: f64 = 5.0;

const WARM_UP_MS: u64 = 10_000;

const CASES: [(&str, PlacementRule, f64); 4] = [
    ("rendezvous", PlacementRule::Rendezvous, 1.0),
    (
        "rendezvous, slow hosts",
        PlacementRule::Rendezvous,
        SLOWNESS,
    ),
    ("expected wait", PlacementRule::AnyDomain, 1.0),
    (
        "expected wait, slow hosts",
        PlacementRule::AnyDomain,
        SLOWNESS,
    ),
];

impl Experiment for Placement {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn summary(&self) -> &'static str {
        "response times and imbalance by work, one host in ten five times slower, virtual time"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let span_ms = if options.quick { 10_000 } else { 60_000 };
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        for (case, rule, slowness) in CASES {
            let mut points = Vec::new();
            for hosts in SIZES {
                let mut model = QueueModel::new(rule, &[hosts], &[0.0], options.seed);
                for host in model.hosts.iter_mut().step_by(HOSTS_PER_SLOW_HOST) {
                    host.slowness = slowness;
                }
                model.flows_per_s[0] = LOAD * QueueModel::capacity(hosts);
                model.run(WARM_UP_MS + span_ms);
                let p99_ms = model.p99_ms(span_ms);
                report.add_row(json!({
                    "case": case,
                    "hosts": hosts,
                    "flows": model.last(span_ms).count(),
                    "p99_ms": p99_ms,
                    "imbalance_by_work": model.imbalance(span_ms),
                }));
                points.push((hosts as f64, p99_ms.log10()));
            }
            let name = case.to_owned();
            series.push(Series { name, points });
        }
        let axes = Axes {
            title: "Response times with slow hosts",
            x: "hosts",
            y: "log10 of the 99th percentile in ms",
        };
        report.set_plot(line_plot(axes, &series)?);
        Ok(report)
    }
}
