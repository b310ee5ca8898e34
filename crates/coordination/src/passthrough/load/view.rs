//! What a balancer knows of the loads of hosts.

use {
    super::{round_trips::RoundTrips, work_time::DEFAULT_WORK_TIME},
    cardamomloom_core::{DomainName, Span, Time},
    cardamomloom_protocol::passthrough::HostLoad,
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Timeouts of a view of the loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadViewOptions {
    /// Age from which a load is unknown.
    pub max_age: Span,
}

impl Default for LoadViewOptions {
    fn default() -> Self {
        Self {
            max_age: Span::from_secs(3),
        }
    }
}

/// Load of a host as a balancer expects it at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedLoad {
    /// Expected time that the request of a new flow waits for a slot, with the flows that this
    /// balancer has placed since the host's agent told its load. `None` if the host takes no new
    /// flows.
    pub wait: Option<Span>,
    /// Mean time that the host works on a request, or `None` if it is unknown.
    pub work: Option<Span>,
    /// Age of the load.
    pub age: Span,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    load: HostLoad,
    received: Time,
    /// Flows that this balancer has placed on the host since then.
    placed: u32,
}

/// Loads of hosts, by the address of their agents, and round trips to failure domains.
#[derive(Debug, Default)]
pub struct LoadView {
    options: LoadViewOptions,
    entries: BTreeMap<Ipv4Addr, Entry>,
    round_trips: RoundTrips,
}

impl LoadView {
    /// Creates an empty view.
    #[must_use]
    pub fn new(options: LoadViewOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records the load that an agent told. `round_trip` is the measured time that this balancer and
    /// the agent, which is in `domain`, need to answer each other.
    pub fn record(
        &mut self,
        now: Time,
        agent: Ipv4Addr,
        domain: &DomainName,
        load: HostLoad,
        round_trip: Option<Span>,
    ) {
        let entry = Entry {
            load,
            received: now,
            placed: 0,
        };
        self.entries.insert(agent, entry);
        if let Some(round_trip) = round_trip {
            self.round_trips.record(now, agent, domain, round_trip);
        }
    }

    /// Removes the loads and round trips that are too old.
    pub fn expire(&mut self, now: Time) {
        let max_age = self.options.max_age;
        self.entries
            .retain(|_, entry| now.since(entry.received) <= max_age);
        self.round_trips.expire(now);
    }

    /// Returns the number of hosts whose loads are known.
    #[must_use]
    pub fn known(&self, now: Time) -> usize {
        let max_age = self.options.max_age;
        let entries = self.entries.values();
        entries
            .filter(|entry| now.since(entry.received) <= max_age)
            .count()
    }

    /// Forgets the load of a host.
    pub fn forget(&mut self, agent: Ipv4Addr) {
        self.entries.remove(&agent);
    }

    /// Records that this balancer has placed a flow on a host.
    pub fn on_placed(&mut self, agent: Ipv4Addr) {
        if let Some(entry) = self.entries.get_mut(&agent) {
            entry.placed = entry.placed.saturating_add(1);
        }
    }

    /// Returns the expected load of a host, or `None` if it is unknown or too old.
    #[must_use]
    pub fn load(&self, now: Time, agent: Ipv4Addr) -> Option<ExpectedLoad> {
        let entry = self.entries.get(&agent)?;
        let age = now.since(entry.received);
        if age > self.options.max_age {
            return None;
        }
        let HostLoad {
            wait_ms,
            work_ms,
            slots,
        } = entry.load;
        // Unknown is not idle: flows placed on a host without an estimate cost as usual.
        let placed_work_ms = match work_ms {
            0 => DEFAULT_WORK_TIME.as_millis(),
            known_ms => u64::from(known_ms),
        };
        let placed_ms = u64::from(entry.placed) * placed_work_ms / u64::from(slots.max(1));
        Some(ExpectedLoad {
            wait: (wait_ms != HostLoad::TAKES_NO_FLOWS)
                .then(|| Span::from_millis(u64::from(wait_ms) + placed_ms)),
            work: (work_ms > 0).then(|| Span::from_millis(u64::from(work_ms))),
            age,
        })
    }

    /// Returns the measured round trip to the hosts of a failure domain, or `None` if it is unknown:
    /// the median of the recent measurements of different agents. [`Self::expire`] removes old ones.
    #[must_use]
    pub fn round_trip(&self, domain: &DomainName) -> Option<Span> {
        self.round_trips.median(domain)
    }
}
