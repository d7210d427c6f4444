//! Request deadlines. Attempts that are in flight at the deadline time out. A request without a final
//! response is then overdue; it is failed if the balancer does not answer it within a grace period.

use super::Dispatcher;
use crate::messages::FinalResponse;
use load_balancer::{Event, Micros, Outcome, RequestId, Time};
use std::collections::{BTreeSet, VecDeque};

/// Number of ticks after a deadline in which the balancer may still answer the request. Its timers fire at
/// most one tick late.
const GRACE_TICKS: u64 = 2;

/// A point in time at which a request must be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub at: Time,
    pub request: RequestId,
}

/// The deadlines of open requests.
pub(super) struct Deadlines {
    /// Deadlines that have not been handled yet.
    upcoming: BTreeSet<Deadline>,
    /// Upper limit on all deadlines: the time by which every request is answered during a graceful shutdown,
    /// or [`Time::NEVER`] before.
    latest: Time,
    /// Unanswered requests past their deadline, each with the end of its grace period, ordered by that time.
    overdue: VecDeque<Deadline>,
}

impl Deadlines {
    /// Creates an empty collection without an upper limit on deadlines.
    pub fn new() -> Deadlines {
        Deadlines { upcoming: BTreeSet::new(), latest: Time::NEVER, overdue: VecDeque::new() }
    }

    /// Returns the earliest upcoming deadline, or [`Time::NEVER`] if there is none.
    pub fn next(&self) -> Time {
        self.upcoming.first().map_or(Time::NEVER, |deadline| deadline.at)
    }

    /// Returns the time at which the next overdue request is failed, or [`Time::NEVER`] if there is none.
    pub fn next_grace_end(&self) -> Time {
        self.overdue.front().map_or(Time::NEVER, |overdue| overdue.at)
    }

    /// Caps a deadline at the upper limit.
    pub fn limit(&self, deadline: Time) -> Time {
        deadline.min(self.latest)
    }

    /// Sets the upper limit that [`limit`](Deadlines::limit) applies. Deadlines that were added before keep
    /// their time.
    pub fn set_latest(&mut self, latest: Time) {
        self.latest = latest;
    }

    pub fn insert(&mut self, deadline: Deadline) {
        self.upcoming.insert(deadline);
    }

    /// Removes a deadline if it has not been handled yet.
    pub fn remove(&mut self, deadline: Deadline) {
        self.upcoming.remove(&deadline);
    }

    /// Removes all upcoming deadlines and overdue requests; keeps the upper limit.
    pub fn clear(&mut self) {
        self.upcoming.clear();
        self.overdue.clear();
    }

    fn pop_due(&mut self, now: Time) -> Option<Deadline> {
        let due = self.upcoming.first().filter(|deadline| deadline.at <= now).copied()?;
        self.upcoming.pop_first();
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
    /// Ends all attempts of requests whose deadline has passed with [`Outcome::TimedOut`]. The requests stay
    /// pending until the balancer answers them or [`fail_overdue`](Dispatcher::fail_overdue) does.
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

    /// Fails requests that the balancer has not answered within [`GRACE_TICKS`] after their deadline, so that
    /// no client waits indefinitely. They are not rejected, because only the balancer knows whether a backend
    /// may have executed them.
    pub(super) fn fail_overdue(&mut self, now: Time) {
        while let Some(id) = self.deadlines.pop_overdue(now) {
            if self.requests.get(id).is_some_and(|request| !request.is_answered()) {
                tracing::error!(request = id.0, "request unanswered at its deadline");
                // Tells the balancer that the request no longer needs a response.
                self.events.push(Event::ClientDisconnected { request: id });
                self.answer(id, FinalResponse::Failed);
            }
        }
    }

    /// Caps all current and later request deadlines at `deadline`, the time by which the graceful shutdown
    /// answers every request.
    pub(super) fn shorten_deadlines(&mut self, deadline: Time) {
        self.deadlines.set_latest(deadline);
        for request in self.requests.iter_mut().filter(|request| request.deadline > deadline) {
            self.deadlines.remove(Deadline { at: request.deadline, request: request.id });
            request.deadline = deadline;
            self.deadlines.insert(Deadline { at: deadline, request: request.id });
        }
    }
}
