//! Choice of a host for a new flow by its expected time to the first response.

use {
    super::{LoadView, leaving_share::LeavingShares},
    cardamomloom_core::{DomainName, ServiceName, Span, Time, hash::splitmix64},
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Round trip to another failure domain while none has been measured.
const DEFAULT_ROUND_TRIP_MS: f64 = 5.0;

/// Work time of a host while none is known.
const DEFAULT_WORK_MS: f64 = 30.0;

/// Round trips until the first response: the handshake and the request.
const ROUND_TRIPS: f64 = 2.0;

/// Longest round trip that counts as distance. A longer one is a delay of control messages.
const MAX_ROUND_TRIP_MS: f64 = 100.0;

/// Age up to which a wait counts in full; one of twice this age counts half. All balancers see the same
/// waits, and with older ones they would fill a host before they learn that it is full.
const FULL_WEIGHT_AGE_MS: f64 = 250.0;

/// Time over which the rate of the flows that this balancer places on a host is averaged.
const RATE_WINDOW_MS: f64 = 2_000.0;

/// Share of the flows that are placed in the own domain without regard to work times. A host that was
/// slow gets no other flow while the rest have a slot free; by these its agent notices that the host
/// has recovered. At a tenth of the hosts they are 0.4 % of all flows, below the 99th percentile.
const TEST_SHARE: f64 = 0.04;

/// A host that may get a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Address of the agent of the host.
    pub agent: Ipv4Addr,
    /// Failure domain of the host.
    pub domain: &'a DomainName,
    /// Rendezvous score of the host for the flow.
    pub score: u64,
}

/// A new flow.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the flow is for.
    pub service: &'a ServiceName,
    /// Hash of the flow.
    pub hash: u64,
    /// Failure domain that the flow stays in while its hosts answer soon enough, or `None` if all
    /// domains are the same to it.
    pub own_domain: Option<&'a DomainName>,
}

/// Reason for the choice of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementReason {
    /// The cheaper of two hosts of the own domain, or of all hosts when no domain is preferred.
    ExpectedWait,
    /// The flow belongs to the share of its service that leaves the domain, and a host elsewhere is
    /// cheaper.
    LeavingShare,
    /// The own domain has no usable host of the service.
    NoOwnHost,
    /// No host of the own domain takes new flows.
    OwnHostsFull,
    /// No load is known.
    UnknownLoad,
    /// The SYN is a copy: another host than for the copy before it.
    Retransmission,
}

impl PlacementReason {
    /// Returns the label of the reason in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::ExpectedWait => "expected_wait",
            Self::LeavingShare => "leaving_share",
            Self::NoOwnHost => "no_own_host",
            Self::OwnHostsFull => "own_hosts_full",
            Self::UnknownLoad => "unknown_load",
            Self::Retransmission => "retransmission",
        }
    }
}

/// Host that was chosen for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Address of the agent of the host.
    pub agent: Ipv4Addr,
    /// Why the host was chosen.
    pub reason: PlacementReason,
}

/// Work that this balancer places on a host, as the wait that it adds in each millisecond.
#[derive(Clone, Copy, Debug)]
struct PlacedRate {
    per_ms: f64,
    updated: Time,
}

impl PlacedRate {
    fn at(self, now: Time) -> f64 {
        self.per_ms * (-millis(now.since(self.updated)) / RATE_WINDOW_MS).exp()
    }
}

/// Cost of a host for the flow at hand.
#[derive(Clone, Copy, Debug)]
struct Offer<'a> {
    candidate: Candidate<'a>,
    /// Whether the host takes new flows, as far as is known.
    takes_flows: bool,
    is_known: bool,
    /// Expected time until the first response.
    cost_ms: f64,
    /// Part of the cost that is the wait for a slot.
    wait_ms: f64,
    /// Part of the cost that is the work on the request.
    work_ms: f64,
    age_ms: f64,
}

/// Chooses hosts for new flows. The state is one entry for each service that is in use and one for each
/// host that has recently been given a flow.
#[derive(Debug, Default)]
pub struct Placer {
    shares: LeavingShares,
    placed_rates: BTreeMap<Ipv4Addr, PlacedRate>,
}

impl Placer {
    /// Chooses a host for a new flow, or returns `None` without candidates. The choice is recorded in
    /// `view`.
    pub fn choose(
        &mut self,
        now: Time,
        view: &mut LoadView,
        flow: &PlacementRequest,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let offers = self.offers(now, view, flow, candidates);
        let is_own = |offer: &Offer| {
            flow.own_domain
                .is_none_or(|own| own == offer.candidate.domain)
        };
        let here = Pair::best_of(offers.iter().copied().filter(is_own));
        let there = Pair::best_of(offers.iter().copied().filter(|offer| !is_own(offer)));
        let (pair, reason) = match (here, there) {
            (None, None) => return None,
            (None, Some(there)) => {
                self.shares.leave_entirely(now, flow.service);
                (there, PlacementReason::NoOwnHost)
            }
            (Some(here), Some(there)) if !here.takes_flows() && there.takes_flows() => {
                self.shares.leave_entirely(now, flow.service);
                (there, PlacementReason::OwnHostsFull)
            }
            (Some(here), there) if offers.iter().all(|offer| !offer.is_known) => {
                // Flows that had to leave come back step by step while no load is known.
                let share = self.shares.return_step(now, flow.service);
                let leaves = unit_interval(splitmix64(flow.hash)) < share;
                let pair = there.filter(|_| leaves).unwrap_or(here);
                (pair.preferred_only(), PlacementReason::UnknownLoad)
            }
            (Some(here), Some(there)) if there.takes_flows() => {
                self.compare(now, flow, here, there)
            }
            (Some(here), _) => (here, PlacementReason::ExpectedWait),
        };
        let agent = pair.cheaper(flow.hash);
        self.record(now, view, agent);
        Some(Choice { agent, reason })
    }

    /// Returns the share of the new flows of each service that leaves the own domain.
    pub fn leaving_shares(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.shares.iter()
    }

    /// Chooses between the own domain and the others.
    fn compare<'a>(
        &mut self,
        now: Time,
        flow: &PlacementRequest,
        here: Pair<'a>,
        there: Pair<'a>,
    ) -> (Pair<'a>, PlacementReason) {
        let (here_ms, there_ms) = (here.cost_ms(), there.cost_ms());
        let age_ms = here.age_ms().max(there.age_ms());
        let share = self
            .shares
            .observe(now, flow.service, here_ms, there_ms, age_ms);
        let leaves = unit_interval(splitmix64(flow.hash)) < share && there_ms < here_ms;
        if leaves && !is_test(flow.hash) {
            (there, PlacementReason::LeavingShare)
        } else {
            (here, PlacementReason::ExpectedWait)
        }
    }

    /// Returns the costs of all candidates. A host whose load is unknown gets the mean cost of the
    /// others.
    fn offers<'a>(
        &self,
        now: Time,
        view: &LoadView,
        flow: &PlacementRequest,
        candidates: &[Candidate<'a>],
    ) -> Vec<Offer<'a>> {
        let longest_ms = candidates
            .iter()
            .filter_map(|candidate| view.round_trip(candidate.domain))
            .map(millis)
            .reduce(f64::max)
            .unwrap_or(DEFAULT_ROUND_TRIP_MS);
        let mut offers: Vec<Offer> = candidates
            .iter()
            .map(|candidate| {
                let is_own = flow.own_domain == Some(candidate.domain);
                let unknown_ms = if is_own { 0.0 } else { longest_ms };
                let round_trip_ms = view.round_trip(candidate.domain).map_or(unknown_ms, millis);
                self.offer(now, view, *candidate, round_trip_ms)
            })
            .collect();
        let known = offers.iter().filter(|offer| offer.is_known);
        let costs: Vec<f64> = known
            .filter(|offer| offer.takes_flows)
            .map(|offer| offer.cost_ms)
            .collect();
        let mean_ms = costs.iter().sum::<f64>() / costs.len().max(1) as f64;
        for offer in offers.iter_mut().filter(|offer| !offer.is_known) {
            offer.cost_ms = mean_ms;
            offer.work_ms = mean_ms.min(DEFAULT_WORK_MS);
        }
        offers
    }

    fn offer<'a>(
        &self,
        now: Time,
        view: &LoadView,
        candidate: Candidate<'a>,
        round_trip_ms: f64,
    ) -> Offer<'a> {
        let Some(load) = view.load(now, candidate.agent) else {
            return Offer {
                candidate,
                takes_flows: true,
                is_known: false,
                cost_ms: 0.0,
                wait_ms: 0.0,
                work_ms: 0.0,
                age_ms: FULL_WEIGHT_AGE_MS,
            };
        };
        let age_ms = millis(load.age);
        // The host has also worked since its load was told. What it has finished is on average as much
        // as has been placed; without this term, the hosts that told their load last would get all
        // flows.
        let rate = self.placed_rates.get(&candidate.agent);
        let finished_ms = age_ms * rate.map_or(0.0, |rate| rate.at(now));
        let wait_ms = load
            .wait
            .map_or(0.0, |wait| (millis(wait) - finished_ms).max(0.0));
        let work_ms = load.work.map_or(DEFAULT_WORK_MS, millis);
        Offer {
            candidate,
            takes_flows: load.wait.is_some(),
            is_known: true,
            cost_ms: wait_ms + work_ms + ROUND_TRIPS * round_trip_ms.min(MAX_ROUND_TRIP_MS),
            wait_ms,
            work_ms,
            // A delay of control messages makes the round trip long and the load older.
            age_ms: age_ms + round_trip_ms,
        }
    }

    /// Records that a flow was placed on a host.
    fn record(&mut self, now: Time, view: &mut LoadView, agent: Ipv4Addr) {
        let wait_ms = |view: &LoadView| view.load(now, agent)?.wait.map(millis);
        let before_ms = wait_ms(view);
        view.on_placed(agent);
        let added_ms = wait_ms(view).zip(before_ms).map_or(0.0, |(a, b)| a - b);
        let rate = self.placed_rates.entry(agent).or_insert(PlacedRate {
            per_ms: 0.0,
            updated: now,
        });
        *rate = PlacedRate {
            per_ms: rate.at(now) + added_ms / RATE_WINDOW_MS,
            updated: now,
        };
    }

    /// Removes the state of a host that is gone.
    pub fn forget(&mut self, agent: Ipv4Addr) {
        self.placed_rates.remove(&agent);
    }
}

/// The two candidates with the highest scores among those that take new flows; two of those that do
/// not if there are no others.
#[derive(Clone, Copy, Debug)]
struct Pair<'a> {
    first: Offer<'a>,
    second: Option<Offer<'a>>,
}

impl<'a> Pair<'a> {
    fn best_of(offers: impl Iterator<Item = Offer<'a>>) -> Option<Self> {
        let key = |offer: &Offer| (offer.takes_flows, offer.candidate.score);
        let mut pair: Option<Self> = None;
        for offer in offers {
            pair = Some(match pair {
                None => Self {
                    first: offer,
                    second: None,
                },
                Some(Self { first, .. }) if key(&offer) > key(&first) => Self {
                    first: offer,
                    second: Some(first),
                },
                Some(Self { first, second }) => {
                    let is_second = second.is_none_or(|second| key(&offer) > key(&second));
                    let second = if is_second { Some(offer) } else { second };
                    Self { first, second }
                }
            });
        }
        // A host that takes no flows is no alternative to one that does.
        pair.map(|pair| Self {
            second: pair
                .second
                .filter(|second| second.takes_flows || !pair.first.takes_flows),
            ..pair
        })
    }

    const fn takes_flows(&self) -> bool {
        self.first.takes_flows
    }

    const fn preferred_only(self) -> Self {
        Self {
            second: None,
            ..self
        }
    }

    fn cost_ms(&self) -> f64 {
        let first_ms = self.first.cost_ms;
        self.second
            .map_or(first_ms, |second| first_ms.min(second.cost_ms))
    }

    fn age_ms(&self) -> f64 {
        let first_ms = self.first.age_ms;
        self.second
            .map_or(first_ms, |second| first_ms.max(second.age_ms))
    }

    /// Returns the agent of the cheaper host. Each cost is perturbed by up to half of the age of the
    /// loads, because the waits have changed by about as much since; without that, the host that was
    /// idle when it told its load would get twice its share of flows until the next heartbeat, from all
    /// balancers.
    fn cheaper(&self, flow_hash: u64) -> Ipv4Addr {
        let is_test = is_test(flow_hash);
        let age_ms = self.age_ms();
        let wait_weight = (FULL_WEIGHT_AGE_MS / age_ms.max(1.0)).min(1.0);
        let perturbed_ms = |offer: &Offer| {
            let agent = u64::from(u32::from(offer.candidate.agent));
            let random = unit_interval(splitmix64(splitmix64(flow_hash ^ agent)));
            let uncounted_ms = if is_test { offer.work_ms } else { 0.0 };
            offer.cost_ms - uncounted_ms - offer.wait_ms * (1.0 - wait_weight)
                + (random - 0.5) * age_ms * wait_weight
        };
        let (first, second) = (&self.first, self.second.as_ref());
        second
            .filter(|second| perturbed_ms(second) < perturbed_ms(first))
            .unwrap_or(first)
            .candidate
            .agent
    }
}

/// Returns whether a flow is one of [`TEST_SHARE`].
fn is_test(flow_hash: u64) -> bool {
    unit_interval(splitmix64(!flow_hash)) < TEST_SHARE
}

/// Maps a hash to the interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

fn millis(span: Span) -> f64 {
    span.0 as f64 / 1_000.0
}
