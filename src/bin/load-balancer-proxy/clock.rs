//! The clock of the process, in microseconds since the Unix epoch.
//!
//! It is set from the wall clock when the process starts. The wall clock may be wrong by any amount, so
//! timestamps of other machines are never compared with this clock.

use load_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Maximum time from now to an instant that [`Clock::instant`] returns; [`Time::NEVER`] would overflow.
const MAX_AHEAD: Micros = Micros(3_600_000_000);

/// Reads the wall clock once and advances with the monotonic clock, so that a step of the wall clock does not
/// move any deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_start: Time,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_start: Time(micros(since_epoch).0) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.unix_start + micros(self.started_at.elapsed())
    }

    /// Converts a time to an instant for the runtime's timers; times more than an hour ahead are capped to an
    /// hour from now.
    pub fn instant(&self, time: Time) -> Instant {
        let since_start = time.min(self.now() + MAX_AHEAD) - self.unix_start;
        self.started_at + duration(since_start)
    }
}

/// Converts a [`Duration`] to the balancer's unit.
pub fn micros(duration: Duration) -> Micros {
    Micros(duration.as_micros() as u64)
}

/// Converts a time span of the balancer to a [`Duration`].
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}
