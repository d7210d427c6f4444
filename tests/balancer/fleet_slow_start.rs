//! The work that all proxies of a fleet together send to warming backends, compared with the platform's
//! limit: N + 2 x sqrt(N) + 2 requests of mean work in an overload window. N is the overload multiple times
//! the work that the backend can do in the window; the rest allows for random variation. The balancers do
//! not communicate. Each attempt takes as long as on an unloaded warm backend.

use crate::support::{backend, AttemptId, Host};
use load_balancer::{Backend, Config, EndpointListUpdate, Micros, Outcome, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A warm backend's time for one request of mean work, in µs.
const SERVICE_US: u64 = 50_000;
const STEP_US: u64 = 25_000;
const BACKENDS: u32 = 60;
/// Steps before the start of the warming backends.
const STEPS_BEFORE: u64 = 160;
/// Steps after the start of the warming backends.
const STEPS_AFTER: u64 = 240;

/// A fleet, its load and the events of a run.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    proxies: u32,
    /// Arrival rate, as a fraction of the service rate of all backends when warm.
    load: f64,
    /// Of every ten backends, this many start at once and are then warming.
    started_tenths: u64,
    /// Whether the proxies restart at the same time, and so know neither rates nor latencies.
    proxies_restart: bool,
    /// Whether a tenth of the backends, which are warm, refuse all connections from then on.
    connections_refused: bool,
    seed: u64,
}

impl Scenario {
    fn is_started(&self, backend: u64) -> bool {
        backend % 10 < self.started_tenths
    }

    fn refuses_connections(&self, backend: u64, step: u64) -> bool {
        self.connections_refused && step >= STEPS_BEFORE && backend % 10 == 9
    }

    /// Mean number of requests that arrive at a proxy in one step. Every eighth proxy gets four times as many
    /// as the others.
    fn mean_arrivals(&self, proxy_index: u32) -> f64 {
        let weight = |index: u32| if index % 8 == 1 { 4.0 } else { 1.0 };
        let all: f64 = (0..self.proxies).map(weight).sum();
        let per_service_time = self.load * f64::from(BACKENDS) * weight(proxy_index) / all;
        per_service_time * STEP_US as f64 / SERVICE_US as f64
    }
}

fn config(proxies: u32) -> Config {
    let class = Config::example().classes[0].clone();
    let with_slow_start = Config {
        slow_start_initial_fraction: 0.13,
        slow_start_duration: Micros(24_000_000),
        ..Config::example()
    };
    Config { proxy_count: proxies, classes: vec![class; 3], ..with_slow_start }
}

/// Work of a class as a multiple of the mean work; the three classes are equally frequent.
fn relative_work(class: usize) -> f64 {
    [0.5, 1.0, 1.5][class]
}

/// A random number from a Poisson distribution with this mean.
fn poisson(random: &mut Pcg32, mean: f64) -> u32 {
    let mut unit = || (f64::from(random.next_u32()) + 0.5) / 4_294_967_296.0;
    let (floor, mut product, mut count) = ((-mean).exp(), unit(), 0);
    while product > floor {
        product *= unit();
        count += 1;
    }
    count
}

/// For each backend, the work sent to it in each step since the start of the warming backends, in requests of
/// mean work.
type SentWork = Vec<Vec<f64>>;

/// A proxy of a scenario.
struct ScenarioProxy<'a> {
    scenario: &'a Scenario,
    proxy_index: u32,
    seed: u64,
    backends: Vec<Backend>,
    host: Host,
}

impl<'a> ScenarioProxy<'a> {
    fn start(scenario: &'a Scenario, proxy_index: u32) -> ScenarioProxy<'a> {
        let seed = scenario.seed * 10_000 + u64::from(proxy_index);
        let mut host = Host::new(Config { proxy_index, ..config(scenario.proxies) }, seed);
        let backends: Vec<Backend> = (0..BACKENDS).map(|id| backend(id, 0, id % 2)).collect();
        host.update_endpoints(EndpointListUpdate::Snapshot, backends.clone());
        ScenarioProxy { scenario, proxy_index, seed, backends, host }
    }

    /// Runs the scenario and adds the work that the proxy sends to `sent`.
    fn run(&mut self, sent: &mut SentWork) {
        let mut random = Pcg32::seed_from_u64(self.seed);
        let mean = self.scenario.mean_arrivals(self.proxy_index);
        let start = self.host.now + Micros(STEPS_BEFORE * STEP_US);
        for step in 0..STEPS_BEFORE + STEPS_AFTER {
            if step == STEPS_BEFORE {
                self.start_backends();
            }
            for _ in 0..poisson(&mut random, mean) {
                self.host.arrive((random.next_u32() % 3) as usize, 400_000);
            }
            self.host.advance(STEP_US);
            self.end_attempts(step);
            let is_last = step + 1 == STEPS_BEFORE + STEPS_AFTER;
            self.add_sent_work(start, is_last, sent);
            self.host.requests.retain(|_, request| request.outcome.is_none());
        }
    }

    /// Starts the warming backends, and restarts the proxy if the scenario includes that.
    fn start_backends(&mut self) {
        if self.scenario.proxies_restart {
            let config = Config { proxy_index: self.proxy_index, ..config(self.scenario.proxies) };
            let now = self.host.now;
            self.host = Host::new(config, self.seed + 5_000);
            self.host.now = now;
            self.host.update_endpoints(EndpointListUpdate::Cached, self.backends.clone());
        }
        let started_at = Some(self.host.now);
        let started = self.backends.iter().filter(|backend| self.scenario.is_started(backend.id.0));
        let started = started.map(|backend| Backend { started_at, ..backend.clone() }).collect();
        self.host.update_endpoints(EndpointListUpdate::Delta, started);
    }

    /// Ends the attempts whose duration has passed or whose connection is refused.
    fn end_attempts(&mut self, step: u64) {
        for AttemptId { request: id, number } in self.host.in_flight() {
            let request = &self.host.requests[&id];
            let attempt = &request.attempts[number];
            let duration_us = relative_work(request.class) * SERVICE_US as f64;
            if self.scenario.refuses_connections(attempt.backend.0, step) {
                self.host.end_attempt(id, number, Outcome::ConnectFailed);
            } else if (self.host.now - attempt.dispatched_at).0 as f64 >= duration_us {
                self.host.end_attempt(id, number, Outcome::Success);
            }
        }
    }

    /// Adds the work of the attempts dispatched from `start` on. Each request is counted once: when it has
    /// ended, or if `all_requests` is set.
    fn add_sent_work(&self, start: Time, all_requests: bool, sent: &mut SentWork) {
        let end = start + Micros(STEPS_AFTER * STEP_US);
        let ended = self.host.requests.values().filter(|request| all_requests || request.outcome.is_some());
        for request in ended {
            for attempt in
                request.attempts.iter().filter(|attempt| (start..end).contains(&attempt.dispatched_at))
            {
                let step = ((attempt.dispatched_at - start).0 / STEP_US) as usize;
                sent[attempt.backend.0 as usize][step] += relative_work(request.class);
            }
        }
    }
}

/// The overload windows of all warming backends, compared with the limit.
#[derive(Clone, Copy, Default)]
struct WindowStats {
    /// Maximum work in a window, as a fraction of the limit.
    ratio: f64,
    /// Number of windows over the limit.
    windows_over: usize,
}

impl WindowStats {
    fn merge(self, other: WindowStats) -> WindowStats {
        let windows_over = self.windows_over + other.windows_over;
        WindowStats { ratio: f64::max(self.ratio, other.ratio), windows_over }
    }
}

/// The limit in the window that ends with a step, in requests of mean work, from the backend's capacity at
/// the end of the window.
fn limit(config: &Config, end_step: usize) -> f64 {
    let progress = end_step as f64 * STEP_US as f64 / config.slow_start_duration.0 as f64;
    let warm_fraction =
        config.slow_start_initial_fraction + (1.0 - config.slow_start_initial_fraction) * progress.min(1.0);
    let allowed =
        config.overload_multiple * warm_fraction * config.overload_window.0 as f64 / SERVICE_US as f64;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Runs all proxies of the scenario and compares every overload window with the limit.
fn run_scenario(scenario: &Scenario) -> WindowStats {
    let config = config(scenario.proxies);
    let mut sent: SentWork = vec![vec![0.0; STEPS_AFTER as usize]; BACKENDS as usize];
    for proxy_index in 0..scenario.proxies {
        ScenarioProxy::start(scenario, proxy_index).run(&mut sent);
    }
    let window = (config.overload_window.0 / STEP_US) as usize;
    let mut stats = WindowStats::default();
    let warming = sent.iter().enumerate().filter(|(backend, _)| scenario.is_started(*backend as u64));
    for (_, steps) in warming {
        for end in 1..=steps.len() {
            let sum: f64 = steps[end.saturating_sub(window)..end].iter().sum();
            let ratio = sum / limit(&config, end);
            stats = stats.merge(WindowStats { ratio, windows_over: usize::from(ratio > 1.0) });
        }
    }
    stats
}

fn scenarios(proxies: &[u32], loads: &[f64]) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for &proxies in proxies {
        for &load in loads {
            for (started_tenths, proxies_restart, connections_refused) in
                [(2, false, false), (9, false, false), (2, true, false), (9, true, false), (2, false, true)]
            {
                scenarios.push(Scenario {
                    proxies,
                    load,
                    started_tenths,
                    proxies_restart,
                    connections_refused,
                    seed: 0,
                });
            }
        }
    }
    scenarios
}

/// Runs the scenarios of every fleet size and load with `seeds` seeds each. Prints the maximum ratio of each
/// scenario and returns the maximum of all.
fn max_ratio(proxies: &[u32], loads: &[f64], seeds: u64) -> f64 {
    let scenarios = scenarios(proxies, loads);
    let run = |scenario: &Scenario| {
        let stats_of_seeds = (1..=seeds).map(|seed| run_scenario(&Scenario { seed, ..*scenario }));
        stats_of_seeds.fold(WindowStats::default(), WindowStats::merge)
    };
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get().min(4));
    let mut results: Vec<(Scenario, WindowStats)> = std::thread::scope(|scope| {
        let run_part = |thread: usize| -> Vec<(Scenario, WindowStats)> {
            let part = scenarios.iter().skip(thread).step_by(threads);
            part.map(|scenario| (*scenario, run(scenario))).collect()
        };
        let spawned: Vec<_> = (0..threads).map(|thread| scope.spawn(move || run_part(thread))).collect();
        spawned.into_iter().flat_map(|thread| thread.join().expect("a scenario thread panicked")).collect()
    });
    results.sort_by(|a, b| b.1.ratio.total_cmp(&a.1.ratio));
    for (scenario, WindowStats { ratio, windows_over }) in &results {
        println!("{ratio:.2} of the limit, {windows_over} windows over it, {seeds} seeds: {scenario:?}");
    }
    results[0].1.ratio
}

/// Guards against proxies that together overload a warming backend. `FALL_SEEDS` sets the number of seeds, 1
/// by default.
#[test]
fn no_fleet_overloads_a_warming_backend() {
    let seeds = std::env::var("FALL_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(1);
    let worst = max_ratio(&[3, 8, 20, 30, 300, 470], &[0.6, 0.9, 1.3], seeds);
    assert!(worst <= 1.0, "the work sent in a window reached {worst:.2} of the limit");
}
