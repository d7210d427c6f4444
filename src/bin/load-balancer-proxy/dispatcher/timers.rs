//! Timers that the balancer has set.

use load_balancer::{Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Time,
    token: TimerToken,
}

/// Pending timers, ordered by expiry time.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
}

impl Timers {
    /// Returns the time at which the next timer fires, or [`Time::NEVER`] if there is none.
    pub fn next(&self) -> Time {
        self.heap.peek().map_or(Time::NEVER, |Reverse(timer)| timer.at)
    }

    pub fn set(&mut self, at: Time, token: TimerToken) {
        self.heap.push(Reverse(Timer { at, token }));
    }

    /// Removes the earliest timer if it is due and returns its token.
    pub fn pop_due(&mut self, now: Time) -> Option<TimerToken> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.token)
    }

    pub fn clear(&mut self) {
        self.heap.clear();
    }
}
