//! Explanation for operators where a new flow would go now, without sending anything.

use {
    super::{
        balancer::BalancerSummary,
        load::{ExpectedLoad, LoadControlOptions, LoadView, PlacementPolicy},
    },
    cardamomloom_core::{DomainName, ServiceName, Span, Time},
    std::net::Ipv4Addr,
};

/// A new flow that an operator asks about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowQuery {
    /// Service of the flow.
    pub service: ServiceName,
    /// Failure domain of its caller.
    pub from: DomainName,
}

/// Rule by which a balancer chooses a host for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRule {
    /// No host of the service takes new flows.
    NoHost,
    /// The hash of the flow chooses among the usable hosts.
    Rendezvous,
    /// No load is known, so that the hash of the flow chooses.
    LoadsUnknown,
    /// The host with the shortest expected response time, in any failure domain.
    ShortestResponse,
    /// As before; it is in the failure domain of the caller.
    OwnDomain,
    /// As before; it is in another failure domain, although the own one is preferred.
    OtherDomain,
}

impl PlacementRule {
    /// Returns the name of the rule in JSON.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoHost => "no_host",
            Self::Rendezvous => "rendezvous",
            Self::LoadsUnknown => "loads_unknown",
            Self::ShortestResponse => "shortest_response",
            Self::OwnDomain => "own_domain",
            Self::OtherDomain => "other_domain",
        }
    }

    /// Returns the rule as a sentence.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::NoHost => "no host of the service takes new flows",
            Self::Rendezvous => "the hash of the flow chooses among the usable hosts",
            Self::LoadsUnknown => {
                "no load is known: the hash of the flow chooses among the usable hosts"
            }
            Self::ShortestResponse => "the shortest expected response among the known hosts",
            Self::OwnDomain => {
                "stays: no known host of another domain responds earlier, with its round trip"
            }
            Self::OtherDomain => {
                "leaves: a host of another domain is expected to respond earlier, with its round trip"
            }
        }
    }
}

/// A host of the service, as the balancer sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowCandidate {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Whether the balancer places new flows on the host.
    pub is_usable: bool,
    /// Load of the host, or `None` if it is unknown.
    pub load: Option<ExpectedLoad>,
    /// Measured round trip to its failure domain; `None` in the failure domain of the caller, and while
    /// it is unknown.
    pub round_trip: Option<Span>,
    /// Expected time until the response: wait, work and round trip. `None` if it is unknown.
    pub response: Option<Span>,
}

/// Where a balancer would send a new flow now, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowExplanation {
    /// Rule that decides.
    pub rule: PlacementRule,
    /// Known hosts of the service, the shortest expected response first and unknown ones last.
    pub candidates: Vec<FlowCandidate>,
}

impl FlowExplanation {
    /// Returns the explanation of a balancer with this summary and these loads. The caller's balancer
    /// is in the failure domain of the caller.
    #[must_use]
    pub fn new(
        now: Time,
        query: &FlowQuery,
        options: LoadControlOptions,
        summary: &BalancerSummary,
        loads: &LoadView,
    ) -> Self {
        let hosts = summary.hosts.iter();
        let hosts = hosts.filter(|host| host.announcement.service == query.service);
        let mut candidates: Vec<FlowCandidate> = hosts
            .map(|host| {
                let announcement = &host.announcement;
                let load = loads.load(now, announcement.agent);
                let is_own_domain = announcement.domain == query.from;
                let round_trip = (!is_own_domain)
                    .then(|| loads.round_trip(&announcement.domain))
                    .flatten();
                let wait = load.and_then(|load| load.wait);
                let response = wait.filter(|_| host.accepts_new).map(|wait| {
                    let work = load.and_then(|load| load.work).unwrap_or(Span::ZERO);
                    Span(wait.0 + work.0 + round_trip.unwrap_or(Span::ZERO).0)
                });
                FlowCandidate {
                    agent: announcement.agent,
                    domain: announcement.domain.clone(),
                    is_usable: host.accepts_new && load.is_none_or(|load| load.wait.is_some()),
                    load,
                    round_trip,
                    response,
                }
            })
            .collect();
        candidates.sort_by_key(|candidate| {
            let is_own_domain = candidate.domain == query.from;
            let response = candidate.response.unwrap_or(Span(u64::MAX));
            (
                !candidate.is_usable,
                response,
                !is_own_domain,
                candidate.agent,
            )
        });
        Self {
            rule: rule_of(query, options, &candidates),
            candidates,
        }
    }
}

/// Returns the rule that chooses among candidates, of which the first is the best one.
fn rule_of(
    query: &FlowQuery,
    options: LoadControlOptions,
    candidates: &[FlowCandidate],
) -> PlacementRule {
    match candidates.first() {
        None => PlacementRule::NoHost,
        Some(best) if !best.is_usable => PlacementRule::NoHost,
        Some(_) if options.placement == PlacementPolicy::Rendezvous => PlacementRule::Rendezvous,
        Some(best) if best.response.is_none() => PlacementRule::LoadsUnknown,
        Some(_) if !options.prefers_own_domain => PlacementRule::ShortestResponse,
        Some(best) if best.domain == query.from => PlacementRule::OwnDomain,
        Some(_) => PlacementRule::OtherDomain,
    }
}

/// What an agent would do with the SYN of a new flow now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Delivers it to the backend server.
    Accept,
    /// Queues it until the host has room.
    Queue,
    /// Relays it to other hosts; the least loaded one that it visits takes the flow.
    Relay,
    /// Answers it with a reset, because no host of the service answers within the timeout of the route.
    Reject,
    /// Drops it.
    Drop,
}

impl AdmissionDecision {
    /// Returns the name of the decision in JSON.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Queue => "queue",
            Self::Relay => "relay",
            Self::Reject => "reject",
            Self::Drop => "drop",
        }
    }
}

/// What an agent would do with a new flow now, and the state that decides.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionExplanation {
    /// The decision.
    pub decision: AdmissionDecision,
    /// Why, as a sentence.
    pub reason: &'static str,
    /// Callers that wait for a response of the backend server.
    pub callers_in_progress: usize,
    /// Callers up to which SYNs are delivered; further ones are queued.
    pub max_callers: usize,
    /// Requests that the host processes at a time, or `None` before its first report.
    pub slots: Option<u32>,
    /// Queued SYNs.
    pub queued_syns: usize,
    /// Active flows.
    pub active_flows: usize,
    /// Maximum number of active flows, or `None` if the catalogue does not name the service.
    pub max_flows: Option<u32>,
    /// New flows a second that the cold host takes, or `None` without a limit.
    pub cold_flows_per_s: Option<f64>,
    /// Share of its new flows that the host gets, below 1 while it fails requests.
    pub admitted_share: f64,
    /// Other hosts of the service that take new flows.
    pub other_hosts: usize,
}
