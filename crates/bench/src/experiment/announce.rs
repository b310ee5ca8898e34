//! Control traffic of a balancer for heartbeats, without changes, against the number of hosts.

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

/// The experiment `announce`.
pub struct Announce;

const BALANCERS: usize = 60;
const HOSTS: [usize; 4] = [60, 225, 450, 900];
const MEASURED_SPAN: Span = Span::from_secs(30);

impl Experiment for Announce {
    fn name(&self) -> &'static str {
        "announce"
    }

    fn summary(&self) -> &'static str {
        "control bytes per second of a balancer against hosts, without changes, at 5 % loss"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let mut report = Report::new(self.name(), options);
        let mut points = Vec::new();
        let sizes = if options.quick { &HOSTS[..2] } else { &HOSTS };
        for hosts in sizes.iter().copied() {
            let mut fleet_options = design_options(BALANCERS, 50_000, options.seed);
            fleet_options.hosts = hosts;
            let mut fleet = Fleet::start(fleet_options);
            fleet.run(WARM_UP);
            let rates = measure_rates(&mut fleet, MEASURED_SPAN, |fleet| {
                fleet.run(MEASURED_SPAN);
            });
            let total_bytes_per_s = rates.mean_sent + rates.mean_received;
            points.push((hosts as f64, total_bytes_per_s));
            report.add_row(json!({
                "balancers": BALANCERS,
                "hosts": hosts,
                "hosts_per_balancer": hosts as f64 / BALANCERS as f64,
                "sent_bytes_per_s": rates.mean_sent,
                "received_bytes_per_s": rates.mean_received,
                "max_total_bytes_per_s": rates.max_total,
            }));
        }
        let axes = Axes {
            title: "Control traffic of a balancer without changes",
            x: "hosts",
            y: "B/s sent and received",
        };
        let name = "design".to_owned();
        report.set_plot(line_plot(axes, &[Series { name, points }])?);
        Ok(report)
    }
}
