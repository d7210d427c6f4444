//! Slow start: limits the requests that a backend receives after its start, although no proxy knows what the
//! others send it.
//!
//! The limit of a warming backend is a number of requests of mean work that all proxies together may send it
//! within `overload_window`. It is computed from the backend's age, its kind's observed rate in requests per
//! second, and `overload_multiple`. Each proxy bounds the backend's share of its traffic, so that the mean of
//! all proxies stays some standard deviations under the limit. It also counts the requests that it sends
//! against its own fraction of the limit.

use super::fleet::{Fleet, TrackedBackend};
use super::rotation::Rotation;
use crate::backend::Backend;
use crate::config::Config;
use crate::units::{Micros, Time};

/// Fraction of `slow_start_duration` that a backend likely needs: the configured duration is the maximum over
/// all kinds.
pub(super) const LIKELY_DURATION_FRACTION: f64 = 0.7;
/// The platform allows for random variation of the arrivals. A warming backend that sustains n requests in an
/// overload window tolerates n + 2 x sqrt(n) + 2; sqrt(n) is the standard deviation of a Poisson count.
const ALLOWED_DEVIATIONS: f64 = 2.0;
/// The constant term of the formula at [`ALLOWED_DEVIATIONS`].
const ALLOWED_EXTRA_REQUESTS: f64 = 2.0;
/// Standard deviations by which the mean number of requests in a window stays under the limit.
const TRAFFIC_DEVIATIONS: f64 = 3.0;
/// Fraction of the limit that is divided among the proxies; the rest allows for heavy requests and unequal
/// subsets.
const SHARED_FRACTION: f64 = 0.8;

/// Requests per second of a proxy that are assumed in the computation of a limit until its rate is known.
const ASSUMED_PROXY_RATE: f64 = 1.0;

/// Fraction of its capacity that a backend has now if it is warm after `duration_fraction` of
/// `slow_start_duration`. It rises linearly from `slow_start_initial_fraction` to 1.
pub(super) fn warm_fraction(config: &Config, now: Time, backend: &Backend, duration_fraction: f64) -> f64 {
    let duration_secs = (config.slow_start_duration.secs() * duration_fraction).max(1e-6);
    let progress = backend.started_at.map_or(f64::MAX, |start| (now - start).secs() / duration_secs);
    let initial = config.slow_start_initial_fraction;
    initial + (1.0 - initial) * progress.min(1.0)
}

/// A request sent to a backend.
struct SentWork {
    sent_at: Time,
    /// Its work, as a multiple of the mean work of a request.
    relative_work: f64,
}

/// The requests that this proxy sent to a backend within the overload window.
#[derive(Default)]
pub(super) struct RecentWork {
    sent: Vec<SentWork>,
}

impl RecentWork {
    /// Records a dispatched request and drops those older than the overload window.
    pub fn record(&mut self, config: &Config, now: Time, relative_work: f64) {
        self.sent.retain(|sent| now - sent.sent_at < config.overload_window);
        self.sent.push(SentWork { sent_at: now, relative_work });
    }

    /// Work sent within `window` before `now`, in requests of mean work.
    fn work_within(&self, now: Time, window: Micros) -> f64 {
        self.sent.iter().filter(|sent| now - sent.sent_at < window).map(|sent| sent.relative_work).sum()
    }

    fn last_sent_at(&self) -> Option<Time> {
        self.sent.last().map(|sent| sent.sent_at)
    }
}

/// Computes the limits of warming backends from a view of the balancer's state at `now`.
pub(super) struct SlowStartLimits<'a> {
    pub config: &'a Config,
    pub fleet: &'a Fleet,
    pub now: Time,
    /// Admitted requests per second at this proxy; `None` until it is known.
    pub proxy_rate: Option<f64>,
}

impl SlowStartLimits<'_> {
    /// Requests of mean work that all proxies together may send to a backend within an overload window. It
    /// includes the allowance for random variation, and is infinite once the backend is warm.
    fn window_limit(&self, backend: &TrackedBackend) -> f64 {
        let config = self.config;
        let warm = warm_fraction(config, self.now, &backend.endpoint, 1.0);
        if warm >= 1.0 {
            return f64::INFINITY;
        }
        let fleet_rate = self.proxy_rate.unwrap_or(ASSUMED_PROXY_RATE) * f64::from(config.proxy_count);
        let even_rate = fleet_rate / self.fleet.backends.len() as f64;
        // The rate that backends of its kind have handled before indicates its capacity. The current arrival
        // rate does not: while few backends are ready, it can exceed what they can handle.
        let observed_rate = self.fleet.kind_of(backend).and_then(|kind| kind.estimates.observed_rate());
        let service_rate = observed_rate.unwrap_or(even_rate);
        let sustained = config.overload_multiple * warm * service_rate * config.overload_window.secs();
        sustained + ALLOWED_DEVIATIONS * sustained.sqrt() + ALLOWED_EXTRA_REQUESTS
    }

    /// Maximum fraction of the fleet's traffic that keeps a backend under its limit. The number of requests
    /// in a window has the standard deviation sqrt(mean), so the allowed mean is the solution of
    /// mean + [`TRAFFIC_DEVIATIONS`] x sqrt(mean) = limit.
    pub fn max_fleet_share(&self, backend: &TrackedBackend) -> f64 {
        let limit = self.window_limit(backend);
        let mean_root =
            ((TRAFFIC_DEVIATIONS * TRAFFIC_DEVIATIONS + 4.0 * limit).sqrt() - TRAFFIC_DEVIATIONS) / 2.0;
        // An unknown rate leaves the share unbounded; `admits` still limits each request.
        let fleet_rate = self.proxy_rate.unwrap_or(0.0) * f64::from(self.config.proxy_count);
        mean_root * mean_root / (fleet_rate * self.config.overload_window.secs()).max(1e-9)
    }

    /// Whether this proxy's fraction of the limit allows one more request; `relative_work` is its work as a
    /// multiple of the mean work of a request.
    pub fn admits(&self, backend: &TrackedBackend, relative_work: f64) -> bool {
        let limit = self.window_limit(backend);
        if limit == f64::INFINITY {
            return true;
        }
        // Requests of this work that this proxy may send within an overload window.
        let own_requests = limit * SHARED_FRACTION / backend.coverage.proxy_count().max(1.0) / relative_work;
        if own_requests < 1.0 {
            self.admits_one_in_several_windows(backend, own_requests)
        } else {
            self.admits_in_window(backend, own_requests, relative_work)
        }
    }

    /// Admits one request per interval, for a proxy whose fraction of the limit is less than one request per
    /// window. The interval is the overload window divided by `own_requests`. The proxies' first requests are
    /// spread over the first interval after the backend's start.
    fn admits_one_in_several_windows(&self, backend: &TrackedBackend, own_requests: f64) -> bool {
        let interval = self.config.overload_window.times(1.0 / own_requests);
        // The slot at time 0, as the proxy's offset within the interval must not change.
        let slot = Rotation::new(self.config, interval).slot(backend.endpoint.id, Time(0));
        let first = interval.times(slot);
        let interval_passed =
            backend.recent_work.last_sent_at().is_none_or(|last| self.now - last >= interval);
        interval_passed && backend.endpoint.started_at.is_none_or(|start| self.now >= start + first)
    }

    /// Admits the integer part of `own_requests` in each window at every proxy, and one more request at some
    /// proxies. With the fractional part f, a fraction f of the proxies may send one more in any window. The
    /// proxies that may do so rotate, with a period of one window. Since a window can overlap two periods,
    /// each period allows it to a fraction f / 2 of the proxies.
    fn admits_in_window(&self, backend: &TrackedBackend, own_requests: f64, relative_work: f64) -> bool {
        let window = self.config.overload_window;
        let slot = Rotation::new(self.config, window).slot(backend.endpoint.id, self.now);
        let extra = f64::from(slot < own_requests.fract() / 2.0);
        let sent = backend.recent_work.work_within(self.now, window);
        sent / relative_work + 1.0 <= own_requests.floor() + extra
    }
}
