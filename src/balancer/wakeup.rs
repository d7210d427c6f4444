//! The one timer of the balancer: the earliest time at which something is due without an event.

use crate::action::Action;
use crate::units::{Micros, Time, TimerToken};

/// When to look next, and the timer that the host was asked for.
pub(super) struct Wakeup {
    due: Time,
    token: TimerToken,
    /// When the timer with that token fires; `None` once it has.
    pending: Option<Time>,
}

impl Wakeup {
    pub fn new() -> Wakeup {
        Wakeup { due: Time(0), token: TimerToken(0), pending: None }
    }

    /// Schedules a wake-up at that time or sooner.
    pub fn schedule(&mut self, at: Time) {
        self.due = self.due.min(at);
    }

    /// Whether a wake-up is due now. It clears the schedule: every rule that still waits schedules again.
    pub fn take_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.due;
        if is_due {
            self.due = Time::NEVER;
        }
        is_due
    }

    /// A timer has fired; false for one that another has replaced.
    pub fn timer_fired(&mut self, token: TimerToken) -> bool {
        let is_current = token == self.token;
        if is_current {
            self.pending = None;
        }
        is_current
    }

    /// Asks for a timer where none fires in time, no sooner than a tick from now.
    pub fn set_timer(&mut self, now: Time, tick: Micros, actions: &mut Vec<Action>) {
        let is_covered = self.pending.is_some_and(|pending| self.due >= pending);
        if is_covered || self.due == Time::NEVER {
            return;
        }
        self.token = TimerToken(self.token.0 + 1);
        self.pending = Some(self.due);
        let delay = (self.due - now).max(tick);
        actions.push(Action::SetTimer { token: self.token, delay });
    }
}
