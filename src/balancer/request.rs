//! Pending requests and their attempts.

use crate::backend::Backend;
use crate::config::Class;
use crate::units::{AttemptNumber, BackendId, ClassId, Micros, RequestId, Time};

/// An attempt of a pending request, in flight or ended.
pub(super) struct SentAttempt {
    /// Entry of the backend in the endpoint list at the time of dispatch.
    pub backend: Backend,
    pub sent_at: Time,
    pub in_flight: bool,
    /// The outcome proves that the backend did not execute the request.
    pub never_executed: bool,
}

/// A request that has no final response yet.
pub(super) struct Request {
    /// Index into `ClassTable::all`; a reconfiguration renumbers it.
    pub class: ClassId,
    /// Configuration of the class at arrival: a later reconfiguration does not change which retries are
    /// allowed.
    pub class_config: Class,
    /// Limit on attempts, as configured at arrival.
    pub max_attempts: u32,
    pub arrived_at: Time,
    /// End of the latency objective, including the extension for the work that the client expects.
    pub objective_at: Time,
    pub deadline: Time,
    /// Value relative to an original request within quota, from 0 to 1; see `priority`.
    pub relative_value: f64,
    /// The response is being streamed to the client.
    pub is_streaming: bool,
    pub attempts: Vec<SentAttempt>,
}

impl Request {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// No attempt was dispatched yet.
    pub fn is_unsent(&self) -> bool {
        self.attempts.is_empty()
    }

    pub fn next_attempt_number(&self) -> AttemptNumber {
        AttemptNumber(self.attempts.len() as u32)
    }

    pub fn attempt_ended(&mut self, number: AttemptNumber, never_executed: bool) {
        if let Some(attempt) = self.attempts.get_mut(number.0 as usize) {
            attempt.in_flight = false;
            attempt.never_executed = never_executed;
        }
    }

    /// Moves the deadline, and the end of the latency objective, to `deadline` at the latest.
    pub fn cap_deadline(&mut self, deadline: Time) {
        if self.deadline > deadline {
            self.objective_at = self.objective_at.min(deadline);
            self.deadline = deadline;
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub request: RequestId,
    pub number: AttemptNumber,
}

/// An attempt in flight. It can outlive its request.
pub(super) struct InFlightAttempt {
    pub backend: BackendId,
    /// Index into `ClassTable::all`; a reconfiguration renumbers it.
    pub class: ClassId,
    /// Latency objective of the class when the request arrived, without the extension for the work that the
    /// client expects. Backends are judged by this.
    pub class_objective: Micros,
    pub sent_at: Time,
    /// Admission control has already counted it as a slow response.
    pub counted_as_slow: bool,
}
