//! State that a daemon shows on its operator endpoints.

mod explain;

use {
    crate::burn::BurnRecorder,
    arc_swap::ArcSwap,
    cardamomloom_core::{Span, Time, error::Result},
    cardamomloom_protocol::packet::FlowKey,
    cardamomloom_state::routing::RoutingTable,
    cardamomloom_transport::{clock::MonotonicClock, http::Inspect},
    metrics_exporter_prometheus::PrometheusHandle,
    std::sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Longest time between two status documents that nobody asked for.
///
/// A document of 4,300 hosts takes 6 ms; at every tick of 100 ms it took 6 % of a core.
const STATUS_INTERVAL: Span = Span::from_secs(1);

/// Readiness, metrics and status of a daemon.
pub struct DaemonInspect {
    ready: AtomicBool,
    status: Mutex<serde_json::Value>,
    status_asked: AtomicBool,
    status_due_us: AtomicU64,
    metrics: PrometheusHandle,
    routing: OnceLock<Arc<ArcSwap<RoutingTable>>>,
    burn: BurnRecorder,
}

impl DaemonInspect {
    /// Creates the state of a process that is not ready.
    #[must_use]
    pub const fn new(metrics: PrometheusHandle, clock: MonotonicClock) -> Self {
        Self {
            ready: AtomicBool::new(false),
            status: Mutex::new(serde_json::Value::Null),
            status_asked: AtomicBool::new(false),
            status_due_us: AtomicU64::new(0),
            metrics,
            routing: OnceLock::new(),
            burn: BurnRecorder::new(clock),
        }
    }

    /// Returns the recorder of good and bad connections.
    #[must_use]
    pub const fn burn_recorder(&self) -> &BurnRecorder {
        &self.burn
    }

    /// Sets the routing table that `/explain` reads; a process that never does routes nothing.
    pub fn set_routing(&self, routing: Arc<ArcSwap<RoutingTable>>) {
        // A second call has no effect; the table itself is replaced inside the first.
        let _ = self.routing.set(routing);
    }

    /// Sets whether the process takes traffic.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Tells whether the status is to be rendered again: a second after the last time, or when
    /// it was read since. So an answer is at most a second old, and a reader that asks again
    /// gets a fresh one.
    pub fn status_is_due(&self, now: Time) -> bool {
        let is_asked = self.status_asked.swap(false, Ordering::Relaxed);
        if !is_asked && now.0 < self.status_due_us.load(Ordering::Relaxed) {
            return false;
        }
        let next = now + STATUS_INTERVAL;
        self.status_due_us.store(next.0, Ordering::Relaxed);
        true
    }

    /// Sets what `/status` answers.
    pub fn set_status(&self, status: serde_json::Value) {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

impl Inspect for DaemonInspect {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }

    fn status(&self) -> serde_json::Value {
        self.status_asked.store(true, Ordering::Relaxed);
        self.status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn burn(&self) -> serde_json::Value {
        serde_json::to_value(self.burn.report()).unwrap_or_default()
    }

    fn explain(&self, flow: &FlowKey) -> Result<serde_json::Value> {
        explain::explain(self.routing.get(), flow)
    }
}
