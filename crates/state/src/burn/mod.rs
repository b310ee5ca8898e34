//! Good and bad connections per service over several windows, and the error budget they burn.

use {
    cardamomloom_core::{PartsPerMillion, ServiceId, Time},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Windows of the report in seconds: 5 minutes, 1 hour, 6 hours and 3 days.
pub const WINDOWS_S: [u64; 4] = [300, 3_600, 21_600, 259_200];

/// Buckets of 10 s serve the windows up to one hour.
const FINE: Resolution = Resolution {
    bucket_s: 10,
    buckets: 360,
};

/// Buckets of 5 minutes serve the longer windows.
const COARSE: Resolution = Resolution {
    bucket_s: 300,
    buckets: 864,
};

/// Length of one point of the history in seconds.
pub const HISTORY_STEP_S: u64 = 3_600;

const MICROS_PER_S: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct Resolution {
    bucket_s: u64,
    buckets: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    good: u64,
    bad: u64,
}

/// Connections of one service; memory is bounded by 1,224 buckets of 24 bytes, and quiet times
/// take none.
#[derive(Clone, Debug, Default)]
pub struct BurnLog {
    fine: VecDeque<Bucket>,
    coarse: VecDeque<Bucket>,
}

/// Connections within a window that ends now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSum {
    /// Length of the window.
    pub window_s: u64,
    /// Connections that succeeded.
    pub good: u64,
    /// Connections that failed.
    pub bad: u64,
}

/// What one process counted for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSamples {
    /// The service.
    pub service: ServiceId,
    /// One sum for each of [`WINDOWS_S`].
    pub windows: Vec<WindowSum>,
    /// Sums per [`HISTORY_STEP_S`], the newest first.
    pub history: Vec<WindowSum>,
}

/// What one process counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessSamples {
    /// Age of the process; it has no samples from before.
    pub uptime_s: u64,
    /// Services with at least one connection.
    pub services: Vec<ServiceSamples>,
}

impl BurnLog {
    /// Adds connections that ended well or badly since the last call.
    pub fn record(&mut self, now: Time, good: u64, bad: u64) {
        if good == 0 && bad == 0 {
            return;
        }
        add(&mut self.fine, FINE, now, good, bad);
        add(&mut self.coarse, COARSE, now, good, bad);
    }

    /// Returns the sums over each window and the history.
    #[must_use]
    pub fn samples(&self, now: Time, service: ServiceId) -> ServiceSamples {
        let windows = WINDOWS_S.map(|window_s| {
            let (ring, resolution) = if window_s <= FINE.bucket_s * FINE.buckets {
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
        .is_some_and(|bucket| bucket.index + resolution.buckets <= index)
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

/// Sums the buckets whose age lies within `skip_s..skip_s + window_s`.
fn sum(
    ring: &VecDeque<Bucket>,
    resolution: Resolution,
    now: Time,
    skip_s: u64,
    window_s: u64,
) -> WindowSum {
    let newest = index_of(resolution, now);
    let ages = skip_s / resolution.bucket_s..(skip_s + window_s) / resolution.bucket_s;
    let mut total = WindowSum {
        window_s,
        ..WindowSum::default()
    };
    for bucket in ring {
        if ages.contains(&newest.saturating_sub(bucket.index)) {
            total.good += bucket.good;
            total.bad += bucket.bad;
        }
    }
    total
}

/// Adds the samples of a process to those of others.
pub fn merge(total: &mut Vec<ServiceSamples>, samples: &[ServiceSamples]) {
    for other in samples {
        let Some(own) = total.iter_mut().find(|own| own.service == other.service) else {
            total.push(other.clone());
            continue;
        };
        for (own, other) in [
            (&mut own.windows, &other.windows),
            (&mut own.history, &other.history),
        ] {
            for (own, other) in own.iter_mut().zip(other) {
                own.good = own.good.saturating_add(other.good);
                own.bad = own.bad.saturating_add(other.bad);
            }
        }
    }
}

/// Returns how many times faster than allowed the error budget is used: 1 uses exactly the budget.
/// `None` without connections, or with failures and an objective that allows none.
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

/// How urgent the burn of a service is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Within the budget.
    None,
    /// More than the budget over 3 days, or 6 times the budget over 6 hours.
    Ticket,
    /// More than 14.4 times the budget over 5 minutes and over 1 hour: 2 % of a month's budget in
    /// one hour.
    Page,
}

/// Judges the burn rates of the four windows; a failure against an objective that allows none is
/// urgent in any window.
#[must_use]
pub fn urgency(windows: &[WindowSum], objective: PartsPerMillion) -> Urgency {
    let over = |index: usize, limit: f64| {
        windows.get(index).is_some_and(|sum| {
            burn_rate(sum, objective).map_or(sum.bad > 0, |burn_rate| burn_rate > limit)
        })
    };
    if over(0, 14.4) && over(1, 14.4) {
        Urgency::Page
    } else if over(2, 6.0) || over(3, 1.0) {
        Urgency::Ticket
    } else {
        Urgency::None
    }
}
