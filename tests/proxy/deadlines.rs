//! Answers at the end of the time that a request has.

use crate::support::{
    ask, config, line, ok, patient, proxy_for, request, until, warm_up, Backend, Client, Discovery, Late,
    Message, Proxy, Reply,
};
use std::time::Duration;

/// The deadline ends attempts as timed out and the module answers; the safety net stays unused, also where
/// less time is left than a tick.
#[test]
fn a_deadline_brings_one_answer_from_the_module() {
    let backend = Backend::start(|_| Reply::Silence);
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    assert_eq!(ask(&proxy, &request("pay", 500)).status(), 502);
    until("the attempt's connection closed", || backend.closed() == 1);
    for left in (0..16).cycle().take(160) {
        let status = ask(&proxy, &request("read", left)).status();
        assert!(matches!(status, 502 | 503), "{status}");
    }
    assert!(!proxy.log().contains("request unanswered at its deadline"), "{}", proxy.log());
}

#[test]
fn a_refusal_is_given_at_once_and_says_when_to_come_back() {
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok("x")));
    let proxy = Proxy::spawn(&config(discovery.address, &[line("a", backend.address, "draining", 0)]));
    until("an answer", || proxy.ready() == 503);
    // No backend takes requests: the module holds it for as long as an answer could still be in time.
    let answer = ask(&proxy, &request("read", 100));
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").unwrap().parse::<u32>().unwrap() > 0);
    assert!(backend.requests().is_empty());
}

/// Repeats of a guarded class are discarded for a time after the first was sent. A further attempt that still dials
/// when it is over would run a second time.
#[test]
fn a_repeat_that_dials_past_its_window_is_not_written() {
    let (late, discovery) = (Late::start(), Discovery::start());
    let failing = |m: &Message| match m.start.contains("/vote/") {
        true => Reply::Say("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
        false => ok("x"),
    };
    let backend = Backend::start(failing);
    let lines = [line("a", backend.address, "ready", 0)];
    let proxy = Proxy::start(&patient(&discovery, &lines));
    warm_up(&proxy);
    discovery.tell(false, &[line("b", late.address, "ready", 0)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("vote", 30_000));
    until("the further attempt", || proxy.log().contains(&format!("address={}", late.address)));
    std::thread::sleep(Duration::from_millis(1300)); // the settings' window and more
    let bytes = late.accept();
    assert_eq!(client.answer().map(|a| a.status()), Some(502));
    assert_eq!(bytes(), 0);
}
