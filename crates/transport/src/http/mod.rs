//! Operator endpoints of a process: `/livez`, `/readyz`, `/metrics` and `/status`.

use {
    axum::{Json, Router, extract::State, http::StatusCode, routing::get},
    cardamomloom_core::error::{Error, io},
    std::{future::Future, net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
};

/// Result of serving.
pub type Result<T> = std::result::Result<T, Error>;

/// What a process shows to operators.
pub trait Inspect: Send + Sync {
    /// Tells whether the process takes traffic.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns the state of the process.
    fn status(&self) -> serde_json::Value;
}

/// Binds the listener of the endpoints.
///
/// # Errors
///
/// Fails with kind `io` when the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| io(format!("http: cannot bind {address}: {error}")))
}

/// Serves the endpoints until `stop` resolves.
///
/// # Errors
///
/// Fails with kind `io` when the listener fails.
pub async fn serve(
    listener: TcpListener,
    inspect: Arc<dyn Inspect>,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let router = Router::new()
        .route("/livez", get(|| async { "ok\n" }))
        .route("/readyz", get(readyz))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .with_state(inspect);
    axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await
        .map_err(|error| io(format!("http: {error}")))
}

async fn readyz(State(inspect): State<Arc<dyn Inspect>>) -> (StatusCode, &'static str) {
    if inspect.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn metrics(State(inspect): State<Arc<dyn Inspect>>) -> String {
    inspect.metrics()
}

async fn status(State(inspect): State<Arc<dyn Inspect>>) -> Json<serde_json::Value> {
    Json(inspect.status())
}
