//! Admitted requests that wait for a dispatch, in order of priority.

use super::priority::LOW_PRIORITY_BELOW;
use super::request::Request;
use crate::units::{RequestId, Time};

/// Above every value of a first attempt: a retry is never skipped because a first attempt found no capacity.
const RETRY_VALUE: f64 = f64::MAX;

/// A request in the order of dispatch.
pub(super) struct Queued {
    pub request: RequestId,
    priority: f64,
    arrived_at: Time,
    /// Compared with the value up to which the queue is blocked.
    value: f64,
}

/// Requests that wait, and what is known of the capacity for them.
#[derive(Default)]
pub(super) struct RequestQueue {
    waiting: Vec<RequestId>,
    /// First attempts of less value found no capacity since the last event that could free some. Trying each
    /// again would cost much processor time in a long queue.
    blocked_below: f64,
}

impl RequestQueue {
    pub fn contains(&self, request: RequestId) -> bool {
        self.waiting.contains(&request)
    }

    pub fn push(&mut self, request: RequestId) {
        self.waiting.push(request);
    }

    /// Adds a request that may be waiting already.
    pub fn push_once(&mut self, request: RequestId) {
        if !self.contains(request) {
            self.push(request);
        }
    }

    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// There may be capacity again.
    pub fn unblock(&mut self) {
        self.blocked_below = 0.0;
    }

    /// Nothing waits, or nothing can be dispatched, retries included, before the next event that frees
    /// capacity.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() || self.blocked_below == f64::MAX
    }

    /// A first attempt of that priority found no capacity.
    pub fn block(&mut self, is_low_priority: bool) {
        let below = if is_low_priority { LOW_PRIORITY_BELOW } else { f64::MAX };
        self.blocked_below = self.blocked_below.max(below);
    }

    /// Whether a request is known to find no capacity.
    pub fn is_blocked(&self, queued: &Queued) -> bool {
        queued.value < self.blocked_below
    }

    /// Takes out all requests that wait, some of which may have been closed.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }
}

impl Queued {
    pub fn new(id: RequestId, request: &Request, class_priorities: &[f64]) -> Queued {
        let value = if request.is_unsent() { request.relative_value } else { RETRY_VALUE };
        let priority = class_priorities[request.class.0] * request.relative_value;
        Queued { request: id, priority, arrived_at: request.arrived_at, value }
    }

    /// Highest priority first, inside it the newest first: an old one is more likely late whatever is done.
    pub fn dispatch_order(&self, other: &Queued) -> std::cmp::Ordering {
        let by_priority = other.priority.total_cmp(&self.priority);
        by_priority.then(other.arrived_at.cmp(&self.arrived_at)).then(self.request.cmp(&other.request))
    }
}
