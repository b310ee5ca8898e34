//! Traffic of the callers of an installation.

/// Traffic pattern of the callers of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of flows.
    pub flows: usize,
    /// Number of requests that each flow sends before it closes.
    pub requests_per_flow: u32,
    /// Time from a response to the next request of the flow.
    pub interval_ms: u64,
    /// Time over which the flows are opened.
    pub open_over_ms: u64,
    /// Longest wait for the handshake and for each response; then the flow counts as refused or
    /// broken.
    pub timeout_ms: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            flows: 120,
            requests_per_flow: 12,
            interval_ms: 700,
            open_over_ms: 4_000,
            timeout_ms: 15_000,
        }
    }
}
