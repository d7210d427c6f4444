//! Clients that send their requests slowly, and peers that never send a complete request.

use crate::support::{
    config, endpoint, ok_response, request, start_proxy_for, Backend, Client, Discovery, ProxyProcess,
    PAY_WITH_PARTIAL_BODY,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time within which a peer that does not send a complete request must receive an error response or be
/// disconnected.
const STALLED_PEER_LIMIT: Duration = Duration::from_secs(3);

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Opens a connection; if `served_before`, one request on it is sent and answered first.
fn open(proxy: &ProxyProcess, served_before: bool) -> Client {
    let mut client = Client::open(proxy.address);
    if served_before {
        client.send(&request("read", 7000));
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    }
    client
}

/// Sends the text in two parts with a pause in between.
fn send_slowly(client: &mut Client, text: &str, first_length: usize, pause_ms: u64) {
    client.send(&text[..first_length]);
    sleep_ms(pause_ms);
    client.send(&text[first_length..]);
}

/// Runs the cases concurrently and returns each with its result.
fn run_concurrently<Case: Copy + Send + 'static, Outcome: Send + 'static>(
    cases: &[Case], run: fn(Case) -> Outcome,
) -> Vec<(Case, Outcome)> {
    let spawn = |case: &Case| {
        let case = *case;
        (case, std::thread::spawn(move || run(case)))
    };
    let running: Vec<_> = cases.iter().map(spawn).collect();
    running.into_iter().map(|(case, thread)| (case, thread.join().unwrap())).collect()
}

/// Guards against an idle timeout that keeps running after a request has begun.
#[test]
fn a_request_that_begins_on_an_idle_connection_is_answered() {
    let run = |(served_before, idle_ms): (bool, u64)| {
        let backend = Backend::start(|_| ok_response("x"));
        let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
        let mut client = open(&proxy, served_before);
        sleep_ms(idle_ms);
        send_slowly(&mut client, &request("pay", 7000), 30, 350);
        client.read_response().map(|response| response.status())
    };
    // Just below the 2 s after which a proxy may close an idle connection.
    let idle_times_ms = [1700, 1800, 1900, 1950];
    let cases: Vec<_> = [true, false]
        .iter()
        .flat_map(|served_before| idle_times_ms.map(|idle_ms| (*served_before, idle_ms)))
        .collect();
    for (case, status) in run_concurrently(&cases, run) {
        assert_eq!(status, Some(200), "(served before, idle in ms): {case:?}");
    }
}

/// Guards against a body that is abandoned long before the deadline of its request.
#[test]
fn a_slow_body_is_awaited() {
    let run = |(served_before, body_delay_ms): (bool, u64)| {
        let backend = Backend::start(|_| ok_response("x"));
        let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
        let mut client = open(&proxy, served_before);
        let text = request("pay", 1800);
        send_slowly(&mut client, &text, text.len() - 2, body_delay_ms);
        client.read_response().map(|response| response.status())
    };
    let cases: Vec<_> = [true, false]
        .iter()
        .flat_map(|served_before| [900, 1200, 1500].map(|delay_ms| (*served_before, delay_ms)))
        .collect();
    for (case, status) in run_concurrently(&cases, run) {
        assert_eq!(status, Some(200), "(served before, body after ms): {case:?}");
    }
}

/// A peer that never sends a complete request.
#[derive(Clone, Copy, Debug)]
struct StalledPeer {
    text: &'static str,
    /// Whether a complete request is sent and answered first.
    served_before: bool,
}

const fn stalled_peer(text: &'static str, served_before: bool) -> StalledPeer {
    StalledPeer { text, served_before }
}

const STALLED_PEERS: [StalledPeer; 6] = [
    stalled_peer("", false),
    stalled_peer("GET /read", false),
    stalled_peer("GET /read", true),
    stalled_peer("GET /read/a HTTP/1.1\r\nHost: x\r\n", false),
    stalled_peer(PAY_WITH_PARTIAL_BODY, false),
    stalled_peer(PAY_WITH_PARTIAL_BODY, true),
];

/// Returns the time from the connect of the peer, or from the first byte of its incomplete request if it was
/// served before, to the error response or the end of the connection.
fn time_to_close(stalled_peer: StalledPeer, proxy: &ProxyProcess) -> Duration {
    let mut began = Instant::now();
    let mut peer = open(proxy, stalled_peer.served_before);
    if stalled_peer.served_before {
        sleep_ms(1500); // shorter than the idle timeout
        began = Instant::now();
    }
    peer.send(stalled_peer.text);
    let response = peer.read_response();
    assert!(response.as_ref().is_none_or(|response| response.status() >= 400), "{response:?}");
    began.elapsed()
}

/// Guards against peers that occupy a connection slot for long with an incomplete request.
#[test]
fn a_peer_with_an_incomplete_request_is_closed_within_3_s() {
    let run = |stalled_peer: StalledPeer| {
        let backend = Backend::start(|_| ok_response("x"));
        let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
        time_to_close(stalled_peer, &proxy)
    };
    for (case, after) in run_concurrently(&STALLED_PEERS, run) {
        assert!(after < STALLED_PEER_LIMIT, "closed after {after:?}: {case:?}");
    }
}

/// Guards against peers whose timeouts start only once they get a connection slot.
#[test]
fn stalled_peers_are_closed_within_3_s_at_capacity() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    let began = Instant::now();
    let texts = STALLED_PEERS.iter().filter(|peer| !peer.served_before).map(|peer| peer.text);
    let open = |text: &str| {
        let mut peer = Client::open(proxy.address);
        peer.send(text);
        peer
    };
    let mut peers: Vec<Client> = texts.cycle().take(60).map(open).collect();
    for peer in &mut peers {
        let response = peer.read_response();
        assert!(response.as_ref().is_none_or(|response| response.status() >= 400), "{response:?}");
    }
    assert!(began.elapsed() < STALLED_PEER_LIMIT, "the last peer was closed after {:?}", began.elapsed());
}

/// Guards against an incomplete request that is not answered during shutdown.
#[test]
fn an_incomplete_request_is_answered_before_the_process_exits() {
    for StalledPeer { text, .. } in STALLED_PEERS.iter().filter(|peer| !peer.text.is_empty()) {
        let backend = Backend::start(|_| ok_response("x"));
        let (mut proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
        let mut peer = Client::open(proxy.address);
        sleep_ms(300);
        proxy.terminate();
        sleep_ms(300);
        peer.send(text);
        assert_eq!(peer.read_response().map(|response| response.status()), Some(408), "{text:?}");
        assert!(proxy.wait_for_exit().success());
    }
}

/// Guards against a proxy that keeps reading from a peer that sends without end.
#[test]
fn a_peer_that_sends_60_mb_is_closed_within_6_s() {
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let long_text = "x".repeat(60_000_000);
    let length = format!("Content-Length: {}", long_text.len());
    let texts = [
        request("pay", 7000).replace("Content-Length: 4", &length).replace("body", &long_text),
        long_text.clone(),
        format!("GET /read/{long_text}"),
    ];
    for text in texts {
        let began = Instant::now();
        let mut peer = Client::open(proxy.address);
        peer.send(&text);
        let response = peer.read_response();
        assert!(response.as_ref().is_none_or(|response| response.status() >= 400), "{response:?}");
        assert!(began.elapsed() < Duration::from_secs(6), "closed after {:?}: {:.30}", began.elapsed(), text);
    }
    assert!(backend.requests().is_empty());
}
