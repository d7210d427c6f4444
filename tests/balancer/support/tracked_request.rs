//! What a host knows of a request and its attempts.

use load_balancer::{BackendId, CellId, Class, Outcome, RequestId, Time, ZoneId};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Served,
    Rejected,
    Failed,
    /// Nobody waits for an answer any more.
    ClientDisconnected,
}

/// An attempt that was dispatched.
#[derive(Clone)]
pub struct Attempt {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub at: Time,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// No outcome proves yet that it was not executed.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_executed())
    }
}

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptId {
    pub request: RequestId,
    /// From 0.
    pub number: usize,
}

/// A request that arrived.
pub struct TrackedRequest {
    pub class: usize,
    /// The class as it was when the request arrived: the rules go by that.
    pub class_on_arrival: Class,
    /// The attempts that were allowed when the request arrived.
    pub max_attempts: u32,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub is_streaming: bool,
    pub answer: Option<Answer>,
}
