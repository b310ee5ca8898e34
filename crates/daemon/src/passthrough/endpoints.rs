//! HTTP endpoints of a process: the readiness probe, the reports of the backend server, and
//! `/snapshot`, `/status` and `/metrics` for other processes and operators.

use {
    super::{Result, explanation, node::Event},
    crate::settings::{PassThroughRole, PassThroughSettings},
    axum::{
        Json, Router,
        body::Bytes,
        extract::{Query, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::get,
    },
    cardamomloom_coordination::passthrough::{CopyQuery, CopyResponse, balancer::SnapshotContent},
    cardamomloom_core::error::{Error, io},
    cardamomloom_platform::reports::{Acknowledgment, ReportSink, readiness_router, report_router},
    cardamomloom_protocol::passthrough::{CatalogueVersion, CopyFormat, HostReport, Snapshot},
    log::warn,
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    serde::Deserialize,
    serde_json::json,
    std::{
        collections::HashMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, atomic::AtomicBool},
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot},
    },
};

/// Upper bounds of the answer time histogram in seconds. They cover the latency objectives, which
/// range from 0.15 s to 0.8 s.
const ANSWER_BUCKETS_S: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 2.0];

/// Binds the endpoints, installs the metrics recorder and serves requests until the process ends.
///
/// # Errors
///
/// Fails with kind `io` when an address cannot be bound or the recorder cannot be installed.
pub async fn start(
    settings: &PassThroughSettings,
    is_ready: Arc<AtomicBool>,
    events: mpsc::Sender<Event>,
) -> Result<()> {
    serve(settings.readiness_address, readiness_router(is_ready)).await?;
    if let PassThroughRole::Agent(agent) = &settings.role {
        let sink = Arc::new(ReportForwarder(events.clone()));
        serve(agent.report_address, report_router(sink)).await?;
    }
    let metrics = PrometheusBuilder::new()
        .set_buckets(&ANSWER_BUCKETS_S)
        .map_err(|error| io(format!("metrics: cannot set histogram buckets: {error}")))?
        .install_recorder()
        .map_err(|error| io(format!("metrics: cannot install the recorder: {error}")))?;
    let router = process_router(events).merge(
        Router::new()
            .route("/metrics", get(render_metrics))
            .with_state(metrics),
    );
    let address = SocketAddr::from((settings.address(), settings.http_port));
    serve(address, router).await
}

/// Returns the endpoints that the actor of the process answers, for other processes and operators.
pub fn process_router(events: mpsc::Sender<Event>) -> Router {
    Router::new()
        .route("/snapshot", get(snapshot))
        .route("/catalogue", get(catalogue))
        .route("/status", get(status))
        .route("/explain", get(explain))
        .with_state(events)
}

async fn serve(address: SocketAddr, router: Router) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| io(format!("http: cannot bind {address}: {error}")))?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            warn!(event = "endpoint_failed", address:%; "HTTP server stopped: {error}");
        }
    });
    Ok(())
}

/// Forwards reports of the backend server to the actor and returns its acknowledgment.
struct ReportForwarder(mpsc::Sender<Event>);

impl ReportSink for ReportForwarder {
    fn report(&self, report: HostReport) -> Acknowledgment {
        let (reply, answer) = oneshot::channel();
        self.forward(Event::Report(report, reply), answer)
    }

    fn departure(&self, instance: &str) -> Acknowledgment {
        let (reply, answer) = oneshot::channel();
        self.forward(Event::Departure(instance.into(), reply), answer)
    }

    fn reject(&self, instance: &str, error: &Error) {
        metrics::counter!("cardamomloom_reports_rejected_total").increment(1);
        warn!(
            event = "report_malformed", instance;
            "report of the backend server rejected: {error}"
        );
    }
}

impl ReportForwarder {
    fn forward(&self, event: Event, answer: oneshot::Receiver<bool>) -> Acknowledgment {
        let events = self.0.clone();
        Box::pin(async move {
            // Without an actor the report is not acknowledged, and the backend server repeats it.
            events.send(event).await.is_ok() && answer.await.unwrap_or(false)
        })
    }
}

/// Query of a request for a snapshot.
#[derive(Debug, Deserialize)]
struct SnapshotQuery {
    /// `without_catalogue` or `membership`. Processes of earlier releases request the whole state, without
    /// this field.
    content: Option<Box<str>>,
}

async fn snapshot(
    State(events): State<mpsc::Sender<Event>>,
    Query(query): Query<SnapshotQuery>,
) -> std::result::Result<Json<Snapshot>, StatusCode> {
    let content = match query.content.as_deref() {
        None => SnapshotContent::Whole,
        Some("without_catalogue") => SnapshotContent::WithoutCatalogue,
        Some("membership") => SnapshotContent::Membership,
        Some(_) => return Err(StatusCode::BAD_REQUEST),
    };
    let new_event = |reply| Event::SnapshotRequest { content, reply };
    request(&events, new_event).await.map(Json)
}

/// Query of a request for a copy of the catalogue.
#[derive(Debug, Deserialize)]
struct CatalogueQuery {
    /// Version that the receiver has, or zero.
    base: CatalogueVersion,
    /// Address of the receiver.
    receiver: Ipv4Addr,
    /// Number of the newest format that the receiver reads. Processes of the previous release name none.
    format: Option<u8>,
}

/// Answers with an encoded copy, or with 503 and a refusal as JSON.
async fn catalogue(
    State(events): State<mpsc::Sender<Event>>,
    Query(query): Query<CatalogueQuery>,
) -> std::result::Result<Response, StatusCode> {
    let new_event = |reply| Event::CopyRequest {
        receiver: query.receiver,
        query: CopyQuery {
            base: query.base,
            format: CopyFormat::for_request(query.format),
        },
        reply,
    };
    Ok(match request(&events, new_event).await? {
        CopyResponse::Copy(copy) => Bytes::from_owner(copy).into_response(),
        CopyResponse::Refused(refusal) => {
            (StatusCode::SERVICE_UNAVAILABLE, Json(refusal)).into_response()
        }
    })
}

async fn status(
    State(events): State<mpsc::Sender<Event>>,
) -> std::result::Result<Json<serde_json::Value>, StatusCode> {
    request(&events, Event::StatusRequest).await.map(Json)
}

/// Answers where a new flow would go, or with an error as JSON.
async fn explain(
    State(events): State<mpsc::Sender<Event>>,
    Query(query): Query<HashMap<String, String>>,
) -> std::result::Result<Response, StatusCode> {
    let query = match explanation::parse_query(&query) {
        Ok(query) => query,
        Err(error) => {
            let error = json!({"kind": error.kind.entry().name, "message": error.message});
            return Ok((StatusCode::BAD_REQUEST, Json(json!({"error": error}))).into_response());
        }
    };
    let new_event = |reply| Event::ExplainRequest(query, reply);
    Ok(Json(request(&events, new_event).await?).into_response())
}

async fn render_metrics(State(metrics): State<PrometheusHandle>) -> String {
    metrics.render()
}

/// Sends a request event to the actor and returns its reply, or 503 when the actor has stopped.
async fn request<T>(
    events: &mpsc::Sender<Event>,
    new_event: impl FnOnce(oneshot::Sender<T>) -> Event,
) -> std::result::Result<T, StatusCode> {
    let (reply, answer) = oneshot::channel();
    events
        .send(new_event(reply))
        .await
        .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}
