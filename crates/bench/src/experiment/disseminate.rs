//! Bytes per second of a balancer and time until a change is in force everywhere, against node
//! count, loss and change rate.

use {
    super::{
        Experiment, Result, RunOptions,
        fleets::{WARM_UP, options as fleet_options, rates},
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::Span,
    cardamomloom_standins::control_plane::Fleet,
    serde_json::json,
};

/// The experiment `disseminate`.
pub struct Disseminate;

/// Balancers, loss in parts per million, and changes within the measured time.
///
/// The design has 570 balancers; a run with so many took more than 4 minutes without a result, so
/// figures for it come from the slope.
const CASES: [(usize, u64, u32); 6] = [
    (30, 0, 2),
    (30, 50_000, 2),
    (60, 50_000, 2),
    (120, 50_000, 2),
    (120, 50_000, 20),
    (180, 50_000, 2),
];

const QUICK_CASES: usize = 2;

/// Measured time. Two changes in it are twice the 2,600 changes a day of the design.
const SPAN: Span = Span::from_secs(40);

/// Bound of promise P10.
const IN_FORCE: Span = Span::from_secs(19);

impl Experiment for Disseminate {
    fn name(&self) -> &'static str {
        "disseminate"
    }

    fn summary(&self) -> &'static str {
        "control bytes per second and time to everywhere against balancers, loss and change rate"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let mut report = Report::new(self.name(), options);
        let mut points = Vec::new();
        let count = if options.quick {
            QUICK_CASES
        } else {
            CASES.len()
        };
        for (balancers, loss_ppm, changes) in CASES[..count].iter().copied() {
            let mut fleet = Fleet::start(fleet_options(balancers, loss_ppm, options.seed));
            fleet.run(WARM_UP);
            let is_converged = fleet.is_converged();
            let mut slowest = Span::ZERO;
            let mut late = 0_u32;
            let rates = rates(&mut fleet, SPAN, |fleet| {
                (slowest, late) = change(fleet, changes);
            });
            points.push((balancers as f64, rates.mean_sent + rates.mean_received));
            report.row(json!({
                "balancers": balancers,
                "hosts": fleet.agents.len(),
                "loss_ppm": loss_ppm,
                "changes": changes,
                "span_s": SPAN.0 / 1_000_000,
                "sent_bytes_per_s": rates.mean_sent,
                "received_bytes_per_s": rates.mean_received,
                "max_total_bytes_per_s": rates.max_total,
                "slowest_ms": slowest.as_millis(),
                "late": late,
                "settled": is_converged,
            }));
        }
        let axes = Axes {
            title: "Control traffic of a balancer under changes",
            x: "balancers",
            y: "B/s sent and received",
        };
        let name = "design".to_owned();
        report.set_plot(line_plot(axes, &[Series { name, points }])?);
        Ok(report)
    }
}

/// Writes changes evenly over the time; returns the longest time to everywhere and the number of
/// changes that were not in force before the next one or within the bound.
fn change(fleet: &mut Fleet, changes: u32) -> (Span, u32) {
    let start = fleet.now;
    let interval = Span(SPAN.0 / u64::from(changes));
    let (mut slowest, mut late) = (Span::ZERO, 0);
    for round in 0..changes {
        let service = round as usize % fleet.options.services;
        let version = fleet.put_service(service, 100 + round);
        let key = format!("services/service-{service}");
        let limit = Span(interval.0.min(IN_FORCE.0));
        match fleet.run_until(limit, |fleet| fleet.is_in_force(&key, version)) {
            Some(time) => slowest = slowest.max(time),
            None => late += 1,
        }
        let next = start + Span(interval.0 * u64::from(round + 1));
        fleet.run(next.since(fleet.now));
    }
    (slowest, late)
}
