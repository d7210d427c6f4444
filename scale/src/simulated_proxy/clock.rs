//! Clock of a simulated proxy.

use load_balancer::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds: read from the system clock once, then advanced by the monotonic clock.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started_at: Instant,
    started_at_unix_us: u64,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), started_at_unix_us: unix.as_micros() as u64 }
    }

    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    pub fn time_of(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.started_at);
        Time(self.started_at_unix_us + elapsed.as_micros() as u64)
    }

    pub fn instant_of(&self, time: Time) -> Instant {
        self.started_at + Duration::from_micros(time.0.saturating_sub(self.started_at_unix_us))
    }
}
