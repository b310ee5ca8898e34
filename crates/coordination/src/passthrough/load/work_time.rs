//! Estimate of the time that a host works on a request, from the requests and responses that its
//! agent relays.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::FlowId,
    std::collections::{BTreeMap, HashMap},
};

/// Work time that is assumed before the first response.
pub(super) const DEFAULT_WORK_TIME: Span = Span::from_millis(30);

/// Least weight of the latest response in the mean.
const LATEST_WEIGHT: f64 = 0.05;

/// Time after which the mean consists of later responses only. Without requests for so long, the mean
/// is unknown: a host that was slow and got no requests may have recovered.
const MAX_SAMPLE_AGE: Span = Span::from_secs(5);

/// Multiple of the mean from which a request in a slot counts as overdue.
const OVERDUE_FACTOR: f64 = 2.0;

/// Work time of one host. The host processes requests in the order of their arrival, as many at the
/// same time as it has slots; from that follows when the work on each of them began.
///
/// If the host states more or fewer slots than it has, the mean work time of a saturated host is wrong
/// by the same factor as the slots. The expected wait depends on their quotient, which is right.
#[derive(Debug)]
pub struct WorkTimeEstimator {
    slots: usize,
    /// Start of the work on each request that is in a slot.
    running: HashMap<FlowId, Time>,
    /// Requests that wait for a slot, by their position in the order of arrival.
    queued: BTreeMap<u64, FlowId>,
    positions: HashMap<FlowId, u64>,
    next_position: u64,
    mean_work_us: Option<f64>,
    /// Responses in the mean, counted up to the number at which the weight is the least one.
    samples: u32,
    last_sample: Time,
}

impl WorkTimeEstimator {
    /// Creates an estimator without responses for a host with `slots` slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: HashMap::new(),
            queued: BTreeMap::new(),
            positions: HashMap::new(),
            next_position: 0,
            mean_work_us: None,
            samples: 0,
            last_sample: Time::ZERO,
        }
    }

    /// Sets the number of slots.
    pub const fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Discards all requests and the estimate when a new run of the backend server begins.
    pub fn reset(&mut self) {
        *self = Self::new(self.slots);
    }

    /// Records that the request of a flow was delivered to the backend server. Has no effect while an
    /// earlier request of the flow is in progress.
    pub fn on_request(&mut self, now: Time, flow: FlowId) {
        if self.running.contains_key(&flow) || self.positions.contains_key(&flow) {
            return;
        }
        self.positions.insert(flow, self.next_position);
        self.queued.insert(self.next_position, flow);
        self.next_position += 1;
        self.fill_slots(now);
    }

    /// Records the first data of the response to the request of a flow.
    pub fn on_response(&mut self, now: Time, flow: &FlowId) {
        if let Some(began) = self.running.get(flow) {
            let work = now.since(*began);
            self.add_sample(now, work);
        }
        self.remove(now, flow);
    }

    /// Removes the request of a flow that has ended without a response, or that the host has failed:
    /// a failure takes another time than the work on a request.
    pub fn remove(&mut self, now: Time, flow: &FlowId) {
        if let Some(position) = self.positions.remove(flow) {
            self.queued.remove(&position);
        } else if self.running.remove(flow).is_some() {
            self.fill_slots(now);
        }
    }

    /// Removes the requests of the flows for which `is_kept` is false.
    pub fn retain(&mut self, now: Time, is_kept: impl Fn(&FlowId) -> bool) {
        self.running.retain(|flow, _| is_kept(flow));
        self.queued.retain(|_, flow| is_kept(flow));
        self.positions.retain(|flow, _| is_kept(flow));
        self.fill_slots(now);
    }

    /// Returns the number of requests in slots and in the queue.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.running.len() + self.queued.len()
    }

    /// Returns the mean work time, or `None` before the first response.
    #[must_use]
    pub fn mean_work_time(&self) -> Option<Span> {
        self.mean_work_us.map(span_of_us)
    }

    /// Returns the mean work time, or a usual one before the first response.
    #[must_use]
    pub fn work_time(&self) -> Span {
        self.mean_work_time().unwrap_or(DEFAULT_WORK_TIME)
    }

    /// Returns the mean work time with the overdue requests, or `None` if it is unknown. It increases
    /// while a host that stalls sends no responses.
    #[must_use]
    pub fn current_work_time(&self, now: Time) -> Option<Span> {
        let base_us = self.mean_work_us.unwrap_or(DEFAULT_WORK_TIME.0 as f64);
        let overdue_us = self.overdue_us(now, base_us);
        if overdue_us == 0 {
            let is_recent =
                !self.running.is_empty() || now.since(self.last_sample) <= MAX_SAMPLE_AGE;
            return self.mean_work_time().filter(|_| is_recent);
        }
        // The mean that would result if these requests were answered now.
        Some(span_of_us(base_us + LATEST_WEIGHT * overdue_us as f64))
    }

    /// Returns the expected time that a request waits for a slot when `callers_ahead` callers, whose
    /// requests may not have arrived yet, are served before it.
    #[must_use]
    pub fn expected_wait(&self, callers_ahead: usize) -> Span {
        self.wait_at(self.work_time(), callers_ahead)
    }

    /// Returns [`Self::expected_wait`] with the overdue requests.
    #[must_use]
    pub fn current_wait(&self, now: Time, callers_ahead: usize) -> Span {
        let work_time = self.current_work_time(now).unwrap_or(DEFAULT_WORK_TIME);
        self.wait_at(work_time, callers_ahead)
    }

    fn wait_at(&self, work_time: Span, callers_ahead: usize) -> Span {
        let excess = (callers_ahead + 1).saturating_sub(self.slots) as u64;
        Span(work_time.0 * excess / self.slots.max(1) as u64)
    }

    fn add_sample(&mut self, now: Time, work: Span) {
        let age_share = now.since(self.last_sample).0 as f64 / MAX_SAMPLE_AGE.0 as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples))
            .max(LATEST_WEIGHT)
            .max(age_share.min(1.0));
        let work_us = work.0 as f64;
        let mean = self.mean_work_us.unwrap_or(work_us);
        self.mean_work_us = Some(mean + weight * (work_us - mean));
        self.last_sample = now;
    }

    /// Starts queued requests while slots are free.
    fn fill_slots(&mut self, now: Time) {
        while self.running.len() < self.slots.max(1)
            && let Some((_, flow)) = self.queued.pop_first()
        {
            self.positions.remove(&flow);
            self.running.insert(flow, now);
        }
    }

    /// Returns the sum of the times by which the overdue requests in slots exceed the mean.
    fn overdue_us(&self, now: Time, mean_us: f64) -> u64 {
        let mean = span_of_us(mean_us);
        let limit = span_of_us(mean_us * OVERDUE_FACTOR);
        self.running
            .values()
            .map(|began| now.since(*began))
            .filter(|age| *age > limit)
            .map(|age| age.0 - mean.0)
            .sum()
    }
}

/// Converts a mean of spans, which is positive and far below 2^52 microseconds.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
const fn span_of_us(span_us: f64) -> Span {
    Span(span_us as u64)
}
