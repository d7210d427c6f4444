//! Waiting for what another thread or process does.

use std::time::{Duration, Instant};

/// Far longer than anything here takes; only a failure waits so long.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(30);

/// Between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds; panics after [`FAILURE_TIMEOUT`].
pub fn wait_until(description: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + FAILURE_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "never came: {description}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
