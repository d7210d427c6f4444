//! Outlier detection: which backends fail or fall silent while others answer? They are ejected for a time
//! that grows with each ejection, and come back on probation.

use super::fleet::{Fleet, TrackedBackend};
use super::request::InFlightAttempt;
use crate::event::Outcome;
use crate::random::Random;
use crate::units::{BackendId, Micros, Time};

/// Successes after an ejection for error answers that clear it. A backend that answers every fourth request
/// with an error is likely to be ejected again before that many.
const PROBATION_SUCCESSES: u32 = 10;
/// Least error rate at which a backend is ejected: two errors close together reach it.
const LEAST_EJECTION_ERROR_RATE: f64 = 0.3;
/// Standard deviations above the mean error rate of the others from which it is not chance.
const OUTLIER_DEVIATIONS: f64 = 5.0;
/// Weight of the newest outcome in an error rate.
const ERROR_RATE_WEIGHT: f64 = 0.2;
/// An attempt this many times older than typical, with no later answer of its backend, marks it as
/// unresponsive.
const UNRESPONSIVE_LATENCIES: f64 = 6.0;
/// Mean length of a first ejection.
const BASE_EJECTION_TIME: Micros = Micros(1_000_000);
/// The jitter factor of an ejection time, before doubling, is drawn from this ...
const MIN_JITTER_FACTOR: f64 = 0.75;
/// ... to this much more.
const JITTER_FACTOR_SPREAD: f64 = 0.5;
/// Doublings of the ejection time at most: a backend that has recovered is back within some seconds.
const MAX_EJECTION_DOUBLINGS: i32 = 3;
/// With a larger part of the fleet ejected, ejected backends are used: then it is not they that fail.
const PANIC_THRESHOLD_FRACTION: f64 = 0.5;

/// What this proxy saw of a backend's health.
#[derive(Default)]
pub(super) struct Health {
    error_rate: f64,
    last_response: Time,
    is_unresponsive: bool,
    ejected_until: Option<Time>,
    /// The last connection to it did not come up.
    is_unreachable: bool,
    /// Ejections that no probation has cleared.
    ejections: i32,
    /// Successes that are still needed to clear them; failures in between do not count.
    probation_successes_left: u32,
    /// From 0 (not to be used) to 1 (no errors of late).
    factor: f64,
}

impl Health {
    /// From 0 (not to be used) to 1 (no errors of late).
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Attempts are overdue, and nothing came back since.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// It has answered something after that time; an answer at that very time may be to an earlier request.
    pub fn has_responded_since(&self, time: Time) -> bool {
        self.last_response > time
    }

    fn record_reachability(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::ConnectFailed => self.is_unreachable = true,
            Outcome::Success | Outcome::ErrorResponse | Outcome::Rejected => self.is_unreachable = false,
            _ => {}
        }
    }

    fn record_success(&mut self, now: Time) {
        self.last_response = now;
        self.error_rate *= 1.0 - ERROR_RATE_WEIGHT;
        self.probation_successes_left = self.probation_successes_left.saturating_sub(1);
        if self.probation_successes_left == 0 {
            self.ejections = 0;
        }
    }

    fn record_failure(&mut self, now: Time, outcome: Outcome) {
        if outcome == Outcome::ErrorResponse {
            self.last_response = now;
        }
        self.error_rate += (1.0 - self.error_rate) * ERROR_RATE_WEIGHT;
    }

    /// Ends an ejection whose time is over. The ejections still count: the next failure ejects for longer.
    fn end_ejection(&mut self, now: Time) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.error_rate = 0.0;
        }
    }
}

/// The backends that are marked as unresponsive, so that the marks can be taken back.
#[derive(Default)]
pub(super) struct UnresponsiveBackends {
    marked: Vec<BackendId>,
}

/// An ejection that was carried out.
pub(super) struct Ejected {
    pub backend: BackendId,
    pub outcome: Outcome,
}

/// Takes in the outcome of an attempt, and ejects its backend where that calls for it.
pub(super) fn record_outcome(
    fleet: &mut Fleet, now: Time, attempt: &InFlightAttempt, outcome: Outcome, random: &mut Random,
) -> Option<Ejected> {
    let health = &mut fleet.backends.get_mut(&attempt.backend)?.health;
    health.record_reachability(outcome);
    let ejects = match outcome {
        Outcome::Success => {
            health.record_success(now);
            false
        }
        Outcome::Cancelled | Outcome::NotSent | Outcome::Rejected => false,
        // A heavy request alone is no fault of its backend if that has answered others since, or as it was
        // sent.
        Outcome::TimedOut => health.last_response < attempt.sent_at,
        Outcome::ErrorResponse | Outcome::ConnectionReset | Outcome::ConnectFailed => {
            health.record_failure(now, outcome);
            is_outlier(fleet, attempt.backend, outcome)
        }
    };
    if !ejects {
        return None;
    }
    eject(fleet, now, attempt.backend, outcome, random)
}

impl UnresponsiveBackends {
    /// Marks the backends with attempts that are overdue. `typical` tells how long an attempt takes; the
    /// result is when to look again.
    pub fn update<'a>(
        &mut self, fleet: &mut Fleet, now: Time, attempts: impl Iterator<Item = &'a InFlightAttempt>,
        typical: impl Fn(&InFlightAttempt) -> Micros,
    ) -> Time {
        for backend in std::mem::take(&mut self.marked) {
            if let Some(backend) = fleet.backends.get_mut(&backend) {
                backend.health.is_unresponsive = false;
            }
        }
        let mut next_look = Time::NEVER;
        for attempt in attempts {
            let typical = typical(attempt);
            let overdue_from = attempt.sent_at + typical.times(UNRESPONSIVE_LATENCIES);
            if now < overdue_from {
                next_look = next_look.min(overdue_from);
                continue;
            }
            next_look = next_look.min(now + typical);
            let Some(backend) = fleet.backends.get_mut(&attempt.backend) else { continue };
            if !backend.health.has_responded_since(attempt.sent_at) {
                backend.health.is_unresponsive = true;
                self.marked.push(attempt.backend);
            }
        }
        next_look
    }
}

/// Whether a backend's failures are reason enough to eject it. One connection that breaks or is refused is no
/// dead process; after an ejection the first refused one is enough.
fn is_outlier(fleet: &Fleet, id: BackendId, outcome: Outcome) -> bool {
    let Some(backend) = fleet.backends.get(&id) else { return false };
    let health = &backend.health;
    let limit =
        if health.is_unreachable { LEAST_EJECTION_ERROR_RATE } else { ejection_error_rate(fleet, id) };
    health.error_rate > limit || (health.ejections > 0 && outcome == Outcome::ConnectFailed)
}

/// The error rate that tells an outlier. Where all backends fail, for a faulty network or a request that none
/// can answer, ejecting those that failed last only overloads the rest.
fn ejection_error_rate(fleet: &Fleet, id: BackendId) -> f64 {
    let is_compared = |backend: &TrackedBackend| {
        let health = &backend.health;
        health.ejected_until.is_none() && !health.is_unreachable && backend.coverage.is_in_subset()
    };
    let (mut total, mut count) = (0.0, 0.0);
    for (other, backend) in &fleet.backends {
        if *other != id && is_compared(backend) {
            total += backend.health.error_rate;
            count += 1.0;
        }
    }
    let mean = total / f64::max(count, 1.0);
    // Of an exponentially weighted mean of yes-or-no outcomes with this probability.
    let deviation = (mean * (1.0 - mean) * ERROR_RATE_WEIGHT / (2.0 - ERROR_RATE_WEIGHT)).sqrt();
    (mean + OUTLIER_DEVIATIONS * deviation).max(LEAST_EJECTION_ERROR_RATE)
}

/// Ejects a backend unless it is ejected already.
fn eject(
    fleet: &mut Fleet, now: Time, id: BackendId, outcome: Outcome, random: &mut Random,
) -> Option<Ejected> {
    let base_secs = BASE_EJECTION_TIME.secs() * (MIN_JITTER_FACTOR + JITTER_FACTOR_SPREAD * random.unit());
    let backend = fleet.backends.get_mut(&id)?;
    let health = &mut backend.health;
    if health.ejected_until.is_some_and(|until| now < until) {
        return None;
    }
    let doublings = health.ejections.min(MAX_EJECTION_DOUBLINGS);
    health.ejected_until = Some(now + Micros::from_secs(base_secs * f64::from(doublings).exp2()));
    health.ejections += 1;
    health.probation_successes_left = if outcome == Outcome::ErrorResponse { PROBATION_SUCCESSES } else { 1 };
    backend.readiness = 0.0;
    Some(Ejected { backend: id, outcome })
}

/// Ends ejections whose time is over, and sets the factor of every backend's health.
pub(super) fn update_health(fleet: &mut Fleet, now: Time) {
    let ejections = Ejections::count(fleet);
    for backend in fleet.backends.values_mut() {
        backend.health.end_ejection(now);
        let is_listed_ready = backend.is_listed_ready();
        let health = &mut backend.health;
        health.factor = if !is_listed_ready {
            0.0
        } else if health.ejected_until.is_some() {
            f64::from(ejections.allow_use(health))
        } else {
            1.0 - health.error_rate
        };
    }
}

/// How many backends are ejected.
#[derive(Default)]
struct Ejections {
    listed: f64,
    ejected: f64,
    ejected_unreachable: f64,
}

impl Ejections {
    fn count(fleet: &Fleet) -> Ejections {
        let mut counts = Ejections::default();
        for backend in fleet.backends.values().filter(|backend| backend.is_listed_ready()) {
            let health = &backend.health;
            counts.listed += 1.0;
            counts.ejected += f64::from(health.ejected_until.is_some());
            counts.ejected_unreachable += f64::from(health.ejected_until.is_some() && health.is_unreachable);
        }
        counts
    }

    /// Whether an ejected backend is used all the same. An unreachable one is only where all are.
    fn allow_use(&self, health: &Health) -> bool {
        let too_many = self.ejected > self.listed * PANIC_THRESHOLD_FRACTION;
        too_many && (!health.is_unreachable || self.ejected_unreachable == self.listed)
    }
}
