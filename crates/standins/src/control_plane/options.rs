//! What a fleet consists of.

use cardamomloom_coordination::membership::{AgentMembershipOptions, BalancerMembershipOptions};

/// Faults of the network, in parts per million and microseconds.
#[derive(Clone, Copy, Debug)]
pub struct NetworkOptions {
    /// Share of datagrams that are lost.
    pub loss_ppm: u64,
    /// Share of datagrams that arrive twice.
    pub duplicate_ppm: u64,
    /// Shortest delay.
    pub min_delay_us: u64,
    /// Delays up to this bound reorder datagrams.
    pub max_delay_us: u64,
}

impl NetworkOptions {
    /// A network that loses nothing.
    pub const LOSSLESS: Self = Self {
        loss_ppm: 0,
        duplicate_ppm: 0,
        min_delay_us: 3_000,
        max_delay_us: 5_000,
    };
    /// The conditions of section 15: 5 % loss with reordering and duplicates.
    pub const LOSSY: Self = Self {
        loss_ppm: 50_000,
        duplicate_ppm: 20_000,
        min_delay_us: 1_000,
        max_delay_us: 40_000,
    };
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Failure domains with their regions.
    pub domains: Vec<(&'static str, &'static str)>,
    /// Number of balancers, spread over the failure domains in turn.
    pub balancers: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of services, over which the hosts are spread in turn.
    pub services: usize,
    /// Faults of the network.
    pub network: NetworkOptions,
    /// Options of every balancer.
    pub balancer: BalancerMembershipOptions,
    /// Options of every agent.
    pub agent: AgentMembershipOptions,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the objects of failure domains name their regions.
    pub has_regions: bool,
    /// Whether every balancer watches the store, as a baseline.
    pub all_balancers_read_store: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            domains: vec![("a", "r"), ("b", "r"), ("c", "r")],
            balancers: 3,
            hosts: 10,
            services: 2,
            network: NetworkOptions::LOSSY,
            balancer: BalancerMembershipOptions::default(),
            agent: AgentMembershipOptions::default(),
            seed: 1,
            has_regions: true,
            all_balancers_read_store: false,
        }
    }
}

/// One process of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Process {
    /// A balancer by index.
    Balancer(usize),
    /// An agent by index.
    Agent(usize),
}
