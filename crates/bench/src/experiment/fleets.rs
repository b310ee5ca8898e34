//! Fleets for the experiments on control traffic, in virtual time and with a lossy network in
//! memory.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::control_plane::{Fleet, FleetOptions, NetworkOptions, Process},
};

/// Numbers of hosts, services and balancers of the design. Smaller fleets keep their ratios.
const HOSTS: usize = 4_300;
const SERVICES: usize = 370;
const BALANCERS: usize = 570;

/// Time after which a fleet whose processes all start at once sends no more start-up traffic.
pub const WARM_UP: Span = Span::from_secs(60);

/// Returns options with two regions of two failure domains each, and with the hosts and services
/// per balancer of the design.
pub fn design_options(balancers: usize, loss_ppm: u64, seed: u64) -> FleetOptions {
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

/// Control traffic of the balancers in bytes per second, IP and UDP headers included.
#[derive(Clone, Copy, Debug, Default)]
pub struct BytesPerSecond {
    /// Mean over the balancers.
    pub mean_sent: f64,
    /// Mean over the balancers.
    pub mean_received: f64,
    /// Sent and received bytes of the balancer with the most traffic.
    pub max_total: f64,
}

/// Calls `run`, which must run the fleet for `span`, and returns the rates of the balancers in it.
pub fn measure_rates(
    fleet: &mut Fleet,
    span: Span,
    run: impl FnOnce(&mut Fleet),
) -> BytesPerSecond {
    let previous_traffic = fleet.traffic.clone();
    run(fleet);
    let seconds = span.0 as f64 / 1_000_000.0;
    let count = fleet.balancers.len();
    let mut rates = BytesPerSecond::default();
    for index in 0..count {
        let process = Process::Balancer(index);
        let previous = previous_traffic.get(&process).copied().unwrap_or_default();
        let current = fleet.traffic.get(&process).copied().unwrap_or_default();
        let sent = (current.sent - previous.sent) as f64 / seconds;
        let received = (current.received - previous.received) as f64 / seconds;
        rates.mean_sent += sent / count as f64;
        rates.mean_received += received / count as f64;
        rates.max_total = rates.max_total.max(sent + received);
    }
    rates
}
