//! A token bucket.

use super::RATE_MEMORY;
use crate::units::{Micros, Time};

/// What a bucket holds at most, in time at its rate: a client may send that much at once.
const BURST: Micros = RATE_MEMORY;

/// Starts full and holds what its rate yields in [`BURST`], at least one token; a rate of 0 never grants one.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Option<Time>,
}

impl TokenBucket {
    /// Takes a token if there is one; `rate` is its refill in tokens a second.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        let elapsed = self.filled_at.map_or(f64::MAX, |at| (now - at).secs());
        let capacity = (rate * BURST.secs()).max(1.0);
        self.tokens = (self.tokens + rate * elapsed).min(capacity);
        self.filled_at = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
