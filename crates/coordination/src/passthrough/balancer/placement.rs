//! Choice of the host for a new flow, and the counts of these choices.

use {
    super::{Balancer, HostRecord, Placement, to_placement},
    crate::passthrough::{
        flow_hash,
        load::{Candidate, PlacementPolicy, PlacementReason, PlacementRequest},
        rendezvous_score,
    },
    cardamomloom_core::{DomainName, ServiceName, Time},
    cardamomloom_protocol::passthrough::FlowId,
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Number of new flows by whether their host is in the failure domain of the balancer, and by the
/// reason for its choice.
#[derive(Clone, Debug, Default)]
pub struct PlacementCounts {
    counts: BTreeMap<(bool, PlacementReason), u64>,
}

impl PlacementCounts {
    /// Returns the scope, the reason and the number of flows of each count.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, PlacementReason, u64)> {
        self.counts.iter().map(|((is_own, reason), flows)| {
            let scope = if *is_own {
                "own_domain"
            } else {
                "other_domain"
            };
            (scope, *reason, *flows)
        })
    }
}

impl Balancer {
    /// Places a new flow on a usable host: the one with the highest rendezvous score, or one with a
    /// short expected wait if the placement is by that. A retransmitted SYN goes to another host than
    /// the one before, unless there is no other. A balancer with an outdated catalogue leaves the
    /// decision to an agent with a newer one.
    pub(super) fn place(
        &mut self,
        now: Time,
        flow: &FlowId,
        retransmissions: u32,
        service: &ServiceName,
    ) -> Option<Placement> {
        let previous_agent = self
            .placements
            .touch(now, flow)
            .filter(|_| retransmissions > 0)
            .map(|placement| placement.agent);
        let is_by_wait = self.options.load_control.placement == PlacementPolicy::ExpectedWait;
        let chosen = if is_by_wait && retransmissions == 0 {
            self.place_by_wait(now, flow, service)
        } else {
            self.place_by_hash(now, flow, previous_agent, service)
        }?;
        self.outages.end(service);
        self.placements.insert(now, *flow, chosen);
        Some(chosen)
    }

    /// Returns the number of new flows by the scope and the reason of their placement by expected
    /// wait.
    #[must_use]
    pub const fn placement_counts(&self) -> &PlacementCounts {
        &self.placement_counts
    }

    /// Returns the share of the new flows of each service that leaves the failure domain.
    pub fn leaving_shares(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.placer.leaving_shares()
    }

    /// Returns the failure domain that flows are to stay in, if there is one.
    pub(super) fn preferred_domain(&self) -> Option<&DomainName> {
        let options = &self.options.load_control;
        let prefers_own =
            options.prefers_own_domain && options.placement == PlacementPolicy::ExpectedWait;
        self.own_domain.as_ref().filter(|_| prefers_own)
    }

    /// Returns the hosts of a service that may get a new flow.
    pub(super) fn usable_hosts(
        &self,
        now: Time,
        service: &ServiceName,
    ) -> impl Iterator<Item = &HostRecord> {
        let is_outdated = self.catalogue.is_outdated(now);
        let version = self.catalogue.version();
        self.hosts.of_service(service).filter(move |record| {
            self.is_usable(now, record) && (!is_outdated || record.announcement.catalogue > version)
        })
    }

    fn place_by_hash(
        &mut self,
        now: Time,
        flow: &FlowId,
        previous_agent: Option<Ipv4Addr>,
        service: &ServiceName,
    ) -> Option<Placement> {
        let hash = flow_hash(flow);
        let chosen = self.usable_hosts(now, service).min_by_key(|record| {
            let agent = record.announcement.agent;
            (
                Some(agent) == previous_agent,
                !rendezvous_score(hash, agent),
            )
        })?;
        let placement = to_placement(chosen);
        if self.options.load_control.placement == PlacementPolicy::ExpectedWait {
            self.loads.on_placed(placement.agent);
            self.count_placement(placement.agent, PlacementReason::Retransmission);
        }
        Some(placement)
    }

    fn place_by_wait(
        &mut self,
        now: Time,
        flow: &FlowId,
        service: &ServiceName,
    ) -> Option<Placement> {
        let hash = flow_hash(flow);
        let mut placer = std::mem::take(&mut self.placer);
        let mut loads = std::mem::take(&mut self.loads);
        let candidates: Vec<Candidate> = self
            .usable_hosts(now, service)
            .map(|record| Candidate {
                agent: record.announcement.agent,
                domain: &record.announcement.domain,
                score: rendezvous_score(hash, record.announcement.agent),
            })
            .collect();
        let flow = PlacementRequest {
            service,
            hash,
            own_domain: self.preferred_domain(),
        };
        let choice = placer.choose(now, &mut loads, &flow, &candidates);
        self.placer = placer;
        self.loads = loads;
        let choice = choice?;
        self.count_placement(choice.agent, choice.reason);
        self.hosts.get(choice.agent).map(to_placement)
    }

    fn count_placement(&mut self, agent: Ipv4Addr, reason: PlacementReason) {
        let domain = self
            .hosts
            .get(agent)
            .map(|record| &record.announcement.domain);
        let is_own = self.own_domain.is_none() || self.own_domain.as_ref() == domain;
        let count = self.placement_counts.counts.entry((is_own, reason));
        *count.or_default() += 1;
    }
}
