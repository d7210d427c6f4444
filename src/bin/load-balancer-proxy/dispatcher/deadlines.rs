//! Deadlines of requests: attempts in flight at a deadline time out, and a request that the balancer leaves
//! unanswered after it is failed.

use super::Dispatcher;
use crate::messages::FinalAnswer;
use load_balancer::{Event, Micros, Outcome, RequestId, Time};
use std::collections::{BTreeSet, VecDeque};

/// Ticks after a deadline in which the balancer may still answer: its timers fire a tick late at most.
const GRACE_TICKS: u64 = 2;

/// When something is due for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub at: Time,
    pub request: RequestId,
}

/// The deadlines of open requests.
pub(super) struct Deadlines {
    pending: BTreeSet<Deadline>,
    /// No deadline is later: the process ends then.
    latest: Time,
    /// Unanswered requests past their deadline, and until when the balancer may answer them; in order.
    overdue: VecDeque<Deadline>,
}

impl Deadlines {
    /// No deadlines, and no limit on them.
    pub fn new() -> Deadlines {
        Deadlines { pending: BTreeSet::new(), latest: Time::NEVER, overdue: VecDeque::new() }
    }

    /// When the next deadline is due, or [`Time::NEVER`].
    pub fn next(&self) -> Time {
        self.pending.first().map_or(Time::NEVER, |deadline| deadline.at)
    }

    /// When the next overdue request is failed, or [`Time::NEVER`].
    pub fn next_overdue(&self) -> Time {
        self.overdue.front().map_or(Time::NEVER, |overdue| overdue.at)
    }

    /// The deadline, or the end of the process where that is sooner.
    pub fn limit(&self, deadline: Time) -> Time {
        deadline.min(self.latest)
    }

    /// No deadline that is added from now on may be later.
    pub fn set_latest(&mut self, latest: Time) {
        self.latest = latest;
    }

    /// Adds a deadline.
    pub fn insert(&mut self, deadline: Deadline) {
        self.pending.insert(deadline);
    }

    /// Removes a deadline, unless it is past already.
    pub fn remove(&mut self, deadline: Deadline) {
        self.pending.remove(&deadline);
    }

    /// Removes every deadline; the limit on later ones stays.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.overdue.clear();
    }

    fn pop_due(&mut self, now: Time) -> Option<Deadline> {
        let due = self.pending.first().filter(|deadline| deadline.at <= now).copied()?;
        self.pending.pop_first();
        Some(due)
    }

    fn push_overdue(&mut self, overdue: Deadline) {
        self.overdue.push_back(overdue);
    }

    fn pop_overdue(&mut self, now: Time) -> Option<RequestId> {
        let due = self.overdue.front().filter(|overdue| overdue.at <= now).copied()?;
        self.overdue.pop_front();
        Some(due.request)
    }
}

impl Dispatcher {
    /// Ends as timed out what is in flight at its deadline; the balancer still owes the answer.
    pub(super) fn expire_deadlines(&mut self, now: Time) {
        while let Some(Deadline { at, request: id }) = self.deadlines.pop_due(now) {
            let Some(request) = self.requests.get_mut(id) else { continue };
            for (number, attempt) in std::mem::take(&mut request.attempts) {
                attempt.task.abort();
                let ended = request.attempt_ended(number, Outcome::TimedOut, now - attempt.sent_at);
                self.events.push(ended);
            }
            if !request.is_answered() {
                let grace = Micros(GRACE_TICKS * self.settings.balancer.tick.0);
                self.deadlines.push_overdue(Deadline { at: at + grace, request: id });
            }
            self.requests.mark_if_finished(id);
        }
    }

    /// Fails requests that the balancer has not answered within the grace ticks, so that no client waits for
    /// ever. They are never rejected: only the balancer knows what may have been executed.
    pub(super) fn fail_overdue(&mut self, now: Time) {
        while let Some(id) = self.deadlines.pop_overdue(now) {
            if self.requests.get(id).is_some_and(|request| !request.is_answered()) {
                tracing::error!(request = id.0, "request unanswered at its deadline");
                // To the balancer: no answer is owed any more.
                self.events.push(Event::ClientDisconnected { request: id });
                self.answer(id, FinalAnswer::Failed);
            }
        }
    }

    /// The process ends at `deadline`: every request is answered by then.
    pub(super) fn shorten_deadlines(&mut self, deadline: Time) {
        self.deadlines.set_latest(deadline);
        for request in self.requests.iter_mut().filter(|request| request.deadline > deadline) {
            self.deadlines.remove(Deadline { at: request.deadline, request: request.id });
            request.deadline = deadline;
            self.deadlines.insert(Deadline { at: deadline, request: request.id });
        }
    }
}
