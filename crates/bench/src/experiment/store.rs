//! Calls to the store per second against the size of the fleet, with few readers and with every
//! balancer as a reader.

use {
    super::{
        Experiment, Result, RunOptions,
        fleets::{WARM_UP, options as fleet_options},
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::Span,
    cardamomloom_standins::control_plane::Fleet,
    serde_json::json,
};

/// The experiment `store`.
pub struct Store;

const BALANCERS: [usize; 3] = [30, 60, 120];
const SPAN: Span = Span::from_secs(60);

/// Changes within the measured time under churn: thirty times the rate of the design.
const CHANGES: u32 = 60;

impl Experiment for Store {
    fn name(&self) -> &'static str {
        "store"
    }

    fn summary(&self) -> &'static str {
        "store calls per second at three fleet sizes, quiet and under churn, beside all watching"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        let sizes = if options.quick {
            &BALANCERS[..2]
        } else {
            &BALANCERS
        };
        for everybody_reads in [false, true] {
            let mut points = Vec::new();
            for balancers in sizes.iter().copied() {
                let mut fleet_options = fleet_options(balancers, 50_000, options.seed);
                fleet_options.all_balancers_read_store = everybody_reads;
                // Agents never call the store while a balancer answers.
                fleet_options.hosts = balancers;
                let mut fleet = Fleet::start(fleet_options);
                fleet.run(WARM_UP);
                let quiet = calls_per_s(&mut fleet, 0);
                let churn = calls_per_s(&mut fleet, CHANGES);
                points.push((balancers as f64, churn));
                report.row(json!({
                    "balancers": balancers,
                    "readers": if everybody_reads { "all" } else { "design" },
                    "quiet_calls_per_s": quiet,
                    "churn_calls_per_s": churn,
                }));
            }
            let name = if everybody_reads {
                "everybody watches"
            } else {
                "two readers in each failure domain"
            };
            let name = name.to_owned();
            series.push(Series { name, points });
        }
        let axes = Axes {
            title: "Calls to the store under churn",
            x: "balancers",
            y: "calls/s",
        };
        report.set_plot(line_plot(axes, &series)?);
        Ok(report)
    }
}

fn calls_per_s(fleet: &mut Fleet, changes: u32) -> f64 {
    let before = fleet.store.calls;
    let parts = changes.max(1);
    for round in 0..parts {
        if changes > 0 {
            let service = round as usize % fleet.options.services;
            fleet.put_service(service, 100 + round);
        }
        fleet.run(Span(SPAN.0 / u64::from(parts)));
    }
    (fleet.store.calls - before) as f64 / (SPAN.0 as f64 / 1_000_000.0)
}
