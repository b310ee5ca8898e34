//! Fleets for the experiments on control traffic: virtual time, a lossy network in memory.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::control_plane::{Fleet, FleetOptions, NetworkOptions, Process},
};

/// Hosts and services for each balancer at the design size, times 570.
const HOSTS: usize = 4_300;
const SERVICES: usize = 370;
const BALANCERS: usize = 570;

/// Time in which a fleet that starts at once becomes quiet.
pub const WARM_UP: Span = Span::from_secs(60);

/// Returns options with two regions of two failure domains and the host density of the design.
pub fn options(balancers: usize, loss_ppm: u64, seed: u64) -> FleetOptions {
    FleetOptions {
        domains: vec![("a", "n"), ("b", "n"), ("c", "s"), ("d", "s")],
        balancers,
        hosts: balancers * HOSTS / BALANCERS,
        services: (balancers * SERVICES / BALANCERS).max(1),
        network: NetworkOptions {
            loss_ppm,
            ..NetworkOptions::LOSSY
        },
        seed,
        ..FleetOptions::default()
    }
}

/// Bytes per second of balancers over a time, IP and UDP headers included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rates {
    pub mean_sent: f64,
    pub mean_received: f64,
    pub max_total: f64,
}

/// Runs a fleet for a time and returns the rates of its balancers.
pub fn rates(fleet: &mut Fleet, span: Span, run: impl FnOnce(&mut Fleet)) -> Rates {
    let before = fleet.traffic.clone();
    run(fleet);
    let seconds = span.0 as f64 / 1_000_000.0;
    let count = fleet.balancers.len();
    let mut rates = Rates::default();
    for index in 0..count {
        let process = Process::Balancer(index);
        let earlier = before.get(&process).copied().unwrap_or_default();
        let now = fleet.traffic.get(&process).copied().unwrap_or_default();
        let sent = (now.sent - earlier.sent) as f64 / seconds;
        let received = (now.received - earlier.received) as f64 / seconds;
        rates.mean_sent += sent / count as f64;
        rates.mean_received += received / count as f64;
        rates.max_total = rates.max_total.max(sent + received);
    }
    rates
}
