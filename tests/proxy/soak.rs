//! Soak test: runs proxies under concurrent faults and checks every request against a set of rules. Faults
//! and their times are drawn from a seed. `SOAK_SEEDS=FROM..TO` replaces the default seeds; `TO` is
//! exclusive.

mod backends;
mod clients;
mod faults;
mod random;
mod record;
mod rules;

use crate::support::{config, ready_endpoints, wait_until, Backend, Discovery, Faults, ProxyProcess};
use backends::start_backend;
use clients::ClientLoop;
use faults::{EndpointState, Run};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use random::{below, one_in};
use record::RunRecord;
use rules::check_rules;
use serde_json::{json, Value};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Default seeds, which every change has to pass.
const SEEDS: Range<u64> = 1..5;
/// Number of runs that execute concurrently.
const CONCURRENT_RUNS: usize = 4;
/// Duration of a run until the proxy is shut down.
const FAULTS_DURATION: Duration = Duration::from_secs(12);
const CLIENTS: u64 = 10;
const BACKENDS: usize = 4;
/// Memory limit of the proxy, the smallest that the platform gives.
const MEMORY_LIMIT_MB: u64 = 32;

/// The proxy configuration of a run, and the longest deadline in it.
struct RunConfig {
    config: Value,
    longest_deadline_ms: u64,
}

fn draw_config(
    random: &mut Pcg32, discovery: &Discovery, endpoints: &[Value], idempotency_window: Duration,
) -> RunConfig {
    let mut config = config(discovery.address, endpoints);
    let longest_deadline_ms = 500 + below(random, 2500);
    for profile in config["settings"]["profiles"].as_array_mut().unwrap() {
        profile["deadline_us"] = json!(longest_deadline_ms * 1000);
        profile["aim_us"] = json!(longest_deadline_ms * 800);
        profile["window_us"] = json!(idempotency_window.as_micros() as u64);
    }
    config["settings"]["limits"]["cancel"] = json!(!one_in(random, 3));
    config["settings"]["limits"]["parallel_tries"] = json!(!one_in(random, 3));
    config["settings"]["limits"]["dial_timeout_us"] = json!(100_000);
    config["settings"]["discovery"] = json!(if one_in(random, 2) { "automatic" } else { "subscribe" });
    config["limits"]["sockets"] = json!(96 + below(random, 200));
    config["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
    RunConfig { config, longest_deadline_ms }
}

/// Sends requests from all clients while faults are injected, then shuts the proxy down. Returns its peak
/// memory before that, in KiB.
fn send_requests_under_faults(run: &Run, random: &mut Pcg32, seed: u64) -> u64 {
    let (stop, next_request_id) = (AtomicBool::new(false), AtomicU64::new(seed << 32));
    let (stop, next_request_id) = (&stop, &next_request_id);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let mut client = ClientLoop {
                proxy_address: run.proxy.address,
                random: Pcg32::seed_from_u64(seed * 1000 + client),
                record: &run.record,
                next_request_id,
                longest_deadline_ms: run.longest_deadline_ms,
            };
            scope.spawn(move || client.run(stop));
        }
        let began = Instant::now();
        let mut states = [EndpointState { is_ready: true, started_at_ms: 1_000_000 }; BACKENDS];
        let mut idle_clients = Vec::new();
        while began.elapsed() < FAULTS_DURATION {
            std::thread::sleep(Duration::from_millis(100 + below(random, 500)));
            run.inject_fault(random, &mut states, &mut idle_clients);
        }
        let peak_memory_kib = run.proxy.peak_memory_kib();
        run.shut_down(random);
        stop.store(true, Ordering::SeqCst);
        peak_memory_kib
    })
}

/// Starts the proxy, backends and discovery of a run.
fn start_run(random: &mut Pcg32, seed: u64) -> Run {
    let idempotency_window = Duration::from_millis(200 + below(random, 1000));
    let record = Arc::new(RunRecord { idempotency_window, ..RunRecord::default() });
    let (faults, discovery) = (Faults::none(), Discovery::start());
    let backends: Vec<Backend> = (0..BACKENDS).map(|number| start_backend(number, seed, &record)).collect();
    let endpoints = ready_endpoints(backends.iter());
    let RunConfig { config, longest_deadline_ms } =
        draw_config(random, &discovery, &endpoints, idempotency_window);
    faults.set_clock_offset([0, 10, 3600, -3600][below(random, 4) as usize]);
    let proxy = ProxyProcess::spawn_with_faults(&faults, &config);
    wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
    Run { proxy, config, faults, discovery, backends, record, longest_deadline_ms }
}

/// Executes the run of a seed and returns all violations.
fn run_seed(seed: u64) -> Vec<String> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut run = start_run(&mut random, seed);
    let peak_memory_kib = send_requests_under_faults(&run, &mut random, seed);
    let mut violations = Vec::new();
    if peak_memory_kib > MEMORY_LIMIT_MB * 1024 {
        violations.push(format!("the proxy took {peak_memory_kib} KiB of memory"));
    }
    if run.proxy.wait_for_exit().code().is_some_and(|code| code != 0) {
        violations.push("the proxy exited with a nonzero code".into());
    }
    let log = run.proxy.log();
    let is_error = |line: &&str| line.contains("ERROR") || line.contains("panicked");
    violations.extend(log.lines().filter(is_error).map(str::to_string));
    violations.extend(check_rules(&run.record, &log));
    let summary = run.record.summary();
    println!("seed {seed}: {summary}, peak memory {peak_memory_kib} KiB, {} violations", violations.len());
    violations
}

/// Returns the seeds from the environment, or the default seeds.
fn seeds() -> Range<u64> {
    let text = std::env::var("SOAK_SEEDS").ok();
    let range = text.and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(SEEDS)
}

/// Guards against rules that hold under each fault alone but are violated under several at once.
#[test]
fn no_rule_is_violated_under_concurrent_faults() {
    let seeds: Vec<u64> = seeds().collect();
    let mut violations = Vec::new();
    for concurrent in seeds.chunks(CONCURRENT_RUNS) {
        let spawn = |seed: &u64| {
            let seed = *seed;
            (seed, std::thread::spawn(move || run_seed(seed)))
        };
        let runs: Vec<_> = concurrent.iter().map(spawn).collect();
        for (seed, run) in runs {
            let found = run.join().unwrap_or_else(|_| vec!["the run panicked".into()]);
            violations.extend(found.into_iter().map(|violation| format!("seed {seed}: {violation}")));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
