//! Stand-in for the platform's object API, with faults that a test can switch on.

mod faults;

pub use faults::{Faults, LostAnswers};

use {
    crate::locks::lock,
    axum::{
        Json, Router,
        extract::{Path, Query, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, put},
    },
    cardamomloom_core::ObjectVersion,
    cardamomloom_protocol::store_api::{ErrorBody, MAX_VALUE_BYTES, Object, ObjectList},
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, time},
};

/// Result of serving.
pub type Result<T> = io::Result<T>;

const MAX_WATCH_MS: u64 = 60_000;

/// The store, shared by all requests.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

struct Shared {
    objects: Mutex<Objects>,
    changed: watch::Sender<u64>,
    faults: Mutex<Faults>,
    calls: AtomicU64,
}

#[derive(Default)]
struct Objects {
    version: u64,
    by_key: BTreeMap<Arc<str>, Object>,
}

impl Default for Store {
    fn default() -> Self {
        Self(Arc::new(Shared {
            objects: Mutex::default(),
            changed: watch::Sender::new(0),
            faults: Mutex::default(),
            calls: AtomicU64::new(0),
        }))
    }
}

impl Store {
    /// Returns the number of calls so far; a waiting watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.0.calls.load(Ordering::Relaxed)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.0.faults) = faults;
    }

    /// Writes an object if its present version is `expected`.
    ///
    /// # Errors
    ///
    /// Returns the present object when its version differs.
    pub fn write(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Option<serde_json::Value>,
    ) -> std::result::Result<Object, Option<Object>> {
        let mut objects = lock(&self.0.objects);
        let present = objects.by_key.get(key).cloned();
        let live = present.filter(|object| object.value.is_some());
        let version = live
            .as_ref()
            .map_or(ObjectVersion(0), |object| object.version);
        if version != expected {
            return Err(live);
        }
        objects.version += 1;
        let object = Object {
            key: Arc::from(key),
            version: ObjectVersion(objects.version),
            value,
        };
        objects.by_key.insert(object.key.clone(), object.clone());
        self.0.changed.send_replace(objects.version);
        Ok(object)
    }

    /// Returns the object with a key, unless it was deleted.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<Object> {
        lock(&self.0.objects)
            .by_key
            .get(key)
            .filter(|object| object.value.is_some())
            .cloned()
    }

    fn list(&self, prefix: &str) -> ObjectList {
        let objects = lock(&self.0.objects);
        let matching = objects
            .by_key
            .values()
            .filter(|object| object.key.starts_with(prefix) && object.value.is_some());
        ObjectList {
            version: ObjectVersion(objects.version),
            objects: matching.cloned().collect(),
        }
    }

    fn changes(&self, prefix: &str, after: ObjectVersion) -> ObjectList {
        let objects = lock(&self.0.objects);
        let mut changed: Vec<Object> = objects
            .by_key
            .values()
            .filter(|object| object.key.starts_with(prefix) && object.version > after)
            .cloned()
            .collect();
        changed.sort_by_key(|object| object.version);
        ObjectList {
            version: ObjectVersion(objects.version),
            objects: changed,
        }
    }

    /// Serves the object API until the listener fails.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve(self, listener: TcpListener) -> Result<()> {
        let router = Router::new()
            .route(
                "/v1/objects/{*key}",
                get(get_object).put(put_object).delete(delete_object),
            )
            .route("/v1/objects", get(list_objects))
            .route("/v1/watch", get(watch_objects))
            .route("/faults", put(put_faults))
            .route(
                "/calls",
                get(|State(store): State<Self>| async move { store.calls().to_string() }),
            )
            .with_state(self);
        axum::serve(listener, router).await
    }

    /// Counts a call and applies the faults that come before it takes effect.
    async fn begin(&self) -> std::result::Result<Faults, Response> {
        self.0.calls.fetch_add(1, Ordering::Relaxed);
        let faults = *lock(&self.0.faults);
        if faults.delay_ms > 0 {
            time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Err(error(
                StatusCode::SERVICE_UNAVAILABLE,
                "store is down",
                None,
            ));
        }
        Ok(faults)
    }
}

fn error(status: StatusCode, message: &str, present: Option<Object>) -> Response {
    let body = ErrorBody {
        error: Arc::from(message),
        present,
    };
    (status, Json(body)).into_response()
}

async fn put_faults(State(store): State<Store>, Json(faults): Json<Faults>) -> StatusCode {
    store.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn get_object(State(store): State<Store>, Path(key): Path<String>) -> Response {
    if let Err(response) = store.begin().await {
        return response;
    }
    match store.read(&key) {
        Some(object) => Json(object).into_response(),
        None => error(StatusCode::NOT_FOUND, "no such object", None),
    }
}

async fn put_object(
    State(store): State<Store>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: axum::body::Bytes,
) -> Response {
    if body.len() > MAX_VALUE_BYTES {
        return error(StatusCode::PAYLOAD_TOO_LARGE, "value is too large", None);
    }
    match serde_json::from_slice(&body) {
        Ok(value) => write(&store, &key, &headers, Some(value)).await,
        Err(reason) => error(StatusCode::BAD_REQUEST, &reason.to_string(), None),
    }
}

async fn delete_object(
    State(store): State<Store>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Response {
    write(&store, &key, &headers, None).await
}

async fn write(
    store: &Store,
    key: &str,
    headers: &HeaderMap,
    value: Option<serde_json::Value>,
) -> Response {
    let faults = match store.begin().await {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    let expected = headers
        .get("if-match")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let Some(expected) = expected else {
        return error(StatusCode::BAD_REQUEST, "if-match needs a version", None);
    };
    if faults.lost_answers == LostAnswers::BeforeWrite {
        return error(StatusCode::GATEWAY_TIMEOUT, "answer lost", None);
    }
    let outcome = store.write(key, expected, value);
    if faults.lost_answers == LostAnswers::AfterWrite {
        return error(StatusCode::GATEWAY_TIMEOUT, "answer lost", None);
    }
    match outcome {
        Ok(object) => Json(object).into_response(),
        Err(present) => error(StatusCode::CONFLICT, "version differs", present),
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list_objects(State(store): State<Store>, Query(query): Query<ListQuery>) -> Response {
    match store.begin().await {
        Ok(_) => Json(store.list(&query.prefix)).into_response(),
        Err(response) => response,
    }
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: ObjectVersion,
    timeout_ms: u64,
}

async fn watch_objects(State(store): State<Store>, Query(query): Query<WatchQuery>) -> Response {
    if let Err(response) = store.begin().await {
        return response;
    }
    let mut versions = store.0.changed.subscribe();
    let wait = Duration::from_millis(query.timeout_ms.min(MAX_WATCH_MS));
    let deadline = time::Instant::now() + wait;
    loop {
        versions.mark_unchanged();
        let changes = store.changes(&query.prefix, query.after);
        let is_due = !changes.objects.is_empty() || time::Instant::now() >= deadline;
        if is_due {
            return Json(changes).into_response();
        }
        // Either a change or the deadline ends the wait; both lead to another look.
        let _ = time::timeout_at(deadline, versions.changed()).await;
    }
}
