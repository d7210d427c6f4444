//! Reloads of files with thousands of classes and tenants, and signals in quick succession.

use super::{
    class, ended_reloads, reload, reload_log, request_of_class, start_reloadable_proxy, ReloadableProxy,
};
use crate::support::{ok_response, request, send_request, settings, wait_until, with_value, Backend, Client};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Guards against an outdated file that is applied after the last of a burst of signals.
#[test]
fn a_burst_of_signals_applies_the_last_file() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, config, .. } = start_reloadable_proxy(&[&backend]);
    let large_file = large_config(&config, 3_000, 10_000).to_string();
    let mut last = 0;
    for round in 0..5 {
        for number in 0..10 {
            last = round * 10 + number;
            // Every second file takes long to read, so the next signal arrives during that reload.
            let text = match number % 2 {
                0 => large_file.clone(),
                _ => with_value(&config, "/settings/profiles/2", class(&format!("c{last}"), "free"))
                    .to_string(),
            };
            proxy.reload(&text);
        }
        wait_until("the class of the last file to be served", || {
            send_request(&proxy, &request_of_class(&format!("c{last}"), "GET")).status() == 200
        });
        assert_eq!(
            send_request(&proxy, &request("pay", 7000)).status(),
            400,
            "the replaced class still exists"
        );
    }
    std::thread::sleep(Duration::from_millis(300)); // time for any reload that is still pending
    assert_eq!(send_request(&proxy, &request_of_class(&format!("c{last}"), "GET")).status(), 200);
    let versions: Vec<u64> = reload_log(&proxy)
        .iter()
        .filter_map(|line| {
            line.strip_prefix("configuration in force version=")?.split(' ').next()?.parse().ok()
        })
        .collect();
    assert!(versions.windows(2).all(|pair| pair[0] <= pair[1]), "versions out of order: {versions:?}");
}

/// Returns a configuration with this many classes and tenants.
fn large_config(config: &Value, classes: usize, tenants: usize) -> Value {
    let mut config = config.clone();
    let new_class = |number: usize| {
        let mut class = class(&format!("route-number-{number}-of-the-platform"), "free");
        class["aim_us"] = json!(5_000_000 + number);
        class
    };
    let first = settings()["profiles"].as_array().unwrap().clone();
    let others = (first.len()..classes).map(new_class);
    config["settings"]["profiles"] = first.into_iter().chain(others).collect();
    let tenant =
        |number: usize| json!({"name": format!("tenant-{number}"), "quota_rps": 5.0, "share": 0.00005});
    config["settings"]["customers"] = (0..tenants).map(tenant).collect();
    config
}

/// Number of classes in the largest file.
const CLASSES: usize = 5_900;

/// Number of tenants in the largest file.
const TENANTS: usize = 19_000;

/// The latencies of a stream of requests.
struct LatencySummary {
    longest: Duration,
    count: usize,
}

/// Sends one request after another until `stop` is set.
fn start_request_stream(address: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<LatencySummary> {
    let text = request("read", 7000).replace("X-Time", "X-Account: tenant-5\r\nX-Time");
    std::thread::spawn(move || {
        let mut client = Client::open(address);
        let mut summary = LatencySummary { longest: Duration::ZERO, count: 0 };
        while !stop.load(Ordering::SeqCst) {
            let began = Instant::now();
            client.send(&text);
            assert_eq!(client.read_response().expect("a response").status(), 200);
            summary.longest = summary.longest.max(began.elapsed());
            summary.count += 1;
            std::thread::sleep(Duration::from_millis(1));
        }
        summary
    })
}

/// Guards against requests that are delayed while a large file is read.
#[test]
fn reading_a_large_file_does_not_delay_requests() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, config, .. } = start_reloadable_proxy(&[&backend]);
    let first = large_config(&config, CLASSES, TENANTS);
    let second = large_config(&config, CLASSES - 100, TENANTS - 100);
    let texts = [first.to_string(), second.to_string()];
    reload(&proxy, &first);
    let stop = Arc::new(AtomicBool::new(false));
    let stream = start_request_stream(proxy.address, stop.clone());
    let mut longest_reload = Duration::ZERO;
    for number in 0..10 {
        let before = ended_reloads(&proxy);
        let began = Instant::now();
        proxy.reload(&texts[(number + 1) % 2]);
        wait_until("the reload to end", || ended_reloads(&proxy) > before);
        longest_reload = longest_reload.max(began.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::SeqCst);
    let LatencySummary { longest, count } = stream.join().unwrap();
    println!(
        "{} bytes applied after {longest_reload:?}; longest of {count} requests {longest:?}",
        texts[0].len()
    );
    assert!(longest_reload < Duration::from_secs(3), "applied after {longest_reload:?}");
    // Much longer than on an idle machine, much shorter than reading the whole file.
    assert!(longest < Duration::from_millis(250), "the longest request took {longest:?}");
}

/// Guards against memory leaks of replaced configurations.
#[test]
fn memory_does_not_grow_with_reloads() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, config, .. } = start_reloadable_proxy(&[&backend]);
    let texts = [large_config(&config, 1_500, 5_000), large_config(&config, 1_400, 4_900)];
    let mut early = 0;
    for number in 0..30 {
        reload(&proxy, &texts[number % 2]);
        if number == 9 {
            early = proxy.memory_kib();
        }
    }
    let late = proxy.memory_kib();
    assert!(late < early + 8192, "{early} KiB after a third, {late} KiB at the end");
}

/// Guards against a SIGHUP after SIGTERM that delays the exit or aborts requests in flight.
#[test]
fn a_reload_does_not_disturb_the_graceful_shutdown() {
    let backend = Backend::start(|message| {
        if message.start_line.contains("/pay/") {
            std::thread::sleep(Duration::from_millis(900));
        }
        ok_response("x")
    });
    let ReloadableProxy { mut proxy, config, .. } = start_reloadable_proxy(&[&backend]);
    let large =
        large_config(&with_value(&config, "/settings/profiles/2/name", json!("new")), CLASSES, TENANTS)
            .to_string();
    let mut client = Client::open(proxy.address);
    client.send(&request("pay", 7000));
    wait_until("the attempt to reach the backend", || backend.requests().len() == 1);
    let began = Instant::now();
    proxy.terminate();
    for _ in 0..20 {
        proxy.reload(&large);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    assert!(client.closes_without_reset(), "the connection was reset");
    assert!(proxy.wait_for_exit().success());
    assert!(began.elapsed() < Duration::from_secs(5), "exited after {:?}", began.elapsed());
    assert!(!proxy.log().contains("ERROR"), "{}", proxy.log());
}
