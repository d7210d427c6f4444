//! What all proxies of a fleet together send to backends that have just started, beside what the rule allows: N is what
//! the settings allow a cold backend in a window, and 2 x root of N + 2 more is chance. Modules alone: each knows
//! nothing of the others, and their attempts all take the time that one request takes a warm backend.

use crate::support::{backend, Host};
use load_balancer::{Backend, Config, EndpointListUpdate, Micros, Outcome};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A warm backend's time for one request of mean work.
const SERVICE: u64 = 50_000;

const STEP: u64 = 25_000;

const BACKENDS: u32 = 60;

/// Steps before and after the start of the cold ones.
const WARM_STEPS: u64 = 160;

const COLD_STEPS: u64 = 240;

/// A fleet, its load and what happens to it.
#[derive(Clone, Copy, Debug)]
struct Play {
    proxies: u32,
    /// Arrivals, as a part of what all backends can do when warm.
    load: f64,
    /// So many of ten backends start at once.
    cold_tenths: u64,
    /// The proxies start with them and know neither rate nor times.
    restarted: bool,
    /// A tenth of the backends, warm ones, refuses all connections from then on.
    ejections: bool,
    seed: u64,
}

fn config(proxies: u32) -> Config {
    let class = Config::example().classes[0].clone();
    let cold = Config {
        slow_start_initial_fraction: 0.13,
        slow_start_duration: Micros(24_000_000),
        ..Config::example()
    };
    Config { proxy_count: proxies, classes: vec![class; 3], ..cold }
}

/// A class's work beside the mean of the three, which come equally often.
fn work(class: usize) -> f64 {
    [0.5, 1.0, 1.5][class]
}

fn is_cold(play: &Play, backend: u64) -> bool {
    backend % 10 < play.cold_tenths
}

/// So many events by chance, this many on average.
fn poisson(dice: &mut Pcg32, mean: f64) -> u32 {
    let mut unit = || (f64::from(dice.next_u32()) + 0.5) / 4_294_967_296.0;
    let (floor, mut product, mut count) = ((-mean).exp(), unit(), 0);
    while product > floor {
        product *= unit();
        count += 1;
    }
    count
}

/// Work that each backend was sent in each step since the start of the cold ones.
type Sent = Vec<Vec<f64>>;

/// Plays one proxy and adds what it sends.
fn play_one(play: &Play, position: u32, sent: &mut Sent) {
    let seed = play.seed * 10_000 + u64::from(position);
    let mut dice = Pcg32::seed_from_u64(seed);
    let mut host = Host::new(Config { proxy_index: position, ..config(play.proxies) }, seed);
    let list: Vec<Backend> = (0..BACKENDS).map(|i| backend(i, 0, i % 2)).collect();
    host.members(EndpointListUpdate::Snapshot, list.clone());
    // Every eighth proxy sees four times as much as the others.
    let weight = |p: u32| if p % 8 == 1 { 4.0 } else { 1.0 };
    let all: f64 = (0..play.proxies).map(weight).sum();
    let per_service = play.load * f64::from(BACKENDS) * weight(position) / all;
    let mean = per_service * STEP as f64 / SERVICE as f64;
    let start = host.now + Micros(WARM_STEPS * STEP);
    let end = start + Micros(COLD_STEPS * STEP);
    for step in 0..WARM_STEPS + COLD_STEPS {
        if step == WARM_STEPS {
            if play.restarted {
                let now = host.now;
                host = Host::new(Config { proxy_index: position, ..config(play.proxies) }, seed + 5_000);
                host.now = now;
                host.members(EndpointListUpdate::Cached, list.clone());
            }
            let started_at = Some(host.now);
            let cold = list.iter().filter(|b| is_cold(play, b.id.0));
            host.members(
                EndpointListUpdate::Delta,
                cold.map(|b| Backend { started_at, ..b.clone() }).collect(),
            );
        }
        for _ in 0..poisson(&mut dice, mean) {
            host.arrive((dice.next_u32() % 3) as usize, 400_000);
        }
        host.advance(STEP);
        for (id, no) in host.out() {
            let r = &host.requests[&id];
            let (tried, needs) = (&r.tries[no], work(r.class) * SERVICE as f64);
            let refused = play.ejections && step >= WARM_STEPS && tried.backend.0 % 10 == 9;
            if refused {
                host.end(id, no, Outcome::ConnectFailed);
            } else if (host.now - tried.at).0 as f64 >= needs {
                host.end(id, no, Outcome::Success);
            }
        }
        let last = step + 1 == WARM_STEPS + COLD_STEPS;
        for r in host.requests.values().filter(|r| last || r.answer.is_some()) {
            for t in r.tries.iter().filter(|t| (start..end).contains(&t.at)) {
                sent[t.backend.0 as usize][((t.at - start).0 / STEP) as usize] += work(r.class);
            }
        }
        host.requests.retain(|_, r| r.answer.is_none());
    }
}

/// The worst of all sums to a cold backend inside a window, beside what the rule allows then; and how many windows of
/// all were over it.
fn worst(play: &Play) -> (f64, usize) {
    let cfg = config(play.proxies);
    let mut sent: Sent = vec![vec![0.0; COLD_STEPS as usize]; BACKENDS as usize];
    (0..play.proxies).for_each(|position| play_one(play, position, &mut sent));
    let window = (cfg.overload_window.0 / STEP) as usize;
    let (mut worst, mut over) = (0.0, 0);
    for (_, steps) in sent.iter().enumerate().filter(|(b, _)| is_cold(play, *b as u64)) {
        for end in 1..=steps.len() {
            let sum: f64 = steps[end.saturating_sub(window)..end].iter().sum();
            // What it can do at the window's end; it can do less before.
            let age = end as f64 * STEP as f64 / cfg.slow_start_duration.0 as f64;
            let warmth =
                cfg.slow_start_initial_fraction + (1.0 - cfg.slow_start_initial_fraction) * age.min(1.0);
            let n = cfg.overload_multiple * warmth * cfg.overload_window.0 as f64 / SERVICE as f64;
            let ratio = sum / (n + 2.0 * n.sqrt() + 2.0);
            worst = f64::max(worst, ratio);
            over += usize::from(ratio > 1.0);
        }
    }
    (worst, over)
}

/// Every fleet and load with so many seeds each; prints the worst ratio of each and returns the worst of all.
fn worst_of_all(proxies: &[u32], loads: &[f64], seeds: u64) -> f64 {
    let mut plays = Vec::new();
    for &proxies in proxies {
        for &load in loads {
            for (cold_tenths, restarted, ejections) in
                [(2, false, false), (9, false, false), (2, true, false), (9, true, false), (2, false, true)]
            {
                plays.push(Play { proxies, load, cold_tenths, restarted, ejections, seed: 0 });
            }
        }
    }
    let run = |play: &Play| {
        let ratios = (1..=seeds).map(|seed| worst(&Play { seed, ..*play }));
        ratios.fold((0.0, 0), |all, one| (f64::max(all.0, one.0), all.1 + one.1))
    };
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let parts: Vec<Vec<(Play, (f64, usize))>> = std::thread::scope(|scope| {
        let part = |k: usize| plays.iter().skip(k).step_by(threads).map(|p| (*p, run(p))).collect();
        let spawned: Vec<_> = (0..threads).map(|k| scope.spawn(move || part(k))).collect();
        spawned.into_iter().map(|t| t.join().expect("a play")).collect()
    });
    let mut all: Vec<_> = parts.into_iter().flatten().collect();
    all.sort_by(|a, b| b.1 .0.total_cmp(&a.1 .0));
    for (play, (worst, over)) in &all {
        println!("{worst:.2} of the limit, {over} windows over it, {seeds} seeds: {play:?}");
    }
    all[0].1 .0
}

/// `FALL_SEEDS` plays more than the few that every change has to pass.
#[test]
fn no_fleet_pushes_a_cold_backend_over() {
    let seeds = std::env::var("FALL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
    let worst = worst_of_all(&[3, 8, 20, 30, 300, 470], &[0.6, 0.9, 1.3], seeds);
    assert!(worst <= 1.0, "{worst}");
}
