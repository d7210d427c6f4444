//! The rate of events.

use crate::units::{Micros, Time};

/// Time constant of a [`Rate`].
pub(crate) const RATE_MEMORY: Micros = Micros(2_000_000);
/// Part of [`RATE_MEMORY`] that has to be observed before there is a rate.
const LEAST_OBSERVED_FRACTION: f64 = 1.0 / 20.0;

/// Events a second, exponentially weighted over [`RATE_MEMORY`] and unbiased from the start on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    events: f64,
    observed_secs: f64,
    updated_at: Option<Time>,
}

impl Rate {
    /// Counts `events` at `now`; zero lets time pass.
    pub fn add(&mut self, now: Time, events: f64) {
        let memory = RATE_MEMORY.secs();
        let elapsed = self.updated_at.map_or(0.0, |at| (now - at).secs());
        let decay = (-elapsed / memory).exp();
        self.events = self.events * decay + events;
        self.observed_secs = self.observed_secs * decay + (1.0 - decay) * memory;
        self.updated_at = Some(now);
    }

    /// Events a second; `None` while too little time was observed.
    pub fn per_second(&self) -> Option<f64> {
        let observed_enough = self.observed_secs > RATE_MEMORY.secs() * LEAST_OBSERVED_FRACTION;
        observed_enough.then(|| self.events / self.observed_secs)
    }
}
