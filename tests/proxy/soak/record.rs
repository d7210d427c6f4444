//! Record of a run: requests, attempts, and drain intervals of backends.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The outcome of a request, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    Answered {
        status: u16,
        at: Instant,
    },
    /// The client closed its connection before a response.
    Disconnected {
        at: Instant,
    },
    /// The connection ended without a response.
    Unanswered,
    /// The connection stayed open without a response for as long as the client waited.
    TimedOut,
}

/// A request as sent by its client.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    pub class: &'static str,
    pub sent: Instant,
    pub time_left: Duration,
    pub outcome: RequestOutcome,
}

/// An attempt as received by a backend.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    pub at: Instant,
    pub time_left: Duration,
    pub backend: usize,
    /// Whether the backend may have executed it: `false` only if its response marks it as unprocessed.
    pub may_have_been_executed: bool,
}

/// The interval in which a backend was published as draining.
#[derive(Clone, Copy, Debug)]
pub struct DrainInterval {
    pub backend: usize,
    pub from: Instant,
    /// `None` while the backend is draining.
    pub until: Option<Instant>,
}

/// Everything recorded during a run.
#[derive(Default)]
pub struct RunRecord {
    /// Time after the first attempt in which a request with an idempotency key may be retried.
    pub idempotency_window: Duration,
    /// Set to make every backend hang.
    pub all_backends_hang: AtomicBool,
    pub requests: Mutex<HashMap<u64, RequestRecord>>,
    pub attempts: Mutex<HashMap<u64, Vec<AttemptRecord>>>,
    pub drains: Mutex<Vec<DrainInterval>>,
}

impl RunRecord {
    /// Returns the counts of requests by outcome, of attempts and of drains.
    pub fn summary(&self) -> String {
        let requests = self.requests.lock().unwrap();
        let count = |matches: &dyn Fn(RequestOutcome) -> bool| {
            requests.values().filter(|request| matches(request.outcome)).count()
        };
        let attempts: usize = self.attempts.lock().unwrap().values().map(Vec::len).sum();
        format!(
            "{} requests, {} served, {} rejected, {} failed, {} disconnected, {} unanswered, \
             {attempts} attempts, {} drains",
            requests.len(),
            count(&|outcome| matches!(outcome, RequestOutcome::Answered { status: 200, .. })),
            count(&|outcome| matches!(outcome, RequestOutcome::Answered { status: 429 | 503, .. })),
            count(&|outcome| matches!(
                outcome,
                RequestOutcome::Answered { status, .. } if !matches!(status, 200 | 429 | 503)
            )),
            count(&|outcome| matches!(outcome, RequestOutcome::Disconnected { .. })),
            count(&|outcome| matches!(outcome, RequestOutcome::Unanswered | RequestOutcome::TimedOut)),
            self.drains.lock().unwrap().len(),
        )
    }
}
