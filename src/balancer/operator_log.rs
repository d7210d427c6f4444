//! Log events for operators, limited in rate.

use crate::action::{Action, LogEvent};
use crate::units::{Micros, Time};

/// Least time between two log events.
const LEAST_INTERVAL: Micros = Micros(500_000);

/// When the next event may be logged.
pub(super) struct OperatorLog {
    next_at: Time,
}

impl OperatorLog {
    pub fn new() -> OperatorLog {
        OperatorLog { next_at: Time(0) }
    }

    /// Logs an event, or drops it where the last was too short a while ago.
    pub fn push(&mut self, now: Time, event: LogEvent, actions: &mut Vec<Action>) {
        if now >= self.next_at {
            self.next_at = now + LEAST_INTERVAL;
            actions.push(Action::Log(event));
        }
    }
}
