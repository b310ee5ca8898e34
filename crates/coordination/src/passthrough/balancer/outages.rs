//! Services that no host serves at present.
//!
//! Load pattern: all hosts of a service are gone. An opening that is dropped lets its caller wait
//! until its last copy has failed; a caller that is refused can say so or come back by its own
//! plan. A short gap is no outage: the copies of the opening packet bridge it.

use {
    cardamomloom_core::{ServiceName, Span, Time},
    std::collections::HashMap,
};

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Time,
    last_seen: Time,
}

/// Outages of services, as new flows show them.
#[derive(Debug)]
pub struct ServiceOutages {
    outages: HashMap<ServiceName, Outage>,
    refuse_after: Span,
}

impl ServiceOutages {
    /// Creates an empty record; an outage is certain after `refuse_after`.
    #[must_use]
    pub fn new(refuse_after: Span) -> Self {
        Self {
            outages: HashMap::new(),
            refuse_after,
        }
    }

    /// Notes that a host of the service takes new flows.
    pub fn end(&mut self, service: &ServiceName) {
        self.outages.remove(service);
    }

    /// Notes that no host of the service takes a new flow; tells whether this is certain enough to
    /// refuse it. Nothing is known of a time without new flows, so the outage then begins anew.
    pub fn is_certain(&mut self, now: Time, service: &ServiceName) -> bool {
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
