//! Periodic check of pending requests: gives up, hedges or cancels according to `deadlines`.

use super::classes::ClassTable;
use super::deadlines::{self, Decision};
use super::request::Request;
use super::{retry, Balancer};
use crate::action::Action;
use crate::config::Idempotency;
use crate::units::{AttemptNumber, Micros, RequestId, Time};

impl Balancer {
    /// Checks every pending request whose response is not being streamed yet.
    pub(super) fn check_requests(&mut self, now: Time) {
        let mut given_up = Vec::new();
        let mut unresponsive = Vec::new();
        for (&id, request) in self.requests.iter().filter(|(_, request)| !request.is_streaming) {
            let typical = typical_latency(&self.classes, request);
            let check = deadlines::check_request(&self.config, &self.fleet, now, request, typical);
            self.wakeup.schedule(check.next_check_at);
            match check.decision {
                Decision::Keep => {}
                Decision::GiveUp => given_up.push(id),
                Decision::ReplaceAttempt { attempt } => unresponsive.push((id, attempt)),
            }
        }
        if self.retry_budget.allows_retry() {
            for (id, attempt) in unresponsive {
                self.replace_attempt(now, id, attempt);
            }
        }
        for id in given_up {
            self.give_up(id);
        }
    }

    /// Hedges a request whose backend is unresponsive or, where hedging is not allowed, cancels its attempt
    /// so that a retry can follow. The age of an attempt alone leads to neither: hedging requests that are
    /// merely expensive would overload every backend.
    fn replace_attempt(&mut self, now: Time, id: RequestId, attempt: AttemptNumber) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.config.hedging_allowed {
            if retry::may_dispatch(&self.config, now, request) {
                self.queue.push_if_absent(id);
            }
        } else if self.config.can_cancel && request.class_config.idempotency != Idempotency::NonIdempotent {
            self.actions.push(Action::CancelAttempt { request: id, attempt });
        }
    }
}

fn typical_latency(classes: &ClassTable, request: &Request) -> Micros {
    classes.typical_latency(request.class, request.class_config.latency_objective)
}
