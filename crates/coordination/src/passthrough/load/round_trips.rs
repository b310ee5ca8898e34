//! Round trips between a balancer and the failure domains, from measurements of agents.

use {
    cardamomloom_core::{DomainName, Span, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        net::Ipv4Addr,
    },
};

/// Age from which a measurement is discarded. It covers the longest time in which the agents of a
/// domain with few hosts each ask one of 85 balancers.
const MAX_AGE: Span = Span::from_secs(120);

/// Measurements of a domain that are kept, each of another agent.
const MAX_MEASUREMENTS: usize = 15;

/// Domains that are kept.
const MAX_DOMAINS: usize = 64;

/// Longer round trips come from processes that were paused: a load that is so old is unknown.
const MAX_ROUND_TRIP: Span = Span::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Measurement {
    at: Time,
    agent: Ipv4Addr,
    round_trip: Span,
}

/// Recent round trips by failure domain.
#[derive(Debug, Default)]
pub(super) struct RoundTrips {
    domains: BTreeMap<DomainName, VecDeque<Measurement>>,
}

impl RoundTrips {
    /// Adds a measurement in place of an earlier one of the same agent, so that one agent with wrong
    /// values does not determine the median.
    pub fn record(&mut self, now: Time, agent: Ipv4Addr, domain: &DomainName, round_trip: Span) {
        let is_valid = round_trip > Span::ZERO && round_trip <= MAX_ROUND_TRIP;
        let has_room = self.domains.len() < MAX_DOMAINS || self.domains.contains_key(domain);
        if !is_valid || !has_room {
            return;
        }
        let measurements = self.domains.entry(domain.clone()).or_default();
        measurements.retain(|earlier| earlier.agent != agent);
        measurements.push_back(Measurement {
            at: now,
            agent,
            round_trip,
        });
        if measurements.len() > MAX_MEASUREMENTS {
            measurements.pop_front();
        }
    }

    /// Removes old measurements.
    pub fn expire(&mut self, now: Time) {
        for measurements in self.domains.values_mut() {
            measurements.retain(|measurement| now.since(measurement.at) <= MAX_AGE);
        }
        self.domains
            .retain(|_, measurements| !measurements.is_empty());
    }

    /// Returns the median of the recent round trips to a domain.
    pub fn median(&self, domain: &DomainName) -> Option<Span> {
        let mut round_trips: Vec<Span> = self
            .domains
            .get(domain)?
            .iter()
            .map(|measurement| measurement.round_trip)
            .collect();
        round_trips.sort_unstable();
        round_trips.get(round_trips.len() / 2).copied()
    }
}
