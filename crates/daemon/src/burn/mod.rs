//! Samples of the connection totals of the packet loop, for the service-level burn that `/burn`
//! reports.

use {
    cardamomloom_core::{ServiceId, Span, Time},
    cardamomloom_state::burn::{BurnLog, ProcessSamples},
    cardamomloom_transport::clock::MonotonicClock,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
    },
};

/// Interval between two samples: half the width of the finest bucket of a [`BurnLog`].
pub const SAMPLE_INTERVAL: Span = Span::from_secs(5);

/// Good and bad connections of a service since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionTotals {
    /// Connections that succeeded.
    pub good: u64,
    /// Connections that failed.
    pub bad: u64,
}

/// Function that returns the totals of each service. The packet loop never waits for it.
pub type TotalsSource = Box<dyn Fn() -> Vec<(ServiceId, ConnectionTotals)> + Send + Sync>;

/// Totals of the single service of an agent, written by its packet loop without a lock.
#[derive(Debug, Default)]
pub struct AgentTotals {
    service: AtomicU32,
    good: AtomicU64,
    bad: AtomicU64,
}

impl AgentTotals {
    /// Sets the service. Id 0 means that no service is known.
    pub fn set_service(&self, service: ServiceId) {
        self.service.store(service.0, Ordering::Relaxed);
    }

    /// Sets the totals since the start of the process.
    pub fn set(&self, totals: ConnectionTotals) {
        self.good.store(totals.good, Ordering::Relaxed);
        self.bad.store(totals.bad, Ordering::Relaxed);
    }

    /// Returns a source that reads these totals.
    #[must_use]
    pub fn source(self: Arc<Self>) -> TotalsSource {
        Box::new(move || {
            let totals = ConnectionTotals {
                good: self.good.load(Ordering::Relaxed),
                bad: self.bad.load(Ordering::Relaxed),
            };
            match self.service.load(Ordering::Relaxed) {
                0 => Vec::new(),
                service => vec![(ServiceId(service), totals)],
            }
        })
    }
}

/// Records samples of the connection totals of this process in memory.
pub struct BurnRecorder {
    clock: MonotonicClock,
    source: OnceLock<TotalsSource>,
    /// Totals at the last sample, and the recorded increases, by service.
    logs: Mutex<BTreeMap<ServiceId, (ConnectionTotals, BurnLog)>>,
}

impl BurnRecorder {
    /// Creates a recorder without a source, which records nothing.
    #[must_use]
    pub const fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            source: OnceLock::new(),
            logs: Mutex::new(BTreeMap::new()),
        }
    }

    /// Sets the source of the totals. Calls after the first have no effect.
    pub fn set_source(&self, source: TotalsSource) {
        // A process has one role, so the source is set once.
        let _ = self.source.set(source);
    }

    /// Records the increase of the totals since the last sample.
    pub fn sample(&self) {
        drop(self.sample_at(self.clock.now()));
    }

    fn sample_at(
        &self,
        now: Time,
    ) -> MutexGuard<'_, BTreeMap<ServiceId, (ConnectionTotals, BurnLog)>> {
        let mut logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        let totals = self.source.get().map(|source| source()).unwrap_or_default();
        for (service, totals) in totals {
            let (last, log) = logs.entry(service).or_default();
            let good = totals.good.saturating_sub(last.good);
            let bad = totals.bad.saturating_sub(last.bad);
            log.record(now, good, bad);
            *last = totals;
        }
        logs
    }

    /// Records a sample and returns all samples of this process.
    #[must_use]
    pub fn report(&self) -> ProcessSamples {
        let now = self.clock.now();
        let logs = self.sample_at(now);
        ProcessSamples {
            uptime_s: now.since(Time::ZERO).as_millis() / 1_000,
            services: logs
                .iter()
                .map(|(service, (_, log))| log.samples(now, *service))
                .collect(),
        }
    }
}
