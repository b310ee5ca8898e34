//! Share of new flows served while a failure domain is taken out of service and returns, in virtual
//! time.
//!
//! Every simulated process applies a change at once, so the time until the failure domain receives
//! no more packets is only that of packets in flight. The end-to-end test `domain_out` checks the
//! bound with real processes, some of them paused.

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
/// Interval over which the share of served flows is measured.
const BIN: Span = Span::from_millis(100);
const FLOW_LIFETIME: Span = Span::from_secs(10);

/// First part of the warm-up, at a tenth of the load, so that the servers of the baseline
/// admission modes are warm too.
const LOW_LOAD_SPAN: Span = Span::from_secs(15);
/// Second part of the warm-up, at full load, before the failure domain is taken out.
const FULL_LOAD_SPAN: Span = Span::from_secs(20);
/// Time for which the failure domain is out of service.
const OUT_SPAN: Span = Span::from_secs(20);
/// Measured time after the return of the failure domain.
const RETURN_SPAN: Span = Span::from_secs(30);

/// Largest imbalance that counts as balanced: the target for constant load in section 1 of the
/// design page.
const MAX_BALANCED_IMBALANCE: f64 = 1.10;

/// Measurements with one admission mode at one load.
struct Outcome {
    /// Time in seconds and share of served flows of each bin, from 5 s before the failure domain is
    /// taken out.
    served: Vec<(f64, f64)>,
    /// Lowest share of served flows in a bin while the failure domain is out.
    min_served_out: f64,
    /// Lowest share of served flows in a bin after its return.
    min_served_after_return: f64,
    /// Time from taking the failure domain out until the last packet was sent to it.
    last_packet_ms: u64,
    /// Time from the return until the hosts were balanced and stayed so; `None` if they did not.
    balance_ms: Option<u64>,
    overloads: u32,
    broken: u64,
    refused: u64,
}

/// Runs the fleet until `end`, appends the share of served flows of each bin to `points`, and
/// returns the lowest share. Calls `on_bin` after each bin.
fn record_bins(
    fleet: &mut Fleet,
    end: Time,
    start: Time,
    flows_per_s: u64,
    points: &mut Vec<(f64, f64)>,
    mut on_bin: impl FnMut(&Fleet),
) -> f64 {
    let mut min_share = 1.0_f64;
    while fleet.now() < end {
        let previous = fleet.counts();
        fleet.run(BIN, flows_per_s, FLOW_LIFETIME);
        let current = fleet.counts();
        let decided = (current.served + current.refused + current.unanswered)
            - (previous.served + previous.refused + previous.unanswered);
        // A flow that its server reset does not count as served.
        let broken = current.broken - previous.broken;
        let served = (current.served - previous.served).saturating_sub(broken) as f64;
        let share = if decided == 0 {
            0.0
        } else {
            served / decided as f64
        };
        let time_s = fleet.now().0 as f64 / 1e6 - start.0 as f64 / 1e6;
        points.push((time_s, share));
        min_share = min_share.min(share);
        on_bin(fleet);
    }
    min_share
}

/// Runs the whole sequence with one admission mode: warm-up, failure domain out, failure domain
/// back.
fn measure(admission_mode: AdmissionMode, seed: u64, flows_per_s: u64) -> Result<Outcome> {
    let mut fleet = Fleet::new(&FleetOptions {
        admission: admission_mode,
        seed,
        ..FleetOptions::default()
    })?;
    fleet.run(LOW_LOAD_SPAN, flows_per_s / 10, FLOW_LIFETIME);
    fleet.run(FULL_LOAD_SPAN, flows_per_s, FLOW_LIFETIME);
    let start = fleet.now();
    let mut points = Vec::new();
    let end = start + Span::from_secs(5);
    record_bins(&mut fleet, end, start, flows_per_s, &mut points, |_| {});
    let counts_at_out = fleet.counts();

    fleet.set_domain_out(DOMAIN, true)?;
    let out_at = fleet.now();
    let packets_to_domain = |fleet: &Fleet| -> u64 {
        let hosts = fleet.hosts().iter().zip(fleet.packets());
        hosts
            .filter(|(host, _)| host.entry.domain.as_str() == DOMAIN)
            .map(|(_, packets)| *packets)
            .sum()
    };
    let mut last_packet = (packets_to_domain(&fleet), out_at);
    let min_served_out = record_bins(
        &mut fleet,
        out_at + OUT_SPAN,
        start,
        flows_per_s,
        &mut points,
        |fleet| {
            if packets_to_domain(fleet) != last_packet.0 {
                last_packet = (packets_to_domain(fleet), fleet.now());
            }
        },
    );

    fleet.set_domain_out(DOMAIN, false)?;
    let returned_at = fleet.now();
    let mut balanced_since = None;
    let min_served_after_return = record_bins(
        &mut fleet,
        returned_at + RETURN_SPAN,
        start,
        flows_per_s,
        &mut points,
        |fleet| {
            if fleet.imbalance() > MAX_BALANCED_IMBALANCE {
                balanced_since = None;
            } else {
                balanced_since.get_or_insert(fleet.now());
            }
        },
    );
    let counts = fleet.counts();
    Ok(Outcome {
        served: points,
        min_served_out,
        min_served_after_return,
        last_packet_ms: last_packet.1.since(out_at).as_millis(),
        balance_ms: balanced_since.map(|time| time.since(returned_at).as_millis()),
        overloads: fleet
            .hosts()
            .iter()
            .map(|host| host.server.overloads())
            .sum(),
        broken: counts.broken - counts_at_out.broken,
        refused: counts.refused - counts_at_out.refused,
    })
}

impl Experiment for Domain {
    fn name(&self) -> &'static str {
        "domain"
    }

    fn summary(&self) -> &'static str {
        "share of new flows served while a failure domain is out and returns, virtual time"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let loads: &[u64] = if options.quick {
            &[1_000]
        } else {
            &[500, 1_000, 2_000]
        };
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        for flows_per_s in loads {
            for (name, admission_mode) in [
                ("design", AdmissionMode::Adaptive),
                ("without mean", AdmissionMode::WithoutMean),
                ("fixed limit", AdmissionMode::FixedLimit),
            ] {
                let outcome = measure(admission_mode, options.seed, *flows_per_s)?;
                report.add_row(json!({
                    "admission": name,
                    "flows_per_s": flows_per_s,
                    "least_served_out": outcome.min_served_out,
                    "least_served_back": outcome.min_served_after_return,
                    "time_to_quiet_ms": outcome.last_packet_ms,
                    "time_to_balance_ms": outcome.balance_ms,
                    "overloads": outcome.overloads,
                    "broken": outcome.broken,
                    "refused": outcome.refused,
                }));
                if *flows_per_s == 1_000 {
                    let name = name.to_owned();
                    series.push(Series {
                        name,
                        points: outcome.served,
                    });
                }
            }
        }
        let axes = Axes {
            title: "New flows served while a failure domain is out of service from 5 s to 25 s",
            x: "seconds",
            y: "share of new flows served per 100 ms",
        };
        report.set_plot(line_plot(axes, &series)?);
        Ok(report)
    }
}
