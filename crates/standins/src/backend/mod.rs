//! Stand-in for a backend server: runs requests over HTTP and remembers which it ran.

use {
    axum::{
        Json, Router,
        extract::{Path, State},
        http::StatusCode,
        routing::{get, post},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::net::TcpListener,
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
}

impl Backend {
    /// Creates a backend server of a service.
    #[must_use]
    pub fn new(service: &str) -> Self {
        Self(Arc::new(Shared {
            service: Arc::from(service),
            filler: Arc::from("x".repeat(FILLER_BYTES)),
            executed: Mutex::default(),
        }))
    }

    /// Returns how often each request ran.
    #[must_use]
    pub fn executed(&self) -> BTreeMap<Arc<str>, u32> {
        lock(&self.0.executed).clone()
    }

    /// Serves until the listener fails.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve(self, listener: TcpListener) -> Result<()> {
        let router = Router::new()
            .route("/requests/{service}/{id}", post(run_request))
            .route("/executed", get(executed))
            .with_state(self);
        axum::serve(listener, router).await
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run_request(
    State(backend): State<Backend>,
    Path((service, id)): Path<(String, String)>,
) -> std::result::Result<Json<Answer>, StatusCode> {
    if service != *backend.0.service {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
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
