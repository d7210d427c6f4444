//! Timeouts of calls to discovery and the backoff between calls.
//!
//! The timeout of a call is the change wait plus a grace. Discovery holds a call until a change occurs, at
//! most for the change wait. A call without a response at the end of the grace counts as lost. The next call
//! must then be answered before the platform considers the proxy notified of the changes that it missed. For
//! a subscribed list, this means change wait + grace + next call <= 6 s. A pushed list comes from an agent on
//! the proxy's own machine; there the limit is the time within which requests to a draining backend must
//! stop.

use super::watch::WatchSettings;
use crate::config::DiscoveryMode;
use std::time::Duration;

/// The change wait of a pushed list is the drain notice limit divided by this. The platform considers the
/// proxy notified as soon as the agent has a change, even if the call is lost.
const PUSH_WAIT_DIVISOR: u32 = 2;
/// The grace of a pushed list is the drain notice limit divided by this.
const PUSH_GRACE_DIVISOR: u32 = 4;
/// The backoff is at most the drain notice limit divided by this.
const MAX_BACKOFF_DIVISOR: u32 = 4;
/// The platform considers a proxy notified of a change this long after discovery has the change and is
/// reachable.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The grace of calls to the fleet's discovery service.
const SUBSCRIBE_GRACE: Duration = Duration::from_millis(1500);
/// Time allowed for the call after a lost one: connecting, queueing at the service and the response.
const NEXT_CALL_TIME: Duration = Duration::from_secs(1);
/// Longest change wait of calls to the fleet's discovery service: as long as the limits allow, because every
/// call puts load on the service.
const MAX_SUBSCRIBE_WAIT: Duration =
    NOTIFICATION_DEADLINE.saturating_sub(SUBSCRIBE_GRACE).saturating_sub(NEXT_CALL_TIME);
/// The waits of a fleet's proxies are spread over this fraction of the longest wait. A change completes the
/// calls of all proxies at the same time. With equal waits, their next calls to an unresponsive service
/// would also time out at the same time, and the calls after these would queue there for too long.
const SUBSCRIBE_WAIT_SPREAD: f64 = 0.5;
/// Time that a call for a snapshot may queue at the service. Together with the grace it must stay below 4 s:
/// the platform considers the proxy notified 4 s after the signal for a reload.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(2);
/// Backoff after the first failed call for a pushed list; it doubles with each further failure.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Timeouts of calls to discovery.
pub(super) struct CallTimes {
    /// Queueing time allowed for a snapshot, which discovery sends without waiting for changes.
    pub(super) snapshot_wait: Duration,
    /// Longest time that discovery holds a call until a change occurs.
    pub(super) change_wait: Duration,
    /// Delay of a response, beyond the wait, after which the call counts as lost.
    pub(super) grace: Duration,
}

impl CallTimes {
    /// Returns the timeouts for this discovery mode.
    pub(super) fn new(mode: DiscoveryMode, settings: &WatchSettings) -> CallTimes {
        match mode {
            DiscoveryMode::Push => CallTimes {
                snapshot_wait: Duration::ZERO,
                change_wait: settings.drain_notice_limit / PUSH_WAIT_DIVISOR,
                grace: settings.drain_notice_limit / PUSH_GRACE_DIVISOR,
            },
            DiscoveryMode::Subscribe(_) => {
                let wait_fraction = 1.0 - SUBSCRIBE_WAIT_SPREAD * settings.fleet_position;
                CallTimes {
                    snapshot_wait: SNAPSHOT_WAIT.mul_f64(wait_fraction),
                    change_wait: MAX_SUBSCRIBE_WAIT.mul_f64(wait_fraction),
                    grace: SUBSCRIBE_GRACE,
                }
            }
        }
    }
}

/// Returns the backoff that follows `backoff`: twice as long, up to the limit.
pub(super) fn next_backoff(backoff: Duration, settings: &WatchSettings) -> Duration {
    (backoff * 2).min(settings.drain_notice_limit / MAX_BACKOFF_DIVISOR)
}
