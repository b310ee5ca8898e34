//! State that the operator endpoints of a daemon report.

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

/// Interval at which the status document is rendered while nobody requests it.
///
/// Rendering a document of 4,300 hosts takes 6 ms, which is 6 % of a core at a tick of 100 ms.
const STATUS_INTERVAL: Span = Span::from_secs(1);

/// Readiness, metrics and status of a daemon.
pub struct DaemonInspect {
    ready: AtomicBool,
    status: Mutex<serde_json::Value>,
    is_status_requested: AtomicBool,
    next_render_us: AtomicU64,
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
            is_status_requested: AtomicBool::new(false),
            next_render_us: AtomicU64::new(0),
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

    /// Sets the routing table that `/explain` reads. Without a call, `/explain` reports that the
    /// process routes no packets.
    pub fn set_routing(&self, routing: Arc<ArcSwap<RoutingTable>>) {
        // A second call has no effect. The table itself is replaced inside the `ArcSwap`.
        let _ = self.routing.set(routing);
    }

    /// Sets whether the process is ready to receive traffic.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the status document must be rendered again: one second after the last time,
    /// or when it has been requested since. A response is therefore at most one second old, and a
    /// client that repeats its request gets a newer document.
    pub fn status_is_due(&self, now: Time) -> bool {
        let is_requested = self.is_status_requested.swap(false, Ordering::Relaxed);
        if !is_requested && now.0 < self.next_render_us.load(Ordering::Relaxed) {
            return false;
        }
        let next_render = now + STATUS_INTERVAL;
        self.next_render_us.store(next_render.0, Ordering::Relaxed);
        true
    }

    /// Sets the document that `/status` returns.
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
        self.is_status_requested.store(true, Ordering::Relaxed);
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
