//! Files of thousands of classes and tenants, and signals in quick succession.

use super::{asking, class, ended, lines, proxy_with_config, reload};
use crate::support::{ask, changed, ok, request, settings, until, Backend, Client};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Signals in a burst, each with another file, also while one is read: the last is in force at the end, and no older one comes after it.
#[test]
fn a_burst_of_signals_ends_with_the_last_file() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, config) = proxy_with_config(&[&backend]);
    let long_read = large(&config, 3_000, 10_000).to_string();
    let mut last = 0;
    for round in 0..5 {
        for n in 0..10 {
            last = round * 10 + n;
            // Each other file takes long to read: the signal for the next comes meanwhile.
            let text = match n % 2 {
                0 => long_read.clone(),
                _ => changed(&config, "/settings/profiles/2", class(&format!("c{last}"), "free")).to_string(),
            };
            proxy.reload(&text);
        }
        until("the last class", || ask(&proxy, &asking(&format!("c{last}"), "GET")).status() == 200);
        assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 400, "the class in its place is gone");
    }
    std::thread::sleep(Duration::from_millis(300)); // for a read that would still be to come
    assert_eq!(ask(&proxy, &asking(&format!("c{last}"), "GET")).status(), 200);
    let versions: Vec<u64> = lines(&proxy)
        .iter()
        .filter_map(|l| l.strip_prefix("configuration ")?.split(' ').next()?.parse().ok())
        .collect();
    assert!(versions.windows(2).all(|w| w[0] <= w[1]), "{versions:?}");
}

/// Settings of thousands of classes and tenants.
fn large(config: &Value, classes: usize, tenants: usize) -> Value {
    let mut config = config.clone();
    let own = |n: usize| {
        let mut class = class(&format!("route-number-{n}-of-the-platform"), "free");
        class["aim_us"] = json!(5_000_000 + n);
        class
    };
    let first = settings()["profiles"].as_array().unwrap().clone();
    let others = (first.len()..classes).map(own);
    config["settings"]["profiles"] = first.into_iter().chain(others).collect();
    let tenant = |n: usize| json!({"name": format!("tenant-{n}"), "quota_rps": 5.0, "share": 0.00005});
    config["settings"]["customers"] = (0..tenants).map(tenant).collect();
    config
}

const CLASSES: usize = 5_900;

const TENANTS: usize = 19_000;

/// The longest that any of a steady stream of requests takes while such files come into force, one after another.
#[test]
fn no_request_waits_for_a_large_file_to_be_read() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, config) = proxy_with_config(&[&backend]);
    let (one, other) = (large(&config, CLASSES, TENANTS), large(&config, CLASSES - 100, TENANTS - 100));
    let texts = [one.to_string(), other.to_string()];
    reload(&proxy, &one);
    let (address, over) = (proxy.address, Arc::new(AtomicBool::new(false)));
    let text = request("read", 7000).replace("X-Time", "X-Account: tenant-5\r\nX-Time");
    let end = over.clone();
    let stream = std::thread::spawn(move || {
        let (mut client, mut longest, mut count) = (Client::open(address), Duration::ZERO, 0);
        while !end.load(Ordering::SeqCst) {
            let began = Instant::now();
            client.send(&text);
            assert_eq!(client.answer().expect("an answer").status(), 200);
            (longest, count) = (longest.max(began.elapsed()), count + 1);
            std::thread::sleep(Duration::from_millis(1));
        }
        (longest, count)
    });
    let mut slowest = Duration::ZERO;
    for n in 0..10 {
        let before = ended(&proxy);
        let began = Instant::now();
        proxy.reload(&texts[(n + 1) % 2]);
        until("in force", || ended(&proxy) > before);
        slowest = slowest.max(began.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
    over.store(true, Ordering::SeqCst);
    let (longest, count) = stream.join().unwrap();
    println!("{} bytes in force after {slowest:?}; longest of {count} requests {longest:?}", texts[0].len());
    assert!(slowest < Duration::from_secs(3), "in force after {slowest:?}");
    // Far more than on a quiet machine; before, a request waited for the whole of the read.
    assert!(longest < Duration::from_millis(250), "{longest:?}");
}

/// Files come one after another for as long as the proxy runs: what was replaced is let go of.
#[test]
fn memory_stays_flat_while_files_are_replaced() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, config) = proxy_with_config(&[&backend]);
    let texts = [large(&config, 1_500, 5_000), large(&config, 1_400, 4_900)];
    let mut early = 0;
    for n in 0..30 {
        reload(&proxy, &texts[n % 2]);
        if n == 9 {
            early = proxy.memory_kib();
        }
    }
    let late = proxy.memory_kib();
    assert!(late < early + 8192, "{early} KiB after a third, {late} KiB at the end");
}

/// A signal to reload after the one to end: what is in hand is answered, and the end comes when it would.
#[test]
fn a_reload_neither_delays_nor_breaks_the_end() {
    let backend = Backend::start(|m| {
        if m.start.contains("/pay/") {
            std::thread::sleep(Duration::from_millis(900));
        }
        ok("x")
    });
    let (mut proxy, _discovery, config) = proxy_with_config(&[&backend]);
    let large =
        large(&changed(&config, "/settings/profiles/2/name", json!("new")), CLASSES, TENANTS).to_string();
    let mut client = Client::open(proxy.address);
    client.send(&request("pay", 7000));
    until("the attempt", || backend.requests().len() == 1);
    let began = Instant::now();
    proxy.terminate();
    for _ in 0..20 {
        proxy.reload(&large);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.answer().map(|a| a.status()), Some(200));
    assert!(client.ends_whole(), "reset");
    assert!(proxy.exit().success());
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert!(!proxy.log().contains("ERROR"), "{}", proxy.log());
}
