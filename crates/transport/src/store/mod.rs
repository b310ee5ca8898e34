//! Client of the platform's object API over HTTP.

use {
    cardamomloom_core::{
        ObjectVersion,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::store_api::{ErrorBody, MAX_VALUE_BYTES, Object, ObjectList},
    reqwest::{Client, Method, RequestBuilder, Response, StatusCode},
    std::{sync::Arc, time::Duration},
};

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Times of the store client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// Time to establish a connection.
    pub connect_timeout_ms: u64,
    /// Time for a whole call other than a watch.
    pub call_timeout_ms: u64,
    /// Time that a watch waits at the store for a change.
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
    /// The write took effect with this version.
    Written(ObjectVersion),
    /// Another version is present; `None` when the object does not exist.
    Conflict(Option<Object>),
}

/// Client of the object API.
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
            .map_err(|error| Error::new(ErrorKind::Io, format!("store: {error}")))?;
        Ok(Self {
            client,
            base_url: Arc::from(base_url.trim_end_matches('/')),
            options,
        })
    }

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails with kind `store_unavailable` when the store does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Object>> {
        let response = self.send(self.object(Method::GET, key)).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(body(response).await?)),
            status => Err(unexpected(status)),
        }
    }

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails with kind `store_unavailable` when the store does not answer.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList> {
        let request = self
            .client
            .get(format!("{}/v1/objects", self.base_url))
            .query(&[("prefix", prefix)]);
        let response = self.send(request).await?;
        if !response.status().is_success() {
            return Err(unexpected(response.status()));
        }
        body(response).await
    }

    /// Waits for changes after a version to objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails with kind `store_unavailable` when the store does not answer.
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
            return Err(unexpected(response.status()));
        }
        body(response).await
    }

    /// Writes an object if its present version is `expected`; version 0 creates it.
    ///
    /// # Errors
    ///
    /// Fails with kind `limit_exceeded` when the value is too large, and with `outcome_unknown`
    /// when the store does not say whether the write took effect.
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
                    "store: value of {key:?} has {} bytes; allowed are {MAX_VALUE_BYTES}",
                    encoded.len()
                ),
            ));
        }
        let request = self
            .object(Method::PUT, key)
            .header("if-match", expected.0)
            .header("content-type", "application/json")
            .body(encoded);
        self.write(key, request).await
    }

    /// Deletes an object if its present version is `expected`.
    ///
    /// # Errors
    ///
    /// Fails with kind `outcome_unknown` when the store does not say whether the deletion took
    /// effect.
    pub async fn delete(&self, key: &str, expected: ObjectVersion) -> Result<WriteOutcome> {
        let request = self
            .object(Method::DELETE, key)
            .header("if-match", expected.0);
        self.write(key, request).await
    }

    async fn write(&self, key: &str, request: RequestBuilder) -> Result<WriteOutcome> {
        let timeout = Duration::from_millis(self.options.call_timeout_ms);
        let response = match request.timeout(timeout).send().await {
            Ok(response) => response,
            // Without a connection the write cannot have reached the store.
            Err(error) if error.is_connect() => return Err(unavailable(error)),
            Err(error) => return Err(outcome_unknown(key, &error)),
        };
        match response.status() {
            StatusCode::CONFLICT => {
                let answer: ErrorBody = body(response).await?;
                Ok(WriteOutcome::Conflict(answer.present))
            }
            status if status.is_success() => {
                let written: Object = response
                    .json()
                    .await
                    .map_err(|error| outcome_unknown(key, &error))?;
                Ok(WriteOutcome::Written(written.version))
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(unexpected(response.status())),
            status if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT => {
                Err(Error::new(
                    ErrorKind::OutcomeUnknown,
                    format!("store: write of {key:?} was answered with status {status}"),
                ))
            }
            status => Err(unexpected(status)),
        }
    }

    fn object(&self, method: Method, key: &str) -> RequestBuilder {
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

async fn body<T: serde::de::DeserializeOwned>(response: Response) -> Result<T> {
    response.json().await.map_err(unavailable)
}

fn unavailable(error: reqwest::Error) -> Error {
    let error = error.without_url();
    Error::new(ErrorKind::StoreUnavailable, format!("store: {error}"))
}

fn outcome_unknown(key: &str, error: &reqwest::Error) -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!("store: no answer to the write of {key:?}: {error}"),
    )
}

fn unexpected(status: StatusCode) -> Error {
    let kind = match status {
        StatusCode::BAD_REQUEST => ErrorKind::InvalidArgument,
        StatusCode::PAYLOAD_TOO_LARGE => ErrorKind::LimitExceeded,
        _ => ErrorKind::StoreUnavailable,
    };
    Error::new(kind, format!("store: unexpected status {status}"))
}
