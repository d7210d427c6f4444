//! Requests that are in flight or half received while the configuration is replaced.

use super::{asking, class, proxy_with_config, reload};
use crate::support::{ask, ok, request, until, Backend, Client, Reply};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A backend that answers reads, and holds anything else until told, when it breaks the connection off once; what
/// comes later is served.
fn breaking() -> (Backend, Arc<AtomicBool>) {
    let (told, broken) = (Arc::new(AtomicBool::new(false)), AtomicBool::new(false));
    let go = told.clone();
    let backend = Backend::start(move |m| {
        if m.start.contains("/read/") || broken.load(Ordering::SeqCst) {
            return ok("x");
        }
        until("told to break off", || go.load(Ordering::SeqCst));
        broken.store(true, Ordering::SeqCst);
        Reply::SayAndClose(String::new())
    });
    (backend, told)
}

/// A request of a class whose effect is replaced while it is in hand: its status after its connection broke, and how
/// often it was sent. A second backend would serve it if it were sent again.
fn broken_off_in_hand(came_with: &str, then: Option<&str>) -> (u16, usize) {
    let ((a, tell_a), (b, tell_b)) = (breaking(), breaking());
    let (proxy, _discovery, mut config) = proxy_with_config(&[&a, &b]);
    (0..10).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
    config["settings"]["profiles"][2] = class("odd", came_with);
    reload(&proxy, &config);
    let sent = || [&a, &b].iter().flat_map(|b| b.requests()).filter(|m| m.start.contains("/odd/")).count();
    let mut client = Client::open(proxy.address);
    client.send(&asking("odd", if came_with == "free" { "GET" } else { "POST" }));
    until("the attempt", || sent() == 1);
    let others = vec![class("read", "free"), class("vote", "guarded")];
    let odd = then.map(|effect| class("odd", effect));
    config["settings"]["profiles"] = odd.into_iter().chain(others).collect();
    reload(&proxy, &config);
    [tell_a, tell_b].iter().for_each(|told| told.store(true, Ordering::SeqCst));
    let status = client.answer().expect("an answer").status();
    (status, sent())
}

#[test]
fn a_request_in_hand_keeps_the_effect_that_it_came_with() {
    assert_eq!(broken_off_in_hand("single_shot", Some("free")), (502, 1));
    assert_eq!(broken_off_in_hand("single_shot", None), (502, 1));
    assert_eq!(broken_off_in_hand("free", None).1, 2, "repeated");
    assert_eq!(broken_off_in_hand("free", Some("single_shot")).1, 2, "repeated");
}

/// A class that is replaced while the body of a request of it is on the way: what was read of the head is no longer
/// true, and its number may be another's.
#[test]
fn a_request_whose_body_comes_after_the_reload_goes_by_the_new_classes() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery, mut config) = proxy_with_config(&[&backend]);
    let pay = request("pay", 7000);
    for (profiles, status) in [
        (json!([class("read", "free"), class("pay", "single_shot")]), 200),
        (json!([class("pay", "free"), class("read", "free")]), 400),
        (json!([class("read", "free")]), 400),
    ] {
        config["settings"]["profiles"] =
            json!([class("read", "free"), class("x", "free"), class("pay", "single_shot")]);
        reload(&proxy, &config);
        let mut client = Client::open(proxy.address);
        client.send(&pay[..pay.len() - 2]);
        config["settings"]["profiles"] = profiles;
        reload(&proxy, &config);
        client.send(&pay[pay.len() - 2..]);
        let answer = client.answer().expect("an answer").status();
        // The body has less time than a loaded machine may take.
        assert!(answer == status || answer == 408, "{answer} in place of {status}");
        client.stop_sending();
        assert!(client.ends(), "more than one answer");
    }
}
