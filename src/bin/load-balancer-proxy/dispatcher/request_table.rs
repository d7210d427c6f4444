//! Open requests and their attempts in flight.

use super::deadlines::{Deadline, Deadlines};
use super::log;
use crate::messages::FinalAnswer;
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

/// A request that is owed an answer or has attempts in flight.
pub(super) struct OpenRequest {
    pub id: RequestId,
    pub deadline: Time,
    pub upstream_request: Rc<UpstreamRequest>,
    /// `None`: it has had its final answer, or its client is gone.
    pub reply: Option<oneshot::Sender<FinalAnswer>>,
    pub attempts: HashMap<AttemptNumber, AttemptTask>,
    /// How many attempts the balancer has asked for so far.
    pub dispatched: u32,
}

impl OpenRequest {
    /// Whether no answer is owed any more.
    pub fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    /// Whether it is answered and nothing of it is in flight.
    pub fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.is_empty()
    }

    /// Marks it as answered and returns the sender to its client, if an answer was owed.
    pub fn take_reply(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        self.upstream_request.mark_answered();
        self.reply.take()
    }

    /// Sends the final answer, if one is owed.
    pub fn answer(&mut self, answer: FinalAnswer) {
        if let Some(reply) = self.take_reply() {
            let _ = reply.send(answer);
        }
    }

    /// The number of its next attempt, which counts as dispatched from now on.
    pub fn next_attempt(&mut self) -> AttemptNumber {
        let attempt = AttemptNumber(self.dispatched);
        self.dispatched += 1;
        attempt
    }

    /// The event that an attempt ended, which is logged too.
    pub fn attempt_ended(&self, attempt: AttemptNumber, outcome: Outcome, latency: Micros) -> Event {
        let answered = self.is_answered();
        let result = AttemptResult { request: self.id, attempt, outcome, latency, answered };
        log::attempt_ended(&self.upstream_request, &result);
        Event::AttemptEnded(result)
    }
}

/// The open requests.
#[derive(Default)]
pub(super) struct RequestTable {
    open: HashMap<RequestId, OpenRequest>,
    /// Requests to be removed after the next tick.
    finished: Vec<RequestId>,
}

impl RequestTable {
    /// How many requests are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// An open request.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// All open requests, in no order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut OpenRequest> {
        self.open.values_mut()
    }

    /// Adds a request under its id.
    pub fn insert(&mut self, request: OpenRequest) {
        self.open.insert(request.id, request);
    }

    /// Removes and returns all requests, in no order.
    pub fn drain(&mut self) -> impl Iterator<Item = OpenRequest> + '_ {
        self.open.drain().map(|(_, request)| request)
    }

    /// Marks a request to be removed if it is finished.
    pub fn mark_if_finished(&mut self, id: RequestId) {
        if self.is_finished(id) {
            self.finished.push(id);
        }
    }

    /// Removes the finished requests, after the balancer has handled their events. Until then it may ask for
    /// another attempt, which must end under its own number: else the balancer counts it as in flight for
    /// ever.
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
