//! Which settings come into force, and which need a restart.

use super::{asking, class, lines, proxy_with_config, reload};
use crate::support::{ask, changed, ok, request, until, Backend, Client, Reply};
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn classes_and_tenants_come_and_go() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, mut config) = proxy_with_config(&[&backend]);
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

#[test]
fn the_limits_come_into_force() {
    let backend = Backend::start(|m| if m.start.contains("/pay/") { Reply::Silence } else { ok("x") });
    let (proxy, _discovery, mut config) = proxy_with_config(&[&backend]);
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
    let (proxy, _discovery, mut config) = proxy_with_config(&backends.iter().collect::<Vec<_>>());
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
    let (proxy, discovery, mut config) = proxy_with_config(&[&backend]);
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
    let (proxy, _discovery, config) = proxy_with_config(&[&backend]);
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
