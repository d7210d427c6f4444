//! The timers that the balancer has set.

use load_balancer::{Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Time,
    token: TimerToken,
}

/// Timers, the soonest first.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
}

impl Timers {
    /// When the next timer fires, or [`Time::NEVER`].
    pub fn next(&self) -> Time {
        self.heap.peek().map_or(Time::NEVER, |Reverse(timer)| timer.at)
    }

    /// Adds a timer.
    pub fn set(&mut self, at: Time, token: TimerToken) {
        self.heap.push(Reverse(Timer { at, token }));
    }

    /// Removes the next timer that is due.
    pub fn pop_due(&mut self, now: Time) -> Option<TimerToken> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.token)
    }

    /// Removes all timers.
    pub fn clear(&mut self) {
        self.heap.clear();
    }
}
