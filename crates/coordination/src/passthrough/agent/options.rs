//! Limits and times of an agent.

use {super::OutcomeOptions, crate::passthrough::PeerDirectoryOptions, cardamomloom_core::Span};

/// Limits and times of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Times of the balancer directory.
    pub peers: PeerDirectoryOptions,
    /// Time after which an opening that the backend server does not answer is given to another
    /// host too. A backend server answers within 1 ms; the caller repeats after 200 ms.
    pub opening_timeout: Span,
    /// Silence of the backend server, while openings wait, after which it gets no new ones.
    pub suspect_after: Span,
    /// Silence of the reports after which the host takes no new flows: two reports are missing.
    pub report_timeout: Span,
    /// Time for which an idle flow is remembered, longer than the idle timeout of the catalogue.
    pub keep_idle_for: Span,
    /// Time for which an ended or unanswered flow is remembered, for late packets of its caller.
    pub keep_ended_for: Span,
    /// Longest life of a flow; after this the process knows all flows of its host.
    pub max_flow: Span,
    /// Flows whose owner elsewhere is remembered.
    pub remembered_owners: usize,
    /// Time for which an owner elsewhere is trusted without a new sign of it.
    pub trust_owner_for: Span,
    /// Callers that may wait for a host, as a multiple of its slots; further openings are held.
    /// Two a slot leave slots idle while flows open and close; at five the backend servers, which
    /// queue four requests a slot, shed load.
    pub waiting_per_slot: usize,
    /// Openings that are held.
    pub held_openings: usize,
    /// Busy hosts that the opening of a flow visits before the least loaded one takes it.
    pub busy_visits: usize,
    /// When new flows go to other hosts because the backend server fails requests.
    pub outcomes: OutcomeOptions,
    /// Wait of a caller after which the request counts as failed when the caller gives up: longer
    /// than the work of any request with a full queue before it.
    pub answer_patience: Span,
    /// Interval of announcements and beats.
    pub announce_interval: Span,
    /// Beats a second to all balancers together, 2.5 KB/s of the 3 KB/s that control may take; with
    /// more balancers the interval grows.
    pub announcements_per_s: u64,
    /// Interval of announcements while no balancer is heard.
    pub search_interval: Span,
    /// Age of the catalogue above which the agent reads the store itself.
    pub stale_after: Span,
    /// Time for which a stopping agent waits for its flows, within the time that the platform
    /// gives.
    pub stop_timeout: Span,
    /// Least time between the request to stop and the end, in which balancers turn away.
    pub stop_linger: Span,
}

impl Default for AgentOptions {
    fn default() -> Self {
        Self {
            peers: PeerDirectoryOptions::default(),
            opening_timeout: Span::from_millis(40),
            suspect_after: Span::from_millis(300),
            report_timeout: Span::from_millis(2_200),
            keep_idle_for: Span::from_secs(20),
            keep_ended_for: Span::from_secs(3),
            max_flow: Span::from_secs(60),
            remembered_owners: 8_192,
            trust_owner_for: Span::from_millis(1_500),
            waiting_per_slot: 4,
            held_openings: 32,
            busy_visits: 3,
            outcomes: OutcomeOptions::default(),
            answer_patience: Span::from_secs(1),
            announce_interval: Span::from_millis(250),
            announcements_per_s: 80,
            search_interval: Span::from_millis(100),
            stale_after: Span::from_millis(2_500),
            stop_timeout: Span::from_millis(4_500),
            stop_linger: Span::from_millis(300),
        }
    }
}
