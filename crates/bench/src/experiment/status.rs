//! Time to build the list of hosts in the status document of a balancer, and its size.

use {
    super::{Experiment, Result, RunOptions, fixture},
    crate::report::Report,
    cardamomloom_state::hosts::HostTable,
    serde_json::json,
    std::{hint::black_box, time::Instant},
};

/// The experiment `status`.
pub struct Status;

const HOST_COUNTS: [u32; 3] = [430, 1_433, 4_300];

impl Experiment for Status {
    fn name(&self) -> &'static str {
        "status"
    }

    fn summary(&self) -> &'static str {
        "time and size of the status document against hosts"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let rounds = if options.quick { 3 } else { 31 };
        let mut report = Report::new(self.name(), options);
        let mut points = Vec::new();
        for hosts in HOST_COUNTS {
            let mut table = HostTable::default();
            for index in 0..hosts {
                table.merge(fixture::host_entry(index, index % 370 + 1, 9)?)?;
            }
            let mut rounds_ms = Vec::new();
            let mut bytes = 0;
            for _ in 0..rounds {
                let start = Instant::now();
                let document = black_box(json!({"hosts": table.iter().collect::<Vec<_>>()}));
                rounds_ms.push(start.elapsed().as_secs_f64() * 1e3);
                bytes = document.to_string().len();
            }
            rounds_ms.sort_by(f64::total_cmp);
            let time_ms = rounds_ms[rounds_ms.len() / 2];
            points.push((f64::from(hosts), time_ms));
            report
                .add_row(json!({"hosts": hosts, "document_ms": time_ms, "document_bytes": bytes}));
        }
        report.add_slope("document_ms", "hosts", &points);
        Ok(report)
    }
}
