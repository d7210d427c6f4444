//! The timers that a balancer asked for.

use load_balancer::{Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers, the earliest first; of equal ones the lowest token.
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
    /// Adds a timer.
    pub fn set(&mut self, due_at: Time, token: TimerToken) {
        self.timers.push(Reverse(Timer { due_at, token }));
    }

    /// When the next timer is due; [`Time::NEVER`] without one.
    pub fn next_due(&self) -> Time {
        self.timers.peek().map_or(Time::NEVER, |Reverse(timer)| timer.due_at)
    }

    /// Takes the next timer if it is due.
    pub fn take_due(&mut self, now: Time) -> Option<TimerToken> {
        if self.next_due() > now {
            return None;
        }
        self.timers.pop().map(|Reverse(timer)| timer.token)
    }
}
