//! Every connection slot or descriptor is taken.

use crate::support::{
    config, endpoint, ok_response, ready_endpoints, request, send_request, wait_until, Backend, Client,
    Discovery, ProxyProcess,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Guards against idle clients that keep every new one out.
#[test]
fn at_capacity_a_new_client_is_still_accepted() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    // Some never send a request; they are not in the way of closing those that have.
    let _silent: Vec<Client> = (0..4).map(|_| Client::open(proxy.address)).collect();
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        idle.push(client);
    }
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
}

/// Guards against requests that wait for a slot while idle connections to other backends take them all.
#[test]
fn with_all_sockets_held_by_idle_connections_requests_that_arrive_at_once_are_served() {
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
        // The connect timeout is two seconds here.
        assert!(began.elapsed() < Duration::from_secs(1), "{:?} in round {round}", began.elapsed());
    }
}

/// Guards against peers without a whole request that hold their slots until they close by themselves.
#[test]
fn silent_and_stalling_peers_are_closed_and_keep_nobody_out() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    let pay = request("pay", 3_600_000);
    let began = Instant::now();
    let beginnings = ["", "GET /read", &pay[..pay.len() - 2]];
    let open = |beginning: &&str| {
        let mut peer = Client::open(proxy.address);
        peer.send(beginning);
        peer
    };
    // More of them than there are slots.
    let mut peers: Vec<Client> = beginnings.iter().cycle().take(60).map(open).collect();
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    for peer in &mut peers {
        let answer = peer.read_response();
        assert!(answer.as_ref().is_none_or(|response| response.status() == 408), "{answer:?}");
    }
    // In turns of three seconds.
    assert!(began.elapsed() < Duration::from_secs(25), "{:?}", began.elapsed());
    assert_eq!(backend.requests().len(), 1);
}

/// Guards against a proxy that ends, or stops accepting, once it has run out of descriptors.
#[test]
fn the_proxy_outlives_exhausted_descriptors() {
    let backend = Backend::start(|_| ok_response("x"));
    let discovery = Discovery::start();
    let config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    let proxy = ProxyProcess::spawn_with_descriptor_limit(&config, 40);
    wait_until("ready", || proxy.readiness_status() == 200);
    let clients: Vec<Client> = (0..60).map(|_| Client::open(proxy.address)).collect();
    wait_until("a failed accept", || proxy.log().contains("accept failed "));
    drop(clients);
    for _ in 0..5 {
        assert_eq!(send_request(&proxy, &request("read", 20_000)).status(), 200);
    }
}
