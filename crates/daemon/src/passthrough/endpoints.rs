//! HTTP endpoints of a process: readiness, reports of the backend server, and for other processes
//! and operators `/snapshot`, `/status` and `/metrics`.

use {
    super::{Result, node::Event},
    crate::settings::{PassThroughRole, PassThroughSettings},
    axum::{Json, Router, extract::State, http::StatusCode, routing::get},
    cardamomloom_core::error::{Error, io},
    cardamomloom_platform::reports::{Acknowledgment, ReportSink, readiness_router, report_router},
    cardamomloom_protocol::passthrough::{HostReport, Snapshot},
    log::warn,
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::AtomicBool},
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot},
    },
};

/// Upper bounds of the histogram of answer times, in seconds, around the aims of 0.15 to 0.8 s.
const ANSWER_BUCKETS_S: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 2.0];

/// Binds the endpoints and serves them until the process ends.
pub async fn start(
    settings: &PassThroughSettings,
    is_ready: Arc<AtomicBool>,
    events: mpsc::Sender<Event>,
) -> Result<()> {
    serve(settings.readiness_address, readiness_router(is_ready)).await?;
    if let PassThroughRole::Agent(agent) = &settings.role {
        let sink = Arc::new(EventReports(events.clone()));
        serve(agent.report_address, report_router(sink)).await?;
    }
    let metrics = PrometheusBuilder::new()
        .set_buckets(&ANSWER_BUCKETS_S)
        .map_err(|error| io(format!("metrics: {error}")))?
        .install_recorder()
        .map_err(|error| io(format!("metrics: {error}")))?;
    let router = Router::new()
        .route("/snapshot", get(snapshot))
        .route("/status", get(status))
        .with_state(events)
        .route("/metrics", get(render_metrics))
        .with_state(metrics);
    let address = SocketAddr::from((settings.address(), settings.http_port));
    serve(address, router).await
}

async fn serve(address: SocketAddr, router: Router) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| io(format!("http: cannot bind {address}: {error}")))?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            warn!(event = "endpoint_failed", address:%; "{error}");
        }
    });
    Ok(())
}

/// Passes reports to the actor.
struct EventReports(mpsc::Sender<Event>);

impl ReportSink for EventReports {
    fn report(&self, report: HostReport) -> Acknowledgment {
        let (reply, answer) = oneshot::channel();
        self.pass(Event::Report(report, reply), answer)
    }

    fn departure(&self, instance: &str) -> Acknowledgment {
        let (reply, answer) = oneshot::channel();
        self.pass(Event::Departure(instance.into(), reply), answer)
    }

    fn reject(&self, instance: &str, error: &Error) {
        metrics::counter!("cardamomloom_reports_rejected_total").increment(1);
        warn!(event = "report_malformed", instance; "{error}");
    }
}

impl EventReports {
    fn pass(&self, event: Event, answer: oneshot::Receiver<bool>) -> Acknowledgment {
        let events = self.0.clone();
        Box::pin(async move {
            // Without an actor nothing is acknowledged, and the backend server repeats.
            events.send(event).await.is_ok() && answer.await.unwrap_or(false)
        })
    }
}

async fn snapshot(
    State(events): State<mpsc::Sender<Event>>,
) -> std::result::Result<Json<Snapshot>, StatusCode> {
    ask(&events, Event::SnapshotRequest).await
}

async fn status(
    State(events): State<mpsc::Sender<Event>>,
) -> std::result::Result<Json<serde_json::Value>, StatusCode> {
    ask(&events, Event::StatusRequest).await
}

async fn render_metrics(State(metrics): State<PrometheusHandle>) -> String {
    metrics.render()
}

async fn ask<T>(
    events: &mpsc::Sender<Event>,
    question: impl FnOnce(oneshot::Sender<T>) -> Event,
) -> std::result::Result<Json<T>, StatusCode> {
    let (reply, answer) = oneshot::channel();
    events
        .send(question(reply))
        .await
        .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    answer
        .await
        .map(Json)
        .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}
