//! Service while a failure domain leaves and returns, in virtual time.
//!
//! Every process of the model takes up a change at once, so the time to quiet is that of packets on
//! their way; the end-to-end test `domain_out` checks the bound with real, paused processes.

use {
    super::{Experiment, Result, RunOptions},
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::{Span, Time},
    cardamomloom_standins::fleet::{AdmissionMode, Fleet, FleetOptions},
    serde_json::json,
};

/// The experiment `domain`.
pub struct Domain;

const DOMAIN: &str = "b";
const BIN: Span = Span::from_millis(100);
const LIFETIME: Span = Span::from_secs(10);

/// Warm-up before the failure domain leaves; the first part at a tenth of the load, so that the
/// baseline's servers are warm too.
const GENTLE: Span = Span::from_secs(15);
const WARM: Span = Span::from_secs(20);
const OUT: Span = Span::from_secs(20);
const BACK: Span = Span::from_secs(30);

/// Target of the steady imbalance, design page section 1.
const BALANCED: f64 = 1.10;

struct Outcome {
    /// Share of the flows offered in each bin that were served, from 5 s before the leave.
    served: Vec<(f64, f64)>,
    least_out: f64,
    least_back: f64,
    quiet_ms: u64,
    balance_ms: Option<u64>,
    overloads: u32,
    broken: u64,
    refused: u64,
}

/// Runs bins until `end` and returns the lowest share of flows served in one of them.
fn record(
    fleet: &mut Fleet,
    end: Time,
    start: Time,
    per_s: u64,
    points: &mut Vec<(f64, f64)>,
    mut each: impl FnMut(&Fleet),
) -> f64 {
    let mut least = 1.0_f64;
    while fleet.now() < end {
        let before = fleet.counts();
        fleet.run(BIN, per_s, LIFETIME);
        let after = fleet.counts();
        let ended = (after.served + after.refused + after.unanswered)
            - (before.served + before.refused + before.unanswered);
        // A flow that its server reset was not served.
        let broken = after.broken - before.broken;
        let served = (after.served - before.served).saturating_sub(broken) as f64;
        let share = if ended == 0 {
            0.0
        } else {
            served / ended as f64
        };
        let time_s = fleet.now().0 as f64 / 1e6 - start.0 as f64 / 1e6;
        points.push((time_s, share));
        least = least.min(share);
        each(fleet);
    }
    least
}

fn measure(mechanism: AdmissionMode, seed: u64, per_s: u64) -> Result<Outcome> {
    let mut fleet = Fleet::new(&FleetOptions {
        admission: mechanism,
        seed,
        ..FleetOptions::default()
    })?;
    fleet.run(GENTLE, per_s / 10, LIFETIME);
    fleet.run(WARM, per_s, LIFETIME);
    let start = fleet.now();
    let mut points = Vec::new();
    let end = start + Span::from_secs(5);
    record(&mut fleet, end, start, per_s, &mut points, |_| {});
    let before = fleet.counts();

    fleet.set_domain_out(DOMAIN, true)?;
    let left = fleet.now();
    let sent = |fleet: &Fleet| -> u64 {
        let hosts = fleet.hosts().iter().zip(fleet.packets());
        hosts
            .filter(|(host, _)| host.entry.domain.as_str() == DOMAIN)
            .map(|(_, packets)| *packets)
            .sum()
    };
    let mut last = (sent(&fleet), left);
    let least_out = record(&mut fleet, left + OUT, start, per_s, &mut points, |fleet| {
        if sent(fleet) != last.0 {
            last = (sent(fleet), fleet.now());
        }
    });

    fleet.set_domain_out(DOMAIN, false)?;
    let back = fleet.now();
    let mut balanced_since = None;
    let least_back = record(
        &mut fleet,
        back + BACK,
        start,
        per_s,
        &mut points,
        |fleet| {
            if fleet.imbalance() > BALANCED {
                balanced_since = None;
            } else {
                balanced_since.get_or_insert(fleet.now());
            }
        },
    );
    let counts = fleet.counts();
    Ok(Outcome {
        served: points,
        least_out,
        least_back,
        quiet_ms: last.1.since(left).as_millis(),
        balance_ms: balanced_since.map(|time| time.since(back).as_millis()),
        overloads: fleet
            .hosts()
            .iter()
            .map(|host| host.server.overloads())
            .sum(),
        broken: counts.broken - before.broken,
        refused: counts.refused - before.refused,
    })
}

impl Experiment for Domain {
    fn name(&self) -> &'static str {
        "domain"
    }

    fn summary(&self) -> &'static str {
        "service while a failure domain leaves and returns, virtual time"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let loads: &[u64] = if options.quick {
            &[1_000]
        } else {
            &[500, 1_000, 2_000]
        };
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        for per_s in loads {
            for (name, mechanism) in [
                ("design", AdmissionMode::Adaptive),
                ("without mean", AdmissionMode::WithoutMean),
                ("fixed limit", AdmissionMode::FixedLimit),
            ] {
                let outcome = measure(mechanism, options.seed, *per_s)?;
                report.row(json!({
                    "admission": name,
                    "flows_per_s": per_s,
                    "least_served_out": outcome.least_out,
                    "least_served_back": outcome.least_back,
                    "time_to_quiet_ms": outcome.quiet_ms,
                    "time_to_balance_ms": outcome.balance_ms,
                    "overloads": outcome.overloads,
                    "broken": outcome.broken,
                    "refused": outcome.refused,
                }));
                if *per_s == 1_000 {
                    let name = name.to_owned();
                    series.push(Series {
                        name,
                        points: outcome.served,
                    });
                }
            }
        }
        let axes = Axes {
            title: "New flows served while a failure domain leaves at 5 s and returns at 25 s",
            x: "seconds",
            y: "share of new flows served per 100 ms",
        };
        report.set_plot(line_plot(axes, &series)?);
        Ok(report)
    }
}
