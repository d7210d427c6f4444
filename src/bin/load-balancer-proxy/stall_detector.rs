//! Detects stalls of the process, and tells how long input may have waited before the event loop polled it:
//! clients' deadlines run on while the machine does not run the process.

use crate::clock::Clock;
use load_balancer::{Micros, Time};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The event loop polls at least this often.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// From this time between two polls on the process was stalled.
const MIN_STALL: Micros = Micros(40_000);
/// Input that arrived during a stall is read this long after it at the latest.
const CATCH_UP_TIME: Micros = Micros(20_000);
/// The longest stall of 0.15 s, and the poll interval before it.
const MAX_UNOBSERVED: Micros = Micros(170_000);

/// A time in which the process did not run.
struct Stall {
    /// The last poll before it.
    start: Time,
    /// The first poll after it.
    end: Time,
}

/// When the event loop asked the system for events.
struct Polls {
    last: Time,
    second_last: Time,
    last_stall: Option<Stall>,
}

impl Polls {
    fn record(&mut self, now: Time) {
        if now - self.last >= MIN_STALL {
            self.last_stall = Some(Stall { start: self.last, end: now });
        }
        self.second_last = self.last;
        self.last = now;
    }

    /// Since when input that is read now may have waited.
    fn unobserved_since(&self, now: Time) -> Time {
        match &self.last_stall {
            Some(stall) if now - stall.end < CATCH_UP_TIME => stall.start.min(self.second_last),
            _ => self.second_last,
        }
    }
}

/// Watches the event loop of the process.
#[derive(Clone)]
pub struct StallDetector {
    clock: Clock,
    /// Shared with the hook of the runtime, which has to be `Send`.
    polls: Arc<Mutex<Polls>>,
}

impl StallDetector {
    /// Takes the event loop as polled now.
    pub fn new(clock: Clock) -> StallDetector {
        let now = clock.now();
        let polls = Polls { last: now, second_last: now, last_stall: None };
        StallDetector { clock, polls: Arc::new(Mutex::new(polls)) }
    }

    /// Records that the event loop has just polled the system: to be called each time.
    pub fn record_poll(&self) {
        let now = self.clock.now();
        self.polls.lock().unwrap_or_else(PoisonError::into_inner).record(now);
    }

    /// Wakes the event loop for ever, so that it polls at least every [`MAX_POLL_INTERVAL`].
    pub async fn keep_polling(self) {
        loop {
            tokio::time::sleep(MAX_POLL_INTERVAL).await;
        }
    }

    /// How long input that is read now may have waited unobserved: since the poll before the one that brought
    /// it, or since the one before a stall that has just ended, which may end with a poll that brings
    /// nothing.
    pub fn unobserved_time(&self) -> Micros {
        let now = self.clock.now();
        let polls = self.polls.lock().unwrap_or_else(PoisonError::into_inner);
        (now - polls.unobserved_since(now)).min(MAX_UNOBSERVED)
    }
}
