//! The log of requests and their attempts.

use crate::support::{
    ok_response, request, send_request, start_proxy_for, wait_until, Backend, Client, Message, Reply,
};

/// Guards against log events of a request or its attempts that lack the client's correlation id.
#[test]
fn all_log_events_of_a_request_carry_its_correlation_id() {
    let respond = |message: &Message| match message.start_line.contains("/pay/") {
        true => Reply::NoResponse,
        false => ok_response("x"),
    };
    let backend = Backend::start(respond);
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let status_of = |class: &str, time_left_ms: u64, id: &str| {
        let text = request(class, time_left_ms).replace("9b1f03aa5c7e2d41", id);
        send_request(&proxy, &text).status()
    };
    let lines_of = |id: &str| -> Vec<String> {
        let field = format!(" correlation_id={id} ");
        proxy.log().lines().filter(|line| line.contains(&field)).map(str::to_string).collect()
    };
    let address_field = format!("address={}", backend.address);
    // This comes before the request that times out, after which the balancer may eject the only backend.
    let mut disconnecting_client = Client::open(proxy.address);
    disconnecting_client.send(&request("pay", 7000).replace("9b1f03aa5c7e2d41", "33cc"));
    wait_until("the attempt to be dispatched", || lines_of("33cc").len() == 2);
    drop(disconnecting_client);
    wait_until("the end of the request", || {
        lines_of("33cc").iter().any(|line| line.contains("request ended outcome=client_disconnected "))
    });
    // The time left exceeds a quarter of the latency objective, which is the latency that the balancer
    // assumes for a class without any samples: a request with less time left may be abandoned.
    let cases = [("read", 7000, 200, "11aa", "served"), ("pay", 2000, 502, "22bb", "failed")];
    for (class, time_left_ms, status, id, outcome) in cases {
        assert_eq!(status_of(class, time_left_ms, id), status, "class {class}");
        let end = format!("request ended outcome={outcome} ");
        let events = ["request received ", &address_field, "attempt ended attempt=0 ", &end];
        wait_until("the last event of the request", || lines_of(id).len() == events.len());
        let logged = lines_of(id);
        assert!(
            events.iter().all(|event| logged.iter().any(|line| line.contains(event))),
            "class {class}: an event is missing in {logged:?}"
        );
    }
}
