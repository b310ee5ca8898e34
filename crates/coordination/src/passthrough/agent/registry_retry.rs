//! When an agent without a live balancer lists the registered ones.
//!
//! Load pattern: all balancers of a fleet are lost at once, and hundreds of agents look for new ones in
//! the store. Their calls are spread over the interval, which doubles up to a minute.

use {
    super::Agent,
    crate::passthrough::stagger,
    cardamomloom_core::{Span, Time},
    std::net::Ipv4Addr,
};

/// Least time without a live balancer before the first list, and the time over which the agents of a
/// fleet spread it.
const MIN_INTERVAL: Span = Span::from_secs(3);

/// Longest interval between two lists, and the time over which agents spread each of them.
const MAX_INTERVAL: Span = Span::from_secs(30);

/// Schedule of the lists; empty while a balancer is live.
#[derive(Debug, Default)]
pub(super) struct RegistryRetry {
    next: Option<(Time, Span)>,
}

impl RegistryRetry {
    /// Returns whether to list now, and schedules the next list if so.
    pub fn is_due(&mut self, now: Time, has_balancer: bool, own_address: Ipv4Addr) -> bool {
        if has_balancer {
            self.next = None;
            return false;
        }
        let (at, interval) = *self.next.get_or_insert_with(|| {
            let delay = Span(MIN_INTERVAL.0 + stagger(own_address, MIN_INTERVAL).0);
            (now + delay, MIN_INTERVAL)
        });
        if now < at {
            return false;
        }
        let interval = Span(interval.0 * 2).min(MAX_INTERVAL);
        let delay = Span(interval.0 + stagger(own_address, interval).0);
        self.next = Some((now + delay, interval));
        true
    }
}

impl Agent {
    /// Returns whether to list the registered balancers now. While no balancer is live, the agent does
    /// so with growing intervals, since balancers may have started at addresses that it does not know.
    pub fn should_list_balancers(&mut self, now: Time) -> bool {
        let has_balancer = self.peers.live(now).next().is_some();
        let address = self.identity.address;
        self.control
            .registry_retry
            .is_due(now, has_balancer, address)
    }

    /// Adds addresses at which balancers may run. If any is new, the next tick announces the host.
    pub fn add_balancers(&mut self, now: Time, balancers: impl IntoIterator<Item = Ipv4Addr>) {
        if self.peers.add_all(now, balancers) {
            self.control.next_announcement = Time::ZERO;
        }
    }
}
