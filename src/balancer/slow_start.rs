//! Slow start: how much may a backend that has just started be sent, when no proxy knows what the others send
//! it? Each proxy bounds its mean traffic so that the sum stays some deviations under the limit, and counts
//! what it sends against its own part of the limit.

use super::fleet::{Fleet, TrackedBackend};
use super::rotation::Rotation;
use crate::backend::Backend;
use crate::config::Config;
use crate::units::{Micros, Time};

/// Part of the longest slow start that a backend likely needs: the configured time is the bound over all
/// kinds.
pub(super) const LIKELY_DURATION_FRACTION: f64 = 0.7;
/// A warming backend that can bear n requests in an overload window bears n + 2 x sqrt(n) + 2: the platform
/// allows for the random variation of arrivals.
const ALLOWED_ROOTS: f64 = 2.0;
/// See [`ALLOWED_ROOTS`].
const ALLOWED_REQUESTS: f64 = 2.0;
/// Standard deviations by which the mean number of requests in a window stays under the limit.
const TRAFFIC_DEVIATIONS: f64 = 3.0;
/// Part of the limit that the proxies share out; the rest is for heavy requests and unequal subsets.
const SHARED_FRACTION: f64 = 0.8;

/// Requests a second that a proxy is taken to have while its rate is not known, for what a backend can bear.
const UNKNOWN_RATE_PER_SECOND: f64 = 1.0;

/// Part of its capacity that a backend has if it needs `duration_fraction` of the longest slow start.
pub(super) fn warm_fraction(config: &Config, now: Time, backend: &Backend, duration_fraction: f64) -> f64 {
    let duration_secs = (config.slow_start_duration.secs() * duration_fraction).max(1e-6);
    let progress = backend.started_at.map_or(f64::MAX, |start| (now - start).secs() / duration_secs);
    let initial = config.slow_start_initial_fraction;
    initial + (1.0 - initial) * progress.min(1.0)
}

/// A request sent to a backend.
struct SentWork {
    sent_at: Time,
    /// Its work relative to that of a mean request.
    relative_work: f64,
}

/// Work that this proxy sent to a backend inside the overload window.
#[derive(Default)]
pub(super) struct RecentWork {
    sent: Vec<SentWork>,
}

impl RecentWork {
    /// Counts a dispatched request.
    pub fn record(&mut self, config: &Config, now: Time, relative_work: f64) {
        self.sent.retain(|sent| now - sent.sent_at < config.overload_window);
        self.sent.push(SentWork { sent_at: now, relative_work });
    }

    fn within(&self, now: Time, window: Micros) -> f64 {
        self.sent.iter().filter(|sent| now - sent.sent_at < window).map(|sent| sent.relative_work).sum()
    }

    fn last_sent_at(&self) -> Option<Time> {
        self.sent.last().map(|sent| sent.sent_at)
    }
}

/// The limits of warming backends at one moment.
pub(super) struct SlowStart<'a> {
    pub config: &'a Config,
    pub fleet: &'a Fleet,
    pub now: Time,
    /// Admitted requests a second at this proxy; `None` while it is not known.
    pub proxy_rate: Option<f64>,
}

impl SlowStart<'_> {
    /// Requests of mean work that all proxies together may send to a backend in an overload window, allowed
    /// chance included; infinite once it is warm.
    fn window_limit(&self, backend: &TrackedBackend) -> f64 {
        let config = self.config;
        let warm = warm_fraction(config, self.now, &backend.record, 1.0);
        if warm >= 1.0 {
            return f64::INFINITY;
        }
        let fleet_rate = self.proxy_rate.unwrap_or(UNKNOWN_RATE_PER_SECOND) * f64::from(config.proxy_count);
        let even_rate = fleet_rate / self.fleet.backends.len() as f64;
        // What its kind carried before tells what it can do. The flow of the moment does not where few are
        // ready: it is the one to be bounded.
        let proven_rate = self.fleet.kind_of(backend).and_then(|kind| kind.speed.proven_rate());
        let speed = proven_rate.unwrap_or(even_rate);
        let sustained = config.overload_multiple * warm * speed * config.overload_window.secs();
        sustained + ALLOWED_ROOTS * sustained.sqrt() + ALLOWED_REQUESTS
    }

    /// The greatest part of the fleet's traffic that stays under the limit: the number in a window varies by
    /// the root of its mean, and mean + [`TRAFFIC_DEVIATIONS`] x root of mean is the limit.
    pub fn max_fleet_share(&self, backend: &TrackedBackend) -> f64 {
        let limit = self.window_limit(backend);
        let root =
            ((TRAFFIC_DEVIATIONS * TRAFFIC_DEVIATIONS + 4.0 * limit).sqrt() - TRAFFIC_DEVIATIONS) / 2.0;
        // An unknown rate bounds no share: `admits` still limits each request.
        let fleet_rate = self.proxy_rate.unwrap_or(0.0) * f64::from(self.config.proxy_count);
        root * root / (fleet_rate * self.config.overload_window.secs()).max(1e-9)
    }

    /// Whether this proxy's part of the limit allows a request of that work, relative to a mean request.
    pub fn admits(&self, backend: &TrackedBackend, relative_work: f64) -> bool {
        let limit = self.window_limit(backend);
        if limit == f64::INFINITY {
            return true;
        }
        let own_requests = limit * SHARED_FRACTION / backend.coverage.users().max(1.0) / relative_work;
        if own_requests < 1.0 {
            self.admits_one_in_several_windows(backend, own_requests)
        } else {
            self.admits_in_window(backend, own_requests, relative_work)
        }
    }

    /// Where this proxy's part is less than one request, it sends one in several windows. The proxies' first
    /// ones are spread over the first interval after the backend's start.
    fn admits_one_in_several_windows(&self, backend: &TrackedBackend, own_requests: f64) -> bool {
        let interval = self.config.overload_window.times(1.0 / own_requests);
        // One fixed place for each proxy: the order does not move on.
        let turn = Rotation::new(self.config, interval).position(backend.record.id, Time(0));
        let first = interval.times(turn);
        let is_rested = backend.recent_work.last_sent_at().is_none_or(|last| self.now - last >= interval);
        is_rested && backend.record.started_at.is_none_or(|start| self.now >= start + first)
    }

    /// Every proxy may send the whole requests of its part in each window. The fraction f that is left goes
    /// round: any window overlaps two turns, so that f / 2 of the proxies may send one more in each turn.
    fn admits_in_window(&self, backend: &TrackedBackend, own_requests: f64, relative_work: f64) -> bool {
        let window = self.config.overload_window;
        let turn = Rotation::new(self.config, window).position(backend.record.id, self.now);
        let extra = f64::from(turn < own_requests.fract() / 2.0);
        let sent = backend.recent_work.within(self.now, window);
        sent / relative_work + 1.0 <= own_requests.floor() + extra
    }
}
