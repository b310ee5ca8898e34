//! Time that a balancer needs to look up the route of a packet and build the forward header,
//! against the number of hosts.

use {
    super::{
        Experiment, Result, RunOptions,
        fixture::{routing_table, segment},
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_coordination::balancer::route,
    cardamomloom_protocol::{forward::DatagramKey, gue, packet},
    serde_json::json,
    std::{hint::black_box, time::Instant},
};

/// The experiment `lookup`.
pub struct Lookup;

const HOST_COUNTS: [u32; 3] = [10, 100, 1_000];
const PACKETS: u16 = 250;
const KEY: DatagramKey = DatagramKey([1; 16]);

impl Experiment for Lookup {
    fn name(&self) -> &'static str {
        "lookup"
    }

    fn summary(&self) -> &'static str {
        "nanoseconds per packet of route lookup plus forward header at 10, 100 and 1,000 hosts"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let rounds = if options.quick { 100 } else { 2_000 };
        let packets = (0..PACKETS)
            .map(|port| Ok(gue::encode(&segment(10_000 + port, &[0; 64])?)))
            .collect::<Result<Vec<_>>>()?;
        let mut report = Report::new(self.name(), options);
        let mut series = [
            ("lookup plus header", Vec::new()),
            ("parse only", Vec::new()),
        ];
        for hosts in HOST_COUNTS {
            let table = routing_table(hosts, 9)?;
            let mut route_ns = Vec::with_capacity(rounds);
            let mut parse_ns = Vec::with_capacity(rounds);
            for _ in 0..rounds {
                route_ns.push(time_ns(&packets, |datagram| {
                    let _ = black_box(route(&table, KEY, datagram));
                }));
                parse_ns.push(time_ns(&packets, |datagram| {
                    let _ = black_box(gue::decode(datagram).map(packet::parse));
                }));
            }
            let [route_median_ns, parse_median_ns] = [median(&mut route_ns), median(&mut parse_ns)];
            series[0].1.push((f64::from(hosts), route_median_ns));
            series[1].1.push((f64::from(hosts), parse_median_ns));
            report.add_row(json!({
                "hosts": hosts, "packets": rounds * packets.len(),
                "time_ns_per_packet": route_median_ns, "least_ns_per_packet": route_ns[0],
                "parse_only_ns": parse_median_ns, "ratio": route_median_ns / parse_median_ns,
            }));
        }
        report.add_slope("time_ns_per_packet", "hosts", &series[0].1);
        let axes = Axes {
            title: "Route lookup plus forward header of a balancer",
            x: "hosts",
            y: "ns per packet",
        };
        let lines = series.map(|(name, points)| Series {
            name: name.to_owned(),
            points,
        });
        report.set_plot(line_plot(axes, &lines)?);
        Ok(report)
    }
}

/// Returns the time of `work` per packet in one round. A round is short, so that most rounds are
/// not preempted.
fn time_ns(packets: &[Vec<u8>], mut work: impl FnMut(&[u8])) -> f64 {
    let start = Instant::now();
    for datagram in packets {
        work(black_box(datagram));
    }
    start.elapsed().as_nanos() as f64 / packets.len() as f64
}

/// Sorts the times and returns their median.
fn median(times: &mut [f64]) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
