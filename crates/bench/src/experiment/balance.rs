//! Steady imbalance over 7 hosts, in virtual time.

use {
    super::{Experiment, Result, RunOptions},
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_coordination::admission::ServerReport,
    cardamomloom_core::{Span, Weight},
    cardamomloom_standins::fleet::{AdmissionMode, Fleet, FleetOptions, open_connections},
    serde_json::json,
};

/// The experiment `balance`.
pub struct Balance;

/// 1,000 flows a second of 10 s each are 10,000 open flows.
const PER_S: u64 = 1_000;
const LIFETIME: Span = Span::from_secs(10);
const WARM: Span = Span::from_secs(40);
const BIN: Span = Span::from_millis(500);

const WEIGHTS: [u32; 7] = [500, 1_000, 2_000, 1_000, 1_500, 1_000, 500];

const CASES: [&str; 4] = [
    "equal",
    "unequal weights",
    "one slow server",
    "one false load",
];

fn fleet(case: &str, mechanism: AdmissionMode, seed: u64) -> Result<Fleet> {
    let mut options = FleetOptions {
        admission: mechanism,
        seed,
        ..FleetOptions::default()
    };
    if case == "unequal weights" {
        for (host, weight) in options.hosts.iter_mut().zip(WEIGHTS) {
            host.1 = Weight(weight);
        }
    }
    let mut fleet = Fleet::new(&options)?;
    match case {
        "one slow server" => fleet.host_mut(1)?.lifetime_percent = 200,
        "one false load" => {
            fleet.host_mut(3)?.report = Some(ServerReport {
                load_ppm: 1_000_000,
                shedding: true,
            });
        }
        _ => {}
    }
    Ok(fleet)
}

impl Experiment for Balance {
    fn name(&self) -> &'static str {
        "balance"
    }

    fn summary(&self) -> &'static str {
        "steady max/mean over 7 hosts at 10,000 flows, virtual time"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let measured = Span::from_secs(if options.quick { 10 } else { 60 });
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        for case in CASES {
            for (name, mechanism) in [
                ("design", AdmissionMode::Adaptive),
                ("without mean", AdmissionMode::WithoutMean),
            ] {
                let mut fleet = fleet(case, mechanism, options.seed)?;
                // Slow start takes a gentle rise, as in service.
                fleet.run(Span::from_secs(15), PER_S / 10, LIFETIME);
                fleet.run(WARM, PER_S, LIFETIME);
                let before = (fleet.counts(), fleet.packets().iter().sum::<u64>());
                let (end, start) = (fleet.now() + measured, fleet.now());
                let (mut sum, mut most, mut bins) = (0.0, 0.0_f64, 0.0);
                let mut points = Vec::new();
                while fleet.now() < end {
                    fleet.run(BIN, PER_S, LIFETIME);
                    let imbalance = fleet.imbalance();
                    (sum, most, bins) = (sum + imbalance, most.max(imbalance), bins + 1.0);
                    let time_s = fleet.now().since(start).0 as f64 / 1e6;
                    points.push((time_s, imbalance));
                }
                let counts = fleet.counts();
                let offered = counts.offered - before.0.offered;
                let packets = fleet.packets().iter().sum::<u64>() - before.1;
                report.row(json!({
                    "case": case,
                    "admission": name,
                    "open_flows": fleet.hosts().iter().map(open_connections).sum::<u32>(),
                    "mean_imbalance": sum / bins,
                    "largest_imbalance": most,
                    // Opening packet, acknowledgement and reset of each flow are three.
                    "hops_per_flow": packets as f64 / offered as f64,
                    "refused": counts.refused - before.0.refused,
                }));
                if case == "one slow server" {
                    let name = name.to_owned();
                    series.push(Series { name, points });
                }
            }
        }
        let axes = Axes {
            title: "Imbalance of 7 hosts with one slow server",
            x: "seconds",
            y: "max/mean of open flows",
        };
        report.set_plot(line_plot(axes, &series)?);
        Ok(report)
    }
}
