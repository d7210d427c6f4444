//! What time brings about for requests that wait, and the final answer.

use super::classes::ClassTable;
use super::deadlines::{self, Finding};
use super::request::Request;
use super::{retry, Balancer};
use crate::action::Action;
use crate::config::Idempotency;
use crate::units::{AttemptNumber, Micros, RequestId, Time};

impl Balancer {
    /// Gives up, hedges or frees for a retry what time alone calls for.
    pub(super) fn review_requests(&mut self, now: Time) {
        let (mut given_up, mut lost) = (Vec::new(), Vec::new());
        for (&id, request) in self.requests.iter().filter(|(_, request)| !request.is_streaming) {
            let typical = typical_latency(&self.classes, request);
            let review = deadlines::review(&self.config, &self.fleet, now, request, typical);
            self.wakeup.schedule(review.next);
            match review.finding {
                Finding::Keep => {}
                Finding::GiveUp => given_up.push(id),
                Finding::BackendLost => lost.push(id),
            }
        }
        if self.retry_budget.allows_retry() {
            for id in lost {
                self.replace_lost_attempt(now, id);
            }
        }
        for id in given_up {
            self.give_up(id);
        }
    }

    /// Hedges a request whose backend is lost; where no two attempts may be in flight, the first is cancelled
    /// to make way for a retry. Age alone is no reason for either: copies of heavy requests would overload
    /// every backend.
    fn replace_lost_attempt(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.config.hedging_allowed {
            if retry::may_dispatch(&self.config, now, request) {
                self.queue.push_once(id);
            }
        } else if self.config.can_cancel && request.terms.idempotency != Idempotency::NonIdempotent {
            self.actions.push(Action::CancelAttempt { request: id, attempt: AttemptNumber(0) });
        }
    }

    /// Gives a request its final answer: it is not served.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let answer = if retry::rejection_is_harmless(request) {
            Action::Reject { request: id }
        } else {
            Action::Fail { request: id }
        };
        self.actions.push(answer);
        self.close(id, Some(false));
    }

    /// Ends a request. `on_time` is `None` where its client left: nothing was owed any more.
    pub(super) fn close(&mut self, id: RequestId, on_time: Option<bool>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.remove(id);
        if let Some(on_time) = on_time {
            self.classes.record_answer(request.class, on_time);
        }
        if !self.config.can_cancel {
            return;
        }
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight {
                let attempt = AttemptNumber(number as u32);
                self.actions.push(Action::CancelAttempt { request: id, attempt });
            }
        }
    }
}

fn typical_latency(classes: &ClassTable, request: &Request) -> Micros {
    classes.typical_latency(request.class, request.terms.latency_objective)
}
