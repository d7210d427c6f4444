//! Retries and hedged requests: when may a request be dispatched again without a duplicate effect, and how
//! many retries may a proxy send? Idempotency decides the first, a budget in proportion to the requests the
//! second.

use super::request::{Request, SentAttempt};
use crate::backend::Backend;
use crate::config::{Config, Idempotency, IdempotencyScope};
use crate::units::{Micros, Time};

/// Retries for each request: the usual tenth, doubled for the time until an outlier is ejected.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Requests over which unused retries are saved up.
const BUDGET_REQUESTS: f64 = 100.0;
/// The host may be stalled this long between reading its clock and writing.
const HOST_STALL: Micros = Micros(150_000);

/// Retries that may be sent now.
#[derive(Default)]
pub(super) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// A request arrived.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(RETRIES_PER_REQUEST * BUDGET_REQUESTS);
    }

    pub fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// A retry is sent.
    pub fn withdraw(&mut self) {
        self.retries -= 1.0;
    }
}

/// Whether a further attempt may begin now, whichever backend it goes to.
pub(super) fn may_dispatch(config: &Config, now: Time, request: &Request) -> bool {
    let is_repeatable = |attempt: &SentAttempt| {
        attempt.never_executed || request.terms.idempotency != Idempotency::NonIdempotent
    };
    let inside_window = idempotency_deadline(config, request).is_none_or(|end| now < end);
    let is_alone = config.hedging_allowed || !request.is_in_flight();
    let attempts_left = request.attempts.len() < request.max_attempts as usize;
    inside_window && is_alone && attempts_left && request.attempts.iter().all(is_repeatable)
}

/// Until when every attempt must have been written. Backends discard duplicates for a time that counts from
/// the attempt that is written first, and one that still connects may be overtaken by the next.
pub(super) fn idempotency_deadline(config: &Config, request: &Request) -> Option<Time> {
    let Idempotency::Keyed { window, .. } = request.terms.idempotency else { return None };
    let may_have_executed = request.attempts.iter().filter(|attempt| !attempt.never_executed);
    let first = may_have_executed.map(|attempt| attempt.sent_at).min()?;
    Some((first + window).saturating_sub(config.tick.max(HOST_STALL)))
}

/// Whether this backend may execute the request: it was not tried before, and discards duplicates of every
/// attempt that may have been executed.
pub(super) fn may_execute_at(backend: &Backend, request: &Request) -> bool {
    let knows_key = |attempt: &SentAttempt| match request.terms.idempotency {
        Idempotency::Keyed { scope: IdempotencyScope::Zone, .. } => {
            attempt.never_executed || attempt.backend.zone == backend.zone
        }
        Idempotency::Keyed { scope: IdempotencyScope::Cell, .. } => {
            attempt.never_executed || attempt.backend.cell == backend.cell
        }
        _ => true,
    };
    request.attempts.iter().all(|attempt| attempt.backend.id != backend.id && knows_key(attempt))
}

/// Whether the request may be rejected, which promises that a client retry does no harm.
pub(super) fn rejection_is_harmless(request: &Request) -> bool {
    let client_may_retry = matches!(
        request.terms.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. }
    );
    client_may_retry || request.attempts.iter().all(|attempt| attempt.never_executed)
}
