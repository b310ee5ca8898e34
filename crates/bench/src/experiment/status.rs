//! Processor time of the status document of a balancer.

use {
    super::{Experiment, Result, RunOptions, fixture},
    crate::report::Report,
    cardamomloom_state::hosts::HostTable,
    serde_json::json,
    std::{hint::black_box, time::Instant},
};

/// The experiment `status`.
pub struct Status;

const HOSTS: [u32; 3] = [430, 1_433, 4_300];

impl Experiment for Status {
    fn name(&self) -> &'static str {
        "status"
    }

    fn summary(&self) -> &'static str {
        "processor time and size of the status document against hosts"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let rounds = if options.quick { 3 } else { 31 };
        let mut report = Report::new(self.name(), options);
        let mut points = Vec::new();
        for hosts in HOSTS {
            let mut table = HostTable::default();
            for index in 0..hosts {
                table.merge(fixture::host(index, index % 370 + 1, 9)?)?;
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
            report.row(json!({"hosts": hosts, "document_ms": time_ms, "document_bytes": bytes}));
        }
        report.slope("document_ms", "hosts", &points);
        Ok(report)
    }
}
