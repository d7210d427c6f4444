//! The operators' log, with a rate limit.

use crate::action::{Action, LogEvent};
use crate::units::{Micros, Time};

/// Minimum time between two log events.
const MIN_INTERVAL: Micros = Micros(500_000);

/// Rate limiter of the operators' log.
pub(super) struct OperatorLog {
    /// Time from which on the next event may be logged.
    next_at: Time,
}

impl OperatorLog {
    pub fn new() -> OperatorLog {
        OperatorLog { next_at: Time(0) }
    }

    /// Logs an event, or drops it if the last one was logged less than [`MIN_INTERVAL`] ago.
    pub fn push(&mut self, now: Time, event: LogEvent, actions: &mut Vec<Action>) {
        if now >= self.next_at {
            self.next_at = now + MIN_INTERVAL;
            actions.push(Action::Log(event));
        }
    }
}
