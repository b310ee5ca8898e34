//! Share of the new flows of each service that leaves the failure domain of the balancer.
//!
//! Loads are told every 250 ms, and all balancers of a domain see the same ones. A decision by the
//! latest costs alone would move all flows at once, and back with the next heartbeats. The share is
//! therefore a state that changes by a bounded step in each interval: by the change of the cost
//! difference, which shows how much of the demand does not fit, and by a part of the difference.

use {
    cardamomloom_core::{ServiceName, Span, Time},
    log::info,
    std::collections::BTreeMap,
};

/// Difference of the costs from which on flows leave. Below it, a flow gains less than the loads vary.
const MARGIN_MS: f64 = 10.0;

/// Least interval of the steps; loads are told as often.
const MIN_INTERVAL_MS: f64 = 250.0;

/// Part of the excess demand of an interval that is moved in the next one. With half of it, the share
/// oscillates when the demand is twice the capacity and loads are as old as an interval.
const GAIN: f64 = 0.25;

/// Number of intervals over which a remaining difference is worked off.
const INTERVALS_TO_EQUALIZE: f64 = 3.0;

/// Largest step in an interval.
const MAX_STEP: f64 = 0.2;

/// Part of the share that returns in each interval while the own domain is as cheap as the others or
/// cheaper; proportionally less while it is more expensive by a part of the margin.
const RETURNING_PART: f64 = 0.25;

/// Share below which no flow leaves.
const MIN_SHARE: f64 = 0.005;

/// Time without new flows after which the state of a service is forgotten.
const RETENTION: Span = Span::from_secs(60);

/// Least time between two log lines on one service.
const LOG_INTERVAL: Span = Span::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct LeavingShare {
    share: f64,
    /// Start of the present interval.
    since: Time,
    sums: Sums,
    /// Difference of the costs beyond the margin in the last interval.
    excess_ms: f64,
    is_leaving: bool,
    logged_at: Option<Time>,
}

/// Sums over the new flows of an interval.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    flows: u32,
    here_ms: f64,
    there_ms: f64,
    age_ms: f64,
}

impl LeavingShare {
    const fn new(now: Time) -> Self {
        Self {
            share: 0.0,
            since: now,
            sums: Sums {
                flows: 0,
                here_ms: 0.0,
                there_ms: 0.0,
                age_ms: 0.0,
            },
            excess_ms: -MARGIN_MS,
            is_leaving: false,
            logged_at: None,
        }
    }

    /// Ends the interval if it is over.
    fn step(&mut self, now: Time, service: &ServiceName) {
        let flows = f64::from(self.sums.flows);
        let age_ms = self.sums.age_ms / flows;
        let interval_ms = age_ms.max(MIN_INTERVAL_MS);
        let elapsed_ms = now.since(self.since).0 as f64 / 1_000.0;
        if elapsed_ms < interval_ms {
            return;
        }
        let (here_ms, there_ms) = (self.sums.here_ms / flows, self.sums.there_ms / flows);
        // A difference that is far below the margin says no more than one a little below.
        let excess_ms = (here_ms - there_ms - MARGIN_MS).max(-MARGIN_MS);
        let change_ms = excess_ms - self.excess_ms;
        let step = GAIN * (change_ms + excess_ms / INTERVALS_TO_EQUALIZE) / interval_ms;
        let mut share = self.share + step.clamp(-MAX_STEP, MAX_STEP);
        if excess_ms < 0.0 {
            // The share falls also when hardly any flow arrives to count the intervals.
            let intervals = (elapsed_ms / interval_ms).min(100.0);
            let part = RETURNING_PART * -excess_ms / MARGIN_MS;
            share = share.min(self.share * (1.0 - part).powf(intervals));
        }
        self.share = if share < MIN_SHARE {
            0.0
        } else {
            share.min(1.0)
        };
        self.excess_ms = excess_ms;
        self.since = now;
        self.sums = Sums::default();
        self.log_change(now, service, here_ms, there_ms, age_ms);
    }

    fn log_change(
        &mut self,
        now: Time,
        service: &ServiceName,
        here_ms: f64,
        there_ms: f64,
        age_ms: f64,
    ) {
        let is_leaving = self.share > 0.0;
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL);
        if is_leaving == self.is_leaving || !is_due {
            return;
        }
        self.is_leaving = is_leaving;
        self.logged_at = Some(now);
        info!(
            event = "leaving_share", service:%, is_leaving, share = self.share,
            own_cost_ms = here_ms, other_cost_ms = there_ms, load_age_ms = age_ms;
            "new flows of a service start or stop to leave the failure domain"
        );
    }
}

/// Shares of all services.
#[derive(Debug, Default)]
pub(super) struct LeavingShares {
    shares: BTreeMap<ServiceName, LeavingShare>,
}

impl LeavingShares {
    /// Records the costs of a new flow in the own domain and in the others, with the age of the loads
    /// behind them. Returns the share of the flows that leaves.
    pub fn observe(
        &mut self,
        now: Time,
        service: &ServiceName,
        here_ms: f64,
        there_ms: f64,
        age_ms: f64,
    ) -> f64 {
        let state = self.state(now, service);
        state.sums.flows += 1;
        state.sums.here_ms += here_ms;
        state.sums.there_ms += there_ms;
        state.sums.age_ms += age_ms;
        state.step(now, service);
        state.share
    }

    /// Records that a new flow arrived while no load is known. Returns the share of the flows that
    /// still leaves.
    pub fn return_step(&mut self, now: Time, service: &ServiceName) -> f64 {
        if self
            .shares
            .get(service)
            .is_none_or(|state| state.share <= 0.0)
        {
            return 0.0;
        }
        self.observe(now, service, 0.0, MARGIN_MS, 0.0)
    }

    /// Records that no host of the own domain takes new flows. When the hosts return, the flows come
    /// back step by step, so that cold hosts are not overrun.
    pub fn leave_entirely(&mut self, now: Time, service: &ServiceName) {
        let state = self.state(now, service);
        state.share = 1.0;
        state.since = now;
        state.sums = Sums::default();
        state.excess_ms = -MARGIN_MS;
    }

    /// Returns the share of each service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.shares
            .iter()
            .map(|(service, state)| (service, state.share))
    }

    fn state(&mut self, now: Time, service: &ServiceName) -> &mut LeavingShare {
        if !self.shares.contains_key(service) {
            self.shares
                .retain(|_, state| now.since(state.since) <= RETENTION);
        }
        self.shares
            .entry(service.clone())
            .or_insert_with(|| LeavingShare::new(now))
    }
}
