//! Exponential backoff for operations that fail because the resources of this machine are exhausted.

use std::time::Duration;
use tokio::time::Instant;

/// The wait after the first failure; it doubles with each further one.
const INITIAL_WAIT: Duration = Duration::from_millis(1);
/// The longest wait.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// A wait between attempts that doubles with each failure. It has no jitter: it waits for this machine alone.
pub struct Backoff {
    next_wait: Duration,
    wait_until: Option<Instant>,
}

impl Backoff {
    /// Nothing has failed yet.
    pub fn new() -> Backoff {
        Backoff { next_wait: INITIAL_WAIT, wait_until: None }
    }

    /// Whether no failure was recorded yet.
    pub fn is_initial(&self) -> bool {
        self.next_wait == INITIAL_WAIT
    }

    /// Records a failure: the next attempt is due after a wait from now.
    pub fn record_failure(&mut self) {
        self.wait_until = Some(Instant::now() + self.next_wait);
        self.next_wait = (self.next_wait * 2).min(MAX_WAIT);
    }

    /// Waits until the next attempt is due. Dropped before that, it waits for the rest when called again.
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
