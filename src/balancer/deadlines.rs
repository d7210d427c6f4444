//! Deadline checks of pending requests. A request is given up once it can no longer be served in time or
//! its attempt is presumed lost. It is hedged, or its attempt cancelled for a retry, when the backend is
//! unresponsive and a response in time is still possible.

use super::fleet::Fleet;
use super::request::Request;
use crate::config::Config;
use crate::units::{AttemptNumber, Micros, Time};

/// Interval between checks of a queued request, in ticks.
const QUEUED_CHECK_TICKS: f64 = 4.0;
/// Multiple of the typical latency after which an attempt can be presumed lost with its connection; see
/// [`attempt_presumed_lost_at`]. A backend that is ten times slower than usual still responds within it.
const LOST_LATENCY_MULTIPLE: f64 = 12.0;

/// The result of checking a request.
pub(super) struct RequestCheck {
    pub decision: Decision,
    /// When the next check is due.
    pub next_check_at: Time,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// Leave it as it is.
    Keep,
    /// End it with its final response.
    GiveUp,
    /// Replace its only attempt, whose backend is unresponsive or no longer known, while a retry could still
    /// be in time.
    ReplaceAttempt { attempt: AttemptNumber },
}

/// When to check a queued request again.
pub(super) fn next_queued_check(config: &Config, now: Time) -> Time {
    now + queued_check_interval(config)
}

/// Interval between checks of a queued request.
pub(super) fn queued_check_interval(config: &Config) -> Micros {
    config.tick.times(QUEUED_CHECK_TICKS)
}

/// Checks a request whose response is not being streamed yet. `typical` is the typical latency of its class.
pub(super) fn check_request(
    config: &Config, fleet: &Fleet, now: Time, request: &Request, typical: Micros,
) -> RequestCheck {
    let useful_until = response_useful_until(request);
    // A final response at the deadline itself would be too late.
    let final_response_due = request.deadline.saturating_sub(config.tick);
    let lost_at = attempt_presumed_lost_at(fleet, request, useful_until, typical);
    let give_up_at = lost_at.map_or(final_response_due, |at| at.min(final_response_due));
    let is_in_flight = request.is_in_flight();
    let regular_check_at = if is_in_flight { request.deadline } else { next_queued_check(config, now) };
    // If a new attempt would end too late, the request is given up without it: after an attempt, a rejection
    // may no longer be safe.
    let next_attempt_too_late = !is_in_flight && now + typical >= useful_until;
    let decision = if now >= give_up_at || next_attempt_too_late {
        Decision::GiveUp
    } else {
        let unresponsive =
            unresponsive_attempt(fleet, request).filter(|_| now + typical < request.objective_at);
        unresponsive.map_or(Decision::Keep, |attempt| Decision::ReplaceAttempt { attempt })
    };
    RequestCheck { decision, next_check_at: regular_check_at.min(give_up_at) }
}

/// Time until which a response is useful to the client. A response after the latency objective is useful only
/// if the class gives it weight and an attempt was dispatched already. No capacity is spent on a request that
/// would be late from the start.
fn response_useful_until(request: &Request) -> Time {
    let late_response_counts = request.class_config.late_weight_fraction > 0.0 && !request.is_unsent();
    if late_response_counts {
        request.deadline
    } else {
        request.objective_at
    }
}

/// When the newest attempt is presumed lost: it has lasted [`LOST_LATENCY_MULTIPLE`] times the typical
/// latency, and a response is no longer useful. `None` if there is no attempt, or its backend is no longer
/// known or has not responded to anything since.
fn attempt_presumed_lost_at(
    fleet: &Fleet, request: &Request, useful_until: Time, typical: Micros,
) -> Option<Time> {
    let newest = request.attempts.last()?;
    let backend = fleet.backends.get(&newest.backend.id)?;
    let has_responded = backend.health.has_responded_since(newest.sent_at);
    has_responded.then(|| useful_until.max(newest.sent_at + typical.times(LOST_LATENCY_MULTIPLE)))
}

/// The only attempt of the request, if it is in flight at a backend that is unresponsive or no longer known.
fn unresponsive_attempt(fleet: &Fleet, request: &Request) -> Option<AttemptNumber> {
    let [only] = &request.attempts[..] else { return None };
    let backend = fleet.backends.get(&only.backend.id);
    let is_unresponsive = backend.is_none_or(|backend| backend.health.is_unresponsive());
    (only.in_flight && is_unresponsive).then_some(AttemptNumber(0))
}
