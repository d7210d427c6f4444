//! Endpoint lists: which ones are applied, and when the proxy calls discovery.

use crate::support::{
    config, endpoint, ok_response, refusing_address, request, send_request, start_proxy_for, wait_until,
    Backend, Discovery, ProxyProcess, Reply,
};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Guards against requests to a draining or removed backend, and against connections to it that stay open.
#[test]
fn a_draining_or_removed_backend_receives_no_new_requests() {
    let (backend_a, backend_b) = (Backend::start(|_| ok_response("a")), Backend::start(|_| ok_response("b")));
    let (proxy, discovery) = start_proxy_for(&[("a", &backend_a), ("b", &backend_b)]);
    wait_until("both backends to serve a request", || {
        send_request(&proxy, &request("read", 7000));
        !backend_a.requests().is_empty() && !backend_b.requests().is_empty()
    });
    discovery.publish_delta(&[endpoint("a", backend_a.address, "draining", 0)]);
    wait_until("the connections to a to close", || {
        backend_a.closed_connections() == backend_a.opened_connections()
    });
    let before = backend_a.requests().len();
    for _ in 0..20 {
        assert_eq!(send_request(&proxy, &request("read", 7000)).body, b"b");
    }
    discovery.publish_delta(&[
        endpoint("a", backend_a.address, "ready", 0),
        endpoint("b", backend_b.address, "gone", 0),
    ]);
    wait_until("the connections to b to close", || {
        backend_b.closed_connections() == backend_b.opened_connections()
    });
    for _ in 0..20 {
        assert_eq!(send_request(&proxy, &request("read", 7000)).body, b"a");
    }
    assert!(backend_a.requests().len() >= before + 20);
    discovery.publish_snapshot(&[endpoint("b", backend_b.address, "ready", 0)]);
    wait_until("the connections to a to close again", || {
        backend_a.closed_connections() == backend_a.opened_connections()
    });
    for _ in 0..20 {
        assert_eq!(send_request(&proxy, &request("read", 7000)).body, b"b");
    }
}

/// Guards against a malformed list that is partially applied, replaces the current list or ends the watch.
#[test]
fn a_malformed_list_is_rejected_as_a_whole() {
    for mode in ["automatic", "subscribe"] {
        let (backend, unlisted) =
            (Backend::start(|_| ok_response("x")), Backend::start(|_| ok_response("unlisted")));
        let discovery = Discovery::start();
        let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
        config["settings"]["discovery"] = json!(mode);
        let proxy = ProxyProcess::start(&config);
        let well_formed = endpoint("b", unlisted.address, "ready", 0);
        let list_with = |malformed: Value| {
            json!({"index": 9, "snapshot": true, "endpoints": [well_formed, malformed]}).to_string()
        };
        let headers_and_body = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
        let replies = [
            ok_response(&list_with(json!({"name": "c"}))),
            ok_response(&list_with(endpoint("c", unlisted.address, "resting", 0))),
            ok_response("[]"),
            ok_response("no json"),
            ok_response(r#"{"index":1,"snapshot":true}"#),
            ok_response(r#"{"index":-1,"snapshot":true,"endpoints":[]}"#),
            Reply::Send(format!("HTTP/1.1 503 x\r\n{}", headers_and_body("busy"))),
            Reply::Send(format!(
                "HTTP/1.1 302 x\r\nLocation: http://{}/\r\n{}",
                unlisted.address,
                headers_and_body("")
            )),
            Reply::SendAndClose("HTTP/1.1 2x0 OK\r\n\r\n".into()),
            Reply::SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\":9".into()),
            Reply::SendAndClose(String::new()),
        ];
        for (number, reply) in replies.into_iter().enumerate() {
            discovery.respond(reply);
            assert_eq!(
                send_request(&proxy, &request("read", 7000)).body,
                b"x",
                "{mode}, after reply {number}"
            );
        }
        discovery.publish_snapshot(&[endpoint("a", backend.address, "draining", 0)]);
        wait_until("the well-formed list to be applied", || proxy.readiness_status() == 503);
        assert_eq!(unlisted.opened_connections(), 0);
    }
}

/// Guards against lists that are rejected because of their indentation, framing or spelling of header names.
#[test]
fn a_list_is_accepted_in_every_http_framing() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let draining = endpoint("a", refusing_address(), "draining", 0);
    let list = |version: u64| {
        let endpoints = [endpoint("b", backend.address, "ready", 0)];
        serde_json::to_string_pretty(&json!({"index": version, "snapshot": true, "endpoints": endpoints}))
            .unwrap()
    };
    let framings: [fn(String) -> Reply; 4] = [
        |text| ok_response(&text),
        |text| Reply::Send(format!("HTTP/1.1 200 OK\r\ncOnTeNt-LeNgTh:{}\r\n\r\n{text}", text.len())),
        |text| Reply::SendAndClose(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}")),
        |text| {
            let (first, second) = text.split_at(7);
            let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Reply::Send(format!("{head}{}{}0\r\n\r\n", chunk(first), chunk(second)))
        },
    ];
    let proxy = ProxyProcess::spawn(&config(discovery.address, &[draining]));
    for (number, framing) in framings.into_iter().enumerate() {
        discovery.respond(framing(list(10 * number as u64 + 1)));
        assert_eq!(
            send_request(&proxy, &request("read", 7000)).status(),
            200,
            "framing {number}: {}",
            proxy.log()
        );
        let drained = json!({"index": 10 * number + 2, "snapshot": false,
            "endpoints": [endpoint("b", backend.address, "draining", 0)]});
        discovery.respond_with_body(&drained.to_string());
        assert_eq!(proxy.readiness_status(), 503, "framing {number}");
    }
}

/// Guards against a watch that waits forever for a discovery agent that accepts calls and never answers.
#[test]
fn an_unresponsive_agent_does_not_stop_the_watch() {
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, discovery) = start_proxy_for(&[("a", &backend)]);
    wait_until("a second call after the first has timed out", || discovery.call_count() >= 2);
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    assert_eq!(proxy.readiness_status(), 200);
}

/// Guards against a lost call after which the proxy learns of a drain later than the drain notice limit
/// allows.
#[test]
fn a_lost_call_for_a_pushed_list_is_repeated_in_time() {
    let backend = Backend::start(|_| ok_response("x"));
    let (_proxy, discovery) = start_proxy_for(&[("a", &backend)]);
    wait_until("the first call to discovery", || discovery.call_count() > 0);
    for reply in [Reply::NoResponse, Reply::SendAndClose(String::new()), Reply::NoResponse, Reply::NoResponse]
    {
        let began = Instant::now();
        discovery.respond(reply);
        // The drain notice limit is one second here; the rest allows for a loaded machine.
        assert!(began.elapsed() < Duration::from_secs(3), "the next call came after {:?}", began.elapsed());
    }
}

/// Guards against a watch that does not resume after a failure when the proxy subscribes to the list.
#[test]
fn a_lost_subscription_is_renewed() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", refusing_address(), "draining", 0)]);
    config["settings"]["discovery"] = json!("subscribe");
    let proxy = ProxyProcess::spawn(&config);
    discovery.respond_with_body("no list");
    assert_eq!(proxy.readiness_status(), 503);
    discovery.publish_snapshot(&[endpoint("a", backend.address, "ready", 0)]);
    wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
}

/// Guards against long polls of all proxies that end at the same time, so that the last proxy learns of a
/// drain too late.
#[test]
fn the_long_polls_of_a_fleet_have_different_durations() {
    const PROXIES: u64 = 4;
    let waits: Vec<u64> = (0..PROXIES)
        .map(|proxy_index| {
            let discovery = Discovery::start();
            let mut config = config(discovery.address, &[endpoint("a", refusing_address(), "ready", 0)]);
            config["settings"]["discovery"] = json!("subscribe");
            config["settings"]["group_size"] = json!(PROXIES);
            config["settings"]["position"] = json!(proxy_index);
            let _proxy = ProxyProcess::spawn(&config);
            wait_until("the first call", || discovery.call_count() == 1);
            let call = discovery.request_lines().remove(0);
            let wait = call.split_once("wait_ms=").expect("a call with wait_ms").1;
            wait.split(' ').next().unwrap().parse().expect("a wait in milliseconds")
        })
        .collect();
    // Each wait plus 1.5 s for the response leaves at least one second of the notification limit of 6 s for the
    // next call.
    assert!(waits.iter().all(|wait_ms| (1_500..=3_500).contains(wait_ms)), "waits in ms: {waits:?}");
    let all_differ = waits.windows(2).all(|pair| pair[0].abs_diff(pair[1]) >= 400);
    assert!(all_differ, "waits in ms: {waits:?}");
}

/// Guards against memory that grows with every backend and kind ever listed.
#[test]
fn memory_does_not_grow_as_backends_and_kinds_are_replaced() {
    const RELEASES: usize = 1500;
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, discovery) = start_proxy_for(&[("a", &backend)]);
    let mut early = 0;
    for release in 0..RELEASES {
        let mut endpoints = vec![endpoint("a", backend.address, "ready", 0)];
        for number in 0..30 {
            let mut new = endpoint(&format!("s-{release}-{number}"), refusing_address(), "ready", 1);
            new["type"] = json!(format!("m-{release}-{number}"));
            endpoints.push(new);
        }
        discovery.publish_snapshot(&endpoints);
        if release % 10 == 0 {
            discovery.publish_snapshot(&endpoints[..1]);
            assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        }
        if release == RELEASES / 3 {
            early = proxy.memory_kib();
        }
    }
    let late = proxy.memory_kib();
    assert!(late < early + 4096, "{early} KiB after a third, {late} KiB at the end");
}
