//! Dispatch of queued requests to backends, in order of priority.

use super::priority::{class_priorities, is_low_priority};
use super::request::{AttemptId, InFlightAttempt, SentAttempt};
use super::request_queue::QueuedRequest;
use super::selection::BackendSelector;
use super::slow_start::SlowStartLimits;
use super::{retry, Balancer};
use crate::action::Action;
use crate::units::{BackendId, RequestId, Time};

impl Balancer {
    /// Dispatches queued requests in order of priority. Those that find no backend with capacity stay queued.
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

    fn take_queue_in_order(&mut self) -> Vec<QueuedRequest> {
        let priorities = class_priorities(&self.config, &self.classes);
        let mut order = Vec::new();
        for id in self.queue.take_all() {
            if let Some(request) = self.requests.get(&id) {
                order.push(QueuedRequest::new(id, request, &priorities));
            }
        }
        order.sort_by(QueuedRequest::dispatch_order);
        order
    }

    fn dispatch_or_requeue(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_retry = !request.is_unsent();
        let budget_allows = !is_retry || self.retry_budget.allows_retry();
        if !budget_allows || !retry::may_dispatch(&self.config, now, request) {
            // If an attempt is in flight, its end closes the request or queues it again.
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
        let slow_start_limits = SlowStartLimits {
            config: &self.config,
            fleet: &self.fleet,
            now,
            proxy_rate: self.admitted_rate.per_second(),
        };
        let selector = BackendSelector {
            fleet: &self.fleet,
            classes: &self.classes,
            slow_start_limits,
            proxy_limit: &self.proxy_limit,
            in_flight: self.attempts.len(),
        };
        selector.select_backend(request, &mut self.random)
    }

    fn dispatch(&mut self, now: Time, id: RequestId, backend_id: BackendId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(backend) = self.fleet.backends.get_mut(&backend_id) else { return };
        if !request.is_unsent() {
            self.retry_budget.withdraw();
        }
        let number = request.next_attempt_number();
        let endpoint = backend.endpoint.clone();
        request.attempts.push(SentAttempt {
            backend: endpoint,
            sent_at: now,
            in_flight: true,
            never_executed: false,
        });
        backend.attempt_started();
        backend.recent_work.record(&self.config, now, self.classes.relative_work(request.class));
        let attempt = InFlightAttempt {
            backend: backend_id,
            class: request.class,
            class_objective: request.class_config.latency_objective,
            sent_at: now,
            counted_as_slow: false,
        };
        // If the idempotency window is no longer than the allowance for host stalls, the deadline has
        // passed already. No retry can then follow this attempt, so it may be written at any time.
        let write_by = retry::idempotency_deadline(&self.config, request).filter(|end| *end > now);
        self.wakeup.schedule(now + self.slow_threshold_of(&attempt));
        self.attempts.insert(AttemptId { request: id, number }, attempt);
        self.actions.push(Action::Dispatch { request: id, backend: backend_id, write_by });
    }
}
