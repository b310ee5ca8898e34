//! Client of the load endpoint of the local backend server.

use {
    cardamomloom_core::error::{Error, io},
    reqwest::Client,
    serde::Deserialize,
    std::time::Duration,
};

/// Result of asking for the load.
pub type Result<T> = std::result::Result<T, Error>;

const TIMEOUT: Duration = Duration::from_millis(500);

/// Answer of the load endpoint. Other fields are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServerLoad {
    /// Share of its capacity in use, in parts per million.
    pub load_ppm: u32,
    /// Whether the server asks for less load.
    #[serde(default)]
    pub shedding: bool,
}

/// Asks one load endpoint.
#[derive(Clone, Debug)]
pub struct LoadClient {
    client: Client,
    url: String,
}

impl LoadClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the HTTP client cannot be set up.
    pub fn new(url: &str) -> Result<Self> {
        let client = Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| io(format!("server load: {error}")))?;
        let url = url.to_owned();
        Ok(Self { client, url })
    }

    /// Returns the load that the server reports.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the server does not answer in time or not as expected.
    pub async fn get(&self) -> Result<ServerLoad> {
        let failed = |error: reqwest::Error| io(format!("server load: {}", error.without_url()));
        let response = self.client.get(&self.url).send().await.map_err(failed)?;
        let response = response.error_for_status().map_err(failed)?;
        response.json().await.map_err(failed)
    }
}
