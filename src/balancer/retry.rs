//! Limits on retries and hedged requests. Idempotency determines which attempts may follow without a
//! duplicate effect; a retry budget in proportion to arrivals limits how many a proxy sends.

use super::request::{Request, SentAttempt};
use crate::backend::Backend;
use crate::config::{Config, Idempotency, IdempotencyScope};
use crate::units::{Micros, Time};

/// Retries that each arriving request adds to the budget: twice the usual tenth, for the time until an
/// outlier is ejected.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Capacity of the budget, as the number of requests whose retries it holds.
const BUDGET_REQUESTS: f64 = 100.0;
/// Longest assumed stall of the host between reading its clock and writing an attempt.
const MAX_HOST_STALL: Micros = Micros(150_000);

/// The number of retries and hedged requests that may be sent now.
#[derive(Default)]
pub(super) struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Adds the retries of an arriving request, up to the budget's capacity.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(RETRIES_PER_REQUEST * BUDGET_REQUESTS);
    }

    pub fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry from the budget.
    pub fn withdraw(&mut self) {
        self.balance -= 1.0;
    }
}

/// Whether another attempt may be dispatched now, whichever backend is selected.
pub(super) fn may_dispatch(config: &Config, now: Time, request: &Request) -> bool {
    let is_repeatable = |attempt: &SentAttempt| {
        attempt.never_executed || request.class_config.idempotency != Idempotency::NonIdempotent
    };
    let inside_window = idempotency_deadline(config, request).is_none_or(|end| now < end);
    let concurrency_allowed = config.hedging_allowed || !request.is_in_flight();
    let attempts_left = request.attempts.len() < request.max_attempts as usize;
    inside_window && concurrency_allowed && attempts_left && request.attempts.iter().all(is_repeatable)
}

/// Time by which every attempt of the request must be written; `None` if there is no such limit. Backends
/// discard duplicates for the length of the idempotency window, counted from the attempt that is written
/// first. That need not be the one dispatched first, as an attempt that is still connecting can be overtaken
/// by the next.
pub(super) fn idempotency_deadline(config: &Config, request: &Request) -> Option<Time> {
    let Idempotency::Keyed { window, .. } = request.class_config.idempotency else { return None };
    let may_have_executed = request.attempts.iter().filter(|attempt| !attempt.never_executed);
    let first = may_have_executed.map(|attempt| attempt.sent_at).min()?;
    Some((first + window).saturating_sub(config.tick.max(MAX_HOST_STALL)))
}

/// Whether this backend may execute the request: it received no attempt before, and it discards duplicates of
/// every attempt that may have been executed.
pub(super) fn may_execute_at(backend: &Backend, request: &Request) -> bool {
    let discards_duplicate = |attempt: &SentAttempt| match request.class_config.idempotency {
        Idempotency::Keyed { scope: IdempotencyScope::Zone, .. } => {
            attempt.never_executed || attempt.backend.zone == backend.zone
        }
        Idempotency::Keyed { scope: IdempotencyScope::Cell, .. } => {
            attempt.never_executed || attempt.backend.cell == backend.cell
        }
        _ => true,
    };
    request.attempts.iter().all(|attempt| attempt.backend.id != backend.id && discards_duplicate(attempt))
}

/// Whether the request may be rejected, which tells the client that a retry has no duplicate effect.
pub(super) fn may_reject(request: &Request) -> bool {
    let client_may_retry = matches!(
        request.class_config.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. }
    );
    client_may_retry || request.attempts.iter().all(|attempt| attempt.never_executed)
}
