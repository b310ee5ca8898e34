//! Registration of a balancer in the store.

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

/// Result of registering a balancer.
pub type Result<T> = std::result::Result<T, Error>;

const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Object of the store under which agents and other balancers find one balancer.
#[derive(Clone, Debug)]
pub struct Registration {
    store: StoreClient,
    key: String,
    value: serde_json::Value,
}

impl Registration {
    /// Encodes the registration without writing it.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the specification cannot be encoded.
    pub fn new(store: StoreClient, spec: &NodeSpec) -> Result<Self> {
        let value = serde_json::to_value(spec).map_err(|error| {
            invalid_argument(format!("registration: cannot encode the node: {error}"))
        })?;
        Ok(Self {
            store,
            key: format!("{NODES_PREFIX}{}", spec.node),
            value,
        })
    }

    /// Writes the registration, retrying until the store accepts it.
    pub async fn register(self) {
        loop {
            match self.try_register().await {
                Ok(true) => {
                    info!(event = "registered", key = self.key; "balancer registered in the store");
                    return;
                }
                Ok(false) => {}
                Err(error) => {
                    warn!(
                        event = "registration_failed", key = self.key;
                        "cannot register this balancer, retrying: {error}"
                    );
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Writes the registration over the stored version, and returns false when another write came
    /// in between.
    async fn try_register(&self) -> Result<bool> {
        let stored = self.store.get(&self.key).await?;
        let expected = stored.map_or(ObjectVersion(0), |object| object.version);
        let outcome = self.store.put(&self.key, expected, &self.value).await?;
        Ok(matches!(outcome, WriteOutcome::Written(_)))
    }

    /// Removes the registration. A failure is only logged, because peers also detect the departure
    /// of the balancer without the removal.
    pub async fn deregister(&self) {
        let removal = async {
            if let Some(object) = self.store.get(&self.key).await? {
                self.store.delete(&self.key, object.version).await?;
            }
            Result::Ok(())
        };
        if let Err(error) = removal.await {
            warn!(
                event = "deregistration_failed", key = self.key;
                "cannot remove the registration of this balancer: {error}"
            );
        }
    }
}
