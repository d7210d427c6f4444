//! What is recorded of a run: requests, attempts and when backends drained.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What became of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Answered(u16, Instant),
    /// It closed its connection.
    Left(Instant),
    /// The connection ended, or nothing came.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub class: &'static str,
    pub sent: Instant,
    pub left: Duration,
    pub end: End,
}

/// A request as it reached a backend.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub at: Instant,
    pub left: Duration,
    pub backend: usize,
    /// It was not turned away unseen.
    pub may_have_run: bool,
}

/// What is written down in a play.
#[derive(Default)]
pub struct Record {
    /// For so long after the first attempt a guarded request may be sent again.
    pub window: Duration,
    /// Every backend hangs from now on.
    pub all_hang: AtomicBool,
    pub asked: Mutex<HashMap<u64, Asked>>,
    pub attempts: Mutex<HashMap<u64, Vec<Attempt>>>,
    /// Since when each backend is known to drain, and until when that held.
    pub drains: Mutex<Vec<(usize, Instant, Option<Instant>)>>,
}

/// How much was played.
pub fn summary(record: &Record) -> String {
    let asked = record.asked.lock().unwrap();
    let count = |which: &dyn Fn(End) -> bool| asked.values().filter(|a| which(a.end)).count();
    let attempts: usize = record.attempts.lock().unwrap().values().map(Vec::len).sum();
    format!(
        "{} asked, {} served, {} refused, {} failed, {} left, {} without an answer, {attempts} attempts, {} drains",
        asked.len(),
        count(&|end| matches!(end, End::Answered(200, _))),
        count(&|end| matches!(end, End::Answered(429 | 503, _))),
        count(&|end| matches!(end, End::Answered(status, _) if !matches!(status, 200 | 429 | 503))),
        count(&|end| matches!(end, End::Left(_))),
        count(&|end| end == End::Nothing),
        record.drains.lock().unwrap().len(),
    )
}
