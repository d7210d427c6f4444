//! The rules that a run is checked by.

use super::record::{AttemptRecord, DrainInterval, RequestOutcome, RequestRecord, RunRecord};
use std::time::Duration;

/// What the rules allow beyond their figures.
const SLACK: Duration = Duration::from_millis(50);
/// What the threads of this test may be late on a loaded machine.
pub const TEST_THREAD_DELAY: Duration = Duration::from_millis(400);
/// A request that gets its answer so long after its deadline is lost.
pub const ANSWER_LATEST: Duration = Duration::from_millis(500);
/// No attempt begins later than this after its client has disconnected.
const AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// What an attempt may send upstream as remaining time beyond what its client has left.
const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);
/// No attempt goes to a backend that has drained for longer.
const STOP_SENDING: Duration = Duration::from_secs(1);

/// All that was broken in a run.
pub fn check_rules(record: &RunRecord, log: &str) -> Vec<String> {
    let (requests, attempts) = (record.requests.lock().unwrap(), record.attempts.lock().unwrap());
    let mut violations = Vec::new();
    for (id, request) in requests.iter() {
        let none = Vec::new();
        let attempts = attempts.get(id).unwrap_or(&none);
        let found = [
            check_answer(*id, request, log),
            check_retries(request, attempts, record.idempotency_window),
            check_attempts(request, attempts),
        ];
        let describe = |violation| format!("{violation}: {id:x} {request:?} {attempts:?}");
        violations.extend(found.into_iter().flatten().map(describe));
    }
    let drains = record.drains.lock().unwrap();
    for attempt in attempts.values().flatten() {
        let drain = drains.iter().find(|drain| is_sent_while_draining(attempt, drain));
        let describe = |drain| format!("sent to a draining backend: {attempt:?} {drain:?}");
        violations.extend(drain.map(describe));
    }
    violations
}

fn is_sent_while_draining(attempt: &AttemptRecord, drain: &DrainInterval) -> bool {
    attempt.backend == drain.backend
        && attempt.at > drain.from + STOP_SENDING + SLACK + TEST_THREAD_DELAY
        && drain.until.is_none_or(|until| attempt.at < until)
}

/// The request was accepted, and had no answer or one that was too late.
fn check_answer(id: u64, request: &RequestRecord, log: &str) -> Option<&'static str> {
    let field = format!(" correlation_id={id:x} ");
    let is_accepted = || log.lines().any(|line| line.contains("request received ") && line.contains(&field));
    let latest = request.sent + request.time_left + ANSWER_LATEST + TEST_THREAD_DELAY;
    match request.outcome {
        RequestOutcome::Unanswered if is_accepted() => Some("no answer"),
        RequestOutcome::Answered { at, .. } if at > latest => Some("late answer"),
        _ => None,
    }
}

/// The request was executed again, or may have been executed and was rejected.
fn check_retries(
    request: &RequestRecord, attempts: &[AttemptRecord], idempotency_window: Duration,
) -> Option<&'static str> {
    let may_have_run: Vec<&AttemptRecord> = attempts.iter().filter(|attempt| attempt.may_have_run).collect();
    let is_rejected = matches!(request.outcome, RequestOutcome::Answered { status: 429 | 503, .. });
    let (first, last) = (may_have_run.first()?, attempts.last()?);
    let window_end = first.at + idempotency_window + SLACK + TEST_THREAD_DELAY;
    match request.class {
        "pay" if attempts.len() > 1 && last.at > first.at => Some("sent again after it may have run"),
        "vote" if last.at > window_end => Some("sent again after its window"),
        "pay" | "vote" if is_rejected => Some("rejected after it may have run"),
        _ => None,
    }
}

/// More time was sent upstream than was left, or an attempt began after its client had disconnected.
fn check_attempts(request: &RequestRecord, attempts: &[AttemptRecord]) -> Option<&'static str> {
    for attempt in attempts {
        let time_left = request.time_left.saturating_sub(attempt.at.saturating_duration_since(request.sent));
        if attempt.time_left > time_left + TIME_LEFT_SLACK + TEST_THREAD_DELAY {
            return Some("too much time sent upstream");
        }
        if let RequestOutcome::Disconnected { at } = request.outcome {
            if attempt.at > at + AFTER_DISCONNECT + SLACK + TEST_THREAD_DELAY {
                return Some("sent after its client had disconnected");
            }
        }
    }
    None
}
