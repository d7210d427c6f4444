//! The rules that a run is checked by.

use super::clients::{ANSWER_LATEST, LATE_THREADS};
use super::record::{Asked, Attempt, End, Record};
use std::time::{Duration, Instant};

/// What the rules allow beyond their figures.
const SLACK: Duration = Duration::from_millis(50);

/// An attempt that begins later than this after its client closed is a break.
const AFTER_CLOSE: Duration = Duration::from_millis(100);

/// What an attempt may tell its backend beyond what its client has left.
const TOLD_SLACK: Duration = Duration::from_millis(150);

/// Sends to a backend that drains must cease so soon.
const STOP_SENDING: Duration = Duration::from_secs(1);

/// What the rules say of a play.
pub fn judge(record: &Record, log: &str) -> Vec<String> {
    let (asked, attempts) = (record.asked.lock().unwrap(), record.attempts.lock().unwrap());
    let mut broken = Vec::new();
    for (id, asked) in asked.iter() {
        let none = Vec::new();
        let attempts = attempts.get(id).unwrap_or(&none);
        let faults = [lost(*id, asked, log), repeated(asked, attempts, record.window), told(asked, attempts)];
        broken.extend(
            faults.into_iter().flatten().map(|fault| format!("{fault}: {id:x} {asked:?} {attempts:?}")),
        );
    }
    for attempt in attempts.values().flatten() {
        let drains = record.drains.lock().unwrap();
        let from = |told: Instant| told + STOP_SENDING + SLACK + LATE_THREADS;
        let late = |d: &&(usize, Instant, Option<Instant>)| {
            d.0 == attempt.backend && attempt.at > from(d.1) && d.2.is_none_or(|until| attempt.at < until)
        };
        broken.extend(
            drains.iter().find(late).map(|d| format!("sent to a draining backend: {attempt:?} {d:?}")),
        );
    }
    broken
}

/// It was taken, and had no answer or one that was too late.
fn lost(id: u64, asked: &Asked, log: &str) -> Option<&'static str> {
    let field = format!(" correlation_id={id:x} ");
    let taken = || log.lines().any(|l| l.contains("request received ") && l.contains(&field));
    match asked.end {
        End::Nothing if taken() => Some("no answer"),
        End::Answered(_, at) if at > asked.sent + asked.left + ANSWER_LATEST + LATE_THREADS => {
            Some("late answer")
        }
        _ => None,
    }
}

/// It ran again, or may have run and was refused.
fn repeated(asked: &Asked, attempts: &[Attempt], window: Duration) -> Option<&'static str> {
    let ran: Vec<&Attempt> = attempts.iter().filter(|a| a.may_have_run).collect();
    let refused = matches!(asked.end, End::Answered(429 | 503, _));
    let (first, last) = (ran.first()?, attempts.last()?);
    match asked.class {
        "pay" if attempts.len() > 1 && last.at > first.at => Some("sent again after it may have run"),
        "vote" if last.at > first.at + window + SLACK + LATE_THREADS => Some("sent again after its window"),
        "pay" | "vote" if refused => Some("refused after it may have run"),
        _ => None,
    }
}

/// More time was told than was left, or an attempt began after its client had gone.
fn told(asked: &Asked, attempts: &[Attempt]) -> Option<&'static str> {
    for attempt in attempts {
        let left = asked.left.saturating_sub(attempt.at.saturating_duration_since(asked.sent));
        if attempt.left > left + TOLD_SLACK + LATE_THREADS {
            return Some("too much time told");
        }
        if let End::Left(at) = asked.end {
            if attempt.at > at + AFTER_CLOSE + SLACK + LATE_THREADS {
                return Some("sent after its client had gone");
            }
        }
    }
    None
}
