//! The rules that every run has to satisfy.

use super::record::{AttemptRecord, DrainInterval, RequestOutcome, RequestRecord, RunRecord};
use std::time::Duration;

/// Tolerance of the time limits in the rules.
const SLACK: Duration = Duration::from_millis(50);
/// Additional tolerance for delays of the test's own threads on a loaded machine.
pub const TEST_THREAD_DELAY: Duration = Duration::from_millis(400);
/// Time after its deadline by which a request must have its response.
pub const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Time after a client's disconnect by which attempts of its request may still be sent.
const MAX_SEND_AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// Maximum by which the time left that a backend receives may exceed the client's actual time left.
const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);
/// Time after the start of a backend's drain by which attempts may still be sent to it.
const MAX_SEND_AFTER_DRAIN: Duration = Duration::from_secs(1);

/// Returns descriptions of all rule violations in a run.
pub fn check_rules(record: &RunRecord, log: &str) -> Vec<String> {
    let (requests, attempts) = (record.requests.lock().unwrap(), record.attempts.lock().unwrap());
    let mut violations = Vec::new();
    for (id, request) in requests.iter() {
        let none = Vec::new();
        let attempts = attempts.get(id).unwrap_or(&none);
        let found = [
            check_response(*id, request, log),
            check_retries(request, attempts, record.idempotency_window),
            check_attempts(request, attempts),
        ];
        let describe = |violation| format!("{violation}: {id:x} {request:?} {attempts:?}");
        violations.extend(found.into_iter().flatten().map(describe));
    }
    let drains = record.drains.lock().unwrap();
    for attempt in attempts.values().flatten() {
        let drain = drains.iter().find(|drain| was_sent_while_draining(attempt, drain));
        let describe = |drain| format!("attempt sent to a draining backend: {attempt:?} {drain:?}");
        violations.extend(drain.map(describe));
    }
    violations
}

fn was_sent_while_draining(attempt: &AttemptRecord, drain: &DrainInterval) -> bool {
    attempt.backend == drain.backend
        && attempt.at > drain.from + MAX_SEND_AFTER_DRAIN + SLACK + TEST_THREAD_DELAY
        && drain.until.is_none_or(|until| attempt.at < until)
}

/// Returns a violation if the proxy received the request and did not answer it, answered it too late, or left
/// its connection open without a response.
fn check_response(id: u64, request: &RequestRecord, log: &str) -> Option<&'static str> {
    let field = format!(" correlation_id={id:x} ");
    let was_received = || log.lines().any(|line| line.contains("request received ") && line.contains(&field));
    let latest = request.sent + request.time_left + MAX_RESPONSE_DELAY + TEST_THREAD_DELAY;
    match request.outcome {
        RequestOutcome::Unanswered if was_received() => Some("no response"),
        RequestOutcome::TimedOut => Some("neither a response nor the end of the connection"),
        RequestOutcome::Answered { at, .. } if at > latest => Some("late response"),
        _ => None,
    }
}

/// Returns a violation if the request was retried although it may have been executed and may not be executed
/// twice, or if it was rejected although it may have been executed.
fn check_retries(
    request: &RequestRecord, attempts: &[AttemptRecord], idempotency_window: Duration,
) -> Option<&'static str> {
    let may_have_been_executed: Vec<&AttemptRecord> =
        attempts.iter().filter(|attempt| attempt.may_have_been_executed).collect();
    let is_rejected = matches!(request.outcome, RequestOutcome::Answered { status: 429 | 503, .. });
    let (first, last) = (may_have_been_executed.first()?, attempts.last()?);
    let window_end = first.at + idempotency_window + SLACK + TEST_THREAD_DELAY;
    match request.class {
        "pay" if attempts.len() > 1 && last.at > first.at => Some("retried after it may have been executed"),
        "vote" if last.at > window_end => Some("retried after its idempotency window"),
        "pay" | "vote" if is_rejected => Some("rejected after it may have been executed"),
        _ => None,
    }
}

/// Returns a violation if a backend received more time left than the client had, or an attempt after the
/// client had disconnected.
fn check_attempts(request: &RequestRecord, attempts: &[AttemptRecord]) -> Option<&'static str> {
    for attempt in attempts {
        let time_left = request.time_left.saturating_sub(attempt.at.saturating_duration_since(request.sent));
        if attempt.time_left > time_left + TIME_LEFT_SLACK + TEST_THREAD_DELAY {
            return Some("backend received more time left than the client had");
        }
        if let RequestOutcome::Disconnected { at } = request.outcome {
            if attempt.at > at + MAX_SEND_AFTER_DISCONNECT + SLACK + TEST_THREAD_DELAY {
                return Some("attempt sent after its client disconnected");
            }
        }
    }
    None
}
