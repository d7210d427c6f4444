//! Files that cannot be used.

use super::{asking, lines, proxy_with_config, reload};
use crate::support::{ask, changed, line, ok, request, until, Backend, Discovery};
use serde_json::{json, Value};

#[test]
fn a_file_that_cannot_be_used_changes_nothing_of_what_it_says() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, discovery, good) = proxy_with_config(&[&backend]);
    let elsewhere = Discovery::start();
    let mut other = changed(&good, "/discovery", json!(elsewhere.address.to_string()));
    other["settings"]["profiles"][2]["name"] = json!("new");
    let whole = other.to_string();
    let bad = |pointer: &str, value: Value| changed(&other, pointer, value).to_string();
    let cases = [
        (String::new(), "BALANCER_CONFIG: expected JSON"),
        (whole[..whole.len() / 2].into(), "BALANCER_CONFIG: expected JSON"),
        ("[]".into(), "limits.sockets: missing"),
        (bad("/listen", json!("nowhere")), "listen: expected an IP address"),
        (bad("/discovery", json!("nowhere")), "discovery: expected an IP address"),
        (bad("/known/endpoints", json!([{}])), "known.endpoints[0].status: missing"),
        (bad("/settings/profiles/0/effect", json!("odd")), "settings.profiles[0].effect: expected free"),
        (bad("/settings/profiles/1/name", json!("read")), "settings.profiles[1].name: the name stands twice"),
        (bad("/settings/profiles/0/gain", json!(0)), "settings.profiles[].gain: expected a finite number"),
        (bad("/settings/customers", json!([{"name": "a"}])), "settings.customers[0].quota_rps: missing"),
        (bad("/settings/limits/open_cap", json!(-1)), "settings.limits.open_cap: expected a whole number"),
        (bad("/settings/position", json!(1)), "settings.position: expected less than proxies"),
        (bad("/settings/rules/cold_from", json!(2)), "settings.rules.cold_from: expected a part"),
        (bad("/settings/profiles", json!("x".repeat(100_000))), "settings.profiles: expected an array"),
    ];
    let check = |told: &str| {
        let last = lines(&proxy).pop().unwrap();
        assert!(last.starts_with("configuration rejected error=") && last.contains(told), "{last}");
        assert!(last.len() < 1000, "{} bytes in a line", last.len());
        assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 200);
        assert_eq!(ask(&proxy, &asking("new", "POST")).status(), 400);
    };
    for (number, (text, told)) in cases.into_iter().enumerate() {
        proxy.reload(&text);
        until("a line about the bad file", || lines(&proxy).len() > number);
        assert_eq!(lines(&proxy).len(), number + 1, "one line each");
        check(told);
    }
    let before = lines(&proxy).len();
    std::fs::remove_file(&proxy.file).unwrap();
    proxy.signal("-HUP");
    until("a line about the file that is gone", || lines(&proxy).len() > before);
    check("expected a readable file");
    assert_eq!(elsewhere.calls(), 0);
    discovery.tell(false, &[line("s0", backend.address, "draining", 0)]);
    until("it still goes by the old discovery", || proxy.ready() == 503);
    reload(&proxy, &other);
    until("it asks at the new one", || elsewhere.calls() > 0);
}
