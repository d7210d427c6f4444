//! The subscription to the endpoint list: when does a proxy call discovery again after it has lost one? All
//! proxies lose theirs at once and the one service takes their calls one after another, so calls are jittered
//! and back off.

use crate::backend::EndpointListUpdate;
use crate::config::{Config, DiscoveryMode};
use crate::random::Random;
use crate::units::{Micros, Time};

/// Time that each proxy of the fleet adds to the span over which the first calls after a loss are spread.
const SPREAD_PER_PROXY: Micros = Micros(50_000);
/// Longest wait before a call after a loss. The platform counts a proxy as notified 6 s after discovery can
/// be reached again; the other half is for the queue at discovery, its answer, and a second call where one is
/// rejected.
const MAX_WAIT: Micros = Micros(3_000_000);
/// Part of the poll interval that a wait is at most, however short that is.
const MAX_WAIT_FRACTION: f64 = 1.0 / 2.0;
/// Part of the poll interval up to which waits double.
const BACKOFF_LIMIT_FRACTION: f64 = 1.0 / 8.0;
/// Part of the poll interval after which a call without an answer is taken as lost.
const CALL_TIMEOUT_FRACTION: f64 = 0.5;

/// The next call to discovery; none is due while a subscription stands or the list is pushed.
pub(super) struct Subscription {
    next_call: Option<Time>,
    backoff_secs: f64,
}

impl Subscription {
    /// Where the list is not pushed, the first call is due at once.
    pub fn new(mode: DiscoveryMode) -> Subscription {
        let next_call = (mode != DiscoveryMode::Push).then_some(Time(0));
        Subscription { next_call, backoff_secs: 0.0 }
    }

    /// When it next wants attention.
    pub fn next_call(&self) -> Option<Time> {
        self.next_call
    }

    /// Takes in what became of a call; true if the subscription was lost and a call was scheduled.
    pub fn list_arrived(
        &mut self, config: &Config, now: Time, update: EndpointListUpdate, random: &mut Random,
    ) -> bool {
        match (update, config.discovery) {
            (EndpointListUpdate::SubscriptionLost, DiscoveryMode::Subscribe(poll_interval)) => {
                self.back_off(config, now, poll_interval, random);
                true
            }
            (EndpointListUpdate::Delta | EndpointListUpdate::Snapshot, _) => {
                self.settle();
                false
            }
            _ => false,
        }
    }

    fn back_off(&mut self, config: &Config, now: Time, poll_interval: Micros, random: &mut Random) {
        let longest_secs = MAX_WAIT.secs().min(poll_interval.secs() * MAX_WAIT_FRACTION);
        let spread_secs = SPREAD_PER_PROXY.secs() * f64::from(config.proxy_count);
        let first_secs = spread_secs.min(longest_secs);
        let doubled_secs = (self.backoff_secs * 2.0).min(poll_interval.secs() * BACKOFF_LIMIT_FRACTION);
        self.backoff_secs = doubled_secs.clamp(first_secs, longest_secs);
        self.next_call = Some(now + Micros::from_secs(self.backoff_secs * random.unit()));
    }

    fn settle(&mut self) {
        self.next_call = None;
        self.backoff_secs = 0.0;
    }

    /// Whether a call is due now. The next one is then due when it has to be taken as lost.
    pub fn take_due_call(&mut self, mode: DiscoveryMode, now: Time) -> bool {
        let DiscoveryMode::Subscribe(poll_interval) = mode else { return false };
        let is_due = self.next_call.is_some_and(|at| now >= at);
        if is_due {
            self.next_call = Some(now + poll_interval.times(CALL_TIMEOUT_FRACTION));
        }
        is_due
    }

    /// Another configuration is in force.
    pub fn reconfigure(&mut self, now: Time, before: DiscoveryMode, after: DiscoveryMode) {
        match (before, after) {
            (_, DiscoveryMode::Push) => self.settle(),
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
