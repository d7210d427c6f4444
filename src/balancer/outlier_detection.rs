//! Outlier detection: ejects backends that fail or stop responding while others respond.
//!
//! The duration of an ejection doubles with each ejection of the backend, up to a maximum. Afterwards the
//! backend is on probation until it has served some requests. An error rate is an exponentially weighted mean
//! over the outcomes of a backend's attempts, from 0 (no errors) to 1.

use super::fleet::{Fleet, TrackedBackend};
use super::request::InFlightAttempt;
use crate::event::Outcome;
use crate::random::Random;
use crate::units::{BackendId, Micros, Time};

/// Number of successes that end the probation after an ejection for an error response. After any other
/// outcome, one success ends it. A backend that answers every fourth request with an error is likely to be
/// ejected again before it has that many.
const PROBATION_SUCCESSES: u32 = 10;
/// Minimum error rate at which a backend is ejected; two errors in close succession exceed it.
const MIN_EJECTION_ERROR_RATE: f64 = 0.3;
/// Standard deviations above the mean error rate of the other backends at which a backend is an outlier.
const OUTLIER_DEVIATIONS: f64 = 5.0;
/// Weight of the newest outcome in an error rate.
const ERROR_RATE_WEIGHT: f64 = 0.2;
/// An attempt that is older than this multiple of its typical latency marks its backend as unresponsive,
/// unless the backend has responded since the attempt was sent.
const UNRESPONSIVE_LATENCY_MULTIPLE: f64 = 6.0;
/// Mean duration of a backend's first ejection.
const BASE_EJECTION_TIME: Micros = Micros(1_000_000);
/// Lower end of the jitter factor of an ejection time, which is drawn uniformly.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Difference between the upper and the lower end of the jitter factor.
const JITTER_FACTOR_SPREAD: f64 = 0.5;
/// Maximum number of doublings of the ejection time, so that a recovered backend is used again within
/// seconds.
const MAX_EJECTION_DOUBLINGS: i32 = 3;
/// With more than this fraction of the listed ready backends ejected, ejected backends are used anyway: the
/// cause is then likely not in the backends.
const PANIC_THRESHOLD_FRACTION: f64 = 0.5;

/// The health of a backend as observed by this proxy.
#[derive(Default)]
pub(super) struct Health {
    error_rate: f64,
    last_response: Time,
    is_unresponsive: bool,
    ejected_until: Option<Time>,
    /// Whether the last attempt to connect failed.
    is_unreachable: bool,
    /// Number of ejections since the last completed probation.
    ejections: i32,
    /// Successes still needed to complete the probation; failures in between do not reset it.
    probation_successes_left: u32,
    /// From 0 (not to be used) to 1 (no recent errors).
    factor: f64,
}

impl Health {
    /// Usable fraction of the backend by its health, from 0 (not to be used) to 1 (no recent errors).
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Whether an attempt is overdue and the backend has not responded since it was sent.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Whether the backend has responded after `time`. A response at exactly `time` may belong to an earlier
    /// request and does not count.
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

    /// Ends an ejection whose time has passed. `ejections` stays, so that the next ejection lasts longer.
    fn end_ejection(&mut self, now: Time) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.error_rate = 0.0;
        }
    }
}

/// The backends currently marked as unresponsive, so that the next update can clear their marks.
#[derive(Default)]
pub(super) struct UnresponsiveBackends {
    marked: Vec<BackendId>,
}

/// An ejection of a backend, for the operators' log.
pub(super) struct Ejection {
    pub backend: BackendId,
    pub outcome: Outcome,
}

/// Records the outcome of an attempt; ejects its backend and returns the ejection if the outcome calls for
/// it.
pub(super) fn record_outcome(
    fleet: &mut Fleet, now: Time, attempt: &InFlightAttempt, outcome: Outcome, random: &mut Random,
) -> Option<Ejection> {
    let health = &mut fleet.backends.get_mut(&attempt.backend)?.health;
    health.record_reachability(outcome);
    let should_eject = match outcome {
        Outcome::Success => {
            health.record_success(now);
            false
        }
        Outcome::Cancelled | Outcome::NotSent | Outcome::Rejected => false,
        // A timeout is not the backend's fault if it has responded to another request since the attempt was
        // sent, or at that very time: the request may be heavy.
        Outcome::TimedOut => health.last_response < attempt.sent_at,
        Outcome::ErrorResponse | Outcome::ConnectionReset | Outcome::ConnectFailed => {
            health.record_failure(now, outcome);
            is_outlier(fleet, attempt.backend, outcome)
        }
    };
    if !should_eject {
        return None;
    }
    eject(fleet, now, attempt.backend, outcome, random)
}

impl UnresponsiveBackends {
    /// Marks as unresponsive the backends that have an overdue attempt and have not responded since it was
    /// sent, and clears all other marks. `typical` returns the typical latency of an attempt. Returns the
    /// time of the next update.
    pub fn update<'a>(
        &mut self, fleet: &mut Fleet, now: Time, attempts: impl Iterator<Item = &'a InFlightAttempt>,
        typical: impl Fn(&InFlightAttempt) -> Micros,
    ) -> Time {
        for backend in std::mem::take(&mut self.marked) {
            if let Some(backend) = fleet.backends.get_mut(&backend) {
                backend.health.is_unresponsive = false;
            }
        }
        let mut next_update = Time::NEVER;
        for attempt in attempts {
            let typical = typical(attempt);
            let overdue_from = attempt.sent_at + typical.times(UNRESPONSIVE_LATENCY_MULTIPLE);
            if now < overdue_from {
                next_update = next_update.min(overdue_from);
                continue;
            }
            next_update = next_update.min(now + typical);
            let Some(backend) = fleet.backends.get_mut(&attempt.backend) else { continue };
            if !backend.health.has_responded_since(attempt.sent_at) {
                backend.health.is_unresponsive = true;
                self.marked.push(attempt.backend);
            }
        }
        next_update
    }
}

/// Whether a backend is to be ejected after a failure. A single connection that breaks or is refused does not
/// mean that the process is dead; on probation, one refused connection is enough.
fn is_outlier(fleet: &Fleet, id: BackendId, outcome: Outcome) -> bool {
    let Some(backend) = fleet.backends.get(&id) else { return false };
    let health = &backend.health;
    let limit = if health.is_unreachable { MIN_EJECTION_ERROR_RATE } else { ejection_error_rate(fleet, id) };
    health.error_rate > limit || (health.ejections > 0 && outcome == Outcome::ConnectFailed)
}

/// The error rate above which a backend is an outlier, relative to the other backends in the subset. If all
/// backends fail, because of the network or of requests that none can serve, ejecting some of them would
/// only overload the rest.
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
    // Standard deviation of an exponentially weighted mean of Bernoulli outcomes with the probability `mean`.
    let deviation = (mean * (1.0 - mean) * ERROR_RATE_WEIGHT / (2.0 - ERROR_RATE_WEIGHT)).sqrt();
    (mean + OUTLIER_DEVIATIONS * deviation).max(MIN_EJECTION_ERROR_RATE)
}

/// Ejects a backend; returns `None` if it is ejected already.
fn eject(
    fleet: &mut Fleet, now: Time, id: BackendId, outcome: Outcome, random: &mut Random,
) -> Option<Ejection> {
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
    Some(Ejection { backend: id, outcome })
}

/// Ends ejections whose time has passed, and updates the health factor of every backend.
pub(super) fn update_health(fleet: &mut Fleet, now: Time) {
    let ejections = EjectionCounts::of(fleet);
    for backend in fleet.backends.values_mut() {
        backend.health.end_ejection(now);
        let is_listed_ready = backend.is_listed_ready();
        let health = &mut backend.health;
        health.factor = if !is_listed_ready {
            0.0
        } else if health.ejected_until.is_some() {
            f64::from(ejections.allow_use_of(health))
        } else {
            1.0 - health.error_rate
        };
    }
}

/// Number of backends whose state in the endpoint list is ready, and how many of them are ejected.
#[derive(Default)]
struct EjectionCounts {
    listed: f64,
    ejected: f64,
    ejected_unreachable: f64,
}

impl EjectionCounts {
    fn of(fleet: &Fleet) -> EjectionCounts {
        let mut counts = EjectionCounts::default();
        for backend in fleet.backends.values().filter(|backend| backend.is_listed_ready()) {
            let health = &backend.health;
            counts.listed += 1.0;
            counts.ejected += f64::from(health.ejected_until.is_some());
            counts.ejected_unreachable += f64::from(health.ejected_until.is_some() && health.is_unreachable);
        }
        counts
    }

    /// Whether an ejected backend is used anyway. An unreachable one is used only if all backends are
    /// ejected and unreachable.
    fn allow_use_of(&self, health: &Health) -> bool {
        let too_many = self.ejected > self.listed * PANIC_THRESHOLD_FRACTION;
        too_many && (!health.is_unreachable || self.ejected_unreachable == self.listed)
    }
}
