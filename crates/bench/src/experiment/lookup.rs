//! Time of lookup plus header of a balancer against the number of hosts.

use {
    super::{Experiment, Result, RunOptions},
    crate::report::{Axes, Report, Series, line_plot},
    cardamomloom_coordination::balancer::route,
    cardamomloom_core::{
        DomainName, HostId, Incarnation, ObjectVersion, ServiceId, Weight, error::malformed,
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState},
        forward::DatagramKey,
        gue,
        store_api::Object,
    },
    cardamomloom_state::{catalogue::Catalogue, hosts::HostTable, routing::RoutingTable},
    serde_json::json,
    std::{hint::black_box, net::SocketAddr, str::FromStr, sync::Arc, time::Instant},
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
        let packets = (0..PACKETS).map(packet).collect::<Result<Vec<_>>>()?;
        let mut points = Vec::new();
        let mut report = Report::new(self.name(), options);
        for hosts in HOSTS {
            let table = routing(hosts)?;
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

fn packet(port: u16) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    etherparse::PacketBuilder::ipv4([198, 51, 100, 1], [203, 0, 113, 1], 64)
        .tcp(10_000 + port, 80, 1, 1_000)
        .write(&mut bytes, &[0; 64])
        .map_err(|error| malformed(format!("lookup: {error}")))?;
    Ok(gue::encode(&bytes))
}

fn routing(hosts: u32) -> Result<RoutingTable> {
    let mut catalogue = Catalogue::default();
    catalogue.apply(&Object {
        key: Arc::from("services/bookings"),
        version: ObjectVersion(1),
        value: Some(json!({
            "name": "bookings", "id": 1, "owner": "bench", "class": "critical",
            "addresses": ["203.0.113.1"], "port": 80, "slots_per_host": 4,
            "connections_per_slot": 2_000, "hash_key": "00112233445566778899aabbccddeeff",
        })),
    })?;
    let mut table = HostTable::default();
    for index in 0..hosts {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        table.merge(HostEntry {
            host: HostId(index),
            service: ServiceId(1),
            domain: DomainName::from_str(["a", "b", "c"][index as usize % 3])?,
            data_address: address,
            control_address: address,
            incarnation: Incarnation(1),
            state: HostState::Ready,
            weight: Weight::STANDARD,
        })?;
    }
    RoutingTable::default().rebuild(&catalogue, &table)
}
