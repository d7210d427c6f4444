//! The dispatch of queued requests, in order of priority, as far as backends have capacity.

use super::priority::{class_priorities, is_low_priority};
use super::request::{AttemptId, InFlightAttempt, SentAttempt};
use super::request_queue::Queued;
use super::selection::Selection;
use super::slow_start::SlowStart;
use super::{retry, Balancer};
use crate::action::Action;
use crate::units::{BackendId, RequestId, Time};

impl Balancer {
    /// Dispatches what is queued, in order of priority, as far as backends have capacity.
    pub(super) fn dispatch_queued(&mut self, now: Time) {
        if self.queue.has_nothing_to_dispatch() {
            return;
        }
        for queued in self.take_queue_in_order() {
            if self.queue.is_blocked(&queued) {
                self.queue.push(queued.request);
            } else {
                self.dispatch_or_requeue(now, queued.request);
            }
        }
    }

    fn take_queue_in_order(&mut self) -> Vec<Queued> {
        let priorities = class_priorities(&self.config, &self.classes);
        let mut order = Vec::new();
        for id in self.queue.take_all() {
            if let Some(request) = self.requests.get(&id) {
                order.push(Queued::new(id, request, &priorities));
            }
        }
        order.sort_by(Queued::dispatch_order);
        order
    }

    fn dispatch_or_requeue(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_retry = !request.is_unsent();
        let budget_allows = !is_retry || self.retry_budget.allows_retry();
        if !budget_allows || !retry::may_dispatch(&self.config, now, request) {
            // Else the attempt in flight decides: when it ends, the request is closed or queued again.
            if !request.is_in_flight() {
                self.give_up(id);
            }
            return;
        }
        let is_low = is_low_priority(request.relative_value);
        match self.select_backend(now, id) {
            Some(backend) => self.dispatch(now, id, backend),
            None => {
                if !is_retry {
                    self.queue.block(is_low);
                }
                self.queue.push(id);
            }
        }
    }

    fn select_backend(&mut self, now: Time, id: RequestId) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let slow_start = SlowStart {
            config: &self.config,
            fleet: &self.fleet,
            now,
            proxy_rate: self.admitted_rate.per_second(),
        };
        let selection = Selection {
            fleet: &self.fleet,
            classes: &self.classes,
            slow_start,
            proxy_limit: &self.proxy_limit,
            in_flight: self.attempts.len(),
        };
        selection.pick(request, &mut self.random)
    }

    fn dispatch(&mut self, now: Time, id: RequestId, backend_id: BackendId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(backend) = self.fleet.backends.get_mut(&backend_id) else { return };
        if !request.is_unsent() {
            self.retry_budget.withdraw();
        }
        let number = request.next_attempt();
        let record = backend.record.clone();
        request.attempts.push(SentAttempt {
            backend: record,
            sent_at: now,
            in_flight: true,
            never_executed: false,
        });
        backend.attempt_started();
        backend.recent_work.record(&self.config, now, self.classes.relative_work(request.class));
        let attempt = InFlightAttempt {
            backend: backend_id,
            class: request.class,
            class_objective: request.terms.latency_objective,
            sent_at: now,
            counted_as_slow: false,
        };
        // Where the window is no longer than the allowance for a stall of the host, no retry can follow this
        // attempt, and it may be written at any time.
        let write_by = retry::idempotency_deadline(&self.config, request).filter(|end| *end > now);
        self.wakeup.schedule(now + self.prompt_limit_of(&attempt));
        self.attempts.insert(AttemptId { request: id, number }, attempt);
        self.actions.push(Action::Dispatch { request: id, backend: backend_id, write_by });
    }
}
