//! The wall clock may be wrong at startup: the ages of backends, and with them slow start, must still be
//! correct.

use crate::support::{
    config, endpoint, ok_response, request, wait_until, with_value, Backend, Client, Discovery, Faults,
    ProxyProcess,
};
use serde_json::{json, Value};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR: i64 = 3600;

/// Returns the Unix time in milliseconds of `ago` before now, by the correct clock.
fn unix_ms_before_now(ago: Duration) -> u64 {
    (SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - ago).as_millis() as u64
}

/// Sends requests for two seconds and returns the fraction of them that the backend received.
fn share_sent_to(proxy: &ProxyProcess, backend: &Backend) -> f64 {
    let (began, before) = (Instant::now(), backend.requests().len());
    let mut sent = 0;
    let mut client = Client::open(proxy.address);
    while began.elapsed() < Duration::from_secs(2) {
        client.send(&request("read", 7000));
        assert!(client.read_response().is_some());
        sent += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    (backend.requests().len() - before) as f64 / f64::from(sent)
}

/// Three warm backends, and one in slow start.
struct Fleet {
    warm: Vec<Backend>,
    warming: Backend,
    discovery: Discovery,
}

impl Fleet {
    fn start() -> Fleet {
        let backend = || Backend::start(|_| ok_response("x"));
        Fleet { warm: (0..3).map(|_| backend()).collect(), warming: backend(), discovery: Discovery::start() }
    }

    fn warm_endpoints(&self, started_at_ms: u64) -> Vec<Value> {
        let endpoint_of = |(number, backend): (usize, &Backend)| {
            endpoint(&format!("s{number}"), backend.address, "ready", started_at_ms)
        };
        self.warm.iter().enumerate().map(endpoint_of).collect()
    }

    fn warming_endpoint(&self, started_at_ms: u64) -> Value {
        endpoint("cold", self.warming.address, "ready", started_at_ms)
    }

    fn config(&self, cached: &[Value]) -> Value {
        let config = config(self.discovery.address, cached);
        let config = with_value(&config, "/settings/rules/ramp_time_us", json!(24_000_000));
        with_value(&config, "/settings/rules/cold_from", json!(0.13))
    }
}

/// Upper bound of the share of a backend in slow start. An even share is a quarter; with a correct clock, a
/// backend in slow start gets about one request in forty.
const SLOW_START_SHARE_LIMIT: f64 = 0.1;

/// Offsets in seconds of a clock that is correct, slightly wrong or very wrong.
const OFFSETS: [i64; 5] = [0, 15, -15, HOUR, -HOUR];

/// Guards against a new backend that skips slow start because the proxy's clock is wrong.
#[test]
fn a_new_backend_gets_slow_start_whatever_the_wall_clock_says() {
    for is_snapshot in [false, true] {
        for offset in OFFSETS {
            let (fleet, faults) = (Fleet::start(), Faults::none());
            faults.set_clock_offset(offset);
            let proxy = ProxyProcess::spawn_with_faults(&faults, &fleet.config(&fleet.warm_endpoints(0)));
            wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
            // Traffic before the new backend is listed; the returned share is not needed.
            share_sent_to(&proxy, &fleet.warming);
            let mut endpoints = if is_snapshot { fleet.warm_endpoints(0) } else { Vec::new() };
            endpoints.push(fleet.warming_endpoint(unix_ms_before_now(Duration::from_millis(500))));
            if is_snapshot {
                fleet.discovery.publish_snapshot(&endpoints);
            } else {
                fleet.discovery.publish_delta(&endpoints);
            }
            let share = share_sent_to(&proxy, &fleet.warming);
            assert!(
                share < SLOW_START_SHARE_LIMIT,
                "share {share}, clock off by {offset} s, snapshot: {is_snapshot}"
            );
        }
    }
}

/// Guards against a backend that skips slow start because the cached list lacks it, contains it, or contains
/// its previous process.
#[test]
fn a_backend_started_around_the_proxy_restart_gets_slow_start() {
    for offset in OFFSETS {
        for cached in ["lacking", "contained", "previous process"] {
            let (fleet, faults) = (Fleet::start(), Faults::none());
            faults.set_clock_offset(offset);
            let started = unix_ms_before_now(Duration::from_millis(500));
            let mut endpoints = fleet.warm_endpoints(0);
            endpoints.push(fleet.warming_endpoint(started));
            let cached_endpoints = match cached {
                "lacking" => fleet.warm_endpoints(0),
                "contained" => endpoints.clone(),
                _ => [fleet.warm_endpoints(0), vec![fleet.warming_endpoint(1)]].concat(),
            };
            let proxy = ProxyProcess::spawn_with_faults(&faults, &fleet.config(&cached_endpoints));
            fleet.discovery.publish_snapshot(&endpoints);
            let share = share_sent_to(&proxy, &fleet.warming);
            assert!(
                share < SLOW_START_SHARE_LIMIT,
                "share {share}, clock off by {offset} s, cached: {cached}"
            );
        }
    }
}

/// Guards against a long-running backend that is treated as new because its start time is in the future by
/// the proxy's clock.
#[test]
fn a_long_running_backend_is_warm_whatever_the_wall_clock_says() {
    for offset in OFFSETS {
        let (fleet, faults) = (Fleet::start(), Faults::none());
        faults.set_clock_offset(offset);
        let mut endpoints = fleet.warm_endpoints(unix_ms_before_now(Duration::from_secs(600)));
        endpoints.push(fleet.warming_endpoint(unix_ms_before_now(Duration::from_secs(60))));
        let proxy = ProxyProcess::spawn_with_faults(&faults, &fleet.config(&endpoints));
        wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
        let share = share_sent_to(&proxy, &fleet.warming);
        let rejected = proxy.count_in_log("request ended outcome=rejected ");
        assert!(
            rejected < 10,
            "{rejected} rejected, share {share} to the newest backend, clock off by {offset} s"
        );
    }
}
