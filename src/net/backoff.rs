//! Exponential backoff for operations that fail because local resources are exhausted.

use std::time::Duration;
use tokio::time::Instant;

/// Wait after the first failure; doubles with each further failure.
const INITIAL_WAIT: Duration = Duration::from_millis(1);
/// Upper limit on the wait.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Exponential backoff without jitter. Jitter is not needed because the contended resources belong to this
/// machine alone.
pub struct Backoff {
    next_wait: Duration,
    wait_until: Option<Instant>,
}

impl Backoff {
    /// Creates a backoff without recorded failures.
    pub fn new() -> Backoff {
        Backoff { next_wait: INITIAL_WAIT, wait_until: None }
    }

    /// Returns whether no failure has been recorded.
    pub fn is_initial(&self) -> bool {
        self.next_wait == INITIAL_WAIT
    }

    /// Records a failure and starts the wait before the next attempt.
    pub fn record_failure(&mut self) {
        self.wait_until = Some(Instant::now() + self.next_wait);
        self.next_wait = (self.next_wait * 2).min(MAX_WAIT);
    }

    /// Waits until the next attempt is due. Cancel safe: if the future is dropped, the next call waits for
    /// the remaining time.
    pub async fn wait(&mut self) {
        if let Some(until) = self.wait_until {
            tokio::time::sleep_until(until).await;
            self.wait_until = None;
        }
    }
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff::new()
    }
}
