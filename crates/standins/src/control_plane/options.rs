//! Size of a simulated control plane, and faults of its network.

use cardamomloom_coordination::membership::{AgentMembershipOptions, BalancerMembershipOptions};

/// Faults and delays of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkOptions {
    /// Probability that a datagram is lost, in parts per million.
    pub loss_ppm: u64,
    /// Probability that a datagram is duplicated, in parts per million. Each copy may be lost.
    pub duplicate_ppm: u64,
    /// Minimum delay of a datagram, in microseconds.
    pub min_delay_us: u64,
    /// Maximum delay of a datagram, in microseconds. Differences of the delays reorder datagrams.
    pub max_delay_us: u64,
}

impl NetworkOptions {
    /// A network that neither loses nor duplicates datagrams.
    pub const LOSSLESS: Self = Self {
        loss_ppm: 0,
        duplicate_ppm: 0,
        min_delay_us: 3_000,
        max_delay_us: 5_000,
    };
    /// Network conditions of section 15 of the design document (docs/design.md): 5 % loss,
    /// reordering and duplicates.
    pub const LOSSY: Self = Self {
        loss_ppm: 50_000,
        duplicate_ppm: 20_000,
        min_delay_us: 1_000,
        max_delay_us: 40_000,
    };
}

/// Size of a simulated control plane, and options of its parts.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Name and region of each failure domain.
    pub domains: Vec<(&'static str, &'static str)>,
    /// Number of balancers, which are spread over the failure domains in turn.
    pub balancers: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of services, over which the hosts are spread in turn.
    pub services: usize,
    /// Faults and delays of the network.
    pub network: NetworkOptions,
    /// Options of every balancer.
    pub balancer: BalancerMembershipOptions,
    /// Options of every agent.
    pub agent: AgentMembershipOptions,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the catalogue contains the regions of failure domains. If not, it has all failure
    /// domains in one region.
    pub has_regions: bool,
    /// Whether every balancer watches the store, as a baseline, in place of the store readers only.
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

/// Identifier of a simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Process {
    /// The balancer with this index.
    Balancer(usize),
    /// The agent with this index.
    Agent(usize),
}
