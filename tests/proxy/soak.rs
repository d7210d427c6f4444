//! A proxy among all faults at once, judged request by request. What goes wrong and when is drawn from a seed.
//! `SOAK_SEEDS=FROM..TO` plays others than the few that every change has to pass.

mod backends;
mod clients;
mod faults;
mod random;
mod record;
mod rules;

use crate::support::{config, line, until, Backend, Discovery, Faults, Proxy};
use backends::start_backend;
use clients::Asker;
use faults::{end, trouble, Play};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use random::{below, one_in};
use record::{summary, Record};
use rules::judge;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seeds that every change has to pass, side by side.
const SEEDS: std::ops::Range<u64> = 1..5;

/// Plays side by side.
const AT_ONCE: usize = 4;

/// Requests come and troubles happen for so long, until the proxy is told to end.
const TROUBLE: Duration = Duration::from_secs(12);

const CLIENTS: u64 = 10;

const BACKENDS: usize = 4;

/// The configuration of a play.
fn drawn_config(dice: &mut Pcg32, discovery: &Discovery, lines: &[Value], window: Duration) -> (Value, u64) {
    let mut config = config(discovery.address, lines);
    let longest_ms = 500 + below(dice, 2500);
    for profile in config["settings"]["profiles"].as_array_mut().unwrap() {
        profile["deadline_us"] = json!(longest_ms * 1000);
        profile["aim_us"] = json!(longest_ms * 800);
        profile["window_us"] = json!(window.as_micros() as u64);
    }
    config["settings"]["limits"]["cancel"] = json!(!one_in(dice, 3));
    config["settings"]["limits"]["parallel_tries"] = json!(!one_in(dice, 3));
    config["settings"]["limits"]["dial_timeout_us"] = json!(100_000);
    config["settings"]["discovery"] = json!(if one_in(dice, 2) { "automatic" } else { "subscribe" });
    config["limits"]["sockets"] = json!(96 + below(dice, 200));
    (config, longest_ms)
}

/// Plays a seed and returns all that was broken.
fn play(seed: u64) -> Vec<String> {
    let mut dice = Pcg32::seed_from_u64(seed);
    let window = Duration::from_millis(200 + below(&mut dice, 1000));
    let record = Arc::new(Record { window, ..Record::default() });
    let (faults, discovery) = (Faults::none(), Discovery::start());
    let backends: Vec<Backend> = (0..BACKENDS).map(|n| start_backend(n, seed, &record)).collect();
    let named = backends.iter().enumerate();
    let lines: Vec<Value> = named.map(|(n, b)| line(&format!("s{n}"), b.address, "ready", 0)).collect();
    let (config, longest_ms) = drawn_config(&mut dice, &discovery, &lines, window);
    faults.step_clock([0, 10, 3600, -3600][below(&mut dice, 4) as usize]);
    let proxy = Proxy::spawn_among(&faults, &config);
    until("ready", || proxy.ready() == 200);
    let mut play = Play { proxy, config, faults, discovery, backends, record: record.clone() };
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(seed << 32));
    let mut broken = Vec::new();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let dice = Pcg32::seed_from_u64(seed * 1000 + client);
            let mut asker = Asker { to: play.proxy.address, dice, record: &record, next: &next, longest_ms };
            let stop = &stop;
            scope.spawn(move || asker.run(stop));
        }
        let (began, mut states, mut crowd) = (Instant::now(), [(true, 1_000_000); BACKENDS], Vec::new());
        while began.elapsed() < TROUBLE {
            std::thread::sleep(Duration::from_millis(100 + below(&mut dice, 500)));
            trouble(&play, &mut dice, &mut states, &mut crowd);
        }
        end(&play, &mut dice, longest_ms);
        stop.store(true, Ordering::SeqCst);
    });
    if play.proxy.exit().code().is_some_and(|code| code != 0) {
        broken.push("the proxy ended badly".into());
    }
    let log = play.proxy.log();
    broken.extend(log.lines().filter(|l| l.contains("ERROR") || l.contains("panicked")).map(str::to_string));
    broken.extend(judge(&record, &log));
    println!("seed {seed}: {}, {} broken", summary(&record), broken.len());
    broken
}

/// The seeds that the environment names, or else those of every change.
fn seeds() -> std::ops::Range<u64> {
    let told = std::env::var("SOAK_SEEDS").ok();
    let range = told.and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(SEEDS)
}

#[test]
fn no_rule_is_broken_among_all_troubles_at_once() {
    let seeds: Vec<u64> = seeds().collect();
    let mut broken = Vec::new();
    for some in seeds.chunks(AT_ONCE) {
        let plays: Vec<_> = some
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        for (seed, played) in plays {
            let faults = played.join().unwrap_or_else(|_| vec!["the play itself panicked".into()]);
            broken.extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
