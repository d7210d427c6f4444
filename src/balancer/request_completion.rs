//! The final answer of a request.

use super::{retry, Balancer};
use crate::action::Action;
use crate::units::{AttemptNumber, RequestId};

impl Balancer {
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
            self.classes.record_final_answer(request.class, on_time);
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
