//! Client of the operator endpoints of other processes.

use {
    super::Result,
    cardamomloom_core::error::{Error, ErrorKind},
    reqwest::Client,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// HTTP client that reads JSON from the operator endpoints of any process.
#[derive(Clone, Debug)]
pub struct InspectClient {
    client: Client,
}

impl InspectClient {
    /// Creates a client; `timeout_ms` limits the whole of each call.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the HTTP client cannot be created.
    pub fn new(timeout_ms: u64) -> Result<Self> {
        let client = Client::builder()
            .timeout(Duration::from_millis(timeout_ms))
            .build()
            .map_err(|error| {
                Error::new(
                    ErrorKind::Io,
                    format!("http: cannot create the client: {error}"),
                )
            })?;
        Ok(Self { client })
    }

    /// Sends a GET request and returns the JSON document of the response.
    ///
    /// # Errors
    ///
    /// Fails with kind `timeout` when no response arrives or its body is not JSON. When the process
    /// responds with an error status, fails with the error kind in the response body, or with `io`
    /// when the body has none.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<Value> {
        let unreachable = |error: reqwest::Error| {
            let error = error.without_url();
            Error::new(
                ErrorKind::Timeout,
                format!("http: no answer of {address}: {error}"),
            )
        };
        let request = self.client.get(format!("http://{address}{path}"));
        let response = request.query(query).send().await.map_err(unreachable)?;
        let status = response.status();
        let body: Value = response.json().await.map_err(unreachable)?;
        if status.is_success() {
            return Ok(body);
        }
        let kind = ErrorKind::ALL
            .into_iter()
            .find(|kind| body["error"]["kind"] == kind.entry().name)
            .unwrap_or(ErrorKind::Io);
        let message = body["error"]["message"].as_str().unwrap_or("no message");
        Err(Error::new(
            kind,
            format!("http: {address} responded with an error: {message}"),
        ))
    }
}
