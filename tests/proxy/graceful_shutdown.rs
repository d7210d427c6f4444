//! Graceful shutdown on SIGTERM: every pending request is answered before the process is killed.

use crate::support::{
    config, endpoint, ok_response, request, start_proxy_for, wait_until, Backend, Client, Discovery,
    ProxyProcess, Reply,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Guards against requests in flight that are aborted, and against idle connections that delay the exit.
#[test]
fn sigterm_completes_the_requests_received_and_exits_with_success() {
    let backend = Backend::start(|message| {
        if message.start_line.contains("slow") {
            std::thread::sleep(Duration::from_millis(1500));
        }
        ok_response("x")
    });
    let (mut proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let mut idle_client = Client::open(proxy.address);
    idle_client.send(&request("read", 7000));
    assert_eq!(idle_client.read_response().map(|response| response.status()), Some(200));
    let mut slow_client = Client::open(proxy.address);
    slow_client.send(&request("read", 7000).replace("/a?", "/slow?"));
    wait_until("the slow request to reach the backend", || backend.requests().len() == 2);
    proxy.terminate();
    wait_until("the readiness probe to fail", || proxy.readiness_status() != 200);
    let response = slow_client.read_response().expect("a response to the request in flight");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(idle_client.receives_no_more_data());
    assert!(proxy.wait_for_exit().success());
}

/// Guards against requests that are still unanswered at SIGKILL, 3.7 s after SIGTERM.
#[test]
fn every_pending_request_is_answered_before_sigkill() {
    let backend = Backend::start(|_| Reply::NoResponse);
    let discovery = Discovery::start();
    let hanging_backend = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    let without_list = config(discovery.address, &[]);
    for (config, statuses) in [(hanging_backend, [502, 502, 503]), (without_list, [503, 503, 503])] {
        let mut proxy = ProxyProcess::spawn(&config);
        let mut clients: Vec<Client> = (0..3).map(|_| Client::open(proxy.address)).collect();
        clients[0].send(&request("pay", 60_000));
        clients[1].send(&request("vote", 60_000));
        wait_until("both requests to be received", || proxy.count_in_log("request received ") == 2);
        let began = Instant::now();
        proxy.terminate();
        wait_until("the readiness probe to fail", || proxy.readiness_status() != 200);
        clients[2].send(&request("read", 60_000));
        proxy.terminate();
        let before = proxy.count_in_log("SIGHUP");
        proxy.reload(&config.to_string());
        wait_until("a log line of the reload", || proxy.count_in_log("SIGHUP") > before);
        for (client, status) in clients.iter_mut().zip(statuses) {
            assert_eq!(client.read_response().map(|response| response.status()), Some(status));
        }
        assert!(proxy.wait_for_exit().success());
        // Much earlier than the requests' deadlines, 60 s after they were sent.
        assert!(began.elapsed() < Duration::from_secs(6), "exited after {:?}", began.elapsed());
        assert!(!proxy.log().contains("ERROR"), "{}", proxy.log());
    }
}

/// Guards against responses that a stalled process sends only after the time of SIGKILL.
#[test]
fn a_stalled_process_answers_every_request_before_sigkill() {
    const STALL: Duration = Duration::from_millis(150);
    let backend = Backend::start(|_| Reply::NoResponse);
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    let longest_deadline = Duration::from_millis(1000);
    for profile in config["settings"]["profiles"].as_array_mut().unwrap() {
        profile["deadline_us"] = json!(longest_deadline.as_micros() as u64);
        profile["aim_us"] = json!(500_000);
    }
    let kill_delay = longest_deadline + Duration::from_millis(700);
    // The second stall begins at different times before the kill.
    for before_kill_ms in [290, 270, 250, 230, 210, 190, 170] {
        let proxy = ProxyProcess::start(&config);
        let mut client = Client::open(proxy.address);
        client.send(&request("pay", 60_000));
        wait_until("the request to be received", || proxy.count_in_log("request received ") == 1);
        let mut began = Instant::now();
        let first_stall = proxy.stall(STALL, || {
            began = Instant::now();
            proxy.terminate();
        });
        std::thread::sleep(
            (kill_delay - Duration::from_millis(before_kill_ms)).saturating_sub(began.elapsed()),
        );
        let second_stall = proxy.stall(STALL, || {});
        client.set_read_timeout(Duration::from_secs(2));
        let status = client.read_response().map(|response| response.status());
        // On a loaded machine the stalls take longer than `STALL`; the limit is extended by the excess.
        let excess_stall = first_stall.saturating_sub(STALL) + second_stall.saturating_sub(STALL);
        assert!(
            status == Some(502) && began.elapsed() < kill_delay + excess_stall,
            "status {status:?} after {:?}",
            began.elapsed()
        );
    }
}

/// Guards against a connection with a partially received request that is closed as if it were idle.
#[test]
fn sigterm_waits_for_the_rest_of_a_partially_received_request() {
    let backend = Backend::start(|_| ok_response("x"));
    let (mut proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let pay = request("pay", 7000);
    for cut in [5, pay.len() - 2] {
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        client.send(&pay[..cut]);
        std::thread::sleep(Duration::from_millis(50)); // usually enough for the proxy to read it
        proxy.terminate();
        wait_until("the listener to close", || proxy.readiness_status() == 0);
        client.send(&pay[cut..]);
        let response = client.read_response().expect("a response");
        // On a loaded machine the body may miss its deadline.
        let is_body_late = cut > 5 && response.status() == 408;
        assert!(response.status() == 200 || is_body_late, "{response:?}");
        assert!(proxy.wait_for_exit().success());
        proxy = start_proxy_for(&[("a", &backend)]).0;
    }
}

/// Guards against losing the first request of an accepted connection when the listener closes.
#[test]
fn sigterm_waits_for_the_first_request_of_a_connection() {
    let backend = Backend::start(|_| ok_response("x"));
    let (mut proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let mut new_client = Client::open(proxy.address);
    proxy.terminate();
    wait_until("the listener to close", || proxy.readiness_status() == 0);
    new_client.send(&request("read", 7000));
    assert_eq!(new_client.read_response().map(|response| response.status()), Some(200));
    assert!(proxy.wait_for_exit().success());
}
