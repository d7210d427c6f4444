//! SIGTERM: every request is answered before the process is killed.

use crate::support::{config, line, ok, proxy_for, request, until, Backend, Client, Discovery, Proxy, Reply};
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn sigterm_finishes_what_was_taken_and_ends_well() {
    let backend = Backend::start(|m| {
        if m.start.contains("slow") {
            std::thread::sleep(Duration::from_millis(1500));
        }
        ok("x")
    });
    let (mut proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut idle = Client::open(proxy.address);
    idle.send(&request("read", 7000));
    assert_eq!(idle.answer().map(|a| a.status()), Some(200));
    let mut slow = Client::open(proxy.address);
    slow.send(&request("read", 7000).replace("/a?", "/slow?"));
    until("the slow request", || backend.requests().len() == 2);
    proxy.terminate();
    until("not ready", || proxy.ready() != 200);
    let answer = slow.answer().expect("an answer to what was taken");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(idle.ends());
    assert!(proxy.exit().success());
}

/// SIGKILL comes 3.7 s after SIGTERM even where clients wait longer, and finds nothing unanswered: neither what is
/// out on a backend that hangs, nor what is held, nor what comes while the proxy ends. Neither a second SIGTERM nor a
/// SIGHUP changes that, nor a discovery that never spoke.
#[test]
fn sigterm_brings_every_answer_before_the_kill() {
    let backend = Backend::start(|_| Reply::Silence);
    let discovery = Discovery::start();
    let hung = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let without_list = config(discovery.address, &[]);
    for (config, statuses) in [(hung, [502, 502, 503]), (without_list, [503, 503, 503])] {
        let mut proxy = Proxy::spawn(&config);
        let mut clients: Vec<Client> = (0..3).map(|_| Client::open(proxy.address)).collect();
        clients[0].send(&request("pay", 60_000));
        clients[1].send(&request("vote", 60_000));
        until("both came", || proxy.log().matches("request received ").count() == 2);
        let began = Instant::now();
        proxy.terminate();
        until("not ready", || proxy.ready() != 200);
        clients[2].send(&request("read", 60_000));
        proxy.terminate();
        let before = proxy.log().matches("SIGHUP").count();
        proxy.reload(&config.to_string());
        until("a line about the reload", || proxy.log().matches("SIGHUP").count() > before);
        for (client, status) in clients.iter_mut().zip(statuses) {
            assert_eq!(client.answer().map(|a| a.status()), Some(status));
        }
        assert!(proxy.exit().success());
        assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed()); // no deadline is so early
        assert!(!proxy.log().contains("ERROR"), "{}", proxy.log());
    }
}

/// The signal comes while the process is held up, and it is held up again as the time is over: SIGKILL does not wait
/// for that.
#[test]
fn a_process_that_is_held_up_brings_every_answer_before_the_kill_too() {
    const HELD_UP: Duration = Duration::from_millis(150);
    let backend = Backend::start(|_| Reply::Silence);
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let longest = Duration::from_millis(1000);
    for profile in config["settings"]["profiles"].as_array_mut().unwrap() {
        profile["deadline_us"] = json!(longest.as_micros() as u64);
        profile["aim_us"] = json!(500_000);
    }
    let kill = longest + Duration::from_millis(700);
    // The second hold-up begins at several moments before the kill.
    for before_kill in [290, 270, 250, 230, 210, 190, 170] {
        let proxy = Proxy::start(&config);
        let mut client = Client::open(proxy.address);
        client.send(&request("pay", 60_000));
        until("it came", || proxy.log().matches("request received ").count() == 1);
        let mut began = Instant::now();
        let first = proxy.hold_up(HELD_UP, || {
            began = Instant::now();
            proxy.terminate();
        });
        std::thread::sleep((kill - Duration::from_millis(before_kill)).saturating_sub(began.elapsed()));
        let second = proxy.hold_up(HELD_UP, || {});
        client.wait_for_at_most(Duration::from_secs(2));
        let status = client.answer().map(|a| a.status());
        // A loaded machine held it up for longer than the rule has it: by so much the kill would be early.
        let beyond = first.saturating_sub(HELD_UP) + second.saturating_sub(HELD_UP);
        assert!(
            status == Some(502) && began.elapsed() < kill + beyond,
            "{status:?} after {:?}",
            began.elapsed()
        );
    }
}

/// Half a request that has come when the idle connections are closed is no idle connection's: the rest is waited for.
#[test]
fn sigterm_waits_for_the_rest_of_a_request_that_has_begun() {
    let backend = Backend::start(|_| ok("x"));
    let (mut proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let pay = request("pay", 7000);
    for cut in [5, pay.len() - 2] {
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
        client.send(&pay[..cut]);
        std::thread::sleep(Duration::from_millis(50)); // as a rule it has been read by then
        proxy.terminate();
        until("the listener closed", || proxy.ready() == 0);
        client.send(&pay[cut..]);
        let answer = client.answer().expect("an answer");
        let body_late = cut > 5 && answer.status() == 408; // the body has less time than a loaded machine may take
        assert!(answer.status() == 200 || body_late, "{answer:?}");
        assert!(proxy.exit().success());
        proxy = proxy_for(&[("a", &backend)]).0;
    }
}

/// A connection that was accepted may have its first request on the way when the listener closes.
#[test]
fn sigterm_waits_for_the_first_request_of_a_connection() {
    let backend = Backend::start(|_| ok("x"));
    let (mut proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut fresh = Client::open(proxy.address);
    proxy.terminate();
    until("the listener closed", || proxy.ready() == 0);
    fresh.send(&request("read", 7000));
    assert_eq!(fresh.answer().map(|a| a.status()), Some(200));
    assert!(proxy.exit().success());
}
