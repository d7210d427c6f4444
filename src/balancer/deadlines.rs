//! What time alone brings about for a request: it is given up once it cannot be answered in time or its
//! attempt is lost, and hedged or cancelled for a retry while an answer in time is still possible.

use super::fleet::Fleet;
use super::request::Request;
use crate::config::Config;
use crate::units::{AttemptNumber, Micros, Time};

/// A queued request is reviewed every so many ticks.
const QUEUED_REVIEW_TICKS: f64 = 4.0;
/// An attempt whose answer is of no use any more, and that is this many times older than typical while its
/// backend answered others since, is lost with its connection: a slowed backend answers, if ten times slower.
const LOST_LATENCIES: f64 = 12.0;

/// What a review found, and when the next one is due.
pub(super) struct Review {
    pub finding: Finding,
    pub next: Time,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// Nothing is to be done.
    Keep,
    /// It gets its final answer now.
    GiveUp,
    /// Its only attempt went to a backend that has become unresponsive or is gone; a retry could still be in
    /// time.
    BackendUnresponsive {
        /// The attempt.
        attempt: AttemptNumber,
    },
}

/// When a queued request is reviewed next.
pub(super) fn next_queued_review(config: &Config, now: Time) -> Time {
    now + queued_review_interval(config)
}

/// How long a queued request waits for its review.
pub(super) fn queued_review_interval(config: &Config) -> Micros {
    config.tick.times(QUEUED_REVIEW_TICKS)
}

/// Reviews a request whose answer does not stream yet; `typical` is the latency of its class.
pub(super) fn review(
    config: &Config, fleet: &Fleet, now: Time, request: &Request, typical: Micros,
) -> Review {
    let latest_answer = latest_useful_answer(request);
    // An answer at the deadline itself would be too late.
    let last_tick = request.deadline.saturating_sub(config.tick);
    let lost_at = attempt_presumed_lost_at(fleet, request, latest_answer, typical);
    let end = lost_at.map_or(last_tick, |at| at.min(last_tick));
    let is_in_flight = request.is_in_flight();
    let routine = if is_in_flight { request.deadline } else { next_queued_review(config, now) };
    let would_be_too_late = !is_in_flight && now + typical >= latest_answer;
    let finding = if now >= end || would_be_too_late {
        Finding::GiveUp // while a rejection is still harmless
    } else {
        let unanswered = unanswered_attempt(fleet, request).filter(|_| now + typical < request.objective_at);
        unanswered.map_or(Finding::Keep, |attempt| Finding::BackendUnresponsive { attempt })
    };
    Review { finding, next: routine.min(end) }
}

/// Until when an answer is of use: past the objective only if the class gives it a weight, and if the request
/// was sent before. No capacity is spent on a late answer to a request that has not begun.
fn latest_useful_answer(request: &Request) -> Time {
    let late_answer_counts = request.terms.late_weight_fraction > 0.0 && !request.is_unsent();
    if late_answer_counts {
        request.deadline
    } else {
        request.objective_at
    }
}

/// When the newest attempt counts as lost; `None` while its backend has answered nothing since.
fn attempt_presumed_lost_at(
    fleet: &Fleet, request: &Request, latest_answer: Time, typical: Micros,
) -> Option<Time> {
    let newest = request.attempts.last()?;
    let backend = fleet.backends.get(&newest.backend.id)?;
    let has_responded = backend.health.has_responded_since(newest.sent_at);
    has_responded.then(|| latest_answer.max(newest.sent_at + typical.times(LOST_LATENCIES)))
}

/// The only attempt of the request, if it is in flight at a backend that is unresponsive or no longer known.
fn unanswered_attempt(fleet: &Fleet, request: &Request) -> Option<AttemptNumber> {
    let [only] = &request.attempts[..] else { return None };
    let backend = fleet.backends.get(&only.backend.id);
    let is_unresponsive = backend.is_none_or(|backend| backend.health.is_unresponsive());
    (only.in_flight && is_unresponsive).then_some(AttemptNumber(0))
}
