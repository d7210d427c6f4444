//! Clients that write slowly, beside peers that send no whole request: the former are owed their time, the latter an
//! end within 3 s of connecting.

use crate::support::{config, line, ok, proxy_for, request, Backend, Client, Discovery, Proxy};
use serde_json::json;
use std::time::{Duration, Instant};

/// Peers that send no proper request are owed an error or a close so soon after they connect.
const BAD_PEERS_END: Duration = Duration::from_secs(3);

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A client's connection, new or with one request on it answered.
fn open(proxy: &Proxy, served_before: bool) -> Client {
    let mut client = Client::open(proxy.address);
    if served_before {
        client.send(&request("read", 7000));
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
    }
    client
}

/// Sends the text in two parts with a rest between them.
fn send_slowly(client: &mut Client, text: &str, first: usize, rest_ms: u64) {
    client.send(&text[..first]);
    sleep_ms(rest_ms);
    client.send(&text[first..]);
}

/// Runs the cases side by side, and returns what each came to.
fn side_by_side<C: Copy + Send + 'static, R: Send + 'static>(cases: &[C], play: fn(C) -> R) -> Vec<(C, R)> {
    let running: Vec<_> = cases
        .iter()
        .map(|case| {
            (
                *case,
                std::thread::spawn({
                    let case = *case;
                    move || play(case)
                }),
            )
        })
        .collect();
    running.into_iter().map(|(case, played)| (case, played.join().unwrap())).collect()
}

/// The time for idle connections ran on through a request that had begun.
#[test]
fn a_request_that_begins_on_a_resting_connection_is_answered() {
    let play = |(served_before, rest_ms): (bool, u64)| {
        let backend = Backend::start(|_| ok("x"));
        let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
        let mut client = open(&proxy, served_before);
        sleep_ms(rest_ms);
        send_slowly(&mut client, &request("pay", 7000), 30, 350);
        client.answer().map(|a| a.status())
    };
    let rests = [1700, 1800, 1900, 1950];
    let cases: Vec<_> = [true, false].iter().flat_map(|s| rests.map(|rest| (*s, rest))).collect();
    for (case, status) in side_by_side(&cases, play) {
        assert_eq!(status, Some(200), "(served before, rest in ms): {case:?}");
    }
}

/// The body had 0.75 s from its head, whatever time its client had told.
#[test]
fn a_body_that_comes_slowly_is_waited_for() {
    let play = |(served_before, body_ms): (bool, u64)| {
        let backend = Backend::start(|_| ok("x"));
        let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
        let mut client = open(&proxy, served_before);
        let text = request("pay", 1800);
        send_slowly(&mut client, &text, text.len() - 2, body_ms);
        client.answer().map(|a| a.status())
    };
    let cases: Vec<_> = [true, false].iter().flat_map(|s| [900, 1200, 1500].map(|body| (*s, body))).collect();
    for (case, status) in side_by_side(&cases, play) {
        assert_eq!(status, Some(200), "(served before, body after ms): {case:?}");
    }
}

/// What a peer sends that never sends a whole request, and whether it sends a good one first.
type Stalling = (&'static str, bool);

const STALLING: [Stalling; 6] = [
    ("", false),
    ("GET /read", false),
    ("GET /read", true),
    ("GET /read/a HTTP/1.1\r\nHost: x\r\n", false),
    ("POST /pay/a HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 60000\r\nContent-Length: 4\r\n\r\nbo", false),
    ("POST /pay/a HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 60000\r\nContent-Length: 4\r\n\r\nbo", true),
];

/// How long after it connected, or after it began where it was served before, a stalling peer had its end.
fn ended_after((text, served_before): Stalling, proxy: &Proxy) -> Duration {
    let mut began = Instant::now();
    let mut peer = open(proxy, served_before);
    if served_before {
        sleep_ms(1500);
        began = Instant::now();
    }
    peer.send(text);
    let answer = peer.answer();
    assert!(answer.as_ref().is_none_or(|a| a.status() >= 400), "{answer:?}");
    began.elapsed()
}

#[test]
fn a_peer_that_stops_in_the_middle_of_a_request_has_its_end_within_3_s() {
    let play = |stalling: Stalling| {
        let backend = Backend::start(|_| ok("x"));
        let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
        ended_after(stalling, &proxy)
    };
    for (case, after) in side_by_side(&STALLING, play) {
        assert!(after < BAD_PEERS_END, "{after:?}: {case:?}");
    }
}

/// More of them than there are places: those that wait for one are owed their end as soon.
#[test]
fn on_a_crowded_proxy_too_stalling_peers_have_their_end_within_3_s() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    let began = Instant::now();
    let texts = STALLING.iter().filter(|s| !s.1).map(|s| s.0);
    let open = |text: &str| {
        let mut peer = Client::open(proxy.address);
        peer.send(text);
        peer
    };
    let mut peers: Vec<Client> = texts.cycle().take(60).map(open).collect();
    for peer in &mut peers {
        let answer = peer.answer();
        assert!(answer.as_ref().is_none_or(|a| a.status() >= 400), "{answer:?}");
    }
    assert!(began.elapsed() < BAD_PEERS_END, "{:?}", began.elapsed());
}

/// What has begun to come when the process has to end gets an answer, though it is none of a backend.
#[test]
fn a_request_that_is_never_whole_is_answered_before_the_end_of_the_process() {
    for (text, _) in STALLING.iter().filter(|s| !s.0.is_empty()) {
        let backend = Backend::start(|_| ok("x"));
        let (mut proxy, _discovery) = proxy_for(&[("a", &backend)]);
        let mut peer = Client::open(proxy.address);
        sleep_ms(300);
        proxy.terminate();
        sleep_ms(300);
        peer.send(text);
        assert_eq!(peer.answer().map(|a| a.status()), Some(408), "{text:?}");
        assert!(proxy.exit().success());
    }
}

/// A peer that has 60 MB to send has its error within 6 s of connecting, whether it reads meanwhile or not.
#[test]
fn a_peer_that_sends_60_mb_has_its_end_within_6_s() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let much = "x".repeat(60_000_000);
    let length = format!("Content-Length: {}", much.len());
    let texts = [
        request("pay", 7000).replace("Content-Length: 4", &length).replace("body", &much),
        much.clone(),
        format!("GET /read/{much}"),
    ];
    for text in texts {
        let began = Instant::now();
        let mut peer = Client::open(proxy.address);
        peer.send(&text);
        let answer = peer.answer();
        assert!(answer.as_ref().is_none_or(|a| a.status() >= 400), "{answer:?}");
        assert!(began.elapsed() < Duration::from_secs(6), "{:?} for {:.30}", began.elapsed(), text);
    }
    assert!(backend.requests().is_empty());
}
