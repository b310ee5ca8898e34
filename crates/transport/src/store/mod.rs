//! HTTP client of the platform's object API, the store of the configuration.

use {
    cardamomloom_core::{
        ObjectVersion,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::store_api::{ErrorBody, MAX_VALUE_BYTES, Object, ObjectList},
    log::warn,
    reqwest::{Client, Method, RequestBuilder, Response, StatusCode},
    std::{sync::Arc, time::Duration},
};

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Timeouts of the store client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// Limit for establishing a connection.
    pub connect_timeout_ms: u64,
    /// Limit for a whole call other than a watch. A watch ends this long after
    /// `watch_timeout_ms` at the latest.
    pub call_timeout_ms: u64,
    /// Time for which the store holds a watch open when nothing changes.
    pub watch_timeout_ms: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            call_timeout_ms: 2_000,
            watch_timeout_ms: 20_000,
        }
    }
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect; the object now has this version.
    Written(ObjectVersion),
    /// The write had no effect because the object has another version than expected. Contains the
    /// present object, or `None` when it does not exist.
    Conflict(Option<Object>),
}

/// Client of the object API; clones share its connections.
#[derive(Clone, Debug)]
pub struct StoreClient {
    client: Client,
    base_url: Arc<str>,
    options: StoreOptions,
}

impl StoreClient {
    /// Creates a client for a base URL such as `http://127.0.0.1:7000`.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the HTTP client cannot be created.
    pub fn new(base_url: &str, options: StoreOptions) -> Result<Self> {
        let client = Client::builder()
            .connect_timeout(Duration::from_millis(options.connect_timeout_ms))
            .build()
            .map_err(|error| {
                Error::new(
                    ErrorKind::Io,
                    format!("store: cannot create the HTTP client: {error}"),
                )
            })?;
        Ok(Self {
            client,
            base_url: Arc::from(base_url.trim_end_matches('/')),
            options,
        })
    }

    /// Reads one object; returns `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails with kind `store_unavailable` when the store does not respond or cannot serve the
    /// call.
    pub async fn get(&self, key: &str) -> Result<Option<Object>> {
        let response = self.send(self.object_request(Method::GET, key)).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(decode_body(response).await?)),
            status => Err(unexpected_status(status)),
        }
    }

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails with kind `store_unavailable` when the store does not respond or cannot serve the
    /// call, and with `malformed` when the response is not a list.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList> {
        let request = self
            .client
            .get(format!("{}/v1/objects", self.base_url))
            .query(&[("prefix", prefix)]);
        let response = self.send(request).await?;
        if !response.status().is_success() {
            return Err(unexpected_status(response.status()));
        }
        decode_list(response).await
    }

    /// Waits until an object whose key starts with `prefix` changes after version `after`, and
    /// returns the changes. The list is empty when the watch timeout passes without one.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreClient::list`] does.
    pub async fn watch(&self, prefix: &str, after: ObjectVersion) -> Result<ObjectList> {
        let wait_ms = self.options.watch_timeout_ms;
        let request = self
            .client
            .get(format!("{}/v1/watch", self.base_url))
            .query(&[("prefix", prefix)])
            .query(&[("after", after.0), ("timeout_ms", wait_ms)])
            .timeout(Duration::from_millis(
                wait_ms + self.options.call_timeout_ms,
            ));
        let response = request.send().await.map_err(unavailable)?;
        if !response.status().is_success() {
            return Err(unexpected_status(response.status()));
        }
        decode_list(response).await
    }

    /// Writes an object if its present version is `expected`; version 0 creates the object.
    ///
    /// # Errors
    ///
    /// Fails with kind `limit_exceeded` when the encoded value is larger than [`MAX_VALUE_BYTES`],
    /// with `outcome_unknown` when no response says whether the write took effect, with
    /// `store_unavailable` when the store did not execute the write, and with `invalid_argument` or
    /// `limit_exceeded` when the store rejected it as such.
    pub async fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &serde_json::Value,
    ) -> Result<WriteOutcome> {
        let encoded = value.to_string();
        if encoded.len() > MAX_VALUE_BYTES {
            return Err(Error::new(
                ErrorKind::LimitExceeded,
                format!(
                    "store: value of {key:?} has {} bytes; the limit is {MAX_VALUE_BYTES} bytes",
                    encoded.len()
                ),
            ));
        }
        let request = self
            .object_request(Method::PUT, key)
            .header("if-match", expected.0)
            .header("content-type", "application/json")
            .body(encoded);
        self.send_write(key, request).await
    }

    /// Deletes an object if its present version is `expected`.
    ///
    /// # Errors
    ///
    /// Fails with kind `outcome_unknown` when no response says whether the deletion took effect,
    /// and with `store_unavailable` when the store did not execute it.
    pub async fn delete(&self, key: &str, expected: ObjectVersion) -> Result<WriteOutcome> {
        let request = self
            .object_request(Method::DELETE, key)
            .header("if-match", expected.0);
        self.send_write(key, request).await
    }

    /// Sends a conditional write or deletion and classifies the response.
    async fn send_write(&self, key: &str, request: RequestBuilder) -> Result<WriteOutcome> {
        let timeout = Duration::from_millis(self.options.call_timeout_ms);
        let response = match request.timeout(timeout).send().await {
            Ok(response) => response,
            // The request was not sent, so the write certainly had no effect.
            Err(error) if error.is_connect() => return Err(unavailable(error)),
            Err(error) => return Err(outcome_unknown(key, &error)),
        };
        match response.status() {
            StatusCode::CONFLICT => {
                let conflict: ErrorBody = decode_body(response).await?;
                Ok(WriteOutcome::Conflict(conflict.present))
            }
            status if status.is_success() => {
                let written: Object = response
                    .json()
                    .await
                    .map_err(|error| outcome_unknown(key, &error))?;
                Ok(WriteOutcome::Written(written.version))
            }
            // A store that responds with this status has not executed the request.
            StatusCode::SERVICE_UNAVAILABLE => Err(unexpected_status(response.status())),
            status if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT => {
                Err(Error::new(
                    ErrorKind::OutcomeUnknown,
                    format!(
                        "store: the response to the write of {key:?} has status {status}; it may have taken effect"
                    ),
                ))
            }
            status => Err(unexpected_status(status)),
        }
    }

    fn object_request(&self, method: Method, key: &str) -> RequestBuilder {
        self.client
            .request(method, format!("{}/v1/objects/{key}", self.base_url))
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response> {
        request
            .timeout(Duration::from_millis(self.options.call_timeout_ms))
            .send()
            .await
            .map_err(unavailable)
    }
}

/// Decodes a list of objects. Those that cannot be decoded are counted and logged.
async fn decode_list(response: Response) -> Result<ObjectList> {
    let body = response.bytes().await.map_err(unavailable)?;
    let (list, errors) = ObjectList::decode(&body)?;
    for error in &errors {
        metrics::counter!("cardamomloom_invalid_objects_total").increment(1);
        warn!(event = "object_invalid"; "object of the store cannot be decoded: {error}");
    }
    Ok(list)
}

async fn decode_body<T: serde::de::DeserializeOwned>(response: Response) -> Result<T> {
    response.json().await.map_err(unavailable)
}

fn unavailable(error: reqwest::Error) -> Error {
    let error = error.without_url();
    Error::new(
        ErrorKind::StoreUnavailable,
        format!("store: the call failed: {error}"),
    )
}

fn outcome_unknown(key: &str, error: &reqwest::Error) -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "store: no complete response to the write of {key:?}, which may have taken effect: {error}"
        ),
    )
}

fn unexpected_status(status: StatusCode) -> Error {
    let kind = match status {
        StatusCode::BAD_REQUEST => ErrorKind::InvalidArgument,
        StatusCode::PAYLOAD_TOO_LARGE => ErrorKind::LimitExceeded,
        _ => ErrorKind::StoreUnavailable,
    };
    Error::new(
        kind,
        format!("store: the response has unexpected status {status}"),
    )
}
