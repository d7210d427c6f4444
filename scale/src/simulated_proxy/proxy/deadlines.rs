//! Request deadlines of a simulated proxy.

use super::Proxy;
use load_balancer::{AttemptNumber, Event, Micros, Outcome, RequestId, Time};

/// Grace period after a request's deadline, in ticks. A request that is pending at the end of the grace
/// period counts as unanswered.
const GRACE_TICKS: u64 = 4;

/// The deadline of a request, or the end of the grace period after it. Ordered by time, then by request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub due_at: Time,
    pub request: RequestId,
}

impl Proxy {
    /// Times out the attempts in flight of each request whose deadline is due, and closes each request whose
    /// grace period has ended.
    pub(super) fn expire_deadlines(&mut self, now: Time) {
        while let Some(deadline) = self.take_due_deadline(now) {
            let Some(open) = self.requests.get(&deadline.request) else { continue };
            if deadline.due_at > open.deadline {
                self.close_request(deadline.request);
            } else {
                self.time_out_attempts(now, deadline.request);
            }
        }
    }

    fn take_due_deadline(&mut self, now: Time) -> Option<Deadline> {
        let next = self.deadlines.first()?;
        if next.due_at > now {
            return None;
        }
        self.deadlines.pop_first()
    }

    fn close_request(&mut self, request: RequestId) {
        let Some(open) = self.requests.remove(&request) else { return };
        if !open.has_final_response {
            self.context.counters.lock().unanswered += 1;
            self.events.push(Event::ClientDisconnected { request });
        }
    }

    fn time_out_attempts(&mut self, now: Time, request: RequestId) {
        // The grace period starts at the next tick, because the balancer only acts in ticks.
        let grace = Micros(GRACE_TICKS * self.config.tick.0);
        self.deadlines.insert(Deadline { due_at: now.max(self.next_tick) + grace, request });
        let Some(open) = self.requests.get_mut(&request) else { return };
        let in_flight: Vec<(AttemptNumber, Time)> = open.in_flight.drain().collect();
        for (attempt, dispatched_at) in in_flight {
            self.attempt_ended(request, attempt, Outcome::TimedOut, now - dispatched_at);
        }
    }
}
