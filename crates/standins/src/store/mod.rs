//! Stand-in for the platform's object API with injected faults.
//!
//! `PUT /faults` sets the [`Faults`], and `GET /calls` returns the number of calls so far.

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

/// Result of serving the object API.
pub type Result<T> = io::Result<T>;

/// Longest time for which a watch waits, whatever the client asks for.
const MAX_WATCH_MS: u64 = 60_000;

/// An object store in memory; clones share the same objects, faults and call counter.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

struct Shared {
    objects: Mutex<Objects>,
    /// Version of the last write, which wakes waiting watches.
    last_version: watch::Sender<u64>,
    faults: Mutex<Faults>,
    calls: AtomicU64,
}

#[derive(Default)]
struct Objects {
    /// Version of the last write to any object.
    version: u64,
    /// Last write of each key; a deleted object has no value.
    by_key: BTreeMap<Arc<str>, Object>,
}

impl Default for Store {
    fn default() -> Self {
        Self(Arc::new(Shared {
            objects: Mutex::default(),
            last_version: watch::Sender::new(0),
            faults: Mutex::default(),
            calls: AtomicU64::new(0),
        }))
    }
}

impl Store {
    /// Returns the number of calls of the object API so far; a watch counts as one call, however
    /// long it waits.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.0.calls.load(Ordering::Relaxed)
    }

    /// Replaces the faults that apply to later calls.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.0.faults) = faults;
    }

    /// Writes an object if its current version is `expected`; a value of `None` deletes it.
    ///
    /// An object that does not exist or was deleted has version 0.
    ///
    /// # Errors
    ///
    /// Returns the current object, or `None` when there is none, when its version differs.
    pub fn write(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Option<serde_json::Value>,
    ) -> std::result::Result<Object, Option<Object>> {
        let mut objects = lock(&self.0.objects);
        let stored = objects.by_key.get(key).cloned();
        let current = stored.filter(|object| object.value.is_some());
        let version = current
            .as_ref()
            .map_or(ObjectVersion(0), |object| object.version);
        if version != expected {
            return Err(current);
        }
        objects.version += 1;
        let object = Object {
            key: Arc::from(key),
            version: ObjectVersion(objects.version),
            value,
        };
        objects.by_key.insert(object.key.clone(), object.clone());
        self.0.last_version.send_replace(objects.version);
        Ok(object)
    }

    /// Returns the object with a key, or `None` when it does not exist or was deleted.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<Object> {
        lock(&self.0.objects)
            .by_key
            .get(key)
            .filter(|object| object.value.is_some())
            .cloned()
    }

    /// Returns the existing objects whose keys start with `prefix`.
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

    /// Returns the objects, including deleted ones, that were written after version `after`, in the
    /// order of their last writes.
    fn changes_since(&self, prefix: &str, after: ObjectVersion) -> ObjectList {
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

    /// Serves the object API and the fault control until the listener fails.
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

    /// Counts a call and applies the delay and the outage, before the call can take effect.
    ///
    /// Returns the faults in force when the call arrived, or the response of a store that is down.
    async fn begin_call(&self) -> std::result::Result<Faults, Response> {
        self.0.calls.fetch_add(1, Ordering::Relaxed);
        let faults = *lock(&self.0.faults);
        if faults.delay_ms > 0 {
            time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Err(error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "store is down",
                None,
            ));
        }
        Ok(faults)
    }
}

fn error_response(status: StatusCode, message: &str, current: Option<Object>) -> Response {
    let body = ErrorBody {
        error: Arc::from(message),
        present: current,
    };
    (status, Json(body)).into_response()
}

async fn put_faults(State(store): State<Store>, Json(faults): Json<Faults>) -> StatusCode {
    store.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn get_object(State(store): State<Store>, Path(key): Path<String>) -> Response {
    if let Err(response) = store.begin_call().await {
        return response;
    }
    match store.read(&key) {
        Some(object) => Json(object).into_response(),
        None => error_response(StatusCode::NOT_FOUND, "no such object", None),
    }
}

async fn put_object(
    State(store): State<Store>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: axum::body::Bytes,
) -> Response {
    if body.len() > MAX_VALUE_BYTES {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "value is too large", None);
    }
    match serde_json::from_slice(&body) {
        Ok(value) => write(&store, &key, &headers, Some(value)).await,
        Err(parse_error) => error_response(StatusCode::BAD_REQUEST, &parse_error.to_string(), None),
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
    let faults = match store.begin_call().await {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    let expected = headers
        .get("if-match")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let Some(expected) = expected else {
        return error_response(StatusCode::BAD_REQUEST, "if-match needs a version", None);
    };
    if faults.lost_answers == LostAnswers::BeforeWrite {
        return error_response(StatusCode::GATEWAY_TIMEOUT, "answer lost", None);
    }
    let outcome = store.write(key, expected, value);
    if faults.lost_answers == LostAnswers::AfterWrite {
        return error_response(StatusCode::GATEWAY_TIMEOUT, "answer lost", None);
    }
    match outcome {
        Ok(object) => Json(object).into_response(),
        Err(current) => error_response(StatusCode::CONFLICT, "version differs", current),
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list_objects(State(store): State<Store>, Query(query): Query<ListQuery>) -> Response {
    match store.begin_call().await {
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
    if let Err(response) = store.begin_call().await {
        return response;
    }
    let mut versions = store.0.last_version.subscribe();
    let wait = Duration::from_millis(query.timeout_ms.min(MAX_WATCH_MS));
    let deadline = time::Instant::now() + wait;
    loop {
        versions.mark_unchanged();
        let updates = store.changes_since(&query.prefix, query.after);
        let should_respond = !updates.objects.is_empty() || time::Instant::now() >= deadline;
        if should_respond {
            return Json(updates).into_response();
        }
        // A write or the deadline ends the wait; in both cases the loop reads the objects again.
        let _ = time::timeout_at(deadline, versions.changed()).await;
    }
}
