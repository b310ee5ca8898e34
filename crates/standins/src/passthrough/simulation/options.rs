//! Options of a simulation and the load on it.

use {
    super::{CallerOptions, HostOptions},
    cardamomloom_coordination::passthrough::{agent::AgentOptions, balancer::BalancerOptions},
    cardamomloom_core::Span,
};

/// Size of a simulation, and limits and faults of its parts.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Number of balancers.
    pub balancers: u8,
    /// Number of hosts of each service.
    pub hosts: u8,
    /// Number of services, each with one address.
    pub services: u8,
    /// Number of failure domains, over which the hosts of a service are spread in turn.
    pub domains: u8,
    /// Limits of every backend server.
    pub host: HostOptions,
    /// New flows per second that a cold backend server can serve; 0 for no limit.
    pub cold_flows_per_s: f64,
    /// Time after its start for which a backend server is cold.
    pub cold_for: Span,
    /// Probability that a packet or control message is lost.
    pub packet_loss: f64,
    /// Probability that a packet or control message arrives twice, the second time late.
    pub disorder: f64,
    /// Minimum one-way delay of a packet or control message; the maximum is 1.5 times as long.
    pub delay: Span,
    /// Bytes that the link of each process carries a second, for copies of the state of a process and
    /// for answers of the store; 0 for no limit.
    pub link_bytes_per_s: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Options of every agent.
    pub agent: AgentOptions,
    /// Options of every balancer.
    pub balancer: BalancerOptions,
    /// Latency goal of all routes; with one, each service also has an urgent route. Zero for none.
    pub latency_goal: Span,
    /// Timeout of all routes; zero for none.
    pub timeout: Span,
    /// Whether balancers state the least expected wait of the service, at most 250 ms old.
    pub states_service_wait: bool,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            balancers: 3,
            hosts: 7,
            services: 2,
            domains: 3,
            host: HostOptions::default(),
            cold_flows_per_s: 0.0,
            cold_for: Span::from_secs(2),
            packet_loss: 0.0,
            disorder: 0.0,
            delay: Span::from_millis(2),
            link_bytes_per_s: 0,
            seed: 1,
            agent: AgentOptions::default(),
            balancer: BalancerOptions::default(),
            latency_goal: Span::ZERO,
            timeout: Span::ZERO,
            states_service_wait: false,
        }
    }
}

/// New flows that callers open to one service.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Index of the service.
    pub service: u8,
    /// New flows per second on average.
    pub flows_per_s: u32,
    /// Time within which the flows are opened, at random moments.
    pub duration: Span,
    /// How each caller uses its flow.
    pub caller: CallerOptions,
}
