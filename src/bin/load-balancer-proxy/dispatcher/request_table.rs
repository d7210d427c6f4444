//! Open requests and their attempts in flight.

use super::deadlines::{Deadline, Deadlines};
use super::log;
use crate::messages::FinalResponse;
use crate::upstream::UpstreamRequest;
use load_balancer::{AttemptNumber, AttemptResult, Event, Micros, Outcome, RequestId, Time};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// An attempt in flight.
pub(super) struct AttemptTask {
    pub sent_at: Time,
    pub task: AbortHandle,
}

/// A request that is pending or still has attempts in flight.
pub(super) struct OpenRequest {
    pub id: RequestId,
    pub deadline: Time,
    pub upstream_request: Rc<UpstreamRequest>,
    /// Sender of the final response; `None` once it has been sent or the client has disconnected.
    pub response_sender: Option<oneshot::Sender<FinalResponse>>,
    pub attempts: HashMap<AttemptNumber, AttemptTask>,
    /// Number of attempts that the balancer has requested so far.
    pub dispatch_count: u32,
}

impl OpenRequest {
    /// Returns whether the final response has been sent or the client has disconnected.
    pub fn is_answered(&self) -> bool {
        self.response_sender.is_none()
    }

    /// Returns whether the request is answered and has no attempts in flight.
    pub fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.is_empty()
    }

    /// Marks the request as answered and returns the sender of the response if the request was still pending.
    pub fn take_response_sender(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.upstream_request.mark_answered();
        self.response_sender.take()
    }

    /// Sends the final response if the request is still pending.
    pub fn answer(&mut self, response: FinalResponse) {
        if let Some(response_sender) = self.take_response_sender() {
            let _ = response_sender.send(response);
        }
    }

    /// Allocates the number of the next attempt.
    pub fn next_attempt(&mut self) -> AttemptNumber {
        let attempt = AttemptNumber(self.dispatch_count);
        self.dispatch_count += 1;
        attempt
    }

    /// Logs the end of an attempt and returns the event for the balancer.
    pub fn attempt_ended(&self, attempt: AttemptNumber, outcome: Outcome, latency: Micros) -> Event {
        let final_response_sent = self.is_answered();
        let result = AttemptResult { request: self.id, attempt, outcome, latency, final_response_sent };
        log::attempt_ended(&self.upstream_request, &result);
        Event::AttemptEnded(result)
    }
}

/// All open requests by id.
#[derive(Default)]
pub(super) struct RequestTable {
    open: HashMap<RequestId, OpenRequest>,
    /// Requests to remove after the next tick.
    finished: Vec<RequestId>,
}

impl RequestTable {
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Iterates over all open requests, in arbitrary order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut OpenRequest> {
        self.open.values_mut()
    }

    pub fn insert(&mut self, request: OpenRequest) {
        self.open.insert(request.id, request);
    }

    /// Removes and returns all requests, in arbitrary order.
    pub fn drain(&mut self) -> impl Iterator<Item = OpenRequest> + '_ {
        self.open.drain().map(|(_, request)| request)
    }

    /// Marks a request for removal if it is finished.
    pub fn mark_if_finished(&mut self, id: RequestId) {
        if self.is_finished(id) {
            self.finished.push(id);
        }
    }

    /// Removes the finished requests once the balancer has handled their events. Until then the balancer may
    /// request another attempt of them, whose end must be reported under its own attempt number. Otherwise
    /// the balancer would count that attempt as in flight forever.
    pub fn remove_finished(&mut self, deadlines: &mut Deadlines) {
        for id in std::mem::take(&mut self.finished) {
            if !self.is_finished(id) {
                continue;
            }
            if let Some(request) = self.open.remove(&id) {
                deadlines.remove(Deadline { at: request.deadline, request: id });
            }
        }
    }

    fn is_finished(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(OpenRequest::is_finished)
    }
}
