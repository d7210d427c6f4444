//! The log of the requests.

use crate::support::{ask, ok, proxy_for, request, until, Backend, Client, Reply};

/// The log of one request, by the id that its client gave it: as it came, each attempt, its end.
#[test]
fn a_request_can_be_followed_through_the_log_by_its_correlation_id() {
    let backend = Backend::start(|m| if m.start.contains("/pay/") { Reply::Silence } else { ok("x") });
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let as_client = |class: &str, left_ms: u64, id: &str| {
        let text = request(class, left_ms).replace("9b1f03aa5c7e2d41", id);
        ask(&proxy, &text).status()
    };
    let lines = |id: &str| -> Vec<String> {
        let field = format!(" correlation_id={id} ");
        proxy.log().lines().filter(|l| l.contains(&field)).map(str::to_string).collect()
    };
    let to = format!("address={}", backend.address);
    // Before the time-out, for which the module may leave the only backend out for a while.
    let mut leaver = Client::open(proxy.address);
    leaver.send(&request("pay", 7000).replace("9b1f03aa5c7e2d41", "33cc"));
    until("the attempt", || lines("33cc").len() == 2);
    drop(leaver);
    until("its end", || {
        lines("33cc").iter().any(|l| l.contains("request ended outcome=client_disconnected "))
    });
    // More than a quarter of the aim: with less the module may give up a class of which it knows no answer.
    let cases = [("read", 7000, 200, "11aa", "served"), ("pay", 2000, 502, "22bb", "failed")];
    for (class, left_ms, status, id, end) in cases {
        assert_eq!(as_client(class, left_ms, id), status, "{class}");
        let end = format!("request ended outcome={end} ");
        let parts = ["request received ", &to, "attempt ended attempt=0 ", &end];
        until("its last line", || lines(id).len() == parts.len());
        let told = lines(id);
        assert!(parts.iter().all(|part| told.iter().any(|line| line.contains(part))), "{class}: {told:?}");
    }
}
