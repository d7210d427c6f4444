//! What is recorded of a run: requests, attempts, and when backends drained.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What became of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    Answered {
        status: u16,
        at: Instant,
    },
    /// The client closed its connection.
    Disconnected {
        at: Instant,
    },
    /// The connection ended, or nothing came.
    Unanswered,
}

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    pub class: &'static str,
    pub sent: Instant,
    pub time_left: Duration,
    pub outcome: RequestOutcome,
}

/// A request as it reached a backend.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    pub at: Instant,
    pub time_left: Duration,
    pub backend: usize,
    /// It was not rejected unprocessed.
    pub may_have_run: bool,
}

/// When a backend was known to drain.
#[derive(Clone, Copy, Debug)]
pub struct DrainInterval {
    pub backend: usize,
    pub from: Instant,
    /// `None` while it drains.
    pub until: Option<Instant>,
}

/// All that is recorded of a run.
#[derive(Default)]
pub struct RunRecord {
    /// For so long after the first attempt a keyed request may be sent again.
    pub idempotency_window: Duration,
    /// Every backend hangs from now on.
    pub all_backends_hang: AtomicBool,
    pub requests: Mutex<HashMap<u64, RequestRecord>>,
    pub attempts: Mutex<HashMap<u64, Vec<AttemptRecord>>>,
    pub drains: Mutex<Vec<DrainInterval>>,
}

impl RunRecord {
    /// How much was done in the run.
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
            count(&|outcome| outcome == RequestOutcome::Unanswered),
            self.drains.lock().unwrap().len(),
        )
    }
}
