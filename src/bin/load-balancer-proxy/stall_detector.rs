//! Detects stalls of the process and estimates how long input may have waited before the event loop polled
//! it.
//!
//! Clients' deadlines keep running while the operating system does not schedule the process.

use crate::clock::Clock;
use load_balancer::{Micros, Time};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Longest time between two polls of the event loop unless the process is stalled.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two polls that counts as a stall.
const MIN_STALL: Micros = Micros(40_000);
/// Time after a stall within which input that arrived during it is read.
const CATCH_UP_TIME: Micros = Micros(20_000);
/// Upper bound of the reported time: the longest expected stall, 0.15 s, plus one poll interval.
const MAX_UNOBSERVED: Micros = Micros(170_000);

/// A period in which the process did not run.
struct Stall {
    /// Last poll before the stall.
    start: Time,
    /// First poll after the stall.
    end: Time,
}

/// Times at which the event loop polled the operating system for events.
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

    /// Returns the earliest time at which input that is read at `now` may have arrived.
    fn earliest_arrival(&self, now: Time) -> Time {
        match &self.last_stall {
            Some(stall) if now - stall.end < CATCH_UP_TIME => stall.start.min(self.second_last),
            _ => self.second_last,
        }
    }
}

/// Detects stalls from the times of the event loop's polls.
#[derive(Clone)]
pub struct StallDetector {
    clock: Clock,
    /// Shared with the runtime's unpark hook, which has to be `Send`.
    polls: Arc<Mutex<Polls>>,
}

impl StallDetector {
    /// Creates a detector that counts the current time as the first poll.
    pub fn new(clock: Clock) -> StallDetector {
        let now = clock.now();
        let polls = Polls { last: now, second_last: now, last_stall: None };
        StallDetector { clock, polls: Arc::new(Mutex::new(polls)) }
    }

    /// Records a poll of the event loop; to be called after every poll.
    pub fn record_poll(&self) {
        let now = self.clock.now();
        self.polls.lock().unwrap_or_else(PoisonError::into_inner).record(now);
    }

    /// Wakes the event loop every [`MAX_POLL_INTERVAL`]; never returns.
    pub async fn keep_polling(self) {
        loop {
            tokio::time::sleep(MAX_POLL_INTERVAL).await;
        }
    }

    /// Returns how long input that is read now may have waited before the event loop polled it.
    ///
    /// Input may have arrived at any time since the poll before the one that delivered it. Just after a
    /// stall, the last poll before the stall counts instead, because the first poll after it may deliver
    /// nothing.
    pub fn unobserved_time(&self) -> Micros {
        let now = self.clock.now();
        let polls = self.polls.lock().unwrap_or_else(PoisonError::into_inner);
        (now - polls.earliest_arrival(now)).min(MAX_UNOBSERVED)
    }
}
