//! End of an attempt: updates the statistics of backends, kinds and classes, then closes the request or
//! queues it for a retry.

use super::admission::slow_threshold;
use super::request::{AttemptId, InFlightAttempt};
use super::{outlier_detection, Balancer};
use crate::action::LogEvent;
use crate::event::{AttemptResult, Outcome};
use crate::units::{AttemptNumber, ClassId, KindId, Micros, RequestId, Time};

/// Lower bound of a recorded latency, against division by zero.
const MIN_LATENCY_SECS: f64 = 1e-6;

impl Balancer {
    pub(super) fn response_started(&mut self, request: RequestId, attempt: AttemptNumber) {
        if let Some(request) = self.requests.get_mut(&request) {
            let sent = request.attempts.get(attempt.0 as usize);
            request.is_streaming |= sent.is_some_and(|sent| sent.in_flight);
        }
    }

    /// Records an ended attempt, then closes its request or queues it for a retry.
    pub(super) fn attempt_ended(&mut self, now: Time, result: AttemptResult) {
        let id = result.request;
        let ended = AttemptId { request: id, number: result.attempt };
        let Some(attempt) = self.attempts.remove(&ended) else { return };
        let outcome = effective_outcome(&result, &attempt);
        let is_latency_sample = matches!(outcome, Outcome::Success | Outcome::TimedOut);
        if is_latency_sample && !attempt.counted_as_slow {
            let is_prompt = outcome == Outcome::Success && result.latency < self.slow_threshold_of(&attempt);
            self.adjust_admission(is_prompt);
        }
        if let Some(backend) = self.fleet.backends.get_mut(&attempt.backend) {
            backend.attempt_ended();
        }
        self.record_outcome(now, &attempt, outcome, result.latency);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempt_ended(result.attempt, outcome.never_executed());
        if result.final_response_sent || outcome == Outcome::Success {
            let on_time = outcome == Outcome::Success && now <= request.objective_at;
            self.close(id, Some(on_time));
        } else if !request.is_in_flight() {
            self.queue.push_if_absent(id);
        }
    }

    /// Latency from which a response to the attempt counts as slow.
    pub(super) fn slow_threshold_of(&self, attempt: &InFlightAttempt) -> Micros {
        let backend = self.fleet.backends.get(&attempt.backend);
        let kind = backend.and_then(|backend| self.fleet.kind_of(backend));
        let unloaded_secs = kind.and_then(|kind| kind.estimates.unloaded_secs());
        let work = self.classes.relative_work(attempt.class);
        slow_threshold(attempt.class_objective, unloaded_secs.map_or(0.0, |secs| secs * work))
    }

    fn adjust_admission(&mut self, is_prompt: bool) {
        self.admission.record_response(&self.config, self.admitted_rate.per_second(), is_prompt);
    }

    /// Records the outcome of an attempt for its backend, kind and class.
    fn record_outcome(&mut self, now: Time, attempt: &InFlightAttempt, outcome: Outcome, latency: Micros) {
        let Some(backend) = self.fleet.backends.get_mut(&attempt.backend) else { return };
        if outcome == Outcome::Success {
            backend.concurrency.record_latency(latency);
            let kind = backend.endpoint.kind;
            self.record_served_latency(kind, attempt.class, latency);
        }
        let ejected =
            outlier_detection::record_outcome(&mut self.fleet, now, attempt, outcome, &mut self.random);
        if let Some(ejected) = ejected {
            self.wakeup.schedule(now + self.config.tick);
            let event = LogEvent::BackendEjected { backend: ejected.backend, outcome: ejected.outcome };
            self.log.push(now, event, &mut self.actions);
        }
    }

    /// Records the latency of a served request. Errors, timeouts and rejections are excluded, as their
    /// latency does not depend on the service rate.
    fn record_served_latency(&mut self, kind: KindId, class: ClassId, latency: Micros) {
        let secs = latency.secs().max(MIN_LATENCY_SECS);
        self.classes.record_latency(class, secs);
        let scaled_secs = self.classes.scaled_to_mean_work(class, secs);
        self.fleet.kinds.entry(kind).or_default().estimates.record_latency(scaled_secs);
    }

    /// Counts attempts in flight past their slow threshold as slow responses: an overloaded backend responds
    /// only much later.
    pub(super) fn count_slow_attempts(&mut self, now: Time) {
        let mut attempts = std::mem::take(&mut self.attempts);
        for attempt in attempts.values_mut().filter(|attempt| !attempt.counted_as_slow) {
            let slow_at = attempt.sent_at + self.slow_threshold_of(attempt);
            if now >= slow_at {
                attempt.counted_as_slow = true;
                self.adjust_admission(false);
            } else {
                self.wakeup.schedule(slow_at);
            }
        }
        self.attempts = attempts;
    }

    pub(super) fn find_unresponsive_backends(&mut self, now: Time) {
        let classes = &self.classes;
        let typical =
            |attempt: &InFlightAttempt| classes.typical_latency(attempt.class, attempt.class_objective);
        let attempts = self.attempts.values();
        let next = self.unresponsive_backends.update(&mut self.fleet, now, attempts, typical);
        self.wakeup.schedule(next);
    }
}

/// The outcome by which the backend is judged. An attempt that is cancelled after its latency objective, for
/// example because the client disconnected, counts as timed out.
fn effective_outcome(result: &AttemptResult, attempt: &InFlightAttempt) -> Outcome {
    if result.outcome == Outcome::Cancelled && result.latency > attempt.class_objective {
        Outcome::TimedOut
    } else {
        result.outcome
    }
}
