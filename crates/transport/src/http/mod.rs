//! HTTP endpoints of a process for operators and monitoring: `/livez`, `/readyz`, `/metrics`,
//! `/status`, `/explain` and `/burn`.

mod client;

pub use client::InspectClient;

use {
    axum::{
        Json, Router,
        extract::{Query, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::get,
    },
    cardamomloom_core::error::{Error, ErrorKind, invalid_argument, io},
    cardamomloom_protocol::packet::FlowKey,
    std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
};

/// Result of serving or calling the operator endpoints.
pub type Result<T> = std::result::Result<T, Error>;

/// Source of the data behind the operator endpoints of a process.
pub trait Inspect: Send + Sync {
    /// Returns whether the process is ready to accept traffic; the status code of `/readyz`.
    fn is_ready(&self) -> bool;

    /// Returns the body of `/metrics` in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns the body of `/status`.
    fn status(&self) -> serde_json::Value;

    /// Returns the routing decision for a flow and its reasons, the body of `/explain`.
    ///
    /// # Errors
    ///
    /// Fails with kind `not_found` when this process routes no packets, or when no service has the
    /// destination address of the flow.
    fn explain(&self, _flow: &FlowKey) -> Result<serde_json::Value> {
        Err(Error::new(
            ErrorKind::NotFound,
            "explain: this process routes no packets; ask a balancer",
        ))
    }

    /// Returns the good and bad connections of each service that this process counted, the body of
    /// `/burn`. The service-level burn is computed from them.
    fn burn(&self) -> serde_json::Value {
        serde_json::json!({"uptime_s": 0, "services": []})
    }
}

/// Binds the TCP listener of the operator endpoints.
///
/// # Errors
///
/// Fails with kind `io` when the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| io(format!("http: cannot bind {address}: {error}")))
}

/// Serves the operator endpoints until `stop` resolves and the requests in progress have finished.
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
        .route("/explain", get(explain))
        .route("/burn", get(burn))
        .with_state(inspect);
    axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await
        .map_err(|error| {
            io(format!(
                "http: the server of the operator endpoints failed: {error}"
            ))
        })
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

async fn burn(State(inspect): State<Arc<dyn Inspect>>) -> Json<serde_json::Value> {
    Json(inspect.burn())
}

async fn explain(
    State(inspect): State<Arc<dyn Inspect>>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    let explanation = parse_flow_key(&query).and_then(|flow| inspect.explain(&flow));
    match explanation {
        Ok(value) => Json(value).into_response(),
        Err(error) => {
            let entry = error.kind.entry();
            let status = StatusCode::from_u16(entry.http_status).unwrap_or(StatusCode::BAD_REQUEST);
            let body = serde_json::json!({
                "error": {"kind": entry.name, "message": error.message}
            });
            (status, Json(body)).into_response()
        }
    }
}

/// Parses the query parameters `caller` and `service`, both addresses with a port.
fn parse_flow_key(query: &HashMap<String, String>) -> Result<FlowKey> {
    let address = |field: &str| -> Result<SocketAddr> {
        let text = query.get(field).map_or("", String::as_str);
        text.parse().map_err(|_| {
            invalid_argument(format!(
                "explain: field {field:?} is {text:?}; allowed is an address with port such as 203.0.113.1:80"
            ))
        })
    };
    Ok(FlowKey {
        caller: address("caller")?,
        service: address("service")?,
    })
}
