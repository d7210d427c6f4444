//! How long something may have waited before the event loop saw it: while the process is held up by the machine,
//! clients' time runs on.

use crate::clock::Clock;
use load_balancer::{Micros, Time};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The loop looks for events at least this often.
const LONGEST_WAIT: Duration = Duration::from_millis(20);
/// A longer time between two looks tells that the process was held up.
const HOLD_UP_FROM: Micros = Micros(40_000);
/// What came meanwhile is read so long after it at the latest.
const CATCHING_UP: Micros = Micros(20_000);
/// A process is held up for 0.15 s at a time at most; with the wait before it, nothing is unseen for longer.
const LONGEST_UNSEEN: Micros = Micros(170_000);

/// When the loop asked the system for events.
struct Looks {
    last: Time,
    before: Time,
    /// The looks before and after the last hold-up.
    hold_up: Option<(Time, Time)>,
}

/// Watches the event loop of the process.
#[derive(Clone)]
pub struct StallDetector {
    clock: Clock,
    looks: Arc<Mutex<Looks>>,
}

impl StallDetector {
    pub fn new(clock: Clock) -> StallDetector {
        let now = clock.now();
        StallDetector { clock, looks: Arc::new(Mutex::new(Looks { last: now, before: now, hold_up: None })) }
    }

    /// The loop has just asked the system for events: to be called each time.
    pub fn looked(&self) {
        let now = self.clock.now();
        let mut looks = self.looks.lock().unwrap_or_else(PoisonError::into_inner);
        if now - looks.last >= HOLD_UP_FROM {
            looks.hold_up = Some((looks.last, now));
        }
        (looks.before, looks.last) = (looks.last, now);
    }

    /// Keeps the loop from waiting for long. Runs for ever.
    pub async fn keep_looking(self) {
        loop {
            tokio::time::sleep(LONGEST_WAIT).await;
        }
    }

    /// How long what is read now may have been there unseen: since the look before the one that brought it, or since
    /// the one before a hold-up that has just ended. That one may end with a look that brings nothing.
    pub fn unseen(&self) -> Micros {
        let now = self.clock.now();
        let looks = self.looks.lock().unwrap_or_else(PoisonError::into_inner);
        let held_up = looks.hold_up.filter(|(_, end)| now - *end < CATCHING_UP).map(|(start, _)| start);
        (now - held_up.unwrap_or(looks.before).min(looks.before)).min(LONGEST_UNSEEN)
    }
}
