//! The queue of admitted requests that wait for dispatch: highest priority first. Within one priority the
//! newest is first, as the oldest is the most likely to miss its deadline anyway.

use super::priority::is_low_priority;
use super::request::Request;
use crate::units::{RequestId, Time};

/// A queued request with the keys of the dispatch order.
pub(super) struct QueuedRequest {
    pub request: RequestId,
    priority: f64,
    arrived_at: Time,
    is_retry: bool,
    is_low_priority: bool,
}

/// Which queued requests are skipped until the next event that may free capacity, because a first attempt
/// found none. This saves CPU time when the queue is long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Blocked {
    #[default]
    Nothing,
    /// First attempts of low priority; retries are still dispatched.
    LowPriority,
    /// The remaining first attempts of the current pass over the queue, and all later passes, retries
    /// included.
    Everything,
}

/// Queued requests, and which of them are known to find no capacity.
#[derive(Default)]
pub(super) struct RequestQueue {
    waiting: Vec<RequestId>,
    blocked: Blocked,
}

impl RequestQueue {
    pub fn contains(&self, request: RequestId) -> bool {
        self.waiting.contains(&request)
    }

    pub fn push(&mut self, request: RequestId) {
        self.waiting.push(request);
    }

    pub fn push_if_absent(&mut self, request: RequestId) {
        if !self.contains(request) {
            self.push(request);
        }
    }

    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Makes every queued request dispatchable again, as capacity may have become free.
    pub fn unblock(&mut self) {
        self.blocked = Blocked::Nothing;
    }

    /// Whether no request, retries included, can be dispatched before the next event that may free capacity.
    pub fn has_nothing_to_dispatch(&self) -> bool {
        self.waiting.is_empty() || self.blocked == Blocked::Everything
    }

    /// Records that a first attempt of that priority found no capacity.
    pub fn block(&mut self, is_low_priority: bool) {
        let blocked = if is_low_priority { Blocked::LowPriority } else { Blocked::Everything };
        self.blocked = self.blocked.max(blocked);
    }

    /// Whether a request is skipped in the current pass over the queue.
    pub fn is_blocked(&self, queued: &QueuedRequest) -> bool {
        match self.blocked {
            Blocked::Nothing => false,
            Blocked::LowPriority => !queued.is_retry && queued.is_low_priority,
            Blocked::Everything => !queued.is_retry,
        }
    }

    /// Removes and returns all queued requests.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }
}

impl QueuedRequest {
    pub fn new(id: RequestId, request: &Request, class_priorities: &[f64]) -> QueuedRequest {
        QueuedRequest {
            request: id,
            priority: class_priorities[request.class.0] * request.relative_value,
            arrived_at: request.arrived_at,
            is_retry: !request.is_unsent(),
            is_low_priority: is_low_priority(request.relative_value),
        }
    }

    /// Orders requests for dispatch: by descending priority, then newest first.
    pub fn dispatch_order(&self, other: &QueuedRequest) -> std::cmp::Ordering {
        let by_priority = other.priority.total_cmp(&self.priority);
        by_priority.then(other.arrived_at.cmp(&self.arrived_at)).then(self.request.cmp(&other.request))
    }
}
