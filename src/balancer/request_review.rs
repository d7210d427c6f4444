//! Carries out what the review of requests finds (`deadlines`): requests are given up, or hedged.

use super::classes::ClassTable;
use super::deadlines::{self, Finding};
use super::request::Request;
use super::{retry, Balancer};
use crate::action::Action;
use crate::config::Idempotency;
use crate::units::{AttemptNumber, Micros, RequestId, Time};

impl Balancer {
    /// Reviews every request whose answer does not stream yet.
    pub(super) fn review_requests(&mut self, now: Time) {
        let mut given_up = Vec::new();
        let mut unanswered = Vec::new();
        for (&id, request) in self.requests.iter().filter(|(_, request)| !request.is_streaming) {
            let typical = typical_latency(&self.classes, request);
            let review = deadlines::review(&self.config, &self.fleet, now, request, typical);
            self.wakeup.schedule(review.next);
            match review.finding {
                Finding::Keep => {}
                Finding::GiveUp => given_up.push(id),
                Finding::BackendUnresponsive { attempt } => unanswered.push((id, attempt)),
            }
        }
        if self.retry_budget.allows_retry() {
            for (id, attempt) in unanswered {
                self.replace_attempt(now, id, attempt);
            }
        }
        for id in given_up {
            self.give_up(id);
        }
    }

    /// Hedges a request whose backend is unresponsive; where no two attempts may be in flight, its attempt is
    /// cancelled to make way for a retry. Age alone is no reason for either: copies of heavy requests would
    /// overload every backend.
    fn replace_attempt(&mut self, now: Time, id: RequestId, attempt: AttemptNumber) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.config.hedging_allowed {
            if retry::may_dispatch(&self.config, now, request) {
                self.queue.push_once(id);
            }
        } else if self.config.can_cancel && request.terms.idempotency != Idempotency::NonIdempotent {
            self.actions.push(Action::CancelAttempt { request: id, attempt });
        }
    }
}

fn typical_latency(classes: &ClassTable, request: &Request) -> Micros {
    classes.typical_latency(request.class, request.terms.latency_objective)
}
