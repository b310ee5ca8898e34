//! Imbalance of open flows over 7 hosts under constant load, in virtual time.

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

/// New flows per second; with a lifetime of 10 s, 10,000 flows are open.
const FLOWS_PER_S: u64 = 1_000;
const FLOW_LIFETIME: Span = Span::from_secs(10);
/// Time at a tenth of the load and then at full load before the measurement.
const LOW_LOAD_SPAN: Span = Span::from_secs(15);
const WARM_UP: Span = Span::from_secs(40);
const SAMPLE_INTERVAL: Span = Span::from_millis(500);

const WEIGHTS: [u32; 7] = [500, 1_000, 2_000, 1_000, 1_500, 1_000, 500];

const CASES: [&str; 4] = [
    "equal",
    "unequal weights",
    "one slow server",
    "one false load",
];

/// Creates a fleet of 7 hosts for a case of [`CASES`].
fn create_fleet(case: &str, admission_mode: AdmissionMode, seed: u64) -> Result<Fleet> {
    let mut options = FleetOptions {
        admission: admission_mode,
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
        "max/mean of open flows over 7 hosts under constant load, 10,000 flows, virtual time"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let measured_span = Span::from_secs(if options.quick { 10 } else { 60 });
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        for case in CASES {
            for (name, admission_mode) in [
                ("design", AdmissionMode::Adaptive),
                ("without mean", AdmissionMode::WithoutMean),
            ] {
                let mut fleet = create_fleet(case, admission_mode, options.seed)?;
                // Slow start of the admission limits requires a gradual increase of the load, as in
                // production.
                fleet.run(LOW_LOAD_SPAN, FLOWS_PER_S / 10, FLOW_LIFETIME);
                fleet.run(WARM_UP, FLOWS_PER_S, FLOW_LIFETIME);
                let previous_counts = fleet.counts();
                let previous_packets = fleet.packets().iter().sum::<u64>();
                let (end, start) = (fleet.now() + measured_span, fleet.now());
                let (mut sum, mut largest, mut samples) = (0.0, 0.0_f64, 0.0);
                let mut points = Vec::new();
                while fleet.now() < end {
                    fleet.run(SAMPLE_INTERVAL, FLOWS_PER_S, FLOW_LIFETIME);
                    let imbalance = fleet.imbalance();
                    (sum, largest, samples) =
                        (sum + imbalance, largest.max(imbalance), samples + 1.0);
                    let time_s = fleet.now().since(start).0 as f64 / 1e6;
                    points.push((time_s, imbalance));
                }
                let counts = fleet.counts();
                let offered = counts.offered - previous_counts.offered;
                let packets = fleet.packets().iter().sum::<u64>() - previous_packets;
                report.add_row(json!({
                    "case": case,
                    "admission": name,
                    "open_flows": fleet.hosts().iter().map(open_connections).sum::<u32>(),
                    "mean_imbalance": sum / samples,
                    "largest_imbalance": largest,
                    // A flow without extra hops has three: its SYN, its ACK and its RST.
                    "hops_per_flow": packets as f64 / offered as f64,
                    "refused": counts.refused - previous_counts.refused,
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
