//! The simulated backends of a point: decides the response to each request and counts requests.

use crate::locking::lock;
use crate::plan::Point;
use crate::random::Random;
use crate::settings::{
    OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US, SLOW_START_INITIAL_FRACTION, SLOW_START_US, STOP_SENDING_US,
};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

const SLOW_START: Duration = Duration::from_micros(SLOW_START_US);
const OVERLOAD_WINDOW: Duration = Duration::from_micros(OVERLOAD_WINDOW_US);
const STOP_SENDING: Duration = Duration::from_micros(STOP_SENDING_US);

/// Response of a backend to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendResponse {
    /// The request succeeds after this service time.
    Served(Duration),
    /// The backend is draining or removed and rejects the request without executing it.
    Rejected,
}

/// Behavior of the backends, and the parameters of the limits that are checked on them.
#[derive(Clone, Copy, Debug)]
pub struct BackendBehavior {
    /// Mean service time; single requests take between 0.5 and 1.5 times as long.
    pub mean_service_time: Duration,
    /// Requests per second that a backend can serve after slow start.
    pub capacity_per_s: f64,
    /// Allowance on top of the time within which proxies must stop sending to a draining backend.
    /// A request that arrives still later counts as late.
    pub drain_slack: Duration,
}

impl BackendBehavior {
    /// Returns the behavior that a point's plan specifies.
    pub fn for_point(point: &Point) -> BackendBehavior {
        BackendBehavior {
            mean_service_time: Duration::from_secs_f64(point.service_ms / 1e3),
            capacity_per_s: point.capacity_per_s,
            drain_slack: Duration::from_secs_f64(point.drain_slack_s),
        }
    }
}

/// Counters summed over all backends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendCounters {
    /// Connections accepted from proxies.
    pub connections: u64,
    /// Requests received, including rejected ones.
    pub requests: u64,
    /// Requests rejected because the backend was draining or removed.
    pub rejected: u64,
    /// Rejected requests that arrived later than the time to stop sending plus the drain slack.
    pub late_requests: u64,
    /// Highest number of requests that a backend in slow start received within one overload window, as a
    /// fraction of its limit at that age. See [`slow_start_limit`].
    pub slow_start_peak_ratio: f64,
}

/// The backends of a point, shared between the threads of the HTTP servers or of the simulated proxies.
pub struct BackendFleet {
    behavior: BackendBehavior,
    state: Mutex<State>,
}

struct State {
    backends: Vec<Backend>,
    random: Random,
    counters: BackendCounters,
}

#[derive(Default)]
struct Backend {
    draining_since: Option<Instant>,
    /// Start of slow start; `None` once slow start is over.
    started_at: Option<Instant>,
    /// Arrivals within the last overload window; only kept during slow start.
    recent_arrivals: VecDeque<Instant>,
}

impl BackendFleet {
    /// Creates `count` ready backends that are past slow start.
    pub fn new(count: usize, behavior: BackendBehavior, seed: u64) -> BackendFleet {
        let state = State {
            backends: std::iter::repeat_with(Backend::default).take(count).collect(),
            random: Random::new(seed),
            counters: BackendCounters::default(),
        };
        BackendFleet { behavior, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Starts draining a backend: from now on it rejects every request.
    pub fn drain(&self, backend: usize) {
        self.lock().backends[backend].draining_since = Some(Instant::now());
    }

    /// Restarts a backend, which begins slow start.
    pub fn start(&self, backend: usize) {
        let restarted = Backend { started_at: Some(Instant::now()), ..Backend::default() };
        self.lock().backends[backend] = restarted;
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> BackendCounters {
        self.lock().counters
    }

    pub(super) fn connection_opened(&self) {
        self.lock().counters.connections += 1;
    }

    /// Counts a request that arrives at a backend and returns the backend's response.
    pub fn request_arrived(&self, backend: usize, now: Instant) -> BackendResponse {
        self.lock().request_arrived(&self.behavior, backend, now)
    }
}

impl State {
    fn request_arrived(
        &mut self, behavior: &BackendBehavior, backend: usize, now: Instant,
    ) -> BackendResponse {
        let (backend, counters) = (&mut self.backends[backend], &mut self.counters);
        let peak = backend.record_arrival(now, behavior.capacity_per_s);
        counters.requests += 1;
        counters.slow_start_peak_ratio = counters.slow_start_peak_ratio.max(peak);
        if let Some(since) = backend.draining_since {
            let is_late = now.saturating_duration_since(since) > STOP_SENDING + behavior.drain_slack;
            counters.rejected += 1;
            counters.late_requests += u64::from(is_late);
            return BackendResponse::Rejected;
        }
        let factor = 0.5 + self.random.uniform_inclusive();
        BackendResponse::Served(behavior.mean_service_time.mul_f64(factor))
    }
}

impl Backend {
    /// Records an arrival. During slow start, returns the number of arrivals within the overload window that
    /// ends now as a fraction of the limit; otherwise returns 0.
    fn record_arrival(&mut self, now: Instant, capacity_per_s: f64) -> f64 {
        let Some(started_at) = self.started_at else { return 0.0 };
        let age = now.saturating_duration_since(started_at);
        if age >= SLOW_START {
            self.started_at = None;
            self.recent_arrivals = VecDeque::new();
            return 0.0;
        }
        let is_outside_window =
            |arrival: &Instant| now.saturating_duration_since(*arrival) >= OVERLOAD_WINDOW;
        while self.recent_arrivals.front().is_some_and(is_outside_window) {
            self.recent_arrivals.pop_front();
        }
        self.recent_arrivals.push_back(now);
        let middle_of_window = age.saturating_sub(OVERLOAD_WINDOW / 2);
        self.recent_arrivals.len() as f64 / slow_start_limit(middle_of_window, capacity_per_s)
    }
}

/// Returns the highest number of requests that a backend may receive during slow start within an overload
/// window centered at `age`: the number n that does not overload it, plus an allowance of 2 sqrt(n) + 2 for
/// the variance of random arrivals. Implemented independently of the balancer, so that an error in the
/// balancer's own limit is detected.
pub fn slow_start_limit(age: Duration, capacity_per_s: f64) -> f64 {
    let progress = (age.as_secs_f64() * 1e6 / SLOW_START_US as f64).min(1.0);
    let capacity_fraction = SLOW_START_INITIAL_FRACTION + (1.0 - SLOW_START_INITIAL_FRACTION) * progress;
    let sustainable =
        OVERLOAD_MULTIPLE * capacity_fraction * capacity_per_s * OVERLOAD_WINDOW_US as f64 / 1e6;
    sustainable + 2.0 * sustainable.sqrt() + 2.0
}
