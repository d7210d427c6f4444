//! Exponentially weighted event rate.

use crate::units::{Micros, Time};

/// Time constant of a [`Rate`].
pub(crate) const RATE_TIME_CONSTANT: Micros = Micros(2_000_000);
/// Fraction of [`RATE_TIME_CONSTANT`] that must have been observed before a rate is reported.
const MIN_OBSERVED_FRACTION: f64 = 1.0 / 20.0;

/// Rate of events per second, exponentially weighted with the time constant [`RATE_TIME_CONSTANT`].
///
/// Events and observed time decay alike, so that the rate has no bias towards zero after the first event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    events: f64,
    observed_secs: f64,
    updated_at: Option<Time>,
}

impl Rate {
    /// Records `events` at `now`. With zero events it only advances the time.
    pub fn add(&mut self, now: Time, events: f64) {
        let time_constant = RATE_TIME_CONSTANT.secs();
        let elapsed = self.updated_at.map_or(0.0, |at| (now - at).secs());
        let decay = (-elapsed / time_constant).exp();
        self.events = self.events * decay + events;
        self.observed_secs = self.observed_secs * decay + (1.0 - decay) * time_constant;
        self.updated_at = Some(now);
    }

    /// Events per second; `None` until enough time has been observed.
    pub fn per_second(&self) -> Option<f64> {
        let observed_enough = self.observed_secs > RATE_TIME_CONSTANT.secs() * MIN_OBSERVED_FRACTION;
        observed_enough.then(|| self.events / self.observed_secs)
    }
}
