//! Token bucket.

use super::RATE_TIME_CONSTANT;
use crate::units::{Micros, Time};

/// Burst size: a full bucket holds the tokens that its rate yields in this time, since a client may send
/// that much at once.
const BURST: Micros = RATE_TIME_CONSTANT;

/// A token bucket that starts full. Its capacity is what its rate yields in [`BURST`], at least one token.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Option<Time>,
}

impl TokenBucket {
    /// Takes a token if there is one. `rate` is the refill rate in tokens per second; a rate of 0 grants
    /// none.
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
