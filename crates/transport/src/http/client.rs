//! Client of the operator endpoints of other processes.

use {
    super::Result,
    cardamomloom_core::error::{Error, ErrorKind},
    reqwest::Client,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// Reads the endpoints of processes.
#[derive(Clone, Debug)]
pub struct InspectClient {
    client: Client,
}

impl InspectClient {
    /// Creates a client; `timeout_ms` limits each call.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the HTTP client cannot be created.
    pub fn new(timeout_ms: u64) -> Result<Self> {
        let client = Client::builder()
            .timeout(Duration::from_millis(timeout_ms))
            .build()
            .map_err(|error| Error::new(ErrorKind::Io, format!("http: {error}")))?;
        Ok(Self { client })
    }

    /// Reads an endpoint that answers with JSON.
    ///
    /// # Errors
    ///
    /// Fails with kind `timeout` when the process does not answer, and with the kind that the
    /// process states when it refuses.
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
        let answer: Value = response.json().await.map_err(unreachable)?;
        if status.is_success() {
            return Ok(answer);
        }
        let kind = ErrorKind::ALL
            .into_iter()
            .find(|kind| answer["error"]["kind"] == kind.entry().name)
            .unwrap_or(ErrorKind::Io);
        let message = answer["error"]["message"].as_str().unwrap_or("no message");
        Err(Error::new(kind, format!("http: {address}: {message}")))
    }
}
