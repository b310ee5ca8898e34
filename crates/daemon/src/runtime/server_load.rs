//! Reads the load endpoint of the backend server for the control thread.

use {
    crate::control::Event,
    cardamomloom_coordination::admission::ServerReport,
    cardamomloom_transport::server_load::LoadClient,
    log::debug,
    std::{
        sync::mpsc::{SyncSender, TrySendError},
        time::Duration,
    },
};

/// Time between two reads. A report counts for 3 s, so that two may be lost.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reads the load until the control thread is gone. A failed read changes nothing: the agent
/// relies on what it observes itself.
pub async fn poll_server_load(client: LoadClient, events: SyncSender<Event>) {
    loop {
        match client.get().await {
            Ok(load) => {
                let report = ServerReport {
                    load_ppm: load.load_ppm,
                    shedding: load.shedding,
                };
                let sent = events.try_send(Event::ServerReport(report));
                if matches!(sent, Err(TrySendError::Disconnected(_))) {
                    return;
                }
            }
            Err(error) => debug!(event = "server_load_unavailable"; "{error}"),
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
