//! A replaced configuration file and SIGHUP, through the built proxy: everything that may change while it runs.

use crate::support::{
    ask, changed, config, line, ok, request, settings, until, Backend, Client, Discovery, Proxy, Reply,
};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The lines about reloads.
fn lines(proxy: &Proxy) -> Vec<String> {
    let log = proxy.log();
    let told = log.lines().filter_map(|l| Some(l.split_once("SIGHUP: ")?.1.to_string()));
    told.collect()
}

/// How many reloads have come to their end, good or bad.
fn ended(proxy: &Proxy) -> usize {
    let last = |l: &&String| l.contains("configuration in force") || l.contains("configuration rejected");
    lines(proxy).iter().filter(last).count()
}

/// Replaces the file and waits until it is in force.
fn reload(proxy: &Proxy, config: &Value) {
    let before = ended(proxy);
    proxy.reload(&config.to_string());
    until("a line about the reload", || ended(proxy) > before);
    let last = lines(proxy).pop().unwrap();
    assert!(last.contains("configuration in force"), "{last}");
}

/// A class as the settings have it.
fn class(name: &str, effect: &str) -> Value {
    let mut class = settings()["profiles"][0].clone();
    (class["name"], class["effect"]) = (json!(name), json!(effect));
    class
}

/// A proxy before these backends, with its configuration.
fn proxy_for(backends: &[&Backend]) -> (Proxy, Discovery, Value) {
    let discovery = Discovery::start();
    let name = |n: usize| format!("s{n}");
    let lines: Vec<Value> =
        backends.iter().enumerate().map(|(n, b)| line(&name(n), b.address, "ready", 0)).collect();
    let config = config(discovery.address, &lines);
    (Proxy::start(&config), discovery, config)
}

/// A backend that answers reads, and holds anything else until told, when it breaks the connection off once; what
/// comes later is served.
fn breaking() -> (Backend, Arc<AtomicBool>) {
    let (told, broken) = (Arc::new(AtomicBool::new(false)), AtomicBool::new(false));
    let go = told.clone();
    let backend = Backend::start(move |m| {
        if m.start.contains("/read/") || broken.load(Ordering::SeqCst) {
            return ok("x");
        }
        until("told to break off", || go.load(Ordering::SeqCst));
        broken.store(true, Ordering::SeqCst);
        Reply::SayAndClose(String::new())
    });
    (backend, told)
}

/// A POST of a single-shot class, or a GET of a free one, of any name.
fn asking(name: &str, method: &str) -> String {
    let kind = if method == "GET" { "read" } else { "pay" };
    request(kind, 7000)
        .replace(&format!("/{kind}/"), &format!("/{name}/"))
        .replace(&format!("Class: {kind}"), &format!("Class: {name}"))
}

/// A request of a class whose effect is replaced while it is in hand: its status after its connection broke, and how
/// often it was sent. A second backend would serve it if it were sent again.
fn broken_off_in_hand(came_with: &str, then: Option<&str>) -> (u16, usize) {
    let ((a, tell_a), (b, tell_b)) = (breaking(), breaking());
    let (proxy, _discovery, mut config) = proxy_for(&[&a, &b]);
    (0..10).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
    config["settings"]["profiles"][2] = class("odd", came_with);
    reload(&proxy, &config);
    let sent = || [&a, &b].iter().flat_map(|b| b.requests()).filter(|m| m.start.contains("/odd/")).count();
    let mut client = Client::open(proxy.address);
    client.send(&asking("odd", if came_with == "free" { "GET" } else { "POST" }));
    until("the attempt", || sent() == 1);
    let others = vec![class("read", "free"), class("vote", "guarded")];
    let odd = then.map(|effect| class("odd", effect));
    config["settings"]["profiles"] = odd.into_iter().chain(others).collect();
    reload(&proxy, &config);
    [tell_a, tell_b].iter().for_each(|told| told.store(true, Ordering::SeqCst));
    let status = client.answer().expect("an answer").status();
    (status, sent())
}

#[test]
fn a_request_in_hand_keeps_the_effect_that_it_came_with() {
    assert_eq!(broken_off_in_hand("single_shot", Some("free")), (502, 1));
    assert_eq!(broken_off_in_hand("single_shot", None), (502, 1));
    assert_eq!(broken_off_in_hand("free", None).1, 2, "repeated");
    assert_eq!(broken_off_in_hand("free", Some("single_shot")).1, 2, "repeated");
}

#[test]
fn classes_and_tenants_come_and_go() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, mut config) = proxy_for(&[&backend]);
    let status = |text: &str| ask(&proxy, text).status();
    assert_eq!((status(&asking("new", "GET")), status(&request("pay", 7000))), (400, 200));
    config["settings"]["profiles"] = json!([class("new", "free"), class("read", "single_shot")]);
    reload(&proxy, &config);
    assert_eq!((status(&asking("new", "GET")), status(&request("pay", 7000))), (200, 400));
    // A class that stays, under another number and with another effect: by that its method is judged.
    assert_eq!((status(&request("read", 7000)), status(&asking("read", "POST"))), (400, 200));
    let named =
        |tenant: &str| asking("new", "GET").replace("X-Time", &format!("X-Account: {tenant}\r\nX-Time"));
    config["settings"]["customers"] = json!([{"name": "acme", "quota_rps": 50.0}]);
    reload(&proxy, &config);
    assert_eq!((status(&named("acme")), status(&named("other"))), (200, 400));
    config["settings"]["customers"] =
        json!([{"name": "other", "quota_rps": 50.0}, {"name": "other", "quota_rps": 1.0}]);
    reload(&proxy, &config);
    assert_eq!((status(&named("acme")), status(&named("other"))), (400, 200));
}

/// A class that is replaced while the body of a request of it is on the way: what was read of the head is no longer
/// true, and its number may be another's.
#[test]
fn a_request_whose_body_comes_after_the_reload_goes_by_the_new_classes() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, mut config) = proxy_for(&[&backend]);
    let pay = request("pay", 7000);
    for (profiles, status) in [
        (json!([class("read", "free"), class("pay", "single_shot")]), 200),
        (json!([class("pay", "free"), class("read", "free")]), 400),
        (json!([class("read", "free")]), 400),
    ] {
        config["settings"]["profiles"] =
            json!([class("read", "free"), class("x", "free"), class("pay", "single_shot")]);
        reload(&proxy, &config);
        let mut client = Client::open(proxy.address);
        client.send(&pay[..pay.len() - 2]);
        config["settings"]["profiles"] = profiles;
        reload(&proxy, &config);
        client.send(&pay[pay.len() - 2..]);
        let answer = client.answer().expect("an answer").status();
        // The body has less time than a loaded machine may take.
        assert!(answer == status || answer == 408, "{answer} in place of {status}");
        client.stop_sending();
        assert!(client.ends(), "more than one answer");
    }
}

#[test]
fn the_limits_come_into_force() {
    let backend = Backend::start(|m| if m.start.contains("/pay/") { Reply::Silence } else { ok("x") });
    let (proxy, _discovery, mut config) = proxy_for(&[&backend]);
    let mut waiting = Client::open(proxy.address);
    waiting.send(&request("pay", 60_000));
    until("the attempt", || backend.requests().len() == 1);
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    config["settings"]["limits"]["open_cap"] = json!(1);
    reload(&proxy, &config);
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 503);
    config["settings"]["limits"]["open_cap"] = json!(20_000);
    // Idle for a moment connections are closed: each of these requests comes on its own.
    config["settings"]["limits"]["conn_idle_us"] = json!(0);
    reload(&proxy, &config);
    let before = backend.opened();
    (0..5).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
    assert_eq!(backend.opened(), before + 5);
    until("all but that of the request in hand closed", || backend.closed() == backend.opened() - 1);
}

/// In a large fleet a proxy uses the few backends in its window, and which those are is by its place.
#[test]
fn the_size_of_the_fleet_and_the_place_in_it_come_into_force() {
    let backends: Vec<Backend> = (0..30).map(|_| Backend::start(|_| ok("x"))).collect();
    let (proxy, _discovery, mut config) = proxy_for(&backends.iter().collect::<Vec<_>>());
    let mut seen = vec![0; backends.len()];
    let mut used = || -> Vec<usize> {
        (0..60).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
        let now: Vec<usize> = backends.iter().map(|b| b.requests().len()).collect();
        let old = std::mem::replace(&mut seen, now);
        (0..backends.len()).filter(|n| seen[*n] > old[*n]).collect()
    };
    assert!(used().len() > 10);
    (config["settings"]["group_size"], config["settings"]["position"]) = (json!(100), json!(7));
    reload(&proxy, &config);
    let seventh = used();
    assert!(seventh.len() <= 8, "{seventh:?}");
    config["settings"]["position"] = json!(8);
    reload(&proxy, &config);
    let eighth = used();
    assert!(eighth.iter().all(|b| !seventh.contains(b)), "{seventh:?}, {eighth:?}");
}

/// How soon sends to a draining backend must cease rules how long a call for a pushed list may wait.
#[test]
fn the_time_for_ceasing_to_send_comes_into_force() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, discovery, mut config) = proxy_for(&[&backend]);
    config["settings"]["rules"]["stop_sending_within_us"] = json!(3_000_000);
    reload(&proxy, &config);
    let asked = |wait: &str| discovery.asked().iter().any(|call| call.contains(wait));
    until("a call with half of that", || asked("wait_ms=1500"));
    assert!(!asked("wait_ms=200"));
    config["settings"]["rules"]["stop_sending_within_us"] = json!(400_000);
    reload(&proxy, &config);
    let began = Instant::now();
    until("a call with half of that", || asked("wait_ms=200"));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

#[test]
fn what_needs_a_restart_keeps_its_value_and_says_so() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, config) = proxy_for(&[&backend]);
    let others = [
        ("/listen", json!("127.0.0.1:1"), "key needs a restart key=listen value=127.0.0.1:0"),
        ("/seed", json!("5"), "key needs a restart key=seed value=8c1f30d27a5be964"),
        ("/limits/sockets", json!(512), "key needs a restart key=limits.sockets value=1024"),
        (
            "/settings/discovery",
            json!("subscribe"),
            "key needs a restart key=settings.discovery value=automatic",
        ),
    ];
    for (pointer, value, told) in others {
        let before = lines(&proxy).len();
        reload(&proxy, &changed(&config, pointer, value));
        let new = &lines(&proxy)[before..];
        assert_eq!((new.len(), new[0].as_str()), (3, told), "{new:?}");
        assert!(new[2].starts_with("configuration in force version=1 classes=3 tenants=0"), "{new:?}");
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    }
}

#[test]
fn a_file_that_cannot_be_used_changes_nothing_of_what_it_says() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, discovery, good) = proxy_for(&[&backend]);
    let elsewhere = Discovery::start();
    let mut other = changed(&good, "/discovery", json!(elsewhere.address.to_string()));
    other["settings"]["profiles"][2]["name"] = json!("new");
    let whole = other.to_string();
    let bad = |pointer: &str, value: Value| changed(&other, pointer, value).to_string();
    let cases = [
        (String::new(), "BALANCER_CONFIG: expected JSON"),
        (whole[..whole.len() / 2].into(), "BALANCER_CONFIG: expected JSON"),
        ("[]".into(), "limits.sockets: missing"),
        (bad("/listen", json!("nowhere")), "listen: expected an IP address"),
        (bad("/discovery", json!("nowhere")), "discovery: expected an IP address"),
        (bad("/known/endpoints", json!([{}])), "known.endpoints[0].status: missing"),
        (bad("/settings/profiles/0/effect", json!("odd")), "settings.profiles[0].effect: expected free"),
        (bad("/settings/profiles/1/name", json!("read")), "settings.profiles[1].name: the name stands twice"),
        (bad("/settings/profiles/0/gain", json!(0)), "settings.profiles[].gain: expected a finite number"),
        (bad("/settings/customers", json!([{"name": "a"}])), "settings.customers[0].quota_rps: missing"),
        (bad("/settings/limits/open_cap", json!(-1)), "settings.limits.open_cap: expected a whole number"),
        (bad("/settings/position", json!(1)), "settings.position: expected less than proxies"),
        (bad("/settings/rules/cold_from", json!(2)), "settings.rules.cold_from: expected a part"),
        (bad("/settings/profiles", json!("x".repeat(100_000))), "settings.profiles: expected an array"),
    ];
    let check = |told: &str| {
        let last = lines(&proxy).pop().unwrap();
        assert!(last.starts_with("configuration rejected error=") && last.contains(told), "{last}");
        assert!(last.len() < 1000, "{} bytes in a line", last.len());
        assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 200);
        assert_eq!(ask(&proxy, &asking("new", "POST")).status(), 400);
    };
    for (number, (text, told)) in cases.into_iter().enumerate() {
        proxy.reload(&text);
        until("a line about the bad file", || lines(&proxy).len() > number);
        assert_eq!(lines(&proxy).len(), number + 1, "one line each");
        check(told);
    }
    let before = lines(&proxy).len();
    std::fs::remove_file(&proxy.file).unwrap();
    proxy.signal("-HUP");
    until("a line about the file that is gone", || lines(&proxy).len() > before);
    check("expected a readable file");
    assert_eq!(elsewhere.calls(), 0);
    discovery.tell(false, &[line("s0", backend.address, "draining", 0)]);
    until("it still goes by the old discovery", || proxy.ready() == 503);
    reload(&proxy, &other);
    until("it asks at the new one", || elsewhere.calls() > 0);
}

/// Signals in a burst, each with another file, also while one is read: the last is in force at the end, and no older one comes after it.
#[test]
fn a_burst_of_signals_ends_with_the_last_file() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, config) = proxy_for(&[&backend]);
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
    let (proxy, _discovery, config) = proxy_for(&[&backend]);
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
    let (proxy, _discovery, config) = proxy_for(&[&backend]);
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
    let (mut proxy, _discovery, config) = proxy_for(&[&backend]);
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
