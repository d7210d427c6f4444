//! The backends of a point: what becomes of each request, and what is counted of it.

use crate::locking::lock;
use crate::plan::Point;
use crate::random::Random;
use crate::site_settings::{
    OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US, SLOW_START_INITIAL_FRACTION, SLOW_START_US, STOP_SENDING_US,
};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

const SLOW_START: Duration = Duration::from_micros(SLOW_START_US);
const OVERLOAD_WINDOW: Duration = Duration::from_micros(OVERLOAD_WINDOW_US);
const STOP_SENDING: Duration = Duration::from_micros(STOP_SENDING_US);

/// What becomes of a request that reaches a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendResponse {
    /// It is served after this time.
    Served(Duration),
    /// The backend drains or has left: the request is rejected unexecuted.
    Rejected,
}

/// How the backends behave, and what their limits count from.
#[derive(Clone, Copy, Debug)]
pub struct BackendBehavior {
    /// Mean time of a request.
    pub mean_service_time: Duration,
    /// Requests a second that a warm backend can serve.
    pub capacity_per_s: f64,
    /// A request may reach a draining backend this much later than the time to stop sending.
    pub drain_slack: Duration,
}

impl BackendBehavior {
    /// The behavior of the backends of a point.
    pub fn for_point(point: &Point) -> BackendBehavior {
        BackendBehavior {
            mean_service_time: Duration::from_secs_f64(point.service_ms / 1e3),
            capacity_per_s: point.capacity_per_s,
            drain_slack: Duration::from_secs_f64(point.drain_slack_s),
        }
    }
}

/// What all backends counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendCounters {
    /// Connections that came up.
    pub connections: u64,
    /// Requests that reached them.
    pub requests: u64,
    /// Those rejected.
    pub rejected: u64,
    /// Those that reached a draining backend later than allowed.
    pub late_requests: u64,
    /// The most requests that reached a warming backend inside its overload window, as a fraction of its
    /// limit.
    pub slow_start_peak_ratio: f64,
}

/// All backends of a point.
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
    /// When it last started; none once it is warm.
    started_at: Option<Instant>,
    /// Arrivals inside the overload window; kept only while it warms up.
    recent_arrivals: VecDeque<Instant>,
}

impl BackendFleet {
    /// So many backends, warm and ready.
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

    /// A backend begins to drain.
    pub fn drain(&self, backend: usize) {
        self.lock().backends[backend].draining_since = Some(Instant::now());
    }

    /// A backend starts again and warms up.
    pub fn start(&self, backend: usize) {
        let started = Backend { started_at: Some(Instant::now()), ..Backend::default() };
        self.lock().backends[backend] = started;
    }

    /// What they counted so far.
    pub fn counters(&self) -> BackendCounters {
        self.lock().counters
    }

    /// Counts a connection to a backend.
    pub(super) fn connection_opened(&self) {
        self.lock().counters.connections += 1;
    }

    /// Counts a request that has reached a backend, and says what becomes of it.
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
        // From half to three halves of the mean.
        let factor = 0.5 + self.random.uniform_inclusive();
        BackendResponse::Served(behavior.mean_service_time.mul_f64(factor))
    }
}

impl Backend {
    /// Records an arrival; while the backend warms up, yields the arrivals inside the overload window that
    /// ends now as a fraction of its limit.
    fn record_arrival(&mut self, now: Instant, capacity_per_s: f64) -> f64 {
        let Some(started_at) = self.started_at else { return 0.0 };
        let age = now.saturating_duration_since(started_at);
        if age >= SLOW_START {
            self.started_at = None;
            self.recent_arrivals = VecDeque::new();
            return 0.0;
        }
        let is_past = |arrival: &Instant| now.saturating_duration_since(*arrival) >= OVERLOAD_WINDOW;
        while self.recent_arrivals.front().is_some_and(is_past) {
            self.recent_arrivals.pop_front();
        }
        self.recent_arrivals.push_back(now);
        let middle_of_window = age.saturating_sub(OVERLOAD_WINDOW / 2);
        self.recent_arrivals.len() as f64 / slow_start_limit(middle_of_window, capacity_per_s)
    }
}

/// The most requests that may reach a warming backend inside an overload window around this age: what it can
/// bear, n, and an allowance for the spread of random arrivals, 2 sqrt(n) + 2. The platform's rule, written
/// independently of the balancer's own on purpose.
pub fn slow_start_limit(age: Duration, capacity_per_s: f64) -> f64 {
    let progress = (age.as_secs_f64() * 1e6 / SLOW_START_US as f64).min(1.0);
    let capacity_fraction = SLOW_START_INITIAL_FRACTION + (1.0 - SLOW_START_INITIAL_FRACTION) * progress;
    let bearable = OVERLOAD_MULTIPLE * capacity_fraction * capacity_per_s * OVERLOAD_WINDOW_US as f64 / 1e6;
    bearable + 2.0 * bearable.sqrt() + 2.0
}
