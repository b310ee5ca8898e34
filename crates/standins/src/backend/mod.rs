//! Stand-in for a backend server: runs requests over HTTP and remembers which it ran.
//!
//! Its behaviour is set on a control listener, which answers also while the service refuses:
//! `PUT /behaviour` with a [`Behaviour`], `POST /cold` and `POST /crash` for an unannounced return
//! to cold without and with loss of connections, `GET /counts`, `GET /load` and `GET /executed`.

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
    listener::FieldListener,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// Result of serving.
pub type Result<T> = io::Result<T>;

/// Bytes of filler in an answer, so that it takes several TCP segments.
const FILLER_BYTES: usize = 3_000;

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Service of the backend server.
    pub service: Arc<str>,
    /// Identity of the request.
    pub request: Arc<str>,
    /// Filler.
    pub filler: Arc<str>,
}

/// A backend server.
#[derive(Clone)]
pub struct Backend(Arc<Shared>);

struct Shared {
    service: Arc<str>,
    filler: Arc<str>,
    executed: Mutex<BTreeMap<Arc<str>, u32>>,
    state: Mutex<ServerState>,
    resets: watch::Sender<()>,
}

impl Backend {
    /// Creates a backend server of a service.
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

    /// Returns how often each request ran.
    #[must_use]
    pub fn executed(&self) -> BTreeMap<Arc<str>, u32> {
        lock(&self.0.executed).clone()
    }

    /// Serves callers until the listener fails.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve(self, listener: TcpListener) -> Result<()> {
        let listener = FieldListener::new(listener, self.clone())?;
        let router = Router::new()
            .route("/requests/{service}/{id}", post(run_request))
            .route("/executed", get(executed))
            .route("/load", get(load))
            .with_state(self);
        axum::serve(listener, router).await
    }

    /// Serves tests until the listener fails.
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

    fn resets(&self) -> watch::Receiver<()> {
        self.0.resets.subscribe()
    }

    fn reset_connections(&self) {
        self.0.resets.send_replace(());
    }
}

async fn run_request(
    State(backend): State<Backend>,
    Path((service, id)): Path<(String, String)>,
) -> std::result::Result<Json<Answer>, StatusCode> {
    if service != *backend.0.service {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    let behaviour = backend.state().behaviour;
    if behaviour.shed {
        backend.state().on_shed();
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    // The server drops this future when the connection ends, so a cancelled request does not run.
    sleep(Duration::from_millis(behaviour.request_delay_ms)).await;
    let request: Arc<str> = Arc::from(id);
    *lock(&backend.0.executed)
        .entry(request.clone())
        .or_default() += 1;
    Ok(Json(Answer {
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
    backend.state().become_cold();
}

async fn crash(State(backend): State<Backend>) {
    backend.state().become_cold();
    backend.reset_connections();
}
