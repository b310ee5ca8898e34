//! Registers a balancer in the store and removes the registration when it stops.

use {
    cardamomloom_core::{
        ObjectVersion,
        error::{Error, invalid_argument},
    },
    cardamomloom_protocol::object::{NODES_PREFIX, NodeSpec},
    cardamomloom_transport::store::{StoreClient, WriteOutcome},
    log::{info, warn},
    std::time::Duration,
};

/// Result of a registration.
pub type Result<T> = std::result::Result<T, Error>;

const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Registration of one balancer.
#[derive(Clone, Debug)]
pub struct Registration {
    store: StoreClient,
    key: String,
    value: serde_json::Value,
}

impl Registration {
    /// Prepares the registration of a balancer.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the specification cannot be encoded.
    pub fn new(store: StoreClient, spec: &NodeSpec) -> Result<Self> {
        let value = serde_json::to_value(spec)
            .map_err(|error| invalid_argument(format!("registration: {error}")))?;
        Ok(Self {
            store,
            key: format!("{NODES_PREFIX}{}", spec.node),
            value,
        })
    }

    /// Writes the registration, trying again until the store accepts it.
    pub async fn register(self) {
        loop {
            match self.try_register().await {
                Ok(true) => {
                    info!(event = "registered", key = self.key; "registered in the store");
                    return;
                }
                Ok(false) => {}
                Err(error) => {
                    warn!(event = "registration_failed", key = self.key; "{error}");
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    async fn try_register(&self) -> Result<bool> {
        let present = self.store.get(&self.key).await?;
        let expected = present.map_or(ObjectVersion(0), |object| object.version);
        let outcome = self.store.put(&self.key, expected, &self.value).await?;
        Ok(matches!(outcome, WriteOutcome::Written(_)))
    }

    /// Removes the registration; peers also notice without it.
    pub async fn deregister(&self) {
        let removed = async {
            if let Some(object) = self.store.get(&self.key).await? {
                self.store.delete(&self.key, object.version).await?;
            }
            Result::Ok(())
        };
        if let Err(error) = removed.await {
            warn!(event = "deregistration_failed", key = self.key; "{error}");
        }
    }
}
