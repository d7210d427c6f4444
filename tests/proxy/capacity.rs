//! Behaviour when all connection slots or file descriptors are in use.

use crate::support::{
    config, endpoint, ok_response, ready_endpoints, request, send_request, wait_until, Backend, Client,
    Discovery, ProxyProcess,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Guards against idle clients that prevent new clients from connecting.
#[test]
fn at_capacity_a_new_client_is_still_accepted() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    // Clients that never send a request must not prevent the proxy from closing idle ones.
    let _silent_clients: Vec<Client> = (0..4).map(|_| Client::open(proxy.address)).collect();
    let mut idle_clients: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        idle_clients.push(client);
    }
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
}

/// Guards against requests that wait for a socket while idle connections to other backends use all of them.
#[test]
fn concurrent_requests_are_served_while_idle_connections_use_all_sockets() {
    let backends: Vec<Backend> = (0..30).map(|_| Backend::start(|_| ok_response("x"))).collect();
    let endpoints = ready_endpoints(backends.iter());
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &endpoints);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    for round in 0..3 {
        for _ in 0..60 {
            assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        }
        let mut clients: Vec<Client> = (0..8).map(|_| Client::open(proxy.address)).collect();
        let began = Instant::now();
        for client in &mut clients {
            client.send(&request("pay", 7000));
        }
        for client in &mut clients {
            assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        }
        // Below the connect timeout of two seconds.
        assert!(began.elapsed() < Duration::from_secs(1), "round {round} took {:?}", began.elapsed());
    }
}

/// Guards against peers with incomplete requests that occupy their slots until they disconnect.
#[test]
fn stalled_peers_are_closed_and_do_not_block_new_clients() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    let pay = request("pay", 3_600_000);
    let began = Instant::now();
    let partial_requests = ["", "GET /read", &pay[..pay.len() - 2]];
    let open = |partial_request: &&str| {
        let mut peer = Client::open(proxy.address);
        peer.send(partial_request);
        peer
    };
    // More peers than connection slots.
    let mut peers: Vec<Client> = partial_requests.iter().cycle().take(60).map(open).collect();
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    for peer in &mut peers {
        let response = peer.read_response();
        assert!(response.as_ref().is_none_or(|response| response.status() == 408), "{response:?}");
    }
    // The slots are freed in rounds of at most three seconds.
    assert!(
        began.elapsed() < Duration::from_secs(25),
        "the last peer was closed after {:?}",
        began.elapsed()
    );
    assert_eq!(backend.requests().len(), 1);
}

/// Guards against a proxy that exits, or stops accepting, after running out of file descriptors.
#[test]
fn the_proxy_survives_exhausted_descriptors() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    let proxy = ProxyProcess::spawn_with_descriptor_limit(&config, 40);
    wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
    let clients: Vec<Client> = (0..60).map(|_| Client::open(proxy.address)).collect();
    wait_until("a failed accept", || proxy.log().contains("accept failed "));
    drop(clients);
    for _ in 0..5 {
        assert_eq!(send_request(&proxy, &request("read", 20_000)).status(), 200);
    }
}
