//! The end of an attempt: what it tells of backends and classes, and what follows for its request.

use super::admission::prompt_limit;
use super::request::{AttemptId, InFlightAttempt};
use super::{outlier_detection, Balancer};
use crate::action::LogEvent;
use crate::event::{AttemptResult, Outcome};
use crate::units::{AttemptNumber, ClassId, KindId, Micros, RequestId, Time};

/// Guards a division by a latency.
const LEAST_LATENCY_SECS: f64 = 1e-6;

impl Balancer {
    pub(super) fn response_started(&mut self, request: RequestId, attempt: AttemptNumber) {
        if let Some(request) = self.requests.get_mut(&request) {
            let sent = request.attempts.get(attempt.0 as usize);
            request.is_streaming |= sent.is_some_and(|sent| sent.in_flight);
        }
    }

    /// Learns from an attempt that ended; its request is closed, or queued for a retry.
    pub(super) fn attempt_ended(&mut self, now: Time, result: AttemptResult) {
        let id = result.request;
        let ended = AttemptId { request: id, number: result.attempt };
        let Some(attempt) = self.attempts.remove(&ended) else { return };
        let outcome = judged_outcome(&result, &attempt);
        let tells_promptness = matches!(outcome, Outcome::Success | Outcome::TimedOut);
        if tells_promptness && !attempt.counted_as_slow {
            let is_prompt = outcome == Outcome::Success && result.latency < self.prompt_limit_of(&attempt);
            self.record_promptness(is_prompt);
        }
        if let Some(backend) = self.fleet.backends.get_mut(&attempt.backend) {
            backend.attempt_ended();
        }
        self.learn(now, &attempt, outcome, result.latency);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempt_ended(result.attempt, outcome.never_executed());
        if result.answered || outcome == Outcome::Success {
            let on_time = outcome == Outcome::Success && now <= request.objective_at;
            self.close(id, Some(on_time));
        } else if !request.is_in_flight() {
            self.queue.push_once(id);
        }
    }

    /// Until when an attempt's answer is prompt, from its dispatch.
    pub(super) fn prompt_limit_of(&self, attempt: &InFlightAttempt) -> Micros {
        let backend = self.fleet.backends.get(&attempt.backend);
        let kind = backend.and_then(|backend| self.fleet.kind_of(backend));
        let unloaded_secs = kind.and_then(|kind| kind.speed.unloaded_secs());
        let work = self.classes.relative_work(attempt.class);
        prompt_limit(attempt.class_objective, unloaded_secs.map_or(0.0, |secs| secs * work))
    }

    fn record_promptness(&mut self, is_prompt: bool) {
        self.admission.record_promptness(&self.config, self.admitted_rate.per_second(), is_prompt);
    }

    /// What an outcome tells of its backend, kind and class.
    fn learn(&mut self, now: Time, attempt: &InFlightAttempt, outcome: Outcome, latency: Micros) {
        let Some(backend) = self.fleet.backends.get_mut(&attempt.backend) else { return };
        if outcome == Outcome::Success {
            backend.concurrency.record_latency(latency);
            let kind = backend.record.kind;
            self.learn_speed(kind, attempt.class, latency);
        }
        let ejected =
            outlier_detection::record_outcome(&mut self.fleet, now, attempt, outcome, &mut self.random);
        if let Some(ejected) = ejected {
            self.wakeup.schedule(now + self.config.tick);
            let event = LogEvent::BackendEjected { backend: ejected.backend, outcome: ejected.outcome };
            self.log.push(now, event, &mut self.actions);
        }
    }

    /// Only served requests tell a speed: errors, time-outs and rejections do not.
    fn learn_speed(&mut self, kind: KindId, class: ClassId, latency: Micros) {
        let secs = latency.secs().max(LEAST_LATENCY_SECS);
        self.classes.record_latency(class, secs);
        let secs_of_mean_work = self.classes.scaled_to_mean_work(class, secs);
        self.fleet.kinds.entry(kind).or_default().speed.record_latency(secs_of_mean_work);
    }

    /// Counts attempts that are past their prompt limit now: an overloaded backend answers only much later.
    pub(super) fn count_slow_attempts(&mut self, now: Time) {
        let mut attempts = std::mem::take(&mut self.attempts);
        for attempt in attempts.values_mut().filter(|attempt| !attempt.counted_as_slow) {
            let limit = attempt.sent_at + self.prompt_limit_of(attempt);
            if now >= limit {
                attempt.counted_as_slow = true;
                self.record_promptness(false);
            } else {
                self.wakeup.schedule(limit);
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

/// An attempt that was cancelled after its objective, as its client left, counts against the backend like a
/// time-out.
fn judged_outcome(result: &AttemptResult, attempt: &InFlightAttempt) -> Outcome {
    if result.outcome == Outcome::Cancelled && result.latency > attempt.class_objective {
        Outcome::TimedOut
    } else {
        result.outcome
    }
}
