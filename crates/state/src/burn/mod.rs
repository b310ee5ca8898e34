//! Service-level burn: good and bad connections per service over several windows, and the rate at
//! which they use up the error budget.

use {
    cardamomloom_core::{PartsPerMillion, ServiceId, Time},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Lengths of the reported windows in seconds: 5 minutes, 1 hour, 6 hours and 3 days.
pub const WINDOWS_S: [u64; 4] = [300, 3_600, 21_600, 259_200];

/// Resolution for windows of up to 1 hour.
const FINE: Resolution = Resolution {
    bucket_s: 10,
    max_buckets: 360,
};

/// Resolution for longer windows.
const COARSE: Resolution = Resolution {
    bucket_s: 300,
    max_buckets: 864,
};

/// Length in seconds of the interval that one point of the history covers.
pub const HISTORY_STEP_S: u64 = 3_600;

const MICROS_PER_S: u64 = 1_000_000;

/// Length of a bucket and maximum number of buckets that are kept.
#[derive(Clone, Copy, Debug)]
struct Resolution {
    bucket_s: u64,
    max_buckets: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Time divided by the length of a bucket.
    index: u64,
    good: u64,
    bad: u64,
}

/// Counts of good and bad connections of one service. Memory is limited to 1,224 buckets of 24
/// bytes; times without connections take none.
#[derive(Clone, Debug, Default)]
pub struct BurnLog {
    fine: VecDeque<Bucket>,
    coarse: VecDeque<Bucket>,
}

/// Number of good and bad connections within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSum {
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Connections that succeeded.
    pub good: u64,
    /// Connections that failed.
    pub bad: u64,
}

/// Connections of one service, counted by one process or summed over several.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSamples {
    /// Service of the connections.
    pub service: ServiceId,
    /// One sum for each of [`WINDOWS_S`].
    pub windows: Vec<WindowSum>,
    /// Sums per interval of [`HISTORY_STEP_S`], newest first.
    pub history: Vec<WindowSum>,
}

/// Connections of all services, counted by one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessSamples {
    /// Time since the start of the process; earlier connections are not counted.
    pub uptime_s: u64,
    /// Services with at least one connection.
    pub services: Vec<ServiceSamples>,
}

impl BurnLog {
    /// Adds the numbers of connections that succeeded and failed since the last call.
    pub fn record(&mut self, now: Time, good: u64, bad: u64) {
        if good == 0 && bad == 0 {
            return;
        }
        add(&mut self.fine, FINE, now, good, bad);
        add(&mut self.coarse, COARSE, now, good, bad);
    }

    /// Returns the sums over each window that ends at `now`, and the history.
    #[must_use]
    pub fn samples(&self, now: Time, service: ServiceId) -> ServiceSamples {
        let windows = WINDOWS_S.map(|window_s| {
            let (ring, resolution) = if window_s <= FINE.bucket_s * FINE.max_buckets {
                (&self.fine, FINE)
            } else {
                (&self.coarse, COARSE)
            };
            sum(ring, resolution, now, 0, window_s)
        });
        let steps = WINDOWS_S[3] / HISTORY_STEP_S;
        let history = (0..steps).map(|step| {
            sum(
                &self.coarse,
                COARSE,
                now,
                step * HISTORY_STEP_S,
                HISTORY_STEP_S,
            )
        });
        ServiceSamples {
            service,
            windows: windows.to_vec(),
            history: history.collect(),
        }
    }
}

const fn index_of(resolution: Resolution, now: Time) -> u64 {
    now.0 / (resolution.bucket_s * MICROS_PER_S)
}

fn add(ring: &mut VecDeque<Bucket>, resolution: Resolution, now: Time, good: u64, bad: u64) {
    let index = index_of(resolution, now);
    while ring
        .front()
        .is_some_and(|bucket| bucket.index + resolution.max_buckets <= index)
    {
        ring.pop_front();
    }
    match ring.back_mut() {
        Some(bucket) if bucket.index == index => {
            bucket.good += good;
            bucket.bad += bad;
        }
        _ => ring.push_back(Bucket { index, good, bad }),
    }
}

/// Sums the buckets of a window of `window_s` seconds that ended `skip_s` seconds before `now`.
fn sum(
    ring: &VecDeque<Bucket>,
    resolution: Resolution,
    now: Time,
    skip_s: u64,
    window_s: u64,
) -> WindowSum {
    let current_index = index_of(resolution, now);
    let bucket_ages = skip_s / resolution.bucket_s..(skip_s + window_s) / resolution.bucket_s;
    let mut total = WindowSum {
        window_s,
        ..WindowSum::default()
    };
    for bucket in ring {
        if bucket_ages.contains(&current_index.saturating_sub(bucket.index)) {
            total.good += bucket.good;
            total.bad += bucket.bad;
        }
    }
    total
}

/// Adds the samples of a process to the sums over several processes.
pub fn merge(total: &mut Vec<ServiceSamples>, samples: &[ServiceSamples]) {
    for added in samples {
        let Some(sums) = total.iter_mut().find(|sums| sums.service == added.service) else {
            total.push(added.clone());
            continue;
        };
        for (sums, added) in [
            (&mut sums.windows, &added.windows),
            (&mut sums.history, &added.history),
        ] {
            for (sum, added) in sums.iter_mut().zip(added) {
                sum.good = sum.good.saturating_add(added.good);
                sum.bad = sum.bad.saturating_add(added.bad);
            }
        }
    }
}

/// Returns the burn rate: the failed share of connections as a multiple of the share that the
/// objective allows. At 1, the error budget is used up exactly.
///
/// Returns `None` if there are no connections, or if some failed and the objective allows no
/// failures.
#[must_use]
pub fn burn_rate(sum: &WindowSum, objective: PartsPerMillion) -> Option<f64> {
    let total = sum.good.saturating_add(sum.bad);
    if total == 0 {
        return None;
    }
    if sum.bad == 0 {
        return Some(0.0);
    }
    let budget_ppm = 1_000_000_u32.saturating_sub(objective.0);
    if budget_ppm == 0 {
        return None;
    }
    let failed_ppm = sum.bad as f64 / total as f64 * 1_000_000.0;
    Some(failed_ppm / f64::from(budget_ppm))
}

/// Urgency of the service-level burn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// No threshold is exceeded.
    None,
    /// A burn rate above 1 over 3 days, or above 6 over 6 hours.
    Ticket,
    /// A burn rate above 14.4 over 5 minutes and over 1 hour, which uses 2 % of a month's budget in
    /// one hour.
    Page,
}

/// Returns the urgency for the sums over [`WINDOWS_S`]. If the objective allows no failures, a
/// single one exceeds the threshold of every window that contains it.
#[must_use]
pub fn urgency(windows: &[WindowSum], objective: PartsPerMillion) -> Urgency {
    let exceeds = |index: usize, limit: f64| {
        windows.get(index).is_some_and(|sum| {
            burn_rate(sum, objective).map_or(sum.bad > 0, |burn_rate| burn_rate > limit)
        })
    };
    if exceeds(0, 14.4) && exceeds(1, 14.4) {
        Urgency::Page
    } else if exceeds(2, 6.0) || exceeds(3, 1.0) {
        Urgency::Ticket
    } else {
        Urgency::None
    }
}
