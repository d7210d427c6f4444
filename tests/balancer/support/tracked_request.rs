//! The host's record of a request and its attempts.

use load_balancer::{BackendId, CellId, Class, Outcome, RequestId, Time, ZoneId};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
    ClientDisconnected,
}

/// A dispatched attempt.
#[derive(Clone)]
pub struct Attempt {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub dispatched_at: Time,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the backend may have executed the attempt: always, unless the outcome proves that it did not.
    pub fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_executed())
    }
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptId {
    pub request: RequestId,
    /// From 0.
    pub number: usize,
}

/// A request that arrived.
pub struct TrackedRequest {
    pub class: usize,
    /// Configuration of the class at arrival, to which the invariants apply.
    pub class_on_arrival: Class,
    /// Limit on attempts, as configured at arrival.
    pub max_attempts: u32,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub is_streaming: bool,
    pub outcome: Option<RequestOutcome>,
}
