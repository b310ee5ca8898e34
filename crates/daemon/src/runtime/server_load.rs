//! Polls the load endpoint of the backend server.

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

/// Interval between two polls. A report is valid for 3 s, so that two may be lost.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the load and sends it as events until the control thread has ended. A failed poll has no
/// effect: the agent then relies on its own observations.
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
            Err(error) => {
                debug!(
                    event = "server_load_unavailable";
                    "cannot read the load of the backend server: {error}"
                );
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
