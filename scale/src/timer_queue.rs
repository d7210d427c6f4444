//! Queue of the timers that a balancer sets.

use load_balancer::{Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending timers, ordered by due time, then by token.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due_at: Time,
    token: TimerToken,
}

impl TimerQueue {
    /// Adds a timer; timers with the same token do not replace each other.
    pub fn set(&mut self, due_at: Time, token: TimerToken) {
        self.timers.push(Reverse(Timer { due_at, token }));
    }

    /// Returns the due time of the next timer; [`Time::NEVER`] if there is none.
    pub fn next_due(&self) -> Time {
        self.timers.peek().map_or(Time::NEVER, |Reverse(timer)| timer.due_at)
    }

    /// Removes the next timer and returns its token, if it is due.
    pub fn take_due(&mut self, now: Time) -> Option<TimerToken> {
        if self.next_due() > now {
            return None;
        }
        self.timers.pop().map(|Reverse(timer)| timer.token)
    }
}
