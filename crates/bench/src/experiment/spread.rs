//! Time and bytes until a change of the catalogue is in force at every process, over links of 10 Mbit/s,
//! against the number of routes and of processes. The baseline is the time that one link needs to send
//! the whole catalogue, as JSON, to every process.

use {
    super::{Experiment, Result, RunOptions},
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_core::{
        Span,
        error::{Error, malformed},
    },
    cardamomloom_protocol::passthrough::{
        CatalogueCopy, CatalogueDigest, CatalogueDocument, CatalogueStep, CatalogueVersion,
    },
    cardamomloom_standins::passthrough::{Simulation, SimulationOptions, route},
    serde_json::json,
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        time::Instant,
    },
};

/// The experiment `spread`.
pub struct Spread;

/// Rate of a link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;

const ROUTES: [u16; 3] = [45, 1_445, 5_545];

/// Numbers of balancers and of hosts of each of two services.
const FLEETS: [(u8, u8); 3] = [(24, 27), (91, 102), (170, 200)];

/// Interval at which the versions of the processes are compared.
const SAMPLE: Span = Span::from_millis(25);

const MAX_SPREAD: Span = Span::from_secs(60);

/// Repetitions from which the processor time of a copy is computed.
const REPETITIONS: u32 = 20;

impl Experiment for Spread {
    fn name(&self) -> &'static str {
        "spread"
    }

    fn summary(&self) -> &'static str {
        "time until a whole catalogue and one change are in force everywhere, bytes and processor time of a copy, against routes and processes"
    }

    fn run(&self, options: &RunOptions) -> Result<Report> {
        let mut report = Report::new(self.name(), options);
        let mut series = Vec::new();
        let fleets = if options.quick { &FLEETS[..1] } else { &FLEETS };
        for (balancers, hosts) in fleets.iter().copied() {
            let processes = usize::from(balancers) + 2 * usize::from(hosts);
            let mut points = Vec::new();
            for routes in ROUTES {
                let mut simulation = Simulation::new(SimulationOptions {
                    balancers,
                    hosts,
                    link_bytes_per_s: LINK_BYTES_PER_S,
                    seed: options.seed,
                    ..SimulationOptions::default()
                });
                simulation.run(Span::from_secs(5));
                simulation.take_copy_requests();
                simulation.add_routes(routes);
                let whole_ms = in_force_after_ms(&mut simulation);
                let whole_requests = simulation.take_copy_requests();
                simulation.run(Span::from_secs(5));
                simulation.take_copy_requests();
                simulation.set_route_targets(0, &[(1, 1)]);
                let change_ms = in_force_after_ms(&mut simulation);
                let copy = CopyCost::of(routes)?;
                points.push((f64::from(routes), whole_ms));
                report.add_row(json!({
                    "processes": processes,
                    "routes": routes,
                    "whole_in_force_ms": whole_ms,
                    "whole_requests": whole_requests,
                    "change_in_force_ms": change_ms,
                    "change_requests": simulation.take_copy_requests(),
                    "one_link_json_ms": processes as f64 * copy.json_bytes as f64 * 1_000.0
                        / LINK_BYTES_PER_S as f64,
                    "json_bytes": copy.json_bytes,
                    "whole_bytes": copy.whole_bytes,
                    "change_bytes": copy.change_bytes,
                    "whole_encode_us": copy.encode_us,
                    "whole_decode_us": copy.decode_us,
                }));
            }
            series.push(Series {
                name: format!("{processes} processes"),
                points,
            });
        }
        let axes = Axes {
            title: "Spread of a whole catalogue over links of 10 Mbit/s",
            x: "routes",
            y: "ms until in force everywhere",
        };
        report.set_plot(line_plot(axes, &series)?);
        Ok(report)
    }
}

/// Runs the simulation until every process has the catalogue of the store, and returns the time.
fn in_force_after_ms(simulation: &mut Simulation) -> f64 {
    let started = simulation.now();
    let newest = simulation.stored_version();
    while simulation.now().since(started) < MAX_SPREAD
        && !simulation.catalogue_versions().keys().eq([&newest])
    {
        simulation.run(SAMPLE);
    }
    simulation.now().since(started).as_millis() as f64
}

/// Size of a catalogue and of its copies, and the processor time of a whole copy.
struct CopyCost {
    json_bytes: usize,
    whole_bytes: usize,
    change_bytes: usize,
    encode_us: f64,
    decode_us: f64,
}

impl CopyCost {
    fn of(routes: u16) -> Result<Self> {
        let document = document(1, routes);
        let mut changed = document.clone();
        changed.version = CatalogueVersion(2);
        if let Some(first) = changed.routes.first_mut() {
            *first = route(first.address, 1);
        }
        let steps = vec![CatalogueStep::between(&document, &changed)];
        let digest = CatalogueDigest::of(&changed)?;
        let change = CatalogueCopy::Changes { steps, digest }.encode()?;
        let whole = CatalogueCopy::Full(document.clone());
        let encoded = whole.encode()?;
        let encode_us = mean_us(|| whole.encode().map(drop))?;
        let decode_us = mean_us(|| CatalogueCopy::decode(&encoded).map(drop))?;
        let json =
            serde_json::to_vec(&document).map_err(|error| malformed(format!("bench: {error}")))?;
        Ok(Self {
            json_bytes: json.len(),
            whole_bytes: encoded.len(),
            change_bytes: change.len(),
            encode_us,
            decode_us,
        })
    }
}

fn document(version: u64, routes: u16) -> CatalogueDocument {
    let routes = (0..routes).map(|index| {
        let [a, b] = index.to_be_bytes();
        route(SocketAddrV4::new(Ipv4Addr::new(198, 19, a, b), 443), 0)
    });
    CatalogueDocument {
        version: CatalogueVersion(version),
        routes: routes.collect(),
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    }
}

fn mean_us(mut work: impl FnMut() -> std::result::Result<(), Error>) -> Result<f64> {
    let started = Instant::now();
    for _ in 0..REPETITIONS {
        work()?;
    }
    Ok(started.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS))
}
