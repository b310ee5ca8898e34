//! Calls to the store per second against the number of balancers, with the few store readers of the
//! design and with every balancer as a store reader.

use {
    super::{
        Experiment, Result, RunOptions,
        fleets::{WARM_UP, design_options},
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::Span,
    cardamomloom_standins::control_plane::Fleet,
    serde_json::json,
};

/// The experiment `store`.
pub struct Store;

const BALANCERS: [usize; 3] = [30, 60, 120];
const MEASURED_SPAN: Span = Span::from_secs(60);

/// Number of changes in the measured time under churn: thirty times the rate of the design.
const CHURN_CHANGES: u32 = 60;

impl Experiment for Store {
    fn name(&self) -> &'static str {
        "store"
    }

    fn summary(&self) -> &'static str {
        "store calls per second at three fleet sizes, without changes and under churn, compared with all balancers reading"
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
                let mut fleet_options = design_options(balancers, 50_000, options.seed);
                fleet_options.all_balancers_read_store = everybody_reads;
                // Agents do not call the store while a balancer responds, so a few are enough.
                fleet_options.hosts = balancers;
                let mut fleet = Fleet::start(fleet_options);
                fleet.run(WARM_UP);
                let calls_without_changes = calls_per_s(&mut fleet, 0);
                let calls_under_churn = calls_per_s(&mut fleet, CHURN_CHANGES);
                points.push((balancers as f64, calls_under_churn));
                report.add_row(json!({
                    "balancers": balancers,
                    "readers": if everybody_reads { "all" } else { "design" },
                    "quiet_calls_per_s": calls_without_changes,
                    "churn_calls_per_s": calls_under_churn,
                }));
            }
            let name = if everybody_reads {
                "every balancer is a store reader"
            } else {
                "two store readers in each failure domain"
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

/// Runs the fleet for the measured time with `changes` changes at even intervals, and returns the
/// calls to the store per second.
fn calls_per_s(fleet: &mut Fleet, changes: u32) -> f64 {
    let previous_calls = fleet.store.calls;
    let intervals = changes.max(1);
    for round in 0..intervals {
        if changes > 0 {
            let service = round as usize % fleet.options.services;
            fleet.put_service(service, 100 + round);
        }
        fleet.run(Span(MEASURED_SPAN.0 / u64::from(intervals)));
    }
    (fleet.store.calls - previous_calls) as f64 / (MEASURED_SPAN.0 as f64 / 1_000_000.0)
}
