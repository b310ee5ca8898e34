//! HTTP client of the load endpoint of the local backend server.

use {
    cardamomloom_core::error::{Error, io},
    reqwest::Client,
    serde::Deserialize,
    std::time::Duration,
};

/// Result of a call to the load endpoint.
pub type Result<T> = std::result::Result<T, Error>;

/// Limit of a whole call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Response of the load endpoint; other fields in the JSON document are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServerLoad {
    /// Used share of the server's capacity, in parts per million.
    pub load_ppm: u32,
    /// Whether the server requests less load; `false` when the field is absent.
    #[serde(default)]
    pub shedding: bool,
}

/// Client of one load endpoint. It ignores the proxy settings of the environment, because the
/// endpoint is local.
#[derive(Clone, Debug)]
pub struct LoadClient {
    client: Client,
    url: String,
}

impl LoadClient {
    /// Creates a client of the endpoint at `url`.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the HTTP client cannot be created.
    pub fn new(url: &str) -> Result<Self> {
        let client = Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| {
                io(format!(
                    "server load: cannot create the HTTP client: {error}"
                ))
            })?;
        let url = url.to_owned();
        Ok(Self { client, url })
    }

    /// Requests the current load of the backend server.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the server does not respond within 500 ms, responds with an error
    /// status, or sends a document without a valid load.
    pub async fn get(&self) -> Result<ServerLoad> {
        let failed = |error: reqwest::Error| {
            io(format!(
                "server load: the request failed: {}",
                error.without_url()
            ))
        };
        let response = self.client.get(&self.url).send().await.map_err(failed)?;
        let response = response.error_for_status().map_err(failed)?;
        response.json().await.map_err(failed)
    }
}
