//! The subscription to the endpoint list: decides when to call discovery, and when to call again after a
//! loss.
//!
//! All proxies can lose their subscriptions at the same time, and discovery handles their calls one after
//! another. The calls therefore use exponential backoff with full jitter.

use crate::backend::EndpointListUpdate;
use crate::config::{Config, DiscoveryMode};
use crate::random::Random;
use crate::units::{Micros, Time};

/// The first calls after a loss are spread over this time multiplied by the number of proxies.
const SPREAD_PER_PROXY: Micros = Micros(50_000);
/// Maximum backoff before a call after a loss: half of the 6 s after which the platform counts a proxy as
/// notified once discovery is reachable again. The other half is for the queue at discovery, its response,
/// and a second call if one is rejected.
const MAX_BACKOFF: Micros = Micros(3_000_000);
/// Maximum backoff as a fraction of the poll interval, for short poll intervals.
const MAX_BACKOFF_FRACTION: f64 = 1.0 / 2.0;
/// Fraction of the poll interval up to which the backoff doubles.
const DOUBLING_LIMIT_FRACTION: f64 = 1.0 / 8.0;
/// Fraction of the poll interval after which a call without a response is made again.
const CALL_TIMEOUT_FRACTION: f64 = 0.5;

/// Schedules calls to discovery. None is scheduled while a subscription is established or the list is pushed.
pub(super) struct Subscription {
    next_call: Option<Time>,
    /// Upper bound of the random delay of the last call after a loss; zero after a success.
    backoff_secs: f64,
}

impl Subscription {
    /// Schedules an immediate first call, unless the list is pushed.
    pub fn new(mode: DiscoveryMode) -> Subscription {
        let next_call = (mode != DiscoveryMode::Push).then_some(Time(0));
        Subscription { next_call, backoff_secs: 0.0 }
    }

    /// Time of the next call; `None` if none is scheduled.
    pub fn next_call(&self) -> Option<Time> {
        self.next_call
    }

    /// Records an update of the endpoint list. Returns whether the subscription was lost and a new call was
    /// scheduled.
    pub fn record_update(
        &mut self, config: &Config, now: Time, update: EndpointListUpdate, random: &mut Random,
    ) -> bool {
        match (update, config.discovery) {
            (EndpointListUpdate::SubscriptionLost, DiscoveryMode::Subscribe(poll_interval)) => {
                self.back_off(config, now, poll_interval, random);
                true
            }
            (EndpointListUpdate::Delta | EndpointListUpdate::Snapshot, _) => {
                self.cancel_calls();
                false
            }
            _ => false,
        }
    }

    fn back_off(&mut self, config: &Config, now: Time, poll_interval: Micros, random: &mut Random) {
        let max_secs = MAX_BACKOFF.secs().min(poll_interval.secs() * MAX_BACKOFF_FRACTION);
        let spread_secs = SPREAD_PER_PROXY.secs() * f64::from(config.proxy_count);
        let first_secs = spread_secs.min(max_secs);
        let doubled_secs = (self.backoff_secs * 2.0).min(poll_interval.secs() * DOUBLING_LIMIT_FRACTION);
        self.backoff_secs = doubled_secs.clamp(first_secs, max_secs);
        self.next_call = Some(now + Micros::from_secs(self.backoff_secs * random.unit()));
    }

    fn cancel_calls(&mut self) {
        self.next_call = None;
        self.backoff_secs = 0.0;
    }

    /// Returns whether a call is due now, and if so schedules the next one for when this one has timed out.
    pub fn take_due_call(&mut self, mode: DiscoveryMode, now: Time) -> bool {
        let DiscoveryMode::Subscribe(poll_interval) = mode else { return false };
        let is_due = self.next_call.is_some_and(|at| now >= at);
        if is_due {
            self.next_call = Some(now + poll_interval.times(CALL_TIMEOUT_FRACTION));
        }
        is_due
    }

    /// Reschedules the calls after a change of the discovery mode or its poll interval.
    pub fn reconfigure(&mut self, now: Time, old_mode: DiscoveryMode, new_mode: DiscoveryMode) {
        match (old_mode, new_mode) {
            (_, DiscoveryMode::Push) => self.cancel_calls(),
            (DiscoveryMode::Push, _) => {
                self.next_call = Some(now);
                self.backoff_secs = 0.0;
            }
            (_, DiscoveryMode::Subscribe(poll_interval)) => {
                let latest = now + poll_interval.times(CALL_TIMEOUT_FRACTION);
                self.next_call = self.next_call.map(|at| at.min(latest));
            }
        }
    }
}
