//! Detection of services without any usable host.
//!
//! Load pattern: all hosts of a service have departed. When a SYN is dropped, its caller waits
//! until the last retransmission has failed; a caller that is refused can report the failure, or
//! retry on its own schedule. A short gap is not an outage, because retransmitted SYNs bridge it.

use {
    cardamomloom_core::{ServiceName, Span, Time},
    std::collections::HashMap,
};

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Time,
    last_seen: Time,
}

/// Outages of services, inferred from new flows that cannot be placed.
#[derive(Debug)]
pub struct ServiceOutages {
    outages: HashMap<ServiceName, Outage>,
    refuse_after: Span,
}

impl ServiceOutages {
    /// Creates a tracker without outages. An outage is confirmed once it lasts `refuse_after`.
    #[must_use]
    pub fn new(refuse_after: Span) -> Self {
        Self {
            outages: HashMap::new(),
            refuse_after,
        }
    }

    /// Ends the outage of a service, because a new flow was placed on one of its hosts.
    pub fn end(&mut self, service: &ServiceName) {
        self.outages.remove(service);
    }

    /// Records that a new flow to a service cannot be placed. Returns whether the outage is
    /// confirmed, so that the flow may be refused. When no new flow has arrived for
    /// `refuse_after`, the state of the service in that time is unknown, and the outage starts
    /// anew.
    pub fn record_failure(&mut self, now: Time, service: &ServiceName) -> bool {
        let refuse_after = self.refuse_after;
        let outage = self
            .outages
            .entry(service.clone())
            .and_modify(|outage| {
                if now.since(outage.last_seen) > refuse_after {
                    outage.since = now;
                }
                outage.last_seen = now;
            })
            .or_insert(Outage {
                since: now,
                last_seen: now,
            });
        now.since(outage.since) >= refuse_after
    }
}
