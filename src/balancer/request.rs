//! Requests that are owed an answer, and their attempts.

use crate::backend::Backend;
use crate::config::Class;
use crate::units::{AttemptNumber, BackendId, ClassId, Micros, RequestId, Time};

/// An attempt as its request remembers it, also after its end.
pub(super) struct SentAttempt {
    /// The backend as the endpoint list described it at the dispatch.
    pub backend: Backend,
    pub sent_at: Time,
    pub in_flight: bool,
    /// Its outcome proves that the backend did not execute it.
    pub never_executed: bool,
}

/// A request that is owed an answer.
pub(super) struct Request {
    /// Number of its class under the configuration in force.
    pub class: ClassId,
    /// Its class as it was on arrival: a later configuration neither makes a retry harmless nor forbids one.
    pub terms: Class,
    /// Attempts allowed on arrival.
    pub max_attempts: u32,
    pub arrived_at: Time,
    /// When its latency objective is over, extended by the work that its client expects.
    pub objective_at: Time,
    pub deadline: Time,
    /// Its value relative to an original request within quota, from 0 to 1; see `priority`.
    pub relative_value: f64,
    /// Its answer has begun to stream to the client.
    pub is_streaming: bool,
    pub attempts: Vec<SentAttempt>,
}

impl Request {
    /// Some attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Nothing of it was dispatched yet.
    pub fn is_unsent(&self) -> bool {
        self.attempts.is_empty()
    }

    /// The number of its next attempt.
    pub fn next_attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts.len() as u32)
    }

    /// Notes how an attempt ended.
    pub fn attempt_ended(&mut self, number: AttemptNumber, never_executed: bool) {
        if let Some(attempt) = self.attempts.get_mut(number.0 as usize) {
            attempt.in_flight = false;
            attempt.never_executed = never_executed;
        }
    }

    /// The graceful shutdown allows no answer after `deadline`.
    pub fn shorten(&mut self, deadline: Time) {
        if self.deadline > deadline {
            self.objective_at = self.objective_at.min(deadline);
            self.deadline = deadline;
        }
    }
}

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub request: RequestId,
    pub number: AttemptNumber,
}

/// An attempt in flight, which may outlast its request.
pub(super) struct InFlightAttempt {
    pub backend: BackendId,
    /// Number of its class under the configuration in force.
    pub class: ClassId,
    /// The latency objective of its class on arrival: what backends are judged by, whatever one client
    /// expects.
    pub class_objective: Micros,
    pub sent_at: Time,
    /// It has counted as a slow answer in admission control.
    pub counted_as_slow: bool,
}
