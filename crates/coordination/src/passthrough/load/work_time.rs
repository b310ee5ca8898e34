//! Estimate of the time that a host works on a request, from the requests and responses that its
//! agent relays.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::FlowId,
    std::collections::{HashMap, VecDeque},
};

/// Work time that is assumed before the first response.
const DEFAULT_WORK_TIME: Span = Span::from_millis(30);

/// Weight of the latest response in the mean.
const LATEST_WEIGHT: f64 = 0.05;

/// Work time of one host. The host processes requests in the order of their arrival, as many at the
/// same time as it has slots; from that follows when the work on each of them began.
#[derive(Debug)]
pub struct WorkTimeEstimator {
    slots: usize,
    /// Start of the work on each request that is in a slot.
    running: HashMap<FlowId, Time>,
    /// Requests that wait for a slot, in the order of their arrival.
    queued: VecDeque<FlowId>,
    mean_work_us: Option<f64>,
}

impl WorkTimeEstimator {
    /// Creates an estimator without responses for a host with `slots` slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: HashMap::new(),
            queued: VecDeque::new(),
            mean_work_us: None,
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

    /// Records that the request of a flow was delivered to the backend server.
    pub fn on_request(&mut self, now: Time, flow: FlowId) {
        if self.running.len() < self.slots {
            self.running.insert(flow, now);
        } else if !self.running.contains_key(&flow) && !self.queued.contains(&flow) {
            self.queued.push_back(flow);
        }
    }

    /// Records the first data of the response to the request of a flow.
    pub fn on_response(&mut self, now: Time, flow: &FlowId) {
        if let Some(began) = self.running.get(flow) {
            let work_us = now.since(*began).0 as f64;
            let mean = self.mean_work_us.unwrap_or(work_us);
            self.mean_work_us = Some(mean + LATEST_WEIGHT * (work_us - mean));
        }
        self.remove(now, flow);
    }

    /// Removes the request of a flow that has ended without a response.
    pub fn remove(&mut self, now: Time, flow: &FlowId) {
        if self.running.remove(flow).is_none() {
            self.queued.retain(|queued| queued != flow);
        } else if let Some(next) = self.queued.pop_front() {
            self.running.insert(next, now);
        }
    }

    /// Returns the mean work time, or `None` before the first response.
    #[must_use]
    pub fn mean_work_time(&self) -> Option<Span> {
        // A mean of spans is positive and far below 2^52 microseconds.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.mean_work_us.map(|mean_us| Span(mean_us as u64))
    }

    /// Returns the mean work time, or a usual one before the first response.
    #[must_use]
    pub fn work_time(&self) -> Span {
        self.mean_work_time().unwrap_or(DEFAULT_WORK_TIME)
    }

    /// Returns the expected time that a request waits for a slot when `callers_ahead` callers, whose
    /// requests may not have arrived yet, are served before it.
    #[must_use]
    pub fn expected_wait(&self, callers_ahead: usize) -> Span {
        let excess = (callers_ahead + 1).saturating_sub(self.slots) as u64;
        Span(self.work_time().0 * excess / self.slots.max(1) as u64)
    }
}
