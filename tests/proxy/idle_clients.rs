//! Idle clients that occupy every connection slot while new ones keep connecting.

use crate::support::{
    config, endpoint, ok_response, refusing_address, request, send_request, wait_until, Backend,
    ConnectingClients, Discovery, ProxyProcess, ReservedPort,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Guards against idle clients that block calls to discovery, connections to backends, or requests.
#[test]
fn many_idle_clients_do_not_block_list_updates_backends_or_requests() {
    let backend = Backend::start(|_| ok_response("x"));
    let address = refusing_address();
    let reserved_port = ReservedPort::bind();
    let mut config = config(reserved_port.address, &[endpoint("a", address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    let _idle_clients = ConnectingClients::start(proxy.address, Duration::from_secs(1) / 25, usize::MAX);
    wait_until("a failed call to discovery while the proxy is ready", || {
        proxy.readiness_status() == 200 && proxy.log().contains("discovery call failed ")
    });
    std::thread::sleep(Duration::from_secs(3)); // the idle clients fill all connection slots meanwhile
    let discovery = Discovery::start_on(reserved_port);
    discovery.publish_snapshot(&[endpoint("b", backend.address, "ready", 0)]);
    let began = Instant::now();
    for number in 0..20 {
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200, "request {number}");
    }
    // There are sixteen slots, each freed within two seconds, and 25 new clients a second.
    assert!(began.elapsed() < Duration::from_secs(20), "the requests took {:?}", began.elapsed());
    assert!(!proxy.log().contains("accept failed "), "an accept failed although descriptors were available");
}
