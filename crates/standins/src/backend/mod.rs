//! Stand-in for a backend server: runs requests over HTTP and records how often each of them ran.
//!
//! A separate control listener accepts connections even while the service refuses them. It serves
//! `PUT /behaviour` with a [`Behaviour`], `GET /counts`, `GET /load` and `GET /executed`, and two
//! faults that come without notice: `POST /cold` makes the server cold, and `POST /crash` also
//! resets its connections.

mod behaviour;
mod listener;

pub use behaviour::{Behaviour, LoadAnswer, LoadReport, ServerCounts};

use {
    crate::locks::lock,
    axum::{
        Json, Router,
        extract::{Path, State},
        http::StatusCode,
        routing::{get, post, put},
    },
    behaviour::ServerState,
    listener::FaultyListener,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// Result of serving one of the listeners.
pub type Result<T> = io::Result<T>;

/// Size of the filler, large enough to make a response span several TCP segments.
const FILLER_BYTES: usize = 3_000;

/// Response to a request, which identifies the service and the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseBody {
    /// Name of the service that ran the request.
    pub service: Arc<str>,
    /// Id of the request, as in its path.
    pub request: Arc<str>,
    /// Padding without meaning, which makes the response span several TCP segments.
    pub filler: Arc<str>,
}

/// A backend server; clones share the same state.
#[derive(Clone)]
pub struct Backend(Arc<Shared>);

struct Shared {
    service: Arc<str>,
    filler: Arc<str>,
    /// Number of executions by request id.
    executed: Mutex<BTreeMap<Arc<str>, u32>>,
    state: Mutex<ServerState>,
    /// Notifies every open connection to reset itself.
    resets: watch::Sender<()>,
}

impl Backend {
    /// Creates a backend server of a service, with the default behaviour.
    #[must_use]
    pub fn new(service: &str) -> Self {
        Self(Arc::new(Shared {
            service: Arc::from(service),
            filler: Arc::from("x".repeat(FILLER_BYTES)),
            executed: Mutex::default(),
            state: Mutex::default(),
            resets: watch::Sender::default(),
        }))
    }

    /// Returns the number of executions by request id.
    #[must_use]
    pub fn executed(&self) -> BTreeMap<Arc<str>, u32> {
        lock(&self.0.executed).clone()
    }

    /// Serves the requests of callers until the listener fails.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve(self, listener: TcpListener) -> Result<()> {
        let listener = FaultyListener::new(listener, self.clone())?;
        let router = Router::new()
            .route("/requests/{service}/{id}", post(run_request))
            .route("/executed", get(executed))
            .route("/load", get(load))
            .with_state(self);
        axum::serve(listener, router).await
    }

    /// Serves the control endpoints for tests until the listener fails.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve_control(self, listener: TcpListener) -> Result<()> {
        let router = Router::new()
            .route("/behaviour", put(set_behaviour))
            .route("/cold", post(cold))
            .route("/crash", post(crash))
            .route("/counts", get(counts))
            .route("/load", get(load))
            .route("/executed", get(executed))
            .with_state(self);
        axum::serve(listener, router).await
    }

    fn state(&self) -> MutexGuard<'_, ServerState> {
        lock(&self.0.state)
    }

    /// Returns a receiver that is notified when the server resets its connections.
    fn subscribe_resets(&self) -> watch::Receiver<()> {
        self.0.resets.subscribe()
    }

    fn reset_connections(&self) {
        self.0.resets.send_replace(());
    }
}

async fn run_request(
    State(backend): State<Backend>,
    Path((service, id)): Path<(String, String)>,
) -> std::result::Result<Json<ResponseBody>, StatusCode> {
    if service != *backend.0.service {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    let behaviour = backend.state().behaviour;
    if behaviour.shed {
        backend.state().count_shed_request();
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    // The HTTP server drops this future when the connection ends, so the request does not run then.
    sleep(Duration::from_millis(behaviour.request_delay_ms)).await;
    let request: Arc<str> = Arc::from(id);
    *lock(&backend.0.executed)
        .entry(request.clone())
        .or_default() += 1;
    Ok(Json(ResponseBody {
        service: backend.0.service.clone(),
        request,
        filler: backend.0.filler.clone(),
    }))
}

async fn executed(State(backend): State<Backend>) -> Json<BTreeMap<Arc<str>, u32>> {
    Json(backend.executed())
}

async fn load(State(backend): State<Backend>) -> Json<LoadReport> {
    Json(backend.state().load(Instant::now()))
}

async fn counts(State(backend): State<Backend>) -> Json<ServerCounts> {
    Json(backend.state().counts())
}

async fn set_behaviour(State(backend): State<Backend>, Json(behaviour): Json<Behaviour>) {
    backend.state().behaviour = behaviour;
}

async fn cold(State(backend): State<Backend>) {
    backend.state().restart_warmup();
}

async fn crash(State(backend): State<Backend>) {
    backend.state().restart_warmup();
    backend.reset_connections();
}
