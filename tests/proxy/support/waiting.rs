//! Waits for conditions that another thread or process fulfils.

use std::time::{Duration, Instant};

/// Time after which a wait is a failure; much longer than any test needs.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds. Panics with "timed out waiting for: " and the description after
/// [`FAILURE_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + FAILURE_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for: {description}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
