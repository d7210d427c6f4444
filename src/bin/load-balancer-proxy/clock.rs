//! The clock of the process, in Unix microseconds of its start: it may be off by any amount, so that times of
//! other machines are never compared with it.

use load_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The farthest that [`Clock::instant`] looks ahead.
const MAX_AHEAD: Micros = Micros(3_600_000_000);

/// Reads the system's clock once and goes on with the monotonic one: a correction of the former moves no
/// deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_start: Time,
}

impl Clock {
    /// A clock that reads the system's time now.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_start: Time(micros(since_epoch).0) }
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.unix_start + micros(self.started_at.elapsed())
    }

    /// The instant of a time for the runtime's timers; of one more than an hour ahead, an hour from now.
    pub fn instant(&self, time: Time) -> Instant {
        let since_start = time.min(self.now() + MAX_AHEAD) - self.unix_start;
        self.started_at + duration(since_start)
    }
}

/// A span for the balancer.
pub fn micros(span: Duration) -> Micros {
    Micros(span.as_micros() as u64)
}

/// A span for the runtime's timers.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
