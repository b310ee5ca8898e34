//! Cost of signs of life per balancer against the number of hosts.

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

/// The experiment `announce`.
pub struct Announce;

const BALANCERS: usize = 60;
const HOSTS: [usize; 4] = [60, 225, 450, 900];
const SPAN: Span = Span::from_secs(30);

impl Experiment for Announce {
    fn name(&self) -> &'static str {
        "announce"
    }

    fn summary(&self) -> &'static str {
        "control bytes per second of a balancer against hosts, quiet, at 5 % loss"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let mut report = Report::new(self.name(), options);
        let mut points = Vec::new();
        let sizes = if options.quick { &HOSTS[..2] } else { &HOSTS };
        for hosts in sizes.iter().copied() {
            let mut fleet_options = fleet_options(BALANCERS, 50_000, options.seed);
            fleet_options.hosts = hosts;
            let mut fleet = Fleet::start(fleet_options);
            fleet.run(WARM_UP);
            let rates = rates(&mut fleet, SPAN, |fleet| fleet.run(SPAN));
            let total = rates.mean_sent + rates.mean_received;
            points.push((hosts as f64, total));
            report.row(json!({
                "balancers": BALANCERS,
                "hosts": hosts,
                "hosts_per_balancer": hosts as f64 / BALANCERS as f64,
                "sent_bytes_per_s": rates.mean_sent,
                "received_bytes_per_s": rates.mean_received,
                "max_total_bytes_per_s": rates.max_total,
            }));
        }
        let axes = Axes {
            title: "Control traffic of a balancer",
            x: "hosts",
            y: "B/s sent and received",
        };
        let name = "design".to_owned();
        report.set_plot(line_plot(axes, &[Series { name, points }])?);
        Ok(report)
    }
}
