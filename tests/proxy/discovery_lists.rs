//! Endpoint lists: which come into force, and when discovery is called.

use crate::support::{
    ask, config, line, ok, proxy_for, refusing_address, request, until, Backend, Discovery, Proxy, Reply,
};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

#[test]
fn a_backend_that_drains_or_is_gone_gets_nothing_new() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let (proxy, discovery) = proxy_for(&[("a", &a), ("b", &b)]);
    until("both served", || {
        ask(&proxy, &request("read", 7000));
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    discovery.tell(false, &[line("a", a.address, "draining", 0)]);
    until("the pool of a closed", || a.closed() == a.opened());
    let before = a.requests().len();
    (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).body, b"b"));
    discovery.tell(false, &[line("a", a.address, "ready", 0), line("b", b.address, "gone", 0)]);
    until("the pool of b closed", || b.closed() == b.opened());
    (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).body, b"a"));
    assert!(a.requests().len() >= before + 20);
    discovery.tell(true, &[line("b", b.address, "ready", 0)]);
    until("the pool of a closed again", || a.closed() == a.opened());
    (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).body, b"b"));
}

/// Whatever else discovery does, the list held stays in force, nobody is dialled for a line of a bad one, and
/// the proxy goes on asking until a good one comes. Both where lists are pushed and where they are asked for.
#[test]
fn a_list_that_fails_to_come_is_refused_whole_and_the_old_one_stays() {
    for mode in ["automatic", "subscribe"] {
        let (backend, stranger) = (Backend::start(|_| ok("x")), Backend::start(|_| ok("stranger")));
        let discovery = Discovery::start();
        let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
        config["settings"]["discovery"] = json!(mode);
        let proxy = Proxy::start(&config);
        let good = line("b", stranger.address, "ready", 0);
        let with = |bad: Value| json!({"index": 9, "snapshot": true, "endpoints": [good, bad]}).to_string();
        let body = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
        let replies = [
            ok(&with(json!({"name": "c"}))),
            ok(&with(line("c", stranger.address, "resting", 0))),
            ok("[]"),
            ok("no json"),
            ok(r#"{"index":1,"snapshot":true}"#),
            ok(r#"{"index":-1,"snapshot":true,"endpoints":[]}"#),
            Reply::Say(format!("HTTP/1.1 503 x\r\n{}", body("busy"))),
            Reply::Say(format!("HTTP/1.1 302 x\r\nLocation: http://{}/\r\n{}", stranger.address, body(""))),
            Reply::SayAndClose("HTTP/1.1 2x0 OK\r\n\r\n".into()),
            Reply::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\":9".into()),
            Reply::SayAndClose(String::new()),
        ];
        for (n, reply) in replies.into_iter().enumerate() {
            discovery.act(reply);
            assert_eq!(ask(&proxy, &request("read", 7000)).body, b"x", "{mode}, after reply {n}");
        }
        discovery.tell(true, &[line("a", backend.address, "draining", 0)]);
        until("the good list after them", || proxy.ready() == 503);
        assert_eq!(stranger.opened(), 0);
    }
}

/// An agent that takes calls and never answers: the proxy serves from what it knew, and asks anew.
/// Lists may come indented, in chunks, with header names in any case and an end of their connection after them.
#[test]
fn a_list_is_taken_in_every_form_that_http_gives_it() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let away = line("a", refusing_address(), "draining", 0);
    let list = |index: u64| {
        let lines = [line("b", backend.address, "ready", 0)];
        serde_json::to_string_pretty(&json!({"index": index, "snapshot": true, "endpoints": lines})).unwrap()
    };
    let forms: [fn(String) -> Reply; 4] = [
        |text| ok(&text),
        |text| Reply::Say(format!("HTTP/1.1 200 OK\r\ncOnTeNt-LeNgTh:{}\r\n\r\n{text}", text.len())),
        |text| Reply::SayAndClose(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}")),
        |text| {
            let (one, two) = text.split_at(7);
            let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Reply::Say(format!("{head}{}{}0\r\n\r\n", chunk(one), chunk(two)))
        },
    ];
    let proxy = Proxy::spawn(&config(discovery.address, &[away]));
    for (n, form) in forms.into_iter().enumerate() {
        discovery.act(form(list(10 * n as u64 + 1)));
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200, "form {n}: {}", proxy.log());
        let drained = json!({"index": 10 * n + 2, "snapshot": false,
            "endpoints": [line("b", backend.address, "draining", 0)]});
        discovery.say(&drained.to_string());
        assert_eq!(proxy.ready(), 503, "form {n}");
    }
}

#[test]
fn a_silent_agent_does_not_wedge_the_watch() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, discovery) = proxy_for(&[("a", &backend)]);
    until("a second call after the first was given up", || discovery.calls() >= 2);
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    assert_eq!(proxy.ready(), 200);
}

/// What the agent of a pushed list gets while a call hangs counts as told when it gets it: a call that was lost with
/// the agent, whole list or watch, must not keep the proxy from hearing of a drain for longer than the rules allow.
#[test]
fn a_call_lost_by_the_agent_of_a_pushed_list_is_made_again_in_time() {
    let backend = Backend::start(|_| ok("x"));
    let (_proxy, discovery) = proxy_for(&[("a", &backend)]);
    until("the watch", || discovery.calls() > 0);
    for reply in [Reply::Silence, Reply::SayAndClose(String::new()), Reply::Silence, Reply::Silence] {
        let began = Instant::now();
        discovery.act(reply);
        // The settings' second, and room for a loaded machine; it was 3.5 s and 5.5 s.
        assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    }
}

/// Where the list must be asked for, the watch begins when the module asks, again after each failure.
#[test]
fn a_subscription_is_asked_for_by_the_module() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", refusing_address(), "draining", 0)]);
    config["settings"]["discovery"] = json!("subscribe");
    let proxy = Proxy::spawn(&config);
    discovery.say("no list");
    assert_eq!(proxy.ready(), 503);
    discovery.tell(true, &[line("a", backend.address, "ready", 0)]);
    until("ready", || proxy.ready() == 200);
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
}

/// A watch that fell silent is missed once its wait is over. All proxies of a fleet begin theirs at one moment, when
/// they start or when news comes; each call costs the service some tenths of a second, and the last in the queue
/// hears of a drain too late where all waits end together.
#[test]
fn the_proxies_of_a_fleet_do_not_all_wait_equally_long_for_news() {
    const PROXIES: u64 = 4;
    let waits: Vec<u64> = (0..PROXIES)
        .map(|position| {
            let discovery = Discovery::start();
            let mut config = config(discovery.address, &[line("a", refusing_address(), "ready", 0)]);
            config["settings"]["discovery"] = json!("subscribe");
            config["settings"]["group_size"] = json!(PROXIES);
            config["settings"]["position"] = json!(position);
            let _proxy = Proxy::spawn(&config);
            until("its watch", || discovery.calls() == 1);
            let call = discovery.asked().remove(0);
            let wait = call.split_once("wait_ms=").expect("a watch").1;
            wait.split(' ').next().unwrap().parse().expect("milliseconds")
        })
        .collect();
    // With the time for an answer none is longer than what leaves a second of the 6 s for the next call.
    assert!(waits.iter().all(|w| (1_500..=3_500).contains(w)), "{waits:?}");
    let apart = waits.windows(2).all(|w| w[0].abs_diff(w[1]) >= 400);
    assert!(apart, "{waits:?}");
}

/// Weeks of releases: tens of thousands of backends come and go, each release of machines never seen before.
#[test]
fn memory_stays_flat_while_backends_and_kinds_come_and_go() {
    const RELEASES: usize = 1500;
    let backend = Backend::start(|_| ok("x"));
    let (proxy, discovery) = proxy_for(&[("a", &backend)]);
    let mut early = 0;
    for release in 0..RELEASES {
        let mut lines = vec![line("a", backend.address, "ready", 0)];
        for n in 0..30 {
            let mut new = line(&format!("s-{release}-{n}"), refusing_address(), "ready", 1);
            new["type"] = json!(format!("m-{release}-{n}"));
            lines.push(new);
        }
        discovery.tell(true, &lines);
        if release % 10 == 0 {
            discovery.tell(true, &lines[..1]);
            assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
        }
        if release == RELEASES / 3 {
            early = proxy.memory_kib();
        }
    }
    let late = proxy.memory_kib();
    assert!(late < early + 4096, "{early} KiB after a third, {late} KiB at the end");
}
