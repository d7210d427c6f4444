//! Completion of a request with its final response.

use super::{retry, Balancer};
use crate::action::Action;
use crate::units::{AttemptNumber, RequestId};

impl Balancer {
    /// Ends a request that is not served. It is rejected if a client retry is safe, and failed otherwise.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let response = if retry::may_reject(request) {
            Action::Reject { request: id }
        } else {
            Action::Fail { request: id }
        };
        self.actions.push(response);
        self.close(id, Some(false));
    }

    /// Removes a request and, where allowed, cancels its attempts in flight. `on_time` tells whether it was
    /// served within its latency objective; `None` if the client disconnected before the final response.
    pub(super) fn close(&mut self, id: RequestId, on_time: Option<bool>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.remove(id);
        if let Some(on_time) = on_time {
            self.classes.record_final_response(request.class, on_time);
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
