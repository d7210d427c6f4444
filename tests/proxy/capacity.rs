//! Every connection slot or descriptor is taken.

use crate::support::{ask, config, line, ok, request, until, Backend, Client, Discovery, Proxy};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

#[test]
fn with_its_sockets_taken_a_new_client_still_gets_in() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    // Some never ask; they are not in the way of closing those that have.
    let _silent: Vec<Client> = (0..4).map(|_| Client::open(proxy.address)).collect();
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
        idle.push(client);
    }
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
}

/// All places for connections to backends are taken by idle ones: each of several requests that come at once, for
/// backends with none, has one of those give way, and waits for nothing.
#[test]
fn with_its_sockets_taken_by_idle_connections_requests_that_come_at_once_find_places() {
    let backends: Vec<Backend> = (0..30).map(|_| Backend::start(|_| ok("x"))).collect();
    let name = |n: usize| format!("s{n}");
    let lines: Vec<Value> =
        backends.iter().enumerate().map(|(n, b)| line(&name(n), b.address, "ready", 0)).collect();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &lines);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    for round in 0..3 {
        (0..60).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
        let mut clients: Vec<Client> = (0..8).map(|_| Client::open(proxy.address)).collect();
        let began = Instant::now();
        clients.iter_mut().for_each(|c| c.send(&request("pay", 7000)));
        clients.iter_mut().for_each(|c| assert_eq!(c.answer().map(|a| a.status()), Some(200)));
        // The time for a connection is two seconds here.
        assert!(began.elapsed() < Duration::from_secs(1), "{:?} in round {round}", began.elapsed());
    }
}

/// Peers that never send a whole request give their descriptors back long before they would by themselves.
#[test]
fn silent_and_stalling_peers_are_let_go_and_keep_nobody_out() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    let pay = request("pay", 3_600_000);
    let began = Instant::now();
    let starts = ["", "GET /read", &pay[..pay.len() - 2]];
    let open = |start: &&str| {
        let mut peer = Client::open(proxy.address);
        peer.send(start);
        peer
    };
    // More of them than there is room for.
    let mut peers: Vec<Client> = starts.iter().cycle().take(60).map(open).collect();
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    for peer in &mut peers {
        let answer = peer.answer();
        assert!(answer.as_ref().is_none_or(|a| a.status() == 408), "{answer:?}");
    }
    // In turns of three seconds; half a minute is what one turn took before.
    assert!(began.elapsed() < Duration::from_secs(25), "{:?}", began.elapsed());
    assert_eq!(backend.requests().len(), 1);
}

/// Out of descriptors the proxy lives on, and serves again once it has some.
#[test]
fn the_proxy_outlives_a_want_of_descriptors() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let proxy = Proxy::spawn_with(&config, "40");
    until("ready", || proxy.ready() == 200);
    let clients: Vec<Client> = (0..60).map(|_| Client::open(proxy.address)).collect();
    until("a failed accept", || proxy.log().contains("accept failed "));
    drop(clients);
    (0..5).for_each(|_| assert_eq!(ask(&proxy, &request("read", 20_000)).status(), 200));
}
