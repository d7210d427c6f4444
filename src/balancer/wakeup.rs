//! The balancer's only timer: set for the earliest time at which work is due without another event.

use crate::action::Action;
use crate::units::{Micros, Time, TimerToken};

/// The time of the next wake-up, and the timer that the host was asked to set.
pub(super) struct Wakeup {
    /// Time of the next wake-up; [`Time::NEVER`] if none is scheduled.
    due: Time,
    /// Token of the last timer that was set.
    token: TimerToken,
    /// The wake-up for which that timer was set; `None` after it has fired.
    timer_due: Option<Time>,
}

impl Wakeup {
    pub fn new() -> Wakeup {
        Wakeup { due: Time(0), token: TimerToken(0), timer_due: None }
    }

    /// Schedules a wake-up at `at`, or keeps an earlier one.
    pub fn schedule(&mut self, at: Time) {
        self.due = self.due.min(at);
    }

    /// Returns whether a wake-up is due now, and if so clears the schedule: all due work schedules its next
    /// wake-up again.
    pub fn take_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.due;
        if is_due {
            self.due = Time::NEVER;
        }
        is_due
    }

    /// Records that a timer has fired. Returns false for a timer that a later one has replaced.
    pub fn timer_fired(&mut self, token: TimerToken) -> bool {
        let is_current = token == self.token;
        if is_current {
            self.timer_due = None;
        }
        is_current
    }

    /// Sets a timer for the next wake-up, unless the timer set last fires by then. The delay is at least one
    /// tick.
    pub fn set_timer(&mut self, now: Time, tick: Micros, actions: &mut Vec<Action>) {
        let is_covered = self.timer_due.is_some_and(|timer_due| self.due >= timer_due);
        if is_covered || self.due == Time::NEVER {
            return;
        }
        self.token = TimerToken(self.token.0 + 1);
        self.timer_due = Some(self.due);
        let delay = (self.due - now).max(tick);
        actions.push(Action::SetTimer { token: self.token, delay });
    }
}
