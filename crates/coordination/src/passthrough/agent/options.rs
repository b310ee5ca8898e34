//! Configuration of an agent.

use {
    super::OutcomeOptions,
    crate::passthrough::{PeerDirectoryOptions, StoreAccessOptions, load::LoadControlOptions},
    cardamomloom_core::Span,
};

/// Limits, intervals and timeouts of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Load control of new flows.
    pub load_control: LoadControlOptions,
    /// Timeouts of the balancer directory.
    pub peers: PeerDirectoryOptions,
    /// Time after which a SYN that the backend server has not answered is also sent to another
    /// host. A backend server answers within 1 ms; the caller retransmits after 200 ms.
    pub syn_timeout: Span,
    /// Time for which SYNs may be unanswered, while no packet comes from the backend server, before
    /// the host gets no new flows.
    pub suspect_after: Span,
    /// Interval of the checks whether a suspected backend server runs at all.
    pub server_check_interval: Span,
    /// Time without a report of the backend server after which the host accepts no new flows: two
    /// reports are missing.
    pub report_timeout: Span,
    /// Time beyond the idle timeout of the catalogue for which an idle flow counts as active.
    pub idle_flow_margin: Span,
    /// Time for which a closed or unanswered flow stays in the flow table, for late packets of its
    /// caller.
    pub closed_flow_retention: Span,
    /// Longest duration of a flow. A process that has run for longer knows all flows of its host, and
    /// keeps each of them in the flow table for so long, because an idle one may continue.
    pub max_flow_duration: Span,
    /// Maximum number of flows of other hosts in the owner cache.
    pub owner_cache_capacity: usize,
    /// Time for which a flow of another host stays in the owner cache without being used or
    /// announced again.
    pub owner_cache_ttl: Span,
    /// Maximum number of callers that may wait for the backend server, per slot of the host;
    /// further SYNs are queued. With two per slot, slots are idle while flows open and close; with
    /// five, the backend servers, which queue four requests per slot, shed load.
    pub max_waiting_per_slot: usize,
    /// Maximum number of queued SYNs.
    pub syn_queue_capacity: usize,
    /// Number of busy hosts that a SYN visits before the least loaded of them gets the flow.
    pub busy_host_probes: usize,
    /// Thresholds above which new flows go to other hosts because the backend server fails
    /// requests.
    pub outcomes: OutcomeOptions,
    /// Time without a response after which a request counts as failed if its caller closes the
    /// flow. It is longer than any request takes behind a full queue.
    pub abandoned_after: Span,
    /// Least time for which the known agents of the service must not have changed before a flow that
    /// none of them holds is reset. Every agent announces itself in it.
    pub min_settle_span: Span,
    /// Time for which an agent of the service that balancers no longer list may still own a flow. It
    /// is as long as balancers list an agent that is silent.
    pub agent_retention: Span,
    /// Interval of announcements and heartbeats.
    pub announcement_interval: Span,
    /// Maximum rate of announcements and heartbeats to all balancers together. As heartbeats they
    /// amount to 2.5 KB/s of the 3 KB/s that control messages may take; with more balancers the
    /// interval grows.
    pub max_announcements_per_s: u64,
    /// Interval of announcements while no balancer is live.
    pub discovery_interval: Span,
    /// Age of the catalogue above which the agent reads the store itself.
    pub stale_after: Span,
    /// Time, for each known balancer, over which the agents of a fleet start to read the store while
    /// balancers are live.
    pub store_takeover_spacing: Span,
    /// Delays of the access to the store.
    pub store_access: StoreAccessOptions,
    /// Time for which a stopping agent waits for its flows to end. It is shorter than the grace
    /// period of the platform.
    pub stop_timeout: Span,
    /// Least time between the stop request and the exit, in which balancers stop sending new flows.
    pub stop_linger: Span,
}

impl Default for AgentOptions {
    fn default() -> Self {
        Self {
            load_control: LoadControlOptions::default(),
            peers: PeerDirectoryOptions::default(),
            syn_timeout: Span::from_millis(40),
            suspect_after: Span::from_millis(300),
            server_check_interval: Span::from_millis(500),
            report_timeout: Span::from_millis(2_200),
            idle_flow_margin: Span::from_secs(5),
            closed_flow_retention: Span::from_secs(3),
            max_flow_duration: Span::from_secs(60),
            owner_cache_capacity: 8_192,
            owner_cache_ttl: Span::from_millis(1_500),
            max_waiting_per_slot: 4,
            syn_queue_capacity: 32,
            busy_host_probes: 3,
            outcomes: OutcomeOptions::default(),
            abandoned_after: Span::from_secs(1),
            min_settle_span: Span::from_millis(300),
            agent_retention: Span::from_secs(20),
            announcement_interval: Span::from_millis(250),
            max_announcements_per_s: 80,
            discovery_interval: Span::from_millis(100),
            stale_after: Span::from_millis(2_500),
            store_takeover_spacing: Span::from_millis(200),
            store_access: StoreAccessOptions::default(),
            stop_timeout: Span::from_millis(4_500),
            stop_linger: Span::from_millis(300),
        }
    }
}
