//! Control traffic of a balancer and time until every process uses a change, against the number of
//! balancers, the loss and the rate of changes.

use {
    super::{
        Experiment, Result, RunOptions,
        fleets::{WARM_UP, design_options, measure_rates},
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::Span,
    cardamomloom_standins::control_plane::Fleet,
    serde_json::json,
};

/// The experiment `disseminate`.
pub struct Disseminate;

/// Number of balancers, loss in parts per million, and number of changes in the measured time.
///
/// The design has 570 balancers. A run with that many had no result after 4 minutes, so its figures
/// are extrapolated from the slope.
const CASES: [(usize, u64, u32); 6] = [
    (30, 0, 2),
    (30, 50_000, 2),
    (60, 50_000, 2),
    (120, 50_000, 2),
    (120, 50_000, 20),
    (180, 50_000, 2),
];

const QUICK_CASES: usize = 2;

/// Measured time. Two changes in it are about twice the design's rate of 2,600 changes a day.
const MEASURED_SPAN: Span = Span::from_secs(40);

/// Maximum time until a change is in force at every process: promise P10 of the design.
const IN_FORCE_LIMIT: Span = Span::from_secs(19);

impl Experiment for Disseminate {
    fn name(&self) -> &'static str {
        "disseminate"
    }

    fn summary(&self) -> &'static str {
        "control bytes per second and time until a change is in force everywhere, against balancers, loss and change rate"
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
            let mut fleet = Fleet::start(design_options(balancers, loss_ppm, options.seed));
            fleet.run(WARM_UP);
            let is_converged = fleet.is_converged();
            let mut slowest = Span::ZERO;
            let mut late = 0_u32;
            let rates = measure_rates(&mut fleet, MEASURED_SPAN, |fleet| {
                (slowest, late) = apply_changes(fleet, changes);
            });
            points.push((balancers as f64, rates.mean_sent + rates.mean_received));
            report.add_row(json!({
                "balancers": balancers,
                "hosts": fleet.agents.len(),
                "loss_ppm": loss_ppm,
                "changes": changes,
                "span_s": MEASURED_SPAN.0 / 1_000_000,
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

/// Writes changes at even intervals over the measured time. Returns the longest time until one was
/// in force everywhere, and the number of changes that were not in force everywhere before the next
/// one or within [`IN_FORCE_LIMIT`].
fn apply_changes(fleet: &mut Fleet, changes: u32) -> (Span, u32) {
    let start = fleet.now;
    let interval = Span(MEASURED_SPAN.0 / u64::from(changes));
    let (mut slowest, mut late) = (Span::ZERO, 0);
    for round in 0..changes {
        let service = round as usize % fleet.options.services;
        let version = fleet.put_service(service, 100 + round);
        let key = format!("services/service-{service}");
        let limit = Span(interval.0.min(IN_FORCE_LIMIT.0));
        match fleet.run_until(limit, |fleet| fleet.is_in_force(&key, version)) {
            Some(span) => slowest = slowest.max(span),
            None => late += 1,
        }
        let next_change = start + Span(interval.0 * u64::from(round + 1));
        fleet.run(next_change.since(fleet.now));
    }
    (slowest, late)
}
