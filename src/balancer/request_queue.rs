//! Admitted requests that wait for a dispatch: highest priority first, and within one priority the newest
//! first, as the oldest is the most likely to miss its deadline anyway.

use super::priority::is_low_priority;
use super::request::Request;
use crate::units::{RequestId, Time};

/// A request in the order of dispatch.
pub(super) struct Queued {
    pub request: RequestId,
    priority: f64,
    arrived_at: Time,
    is_retry: bool,
    is_low_priority: bool,
}

/// The first attempts that found no capacity since the last event that could free some. Trying each again
/// would cost much processor time in a long queue. Retries are skipped only with everything else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Blocked {
    #[default]
    Nothing,
    LowPriority,
    Everything,
}

/// Requests that wait, and what is known of the capacity for them.
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
        self.blocked = Blocked::Nothing;
    }

    /// Nothing waits, or nothing can be dispatched, retries included, before the next event that frees
    /// capacity.
    pub fn has_nothing_to_dispatch(&self) -> bool {
        self.waiting.is_empty() || self.blocked == Blocked::Everything
    }

    /// A first attempt of that priority found no capacity.
    pub fn block(&mut self, is_low_priority: bool) {
        let blocked = if is_low_priority { Blocked::LowPriority } else { Blocked::Everything };
        self.blocked = self.blocked.max(blocked);
    }

    /// Whether a request is known to find no capacity.
    pub fn is_blocked(&self, queued: &Queued) -> bool {
        match self.blocked {
            Blocked::Nothing => false,
            Blocked::LowPriority => !queued.is_retry && queued.is_low_priority,
            Blocked::Everything => !queued.is_retry,
        }
    }

    /// Takes out all requests that wait, some of which may have been closed.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }
}

impl Queued {
    pub fn new(id: RequestId, request: &Request, class_priorities: &[f64]) -> Queued {
        Queued {
            request: id,
            priority: class_priorities[request.class.0] * request.relative_value,
            arrived_at: request.arrived_at,
            is_retry: !request.is_unsent(),
            is_low_priority: is_low_priority(request.relative_value),
        }
    }

    /// Highest priority first, inside it the newest first: an old one is more likely late whatever is done.
    pub fn dispatch_order(&self, other: &Queued) -> std::cmp::Ordering {
        let by_priority = other.priority.total_cmp(&self.priority);
        by_priority.then(other.arrived_at.cmp(&self.arrived_at)).then(self.request.cmp(&other.request))
    }
}
