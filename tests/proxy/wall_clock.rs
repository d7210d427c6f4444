//! The wall clock of the machine may be wrong before the start, and stepped at any time: what is a span of real time
//! stays one.

use crate::support::{changed, config, line, ok, request, until, Backend, Client, Discovery, Faults, Proxy};
use serde_json::{json, Value};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR: i64 = 3600;

/// Unix milliseconds of so long ago, by the right clock.
fn since(ago: Duration) -> u64 {
    (SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - ago).as_millis() as u64
}

/// The part of the requests of two seconds that goes to a backend.
fn part_sent_to(proxy: &Proxy, cold: &Backend) -> f64 {
    let (began, before) = (Instant::now(), cold.requests().len());
    let mut sent = 0;
    let mut client = Client::open(proxy.address);
    while began.elapsed() < Duration::from_secs(2) {
        client.send(&request("read", 7000));
        assert!(client.answer().is_some());
        sent += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    (cold.requests().len() - before) as f64 / f64::from(sent)
}

/// Three warm backends, and one that is told of.
struct Fleet {
    warm: Vec<Backend>,
    cold: Backend,
    discovery: Discovery,
}

impl Fleet {
    fn start() -> Fleet {
        let backend = || Backend::start(|_| ok("x"));
        Fleet { warm: (0..3).map(|_| backend()).collect(), cold: backend(), discovery: Discovery::start() }
    }

    fn warm_lines(&self, since_ms: u64) -> Vec<Value> {
        let line = |(n, b): (usize, &Backend)| line(&format!("s{n}"), b.address, "ready", since_ms);
        self.warm.iter().enumerate().map(line).collect()
    }

    fn cold_line(&self, since_ms: u64) -> Value {
        line("cold", self.cold.address, "ready", since_ms)
    }

    fn config(&self, known: &[Value]) -> Value {
        let config = config(self.discovery.address, known);
        let config = changed(&config, "/settings/rules/ramp_time_us", json!(24_000_000));
        changed(&config, "/settings/rules/cold_from", json!(0.13))
    }
}

/// An even part is a quarter. With the right clock it is about one in forty.
const COLD_PART: f64 = 0.1;

/// The offsets of a clock that is right, a little wrong and much.
const OFFSETS: [i64; 5] = [0, 15, -15, HOUR, -HOUR];

/// It was sent an even part from its first moment by a proxy whose clock was ahead.
#[test]
fn a_backend_that_joins_is_cold_whatever_the_wall_clock_says() {
    for whole in [false, true] {
        for offset in OFFSETS {
            let (fleet, faults) = (Fleet::start(), Faults::none());
            faults.step_clock(offset);
            let proxy = Proxy::spawn_among(&faults, &fleet.config(&fleet.warm_lines(0)));
            until("ready", || proxy.ready() == 200);
            part_sent_to(&proxy, &fleet.cold);
            let mut lines = if whole { fleet.warm_lines(0) } else { Vec::new() };
            lines.push(fleet.cold_line(since(Duration::from_millis(500))));
            fleet.discovery.tell(whole, &lines);
            let part = part_sent_to(&proxy, &fleet.cold);
            assert!(part < COLD_PART, "{part}, clock off by {offset} s, whole list: {whole}");
        }
    }
}

/// A restarted proxy, with a list from before that lacks the backend, or names it in the middle of its ramp, or names
/// the process that ran there before.
#[test]
fn a_backend_that_started_around_the_restart_of_its_proxy_is_cold() {
    for offset in OFFSETS {
        for known in ["lacking", "named", "its process before"] {
            let (fleet, faults) = (Fleet::start(), Faults::none());
            faults.step_clock(offset);
            let started = since(Duration::from_millis(500));
            let mut lines = fleet.warm_lines(0);
            lines.push(fleet.cold_line(started));
            let before = match known {
                "lacking" => fleet.warm_lines(0),
                "named" => lines.clone(),
                _ => [fleet.warm_lines(0), vec![fleet.cold_line(1)]].concat(),
            };
            let proxy = Proxy::spawn_among(&faults, &fleet.config(&before));
            fleet.discovery.tell(true, &lines);
            let part = part_sent_to(&proxy, &fleet.cold);
            assert!(part < COLD_PART, "{part}, clock off by {offset} s, known: {known}");
        }
    }
}

/// What has run since long before the others started is warm, also where the clock says that it starts only later.
#[test]
fn a_backend_that_started_long_ago_is_warm_whatever_the_wall_clock_says() {
    for offset in OFFSETS {
        let (fleet, faults) = (Fleet::start(), Faults::none());
        faults.step_clock(offset);
        let mut lines = fleet.warm_lines(since(Duration::from_secs(600)));
        lines.push(fleet.cold_line(since(Duration::from_secs(60))));
        let proxy = Proxy::spawn_among(&faults, &fleet.config(&lines));
        until("ready", || proxy.ready() == 200);
        let part = part_sent_to(&proxy, &fleet.cold);
        let refused = proxy.log().matches("request ended outcome=rejected ").count();
        assert!(refused < 10, "{refused} refused, {part} to the last started, clock off by {offset} s");
    }
}
