//! How long a call to discovery may wait for changes and for its answer, and the backoff between calls.
//!
//! A call can be lost without a sign. Its loss has to be noticed, and the next call answered, before the
//! platform counts the proxy as notified of what it missed: where the list is subscribed to, change wait +
//! grace + next call <= 6 s. A pushed list comes from an agent on the proxy's own machine, which the same
//! calls ask for changes at no cost to others; there the limit is the settings' time for ceasing to send to a
//! draining backend.

use super::watch::WatchSettings;
use crate::config::DiscoveryMode;
use std::time::Duration;

/// Part of the drain notice limit that a call for a pushed list waits for changes. The platform counts the
/// proxy as notified of what its agent has at once, whatever became of the call.
const PUSH_WAIT_DIVISOR: u32 = 2;
/// Part of it that an answer of the agent may take.
const PUSH_GRACE_DIVISOR: u32 = 4;
/// Part of it that a backoff lasts at most.
const MAX_BACKOFF_DIVISOR: u32 = 4;
/// The proxy counts as notified of a change this long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// An answer of a service for the whole fleet that is this late does not come.
const POLL_GRACE: Duration = Duration::from_millis(1500);
/// What the call after a lost one may take: connecting, its turn at the service, its answer.
const NEXT_CALL_TIME: Duration = Duration::from_secs(1);
/// The longest wait for changes at such a service: each call costs it work.
const MAX_POLL_WAIT: Duration = NOTIFIED_WITHIN.saturating_sub(POLL_GRACE).saturating_sub(NEXT_CALL_TIME);
/// The part of a wait over which the proxies of a fleet spread theirs. A change answers all of them at once;
/// with equal waits all would also notice a silent service at once, and their next calls would queue there
/// for too long.
const POLL_SPREAD: f64 = 0.5;
/// How long the whole list may queue at the service. After a reload it counts as notified 4 s after the
/// signal.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(2);
/// The first wait after a failed call for a pushed list; it doubles.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// How long calls may take.
pub(super) struct CallTimes {
    /// The whole list is not waited for at discovery, but may take this long in its queue.
    pub(super) snapshot_wait: Duration,
    /// Discovery holds a call for changes at most this long.
    pub(super) change_wait: Duration,
    /// A call whose answer is late by this is lost.
    pub(super) grace: Duration,
}

impl CallTimes {
    /// The times for calls in this mode.
    pub(super) fn new(mode: DiscoveryMode, settings: &WatchSettings) -> CallTimes {
        match mode {
            DiscoveryMode::Push => CallTimes {
                snapshot_wait: Duration::ZERO,
                change_wait: settings.drain_notice_limit / PUSH_WAIT_DIVISOR,
                grace: settings.drain_notice_limit / PUSH_GRACE_DIVISOR,
            },
            DiscoveryMode::Subscribe(_) => {
                let spread = 1.0 - POLL_SPREAD * settings.fleet_position;
                CallTimes {
                    snapshot_wait: SNAPSHOT_WAIT.mul_f64(spread),
                    change_wait: MAX_POLL_WAIT.mul_f64(spread),
                    grace: POLL_GRACE,
                }
            }
        }
    }
}

/// The backoff after this one.
pub(super) fn next_backoff(backoff: Duration, settings: &WatchSettings) -> Duration {
    (backoff * 2).min(settings.drain_notice_limit / MAX_BACKOFF_DIVISOR)
}
