//! Lists of hosts for agents, and the log of changes of hosts.

use {
    super::Balancer,
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::{
        HostAdvertisement, HostListDigest, HostListPart, PeerMessage,
    },
    log::info,
};

/// Maximum number of hosts in a heartbeat to an agent or in a part of a list, so that it fits a
/// datagram.
pub(super) const MAX_ADVERTISEMENTS: usize = 64;

/// Changes of hosts in [`HOST_CHANGES_SPAN`] that the log reports one by one. The others are summed
/// up, so that the log of a fleet does not grow with the square of its size.
const MAX_SINGLE_HOST_CHANGES: usize = 16;

/// Interval of the summaries of further changes of hosts.
const HOST_CHANGES_SPAN: Span = Span::from_millis(500);

/// Changes of hosts since the last summary.
#[derive(Debug, Default)]
pub(super) struct HostChanges {
    since: Time,
    count: usize,
}

impl HostChanges {
    /// Counts a change. Returns whether it gets a line of its own.
    pub const fn record(&mut self) -> bool {
        self.count += 1;
        self.count <= MAX_SINGLE_HOST_CHANGES
    }

    /// Starts a new interval when the present one is over. Returns the number of changes that had no
    /// line of their own, if there are any.
    pub fn take_summary(&mut self, now: Time) -> Option<usize> {
        if now.since(self.since) < HOST_CHANGES_SPAN {
            return None;
        }
        self.since = now;
        let count = std::mem::take(&mut self.count);
        (count > MAX_SINGLE_HOST_CHANGES).then(|| count - MAX_SINGLE_HOST_CHANGES)
    }
}

impl Balancer {
    /// Logs the changes of hosts that had no line of their own, once in [`HOST_CHANGES_SPAN`].
    pub(super) fn log_host_changes(&mut self, now: Time) {
        let Some(changes) = self.control.host_changes.take_summary(now) else {
            return;
        };
        let ready = self
            .hosts
            .iter()
            .filter(|record| self.hosts.accepts_new(now, record))
            .count();
        info!(event = "hosts_changed", changes, hosts = self.hosts.len(), ready; "more hosts are new, changed or removed");
    }
}

/// Splits a list of hosts into parts that fit a datagram each.
pub(super) fn host_list_parts(
    list: HostListDigest,
    hosts: &[HostAdvertisement],
) -> Vec<PeerMessage> {
    let chunks = hosts.chunks(MAX_ADVERTISEMENTS);
    let parts = u8::try_from(chunks.len()).unwrap_or(u8::MAX);
    (0..parts)
        .zip(chunks)
        .map(|(position, hosts)| {
            PeerMessage::HostListPart(HostListPart {
                list,
                position,
                parts,
                hosts: hosts.to_vec(),
            })
        })
        .collect()
}
