//! Time of lookup plus header of a balancer against the number of hosts.

use {
    super::{
        Experiment, Result, RunOptions,
        fixture::{routing, segment},
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_coordination::balancer::route,
    cardamomloom_protocol::{forward::DatagramKey, gue},
    serde_json::json,
    std::{hint::black_box, time::Instant},
};

/// The experiment `lookup`.
pub struct Lookup;

const HOSTS: [u32; 3] = [10, 100, 1_000];
const PACKETS: u16 = 1_000;
const KEY: DatagramKey = DatagramKey([1; 16]);

impl Experiment for Lookup {
    fn name(&self) -> &'static str {
        "lookup"
    }

    fn summary(&self) -> &'static str {
        "nanoseconds of lookup plus header per packet at 10, 100 and 1,000 hosts"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let rounds = if options.quick { 100 } else { 1_000 };
        let packets = (0..PACKETS)
            .map(|port| Ok(gue::encode(&segment(10_000 + port, &[0; 64])?)))
            .collect::<Result<Vec<_>>>()?;
        let mut points = Vec::new();
        let mut report = Report::new(self.name(), options);
        for hosts in HOSTS {
            let table = routing(hosts, 9)?;
            let start = Instant::now();
            for _ in 0..rounds {
                for datagram in &packets {
                    let _ = black_box(route(&table, KEY, black_box(datagram)));
                }
            }
            let total = rounds * u64::from(PACKETS);
            let time_ns = start.elapsed().as_nanos() as f64 / total as f64;
            points.push((f64::from(hosts), time_ns));
            report.row(json!({"hosts": hosts, "packets": total, "time_ns_per_packet": time_ns}));
        }
        report.slope("time_ns_per_packet", "hosts", &points);
        let axes = Axes {
            title: "Lookup plus header of a balancer",
            x: "hosts",
            y: "ns per packet",
        };
        let name = "design".to_owned();
        report.set_plot(line_plot(axes, &[Series { name, points }])?);
        Ok(report)
    }
}
