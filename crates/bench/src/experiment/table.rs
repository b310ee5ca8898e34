//! Build time, update time and memory of candidate tables against the numbers of hosts, services
//! and buckets.

use {
    super::{
        Experiment, Result, RunOptions,
        fixture::{self, DOMAINS},
        memory::heap_bytes,
    },
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::{DomainName, Incarnation, ObjectVersion, ServiceId, Weight},
    cardamomloom_protocol::{control::HostState, store_api::Object},
    cardamomloom_state::{
        candidates::{BUCKETS_PER_SERVICE, Candidate, CandidateTable},
        catalogue::Catalogue,
        hosts::HostTable,
        routing::RoutingTable,
    },
    serde_json::{Value, json},
    std::{hint::black_box, str::FromStr, sync::Arc, time::Instant},
};

/// The experiment `table`.
pub struct Table;

const HOST_COUNTS: [u32; 4] = [10, 100, 1_000, 4_000];
const BUCKET_COUNTS: [u32; 3] = [2_048, 8_192, 32_768];
/// Number of hosts in the tables that differ in the number of buckets.
const BUCKET_HOSTS: u32 = 100;
const HASH_KEY: [u8; 16] = [3; 16];
/// Numbers of services and hosts of a whole system; the last pair is the design size.
const SYSTEMS: [(u32, u32); 3] = [(37, 430), (123, 1_433), (370, 4_300)];

impl Experiment for Table {
    fn name(&self) -> &'static str {
        "table"
    }

    fn summary(&self) -> &'static str {
        "build and update time and memory of candidate tables, up to 4,300 hosts and 370 services"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let rounds = if options.quick { 1 } else { 7 };
        let mut report = Report::new(self.name(), options);
        measure_hosts(&mut report, rounds)?;
        measure_buckets(&mut report, rounds)?;
        measure_systems(&mut report, rounds)?;
        Ok(report)
    }
}

/// Returns the median time of `work` over `rounds` rounds in milliseconds.
fn median_ms<T>(rounds: usize, mut work: impl FnMut() -> Result<T>) -> Result<f64> {
    let mut times = Vec::with_capacity(rounds);
    for _ in 0..rounds {
        let start = Instant::now();
        black_box(work()?);
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    Ok(times[times.len() / 2])
}

fn candidates(hosts: u32) -> Result<Vec<Candidate>> {
    (0..hosts)
        .map(|index| Ok(Candidate::from(&fixture::host_entry(index, 1, 9)?)))
        .collect()
}

/// Name of a change of a service's hosts and the function that applies it.
type Change = (&'static str, fn(&mut Vec<Candidate>));

const CHANGES: [Change; 5] = [
    ("drain", |hosts| hosts[1].accepts_new = false),
    ("leave", |hosts| {
        hosts.remove(1);
    }),
    ("join", |hosts| {
        let mut new_host = hosts[1].clone();
        new_host.host.0 = 1_000_000;
        hosts.push(new_host);
    }),
    ("weight", |hosts| hosts[1].weight = Weight(500)),
    ("domain_out", |hosts| {
        hosts.retain(|host| host.domain.as_str() != DOMAINS[1]);
    }),
];

/// Measures tables of one service with different numbers of hosts, and updates after each of
/// [`CHANGES`].
fn measure_hosts(report: &mut Report, rounds: usize) -> Result<()> {
    let mut lines: Vec<Series> = Vec::new();
    for unequal in [false, true] {
        let weights = if unequal { "unequal" } else { "equal" };
        let mut builds = Vec::new();
        let mut sizes = Vec::new();
        let mut updates = vec![Vec::new(); CHANGES.len()];
        for hosts in HOST_COUNTS {
            let mut hosts_before = candidates(hosts)?;
            if unequal {
                hosts_before[0].weight = Weight(750);
            }
            let heap = heap_bytes();
            let table = CandidateTable::build(ServiceId(1), HASH_KEY, hosts_before.clone())?;
            let table_bytes = heap_bytes() - heap;
            let build_ms = median_ms(rounds, || {
                CandidateTable::build(ServiceId(1), HASH_KEY, hosts_before.clone())
            })?;
            let mut row = json!({
                "weights": weights, "hosts": hosts, "buckets": BUCKETS_PER_SERVICE,
                "table_bytes": table_bytes, "build_ms": build_ms,
            });
            for ((name, change), points) in CHANGES.iter().zip(&mut updates) {
                let mut hosts_after = hosts_before.clone();
                change(&mut hosts_after);
                let time_ms = median_ms(rounds, || table.update(HASH_KEY, hosts_after.clone()))?;
                row[format!("{name}_ms")] = json!(time_ms);
                points.push((f64::from(hosts), time_ms));
            }
            sizes.push((f64::from(hosts), table_bytes));
            builds.push((f64::from(hosts), build_ms));
            report.add_row(row);
        }
        report.add_slope(&format!("build_ms ({weights} weights)"), "hosts", &builds);
        report.add_slope("table_bytes", "hosts", &sizes);
        for ((name, _), points) in CHANGES.iter().zip(&updates) {
            report.add_slope(&format!("{name}_ms ({weights} weights)"), "hosts", points);
        }
        lines.push(named_series("full build", weights, builds));
        lines.push(named_series(
            "one host leaves",
            weights,
            updates.swap_remove(1),
        ));
    }
    let axes = Axes {
        title: "Table of one service: full build and update after one host left",
        x: "hosts",
        y: "ms",
    };
    report.set_plot(line_plot(axes, &lines)?);
    Ok(())
}

fn named_series(operation: &str, weights: &str, points: Vec<(f64, f64)>) -> Series {
    Series {
        name: format!("{operation}, {weights} weights"),
        points,
    }
}

/// Measures tables of one service with different numbers of buckets.
fn measure_buckets(report: &mut Report, rounds: usize) -> Result<()> {
    let mut points = Vec::new();
    let hosts = candidates(BUCKET_HOSTS)?;
    for buckets in BUCKET_COUNTS {
        let heap = heap_bytes();
        let build = || CandidateTable::with_buckets(ServiceId(1), HASH_KEY, hosts.clone(), buckets);
        let table = build()?;
        let table_bytes = heap_bytes() - heap;
        drop(table);
        let build_ms = median_ms(rounds, build)?;
        points.push((f64::from(buckets), build_ms));
        report.add_row(json!({
            "hosts": BUCKET_HOSTS, "buckets": buckets, "table_bytes": table_bytes,
            "build_ms": build_ms,
        }));
    }
    report.add_slope("build_ms (100 hosts)", "buckets", &points);
    Ok(())
}

/// Distribution of the hosts of a system over its services.
#[derive(Clone, Copy)]
enum Spread {
    /// Every service has the same number of hosts.
    Even,
    /// One service has 1,000 hosts, or half of them in a small system.
    OneLarge,
}

impl Spread {
    const fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::OneLarge => "one large",
        }
    }

    fn service_of(self, host: u32, services: u32, hosts: u32) -> u32 {
        match self {
            Self::Even => host % services + 1,
            Self::OneLarge if host < (hosts / 2).min(1_000) => 1,
            Self::OneLarge => host % (services - 1) + 2,
        }
    }
}

struct System {
    catalogue: Catalogue,
    hosts: HostTable,
}

/// Creates the objects and the host entries of a system.
fn create_system(spread: Spread, services: u32, hosts: u32) -> Result<System> {
    let mut catalogue = Catalogue::default();
    for service in 1..=services {
        catalogue.apply(&fixture::service_object(service, 1))?;
    }
    let mut table = HostTable::default();
    for index in 0..hosts {
        let service = spread.service_of(index, services, hosts);
        table.merge(fixture::host_entry(index, service, 9)?)?;
    }
    Ok(System {
        catalogue,
        hosts: table,
    })
}

/// Returns the catalogue object of the second failure domain in a state, `in` or `out`.
fn domain_object(state: &str, version: u64) -> Object {
    let value: Value = json!({
        "name": DOMAINS[1], "region": "bench", "state": state, "reason": "experiment",
    });
    Object {
        key: Arc::from(format!("domains/{}", DOMAINS[1])),
        version: ObjectVersion(version),
        value: Some(value),
    }
}

/// Measures the routing tables of whole systems of different sizes.
fn measure_systems(report: &mut Report, rounds: usize) -> Result<()> {
    for spread in [Spread::Even, Spread::OneLarge] {
        let mut points = [const { Vec::new() }; 5];
        for (services, hosts) in SYSTEMS {
            let results = measure_system(spread, services, hosts, rounds)?;
            for (points, result) in points.iter_mut().zip(results) {
                points.push((f64::from(hosts), result));
            }
            let [cold_ms, heap_bytes, leave_ms, out_ms, in_ms] = results;
            report.add_row(json!({
                "spread": spread.name(), "services": services, "system_hosts": hosts,
                "cold_start_ms": cold_ms, "heap_bytes": heap_bytes, "one_host_leaves_ms": leave_ms,
                "domain_out_ms": out_ms, "domain_in_ms": in_ms,
            }));
        }
        let names = [
            "cold_start_ms",
            "heap_bytes",
            "one_host_leaves_ms",
            "domain_out_ms",
            "domain_in_ms",
        ];
        for (name, points) in names.iter().zip(&points) {
            let quantity = format!("{name} ({})", spread.name());
            report.add_slope(&quantity, "system hosts", points);
        }
    }
    Ok(())
}

/// Returns the time of a full build from an empty state in ms, the heap memory in bytes, and the
/// times of an update in ms when one host leaves, a failure domain is taken out, and it returns.
fn measure_system(spread: Spread, services: u32, hosts: u32, rounds: usize) -> Result<[f64; 5]> {
    let cold_ms = median_ms(rounds, || {
        let System { catalogue, hosts } = create_system(spread, services, hosts)?;
        RoutingTable::default().rebuild(&catalogue, &hosts)
    })?;
    let heap = heap_bytes();
    let System {
        mut catalogue,
        hosts: mut table,
    } = create_system(spread, services, hosts)?;
    let full_table = RoutingTable::default().rebuild(&catalogue, &table)?;
    let heap = heap_bytes() - heap;
    catalogue.apply(&domain_object("out", 2))?;
    let out_ms = median_ms(rounds, || full_table.rebuild(&catalogue, &table))?;
    let table_without_domain = full_table.rebuild(&catalogue, &table)?;
    catalogue.apply(&domain_object("in", 3))?;
    let in_ms = median_ms(rounds, || table_without_domain.rebuild(&catalogue, &table))?;
    let mut departed_host = fixture::host_entry(0, spread.service_of(0, services, hosts), 9)?;
    departed_host.domain = DomainName::from_str(DOMAINS[0])?;
    departed_host.incarnation = Incarnation(2);
    departed_host.state = HostState::Gone;
    table.merge(departed_host)?;
    let leave_ms = median_ms(rounds, || full_table.rebuild(&catalogue, &table))?;
    Ok([cold_ms, heap, leave_ms, out_ms, in_ms])
}
